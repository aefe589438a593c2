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
PROBES_AT_ONCE = 4
# A single failed probe doesn't mark a server as down.
FAILURES_UNTIL_DOWN = 2

STATES = {
    "ready": ServerState.READY,
    "cold": ServerState.COLD,
    "draining": ServerState.DRAINING,
}


class HealthSource(Protocol):
    """A client that queries the health of one server."""

    async def ask(self, timeout_s: float) -> Health:
        """Return the server's health; raise ProbeFailed."""
        ...


Connect = Callable[[str], HealthSource]


@define
class _Probed:
    """A server that is probed, with its last result."""

    server: BackendServer
    source: HealthSource
    state: ServerState = ServerState.COLD
    in_flight: int = 0
    answered_at: float | None = None
    failures: int = 0


@frozen
class _Failed:
    """A failed probe of the current round."""

    probed: _Probed
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
        self.probed: dict[str, _Probed] = {}
        # True if the probes of all servers that were up failed in the last round. The
        # fault is then on this side, so the servers keep their states.
        self.frozen = False

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Probe these servers from the next round on."""
        wanted = {server.name: server for server in servers}
        for name in tuple(self.probed):
            known = self.probed[name]
            server = wanted.get(name)
            if server is None or server.address != known.server.address:
                del self.probed[name]
        for name, server in wanted.items():
            if name not in self.probed:
                self.probed[name] = _Probed(server, self.connect(server.address))

    def view(self, server: str) -> ProbeView:
        """Return the last probe result of a server."""
        known = self.probed.get(server)
        if known is None or known.answered_at is None:
            state = ServerState.COLD if known is None else known.state
            return ProbeView(state, 0, float("inf"))
        age_s = self.clock.monotonic() - known.answered_at
        return ProbeView(known.state, known.in_flight, age_s)

    def newest_age_s(self) -> float:
        """Return the time since the last answer of any server, infinite if none."""
        times = [x.answered_at for x in self.probed.values() if x.answered_at]
        return self.clock.monotonic() - max(times) if times else float("inf")

    async def round(self) -> None:
        """Probe each server once."""
        waiting = list(self.probed.values())
        failed: list[_Failed] = []
        workers: list[Deferred[Any]] = [
            Deferred.fromCoroutine(self._work(waiting, failed))
            for _ in range(min(PROBES_AT_ONCE, len(waiting)))
        ]
        await gatherResults(workers, consumeErrors=True)
        self._judge(failed)

    async def _work(self, waiting: list[_Probed], failed: list[_Failed]) -> None:
        while waiting:
            probed = waiting.pop()
            try:
                health = await probed.source.ask(PROBE_TIMEOUT_S)
            except ProbeFailed as error:
                failed.append(_Failed(probed, error.refused))
            else:
                self._answered(probed, health)

    def _answered(self, probed: _Probed, health: Health) -> None:
        probed.answered_at = self.clock.monotonic()
        probed.failures = 0
        probed.in_flight = health.in_flight
        self._set_state(probed, STATES.get(health.state, ServerState.COLD))

    def _judge(self, failed: list[_Failed]) -> None:
        """Count the failures, unless all servers that were up failed in this round."""
        up = [x for x in self.probed.values() if x.state is not ServerState.DOWN]
        lost = [x for x in failed if x.probed.state is not ServerState.DOWN]
        frozen = len(up) > 1 and len(lost) == len(up)
        if frozen != self.frozen:
            get_logger().warning("probes_frozen", frozen=frozen, servers=len(up))
        self.frozen = frozen
        if frozen:
            return
        for failure in failed:
            probed = failure.probed
            probed.failures += FAILURES_UNTIL_DOWN if failure.refused else 1
            if probed.failures >= FAILURES_UNTIL_DOWN:
                self._set_state(probed, ServerState.DOWN)

    def _set_state(self, probed: _Probed, state: ServerState) -> None:
        if probed.state is state:
            return
        probed.state = state
        self.on_change(probed.server.name, state)
