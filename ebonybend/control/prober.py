"""Probe the backend servers of the local failure domain."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from attrs import define, frozen
from twisted.internet.defer import Deferred, gatherResults

from ebonybend.clock import Clock
from ebonybend.control.health_client import Health, ProbeFailed
from ebonybend.control.table_builder import ProbeView
from ebonybend.logs import get_logger
from ebonybend.world import BackendServer, ServerState

PROBE_PERIOD_S = 0.5
# A probe takes about 6 ms; a busy server or a long round trip needs more.
PROBE_TIMEOUT_S = 1.0
MAX_CONCURRENT_PROBES = 4
# A single failed probe doesn't mark a server as down.
FAILURES_UNTIL_DOWN = 2

SERVER_STATES = {
    "ready": ServerState.READY,
    "cold": ServerState.COLD,
    "draining": ServerState.DRAINING,
}


class HealthSource(Protocol):
    """A client that queries the health of one server."""

    async def get_health(self, timeout_s: float) -> Health:
        """Return the server's health; raise ProbeFailed."""
        ...


Connect = Callable[[str], HealthSource]


@define
class _ProbedServer:
    """A server that is probed, with its last result."""

    server: BackendServer
    source: HealthSource
    state: ServerState = ServerState.COLD
    in_flight: int = 0
    answered_at: float | None = None
    failures: int = 0


@frozen
class _FailedProbe:
    """A failed probe of the current round."""

    probed: _ProbedServer
    refused: bool


class Prober:
    """Query the health of each server in rounds, with limited concurrency."""

    def __init__(
        self,
        clock: Clock,
        connect: Connect,
        on_change: Callable[[str, ServerState], None],
    ):
        self.clock = clock
        self.connect = connect
        self.on_change = on_change
        self.probed: dict[str, _ProbedServer] = {}
        # True if the probes of all servers that were up failed in the last round. The
        # fault is then on this side, so the servers keep their states.
        self.frozen = False

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Probe these servers from the next round on."""
        wanted = {server.name: server for server in servers}
        for name in tuple(self.probed):
            probed = self.probed[name]
            server = wanted.get(name)
            if server is None or server.address != probed.server.address:
                del self.probed[name]
        for name, server in wanted.items():
            if name not in self.probed:
                self.probed[name] = _ProbedServer(server, self.connect(server.address))

    def view(self, server: str) -> ProbeView:
        """Return the last probe result of a server."""
        probed = self.probed.get(server)
        if probed is None or probed.answered_at is None:
            state = ServerState.COLD if probed is None else probed.state
            return ProbeView(state, 0, float("inf"))
        age_s = self.clock.monotonic() - probed.answered_at
        return ProbeView(probed.state, probed.in_flight, age_s)

    def last_answer_age_s(self) -> float:
        """Return the time since the last answer of any server, infinite if none."""
        times = [x.answered_at for x in self.probed.values() if x.answered_at]
        return self.clock.monotonic() - max(times) if times else float("inf")

    async def run_round(self) -> None:
        """Probe each server once."""
        pending = list(self.probed.values())
        failed: list[_FailedProbe] = []
        workers: list[Deferred[Any]] = [
            Deferred.fromCoroutine(self._probe_pending(pending, failed))
            for _ in range(min(MAX_CONCURRENT_PROBES, len(pending)))
        ]
        await gatherResults(workers, consumeErrors=True)
        self._apply_failures(failed)

    async def _probe_pending(
        self, pending: list[_ProbedServer], failed: list[_FailedProbe]
    ) -> None:
        while pending:
            probed = pending.pop()
            try:
                health = await probed.source.get_health(PROBE_TIMEOUT_S)
            except ProbeFailed as error:
                failed.append(_FailedProbe(probed, error.refused))
            else:
                self._record_answer(probed, health)

    def _record_answer(self, probed: _ProbedServer, health: Health) -> None:
        probed.answered_at = self.clock.monotonic()
        probed.failures = 0
        probed.in_flight = health.in_flight
        self._set_state(probed, SERVER_STATES.get(health.state, ServerState.COLD))

    def _apply_failures(self, failed: list[_FailedProbe]) -> None:
        """Count the failures, unless all servers that were up failed in this round."""
        up_before = [x for x in self.probed.values() if x.state is not ServerState.DOWN]
        newly_failed = [x for x in failed if x.probed.state is not ServerState.DOWN]
        frozen = len(up_before) > 1 and len(newly_failed) == len(up_before)
        if frozen != self.frozen:
            get_logger().warning("probes_frozen", frozen=frozen, servers=len(up_before))
        self.frozen = frozen
        if frozen:
            return
        for failure in failed:
            probed = failure.probed
            probed.failures += FAILURES_UNTIL_DOWN if failure.refused else 1
            if probed.failures >= FAILURES_UNTIL_DOWN:
                self._set_state(probed, ServerState.DOWN)

    def _set_state(self, probed: _ProbedServer, state: ServerState) -> None:
        if probed.state is state:
            return
        probed.state = state
        self.on_change(probed.server.name, state)
