"""Tell the entry process at once what can't wait for its next report."""

from twisted.internet.defer import CancelledError, Deferred

from ebonybend.tasks import Timers


class Notices:
    """Count notices; wake who waits for one, or for the entry to take one."""

    def __init__(self, timers: Timers):
        self.timers = timers
        self.told = 0
        # Notices whose content the entry process was given.
        self.taken = 0
        self.waiting: list[Deferred[None]] = []

    def tell(self) -> None:
        """Ask the entry process for a report."""
        self.told += 1
        self._wake()

    def take(self) -> None:
        """Take in that the entry process is given all that was told."""
        if self.taken < self.told:
            self.taken = self.told
            self._wake()

    async def wait_told(self, known: int, longest_s: float) -> int:
        """Return the number of notices once it differs from a known one."""
        end = self.timers.seconds() + longest_s
        while self.told == known and self.timers.seconds() < end:
            await self._changed(end)
        return self.told

    async def wait_taken(self, longest_s: float) -> None:
        """Return once all that was told so far is taken, or after a time."""
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
