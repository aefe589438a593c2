"""Limit the requests in flight on each backend server."""

from collections.abc import Iterable
from enum import Enum

from ebonybend.clock import Clock
from ebonybend.steering.slots import SlotLedger
from ebonybend.world import ServerState

# Slow start adds a slot at least this often, so that an idle server is fully usable
# after about a second.
SLOW_START_STEP_S = 0.25
# A shed request halves the limit, which then grows by one in each period of this
# length.
BACK_OFF_STEP_S = 1.0
# Failures lose half of their weight in this time, so that a server is tried again.
FAILURE_HALF_LIFE_S = 3.0


class ServerResult(Enum):
    """How a request on a backend server ended."""

    SUCCESS = "success"
    # The server refused the request without running it.
    SHED = "shed"
    # No connection could be made.
    UNREACHABLE = "unreachable"
    # The connection ended without an answer while the request was running.
    LOST = "lost"
    TIMEOUT = "timeout"


class ServerThrottle:
    """What reduces the in-flight limit of one backend server."""

    __slots__ = (
        "state",
        "start_at",
        "successes",
        "back_off_at",
        "back_off_limit",
        "failures",
        "failed_at",
    )

    def __init__(self, now: float):
        self.state = ServerState.READY
        # Time when slow start began, or None when it is over.
        self.start_at: float | None = now
        self.successes = 0
        # Time of the last shed request, or None when the back-off is over.
        self.back_off_at: float | None = None
        self.back_off_limit = 0
        self.failures = 0.0
        self.failed_at = now

    def begin_slow_start(self, now: float) -> None:
        """Begin slow start."""
        self.start_at = now
        self.successes = 0


class Admission:
    """The in-flight limit of each server: owned slots, slow start and back-off."""

    def __init__(self, ledger: SlotLedger, clock: Clock):
        self.ledger = ledger
        self.clock = clock
        self.throttles: dict[str, ServerThrottle] = {}
        self.drained: frozenset[str] = frozenset()

    def limit(self, server: str) -> int:
        """Return the maximum number of requests in flight on a server."""
        owned_slots = self.ledger.owned_slots(server)
        if owned_slots == 0 or server in self.drained:
            return 0
        throttle = self.throttles.get(server) or self._throttle(server)
        if throttle.state is not ServerState.READY:
            return 1 if throttle.state is ServerState.COLD else 0
        if throttle.start_at is None and throttle.back_off_at is None:
            return owned_slots
        return self._reduced_limit(server, throttle, owned_slots)

    def free_slots(self, server: str) -> int:
        """Return how many more requests a server may be sent now."""
        return max(0, self.limit(server) - self.ledger.in_flight(server))

    def acquire(self, server: str) -> bool:
        """Acquire a slot of a server if one is free; return whether it was acquired."""
        if self.ledger.in_flight(server) >= self.limit(server):
            return False
        self.ledger.record_request_start(server)
        return True

    def release(self, server: str, result: ServerResult, latency_s: float) -> None:
        """Release a slot and adapt the server's limit to the request's result."""
        if result is ServerResult.SUCCESS:
            self._record_success(server)
        elif result is ServerResult.SHED:
            self._record_shed(server)
        else:
            self._record_failure(server, result)
        self.ledger.record_request_end(server)

    def set_state(self, server: str, state: ServerState) -> None:
        """Set a server's state; begin slow start when it becomes ready."""
        throttle = self._throttle(server)
        if state is ServerState.READY and throttle.state is not ServerState.READY:
            throttle.begin_slow_start(self.clock.monotonic())
        throttle.state = state

    def set_drained(self, names: Iterable[str]) -> None:
        """Set the servers that drain rules take out of use."""
        drained = frozenset(names)
        for name in self.drained - drained:
            self._throttle(name).begin_slow_start(self.clock.monotonic())
        self.drained = drained

    def failures(self, server: str) -> float:
        """Return the number of failures since the last success, decayed by age."""
        throttle = self.throttles.get(server)
        if throttle is None or not throttle.failures:
            return 0.0
        age_s = self.clock.monotonic() - throttle.failed_at
        return throttle.failures * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def _throttle(self, server: str) -> ServerThrottle:
        throttle = self.throttles.get(server)
        if throttle is None:
            throttle = ServerThrottle(self.clock.monotonic())
            self.throttles[server] = throttle
        return throttle

    def _reduced_limit(
        self, server: str, throttle: ServerThrottle, owned_slots: int
    ) -> int:
        now = self.clock.monotonic()
        slots = max(1, self.ledger.total_slots(server))
        limit = owned_slots
        if throttle.start_at is not None:
            allowed = 1 + throttle.successes // slots
            allowed += int((now - throttle.start_at) / SLOW_START_STEP_S)
            limit = min(limit, allowed)
            if allowed >= slots:
                throttle.start_at = None
        if throttle.back_off_at is not None:
            allowed = throttle.back_off_limit
            allowed += int((now - throttle.back_off_at) / BACK_OFF_STEP_S)
            limit = min(limit, allowed)
            if allowed >= slots:
                throttle.back_off_at = None
        return limit

    def _record_success(self, server: str) -> None:
        throttle = self._throttle(server)
        throttle.successes += 1
        throttle.failures = 0.0

    def _record_shed(self, server: str) -> None:
        limit = self.limit(server)
        throttle = self._throttle(server)
        throttle.back_off_limit = max(1, limit // 2)
        throttle.back_off_at = self.clock.monotonic()

    def _record_failure(self, server: str, result: ServerResult) -> None:
        throttle = self._throttle(server)
        throttle.failures = self.failures(server) + 1
        throttle.failed_at = self.clock.monotonic()
        # A lost server restarts with cold caches.
        if result is not ServerResult.TIMEOUT:
            throttle.begin_slow_start(throttle.failed_at)
