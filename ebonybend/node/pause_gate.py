"""Hold requests after a pause of the process until its state is known to be current.

A process that is stopped for some seconds, or whose machine is suspended, resumes with
the servers and the configuration of before. Requests that arrived meanwhile would be
sent by these, although servers may have left.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.task import deferLater

from ebonybend.logs import get_logger

# Period in which the process records that it runs.
TICK_PERIOD_S = 0.25
# Time without such a record that shows a pause; a busy process is late by less.
PAUSE_S = 1.0
# Longest time for which requests wait. After it the last known state is used, as it is
# while the store is away.
CONFIRM_TIMEOUT_S = 0.5
POLL_PERIOD_S = 0.02


class PauseGate:
    """Detect pauses, and hold requests after them."""

    def __init__(
        self,
        reactor: Any,
        confirm: Callable[[], None],
        is_confirmed_since: Callable[[float], bool],
    ):
        self.reactor = reactor
        # Asks the store for the current state.
        self.confirm = confirm
        # Returns whether the state is known to be current since a time.
        self.is_confirmed_since = is_confirmed_since
        self.seen_at = reactor.seconds()
        # End of the last pause.
        self.resumed_at = float("-inf")

    async def tick(self) -> None:
        """Record that the process runs."""
        self.detect()

    def detect(self) -> None:
        """Record that the process runs, and detect a pause before now."""
        now = self.reactor.seconds()
        paused_s, self.seen_at = now - self.seen_at, now
        if paused_s >= PAUSE_S:
            self.resumed_at = now
            get_logger().warning("process_paused", seconds=round(paused_s, 2))
            self.confirm()

    def is_holding(self) -> bool:
        """Return whether requests have to wait now."""
        self.detect()
        since_s = self.reactor.seconds() - self.resumed_at
        return since_s < CONFIRM_TIMEOUT_S and not self.is_confirmed_since(
            self.resumed_at
        )

    def has_paused_since(self, time: float) -> bool:
        """Return whether a pause ended after a time."""
        self.detect()
        return self.resumed_at > time

    async def wait(self) -> None:
        """Wait until the state is current, or no longer than CONFIRM_TIMEOUT_S."""
        while self.is_holding():
            await deferLater(self.reactor, POLL_PERIOD_S)
