"""Stop an entry process without aborting requests."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from ebonybend.clock import Clock
from ebonybend.entry.serving import Activity
from ebonybend.logs import get_logger
from ebonybend.settings import Settings

MS = 1000.0
POLL_INTERVAL_S = 0.05
# Covers the wait for a write's answer past its deadline (WRITE_GRACE_S in dispatch),
# and the network delay of the answer.
END_MARGIN_S = 0.5
# Longest time for the hand-over: pushing the outcomes and sending the last heartbeats.
HAND_OVER_TIMEOUT_S = 3.0


class GracefulStop:
    """Serve until clients no longer use this instance, then hand over and end."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        clock: Clock,
        activity: Activity,
        count_unfinished: Callable[[], int],
        announce_leaving: Callable[[], None],
        refuse_new: Callable[[], None],
        hand_over: Callable[[], Deferred[Any]],
        end: Callable[[int], None],
    ):
        self.reactor = reactor
        self.clock = clock
        self.activity = activity
        self.count_unfinished = count_unfinished
        self.announce_leaving = announce_leaving
        self.refuse_new = refuse_new
        self.hand_over = hand_over
        self.end = end
        self.lookup_lifetime_s = settings.lookup_lifetime_ms / MS
        self.longest_deadline_s = settings.longest_deadline_ms / MS
        self.started_at: float | None = None

    @property
    def stopping(self) -> bool:
        """Return whether a stop has begun."""
        return self.started_at is not None

    def request(self) -> None:
        """Begin a graceful stop; a second request ends the process at once."""
        if self.stopping:
            get_logger().warning("immediate_stop", in_flight=self.activity.in_flight)
            self.end(1)
            return
        self.started_at = self.clock.monotonic()
        get_logger().info("graceful_stop", in_flight=self.activity.in_flight)
        self.announce_leaving()
        Deferred.fromCoroutine(self._run()).addErrback(self._handle_failure)

    def _handle_failure(self, failure: Any) -> None:
        get_logger().error("stop_failed", error=repr(failure.value))
        self.end(1)

    async def _run(self) -> None:
        await self._wait_until(
            self._lookups_expired, self.lookup_lifetime_s + self.longest_deadline_s
        )
        self.activity.refusing = True
        self.refuse_new()
        await self._wait_until(self._is_idle, self.longest_deadline_s + END_MARGIN_S)
        handed_over = self.hand_over()
        timer = self.reactor.callLater(HAND_OVER_TIMEOUT_S, handed_over.cancel)
        try:
            await handed_over
        except Exception as error:
            get_logger().warning("hand_over_failed", error=repr(error))
        if timer.active():
            timer.cancel()
        elapsed_s = self.clock.monotonic() - self.started_at
        get_logger().info("stopped", seconds=round(elapsed_s, 3))
        self.end(0)

    async def _wait_until(self, done: Callable[[], bool], max_wait_s: float) -> None:
        until = self.clock.monotonic() + max_wait_s
        while not done() and self.clock.monotonic() < until:
            await deferLater(self.reactor, POLL_INTERVAL_S)

    def _is_idle(self) -> bool:
        return not self.activity.in_flight and not self.count_unfinished()

    def _lookups_expired(self) -> bool:
        """Return whether it is idle and all lookups that list this instance expired."""
        last = max(self.activity.last_request_at, self.started_at)
        return (
            self._is_idle() and self.clock.monotonic() - last >= self.lookup_lifetime_s
        )
