"""Notify the entry process of changes that can't wait for its next report."""

from twisted.internet.defer import CancelledError, Deferred

from ebonybend.tasks import Timers


class Notices:
    """Count notices, and let coroutines wait for a notice or for its delivery."""

    def __init__(self, timers: Timers):
        self.timers = timers
        self.told = 0
        # Number of notices whose content was delivered to the entry process.
        self.taken = 0
        self.waiting: list[Deferred[None]] = []

    def tell(self) -> None:
        """Ask the entry process for a report."""
        self.told += 1
        self._wake()

    def take(self) -> None:
        """Record that the content of all notices so far is delivered."""
        if self.taken < self.told:
            self.taken = self.told
            self._wake()

    async def wait_told(self, known: int, longest_s: float) -> int:
        """Return the number of notices once it isn't the known one, or at a timeout."""
        end = self.timers.seconds() + longest_s
        while self.told == known and self.timers.seconds() < end:
            await self._changed(end)
        return self.told

    async def wait_taken(self, longest_s: float) -> None:
        """Wait until all notices so far are delivered, or for the maximum wait."""
        told = self.told
        end = self.timers.seconds() + longest_s
        while self.taken < told and self.timers.seconds() < end:
            await self._changed(end)

    async def _changed(self, end: float) -> None:
        changed: Deferred[None] = Deferred()
        self.waiting.append(changed)
        left = max(end - self.timers.seconds(), 0.0)
        timer = self.timers.callLater(left, changed.cancel)
        try:
            await changed
        except CancelledError:
            self.waiting.remove(changed)
        finally:
            if timer.active():
                timer.cancel()

    def _wake(self) -> None:
        waiting, self.waiting = self.waiting, []
        for changed in waiting:
            changed.callback(None)
