"""What a node believes of each backend server, from the list and from answers."""

from collections.abc import Iterable, Mapping

from attrs import define, field

from ebonybend.steering.shared_rates import ColdPacer
from ebonybend.world import BackendServer, LifeState

# Weight of a new answer in a moving average; about the last ten answers count.
GAIN = 0.2
# A reported load says less the older it is, and nothing after this time: about two warm
# requests, by which what was counted has left.
LOAD_LIFETIME_S = 0.4
# Failures in a row after which a server is left out for a time.
FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 8.0
# A server that refuses connections is tried again after this time.
REFUSED_PAUSE_S = 0.5
# Part of a service's servers in a region that may be left out at once.
MOST_EJECTED_SHARE = 0.5


@define
class TrackedServer:
    """One backend server as this node sees it."""

    server: BackendServer
    in_flight: int = 0
    # Requests of other senders at the last report, and the time of the report.
    others: float = 0.0
    reported_at: float = float("-inf")
    # Mean time of answers on this server without the way; None before the first.
    service_s: float | None = None
    # Time on this server against other servers of its service.
    slowness: float = 1.0
    # Time to the server and back; None before the first connection.
    round_trip_s: float | None = None
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    # Whether no connection came about when it was left out last.
    unreached: bool = False
    cold_until: float = float("-inf")
    pacer: ColdPacer = field(factory=ColdPacer)

    def load(self, now: float) -> float:
        """Return the estimated number of requests on the server."""
        age = now - self.reported_at
        weight = max(0.0, 1.0 - age / LOAD_LIFETIME_S)
        return self.in_flight + self.others * weight

    def is_cold(self, now: float) -> bool:
        """Tell whether only a bounded rate may be sent."""
        return now < self.cold_until

    def is_ejected(self, now: float) -> bool:
        """Tell whether the server is left out after failures.

        After the pause one request at a time tries it, until an answer comes.
        """
        return now < self.ejected_until or (self.ejections > 0 and self.in_flight > 0)

    def is_unreachable(self, now: float) -> bool:
        """Tell whether the server is left out because nothing reaches it."""
        return self.unreached and self.is_ejected(now)

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Take in the load that an answer reports."""
        self.others = max(running + waiting - self.in_flight, 0)
        self.reported_at = now

    def record_success(self, seconds: float) -> None:
        """Take in a whole answer."""
        self.failures = 0
        self.ejections = 0
        self.unreached = False
        if self.service_s is None:
            self.service_s = seconds
        else:
            self.service_s += GAIN * (seconds - self.service_s)

    def record_failure(self, now: float) -> None:
        """Take in a lost answer or an answer of failure."""
        self.failures += 1
        if self.failures >= FAILURES_TO_EJECT or self.ejections > 0:
            self._eject(now, FIRST_EJECTION_S)

    def record_connect_time(self, seconds: float) -> None:
        """Take in the time that a new connection took."""
        if self.round_trip_s is None:
            self.round_trip_s = seconds
        else:
            # A connection that waited for a slot or a lost packet takes longer.
            gain = GAIN if seconds > self.round_trip_s else 0.5
            self.round_trip_s += gain * (seconds - self.round_trip_s)

    def record_unreachable(self, now: float, refused: bool) -> None:
        """Take in that no connection came about."""
        self.unreached = True
        self._eject(now, REFUSED_PAUSE_S if refused else FIRST_EJECTION_S)

    def _eject(self, now: float, first_s: float) -> None:
        self.failures = 0
        pause = min(first_s * 2**self.ejections, LONGEST_EJECTION_S)
        self.ejections = min(self.ejections + 1, 10)
        self.ejected_until = now + pause


class ServerTable:
    """All listed backend servers, by name and by service."""

    def __init__(self) -> None:
        self.states: dict[str, TrackedServer] = {}
        self.by_service: dict[str, list[TrackedServer]] = {}
        # Failure domains to whose servers nothing is sent.
        self.evacuated: frozenset[str] = frozenset()

    def update(self, servers: Mapping[str, BackendServer], now: float) -> None:
        """Take in the list of servers; keep what is known of those that stay."""
        states: dict[str, TrackedServer] = {}
        for name, server in servers.items():
            state = self.states.get(name)
            if state is None or _restarted(state.server, server):
                state = TrackedServer(server)
            if server != state.server or state.cold_until == float("-inf"):
                # A report repeats the time that was left when it was written, so a
                # later end is kept only if the report itself is new.
                state.cold_until = max(state.cold_until, now + server.cold_for_s)
            state.server = server
            states[name] = state
        self.states = states
        self.by_service = {}
        for state in states.values():
            self.by_service.setdefault(state.server.service, []).append(state)

    def set_evacuated(
        self, domains: Iterable[str], cold_s: Mapping[str, float], now: float
    ) -> None:
        """Take in the evacuated domains; servers that are taken back may be cold."""
        evacuated = frozenset(domains)
        returned = self.evacuated - evacuated
        self.evacuated = evacuated
        for state in self.states.values():
            if state.server.failure_domain in returned:
                until = now + cold_s.get(state.server.service, 0.0)
                state.cold_until = max(state.cold_until, until)

    def usable(self, service: str) -> list[TrackedServer]:
        """Return the servers of a service to which requests may be sent."""
        return [
            state
            for state in self.by_service.get(service, ())
            if state.server.state is LifeState.LIVE
            and state.server.failure_domain not in self.evacuated
        ]


def _restarted(known: BackendServer, listed: BackendServer) -> bool:
    return (
        known.started_ms != listed.started_ms
        or known.address != listed.address
        or known.service != listed.service
    )
