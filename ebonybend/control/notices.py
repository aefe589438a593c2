"""Notify the entry process of changes that can't wait for its next report."""

from twisted.internet.defer import CancelledError, Deferred

from ebonybend.tasks import Timers


class Notices:
    """Count notices, and let coroutines wait for a notice or for its delivery."""

    def __init__(self, timers: Timers):
        self.timers = timers
        self.posted_count = 0
        # Number of notices whose content was delivered to the entry process.
        self.delivered_count = 0
        self.waiters: list[Deferred[None]] = []

    def post(self) -> None:
        """Ask the entry process for a report."""
        self.posted_count += 1
        self._wake_waiters()

    def mark_delivered(self) -> None:
        """Record that the content of all notices so far is delivered."""
        if self.delivered_count < self.posted_count:
            self.delivered_count = self.posted_count
            self._wake_waiters()

    async def wait_for_notice(self, known: int, max_wait_s: float) -> int:
        """Return the number of notices once it isn't the known one, or at a timeout."""
        deadline = self.timers.seconds() + max_wait_s
        while self.posted_count == known and self.timers.seconds() < deadline:
            await self._wait_for_change(deadline)
        return self.posted_count

    async def wait_until_delivered(self, max_wait_s: float) -> None:
        """Wait until all notices so far are delivered, or for the maximum wait."""
        posted_count = self.posted_count
        deadline = self.timers.seconds() + max_wait_s
        while self.delivered_count < posted_count and self.timers.seconds() < deadline:
            await self._wait_for_change(deadline)

    async def _wait_for_change(self, deadline: float) -> None:
        changed: Deferred[None] = Deferred()
        self.waiters.append(changed)
        remaining_s = max(deadline - self.timers.seconds(), 0.0)
        timer = self.timers.callLater(remaining_s, changed.cancel)
        try:
            await changed
        except CancelledError:
            self.waiters.remove(changed)
        finally:
            if timer.active():
                timer.cancel()

    def _wake_waiters(self) -> None:
        waiters, self.waiters = self.waiters, []
        for changed in waiters:
            changed.callback(None)
