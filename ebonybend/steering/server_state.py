"""Track load, latency and failures of backend servers from the list and answers."""

from collections.abc import Iterable, Mapping

from attrs import define, field

from ebonybend.steering.shared_rates import ColdPacer
from ebonybend.world import BackendServer, LifeState

# Weight of a new sample in a moving average, which spans about the last ten answers.
GAIN = 0.2
# The weight of a reported load falls to zero over this time: that of about two requests
# to warm objects, after which the counted requests have finished.
LOAD_LIFETIME_S = 0.4
# Consecutive failures after which a server is ejected for a time.
FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# First ejection time of a server that refuses connections.
REFUSED_EJECTION_S = 0.5
# Largest fraction of a service's servers in a region that may be ejected at once.
MAX_EJECTED_FRACTION = 0.5


@define
class TrackedServer:
    """The load, latency and failures of one backend server as this node sees them."""

    server: BackendServer
    in_flight: int = 0
    # Requests of other senders at the last load report, and the time of the report.
    others_in_flight: float = 0.0
    reported_at: float = float("-inf")
    # Mean service time without network delay; None before the first answer.
    service_s: float | None = None
    # Service time relative to the service's other servers.
    slowness: float = 1.0
    # Network round-trip time; None before the first connection.
    round_trip_s: float | None = None
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    # Whether the server couldn't be reached since its last complete answer.
    ejected_unreachable: bool = False
    cold_until: float = float("-inf")
    pacer: ColdPacer = field(factory=ColdPacer)

    def load(self, now: float) -> float:
        """Return the estimated number of requests on the server."""
        age = now - self.reported_at
        weight = max(0.0, 1.0 - age / LOAD_LIFETIME_S)
        return self.in_flight + self.others_in_flight * weight

    def is_cold(self, now: float) -> bool:
        """Return whether the server is warming up and gets only a bounded rate."""
        return now < self.cold_until

    def is_ejected(self, now: float) -> bool:
        """Return whether the server is ejected after failures.

        After the ejection time, it gets one request at a time until it answers one.
        """
        return now < self.ejected_until or (self.ejections > 0 and self.in_flight > 0)

    def is_unreachable(self, now: float) -> bool:
        """Return whether the server is ejected because it couldn't be reached."""
        return self.ejected_unreachable and self.is_ejected(now)

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Record the load that an answer reports."""
        self.others_in_flight = max(running + waiting - self.in_flight, 0)
        self.reported_at = now

    def record_success(self, seconds: float) -> None:
        """Record a complete answer and the seconds that it took on the server."""
        self.failures = 0
        self.ejections = 0
        self.ejected_unreachable = False
        if self.service_s is None:
            self.service_s = seconds
        else:
            self.service_s += GAIN * (seconds - self.service_s)

    def record_failure(self, now: float) -> None:
        """Record a lost answer or a server error; eject the server after several."""
        self.failures += 1
        if self.failures >= FAILURES_TO_EJECT or self.ejections > 0:
            self._eject(now, FIRST_EJECTION_S)

    def record_connect_time(self, seconds: float) -> None:
        """Update the round-trip time with the time that a connection took to open."""
        if self.round_trip_s is None:
            self.round_trip_s = seconds
        else:
            # Waiting for a slot or a retransmission makes a connection take longer.
            gain = GAIN if seconds > self.round_trip_s else 0.5
            self.round_trip_s += gain * (seconds - self.round_trip_s)

    def record_unreachable(self, now: float, refused: bool) -> None:
        """Eject the server because it couldn't be reached."""
        self.ejected_unreachable = True
        self._eject(now, REFUSED_EJECTION_S if refused else FIRST_EJECTION_S)

    def _eject(self, now: float, first_s: float) -> None:
        self.failures = 0
        duration_s = min(first_s * 2**self.ejections, MAX_EJECTION_S)
        self.ejections = min(self.ejections + 1, 10)
        self.ejected_until = now + duration_s


class ServerTable:
    """All listed backend servers, by name and by service."""

    def __init__(self) -> None:
        self.states: dict[str, TrackedServer] = {}
        self.by_service: dict[str, list[TrackedServer]] = {}
        # Failure domains whose servers get no requests.
        self.evacuated: frozenset[str] = frozenset()

    def update(self, servers: Mapping[str, BackendServer], now: float) -> None:
        """Apply a list of servers; preserve the state of servers that stay listed."""
        states: dict[str, TrackedServer] = {}
        for name, server in servers.items():
            state = self.states.get(name)
            if state is None or _restarted(state.server, server):
                state = TrackedServer(server)
            if server != state.server or state.cold_until == float("-inf"):
                # An entry states the warm-up time that remained when it was written,
                # so an unchanged entry must not extend the warm-up.
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
        """Set the evacuated domains; servers that are back in use may be cold."""
        evacuated = frozenset(domains)
        reinstated = self.evacuated - evacuated
        self.evacuated = evacuated
        for state in self.states.values():
            if state.server.failure_domain in reinstated:
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
