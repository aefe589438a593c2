"""Limit the requests in flight on each backend server."""

from collections.abc import Iterable
from enum import Enum

from ebonybend.clock import Clock
from ebonybend.steering.slots import SlotLedger
from ebonybend.world import ServerState

# Slow start adds a slot at least this often, so that an idle server is fully usable
# after about a second.
SLOW_START_STEP_S = 0.25
# After a shed the limit grows by one in each period of this length.
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


class ServerGate:
    """What reduces the limit on one backend server."""

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
        # Start of the slow start, or None when it is over.
        self.start_at: float | None = now
        self.successes = 0
        # Time of the last shed, or None when the back-off is over.
        self.back_off_at: float | None = None
        self.back_off_limit = 0
        self.failures = 0.0
        self.failed_at = now

    def restart(self, now: float) -> None:
        """Begin a slow start."""
        self.start_at = now
        self.successes = 0


class Admission:
    """The in-flight limit of each server: owned slots, slow start and back-off."""

    def __init__(self, ledger: SlotLedger, clock: Clock):
        self.ledger = ledger
        self.clock = clock
        self.gates: dict[str, ServerGate] = {}
        self.drained: frozenset[str] = frozenset()

    def limit(self, server: str) -> int:
        """Return the number of requests that may be in flight on a server."""
        owned = self.ledger.owned(server)
        if owned == 0 or server in self.drained:
            return 0
        gate = self.gates.get(server) or self._gate(server)
        if gate.state is not ServerState.READY:
            return 1 if gate.state is ServerState.COLD else 0
        if gate.start_at is None and gate.back_off_at is None:
            return owned
        return self._reduced_limit(server, gate, owned)

    def free_slots(self, server: str) -> int:
        """Return the number of requests that may be added on a server."""
        return max(0, self.limit(server) - self.ledger.in_flight(server))

    def acquire(self, server: str) -> bool:
        """Take a slot of a server if one is free; return whether it was taken."""
        if self.ledger.in_flight(server) >= self.limit(server):
            return False
        self.ledger.record_request_start(server)
        return True

    def release(self, server: str, result: ServerResult, latency_s: float) -> None:
        """Give a slot back and adapt the limit to the request's result."""
        if result is ServerResult.SUCCESS:
            self._succeeded(server)
        elif result is ServerResult.SHED:
            self._shed(server)
        else:
            self._failed(server, result)
        self.ledger.record_request_end(server)

    def set_state(self, server: str, state: ServerState) -> None:
        """Set a server's state; one that becomes ready begins a slow start."""
        gate = self._gate(server)
        if state is ServerState.READY and gate.state is not ServerState.READY:
            gate.restart(self.clock.monotonic())
        gate.state = state

    def set_drained(self, names: Iterable[str]) -> None:
        """Set the servers that drain rules take out of use."""
        drained = frozenset(names)
        for name in self.drained - drained:
            self._gate(name).restart(self.clock.monotonic())
        self.drained = drained

    def failures(self, server: str) -> float:
        """Return the number of failures since the last success, less with age."""
        gate = self.gates.get(server)
        if gate is None or not gate.failures:
            return 0.0
        age_s = self.clock.monotonic() - gate.failed_at
        return gate.failures * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def _gate(self, server: str) -> ServerGate:
        gate = self.gates.get(server)
        if gate is None:
            gate = ServerGate(self.clock.monotonic())
            self.gates[server] = gate
        return gate

    def _reduced_limit(self, server: str, gate: ServerGate, owned: int) -> int:
        now = self.clock.monotonic()
        slots = max(1, self.ledger.slots(server))
        limit = owned
        if gate.start_at is not None:
            allowed = 1 + gate.successes // slots
            allowed += int((now - gate.start_at) / SLOW_START_STEP_S)
            limit = min(limit, allowed)
            if allowed >= slots:
                gate.start_at = None
        if gate.back_off_at is not None:
            allowed = gate.back_off_limit
            allowed += int((now - gate.back_off_at) / BACK_OFF_STEP_S)
            limit = min(limit, allowed)
            if allowed >= slots:
                gate.back_off_at = None
        return limit

    def _succeeded(self, server: str) -> None:
        gate = self._gate(server)
        gate.successes += 1
        gate.failures = 0.0

    def _shed(self, server: str) -> None:
        limit = self.limit(server)
        gate = self._gate(server)
        gate.back_off_limit = max(1, limit // 2)
        gate.back_off_at = self.clock.monotonic()

    def _failed(self, server: str, result: ServerResult) -> None:
        gate = self._gate(server)
        gate.failures = self.failures(server) + 1
        gate.failed_at = self.clock.monotonic()
        # A server that was lost comes back empty, so its caches are cold.
        if result is not ServerResult.TIMEOUT:
            gate.restart(gate.failed_at)
