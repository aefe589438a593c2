"""Track load, latency and failures of backend servers from the list and answers."""

from collections.abc import Callable, Container, Iterable, Mapping

from attrs import define, field

from ebonybend.steering.leaving import LeavingReport, LeavingServers
from ebonybend.steering.process_life import ProcessLife
from ebonybend.steering.server_limits import ServerLimit
from ebonybend.steering.shared_rates import ColdPacer
from ebonybend.world import BackendServer, LifeState
from ebonybend.world.backend_server import ServerProcess

# Weight of a new sample in a moving average, which spans about the last ten answers.
GAIN = 0.2
# The weight of a reported load falls to zero over this number of mean service times,
# after which the counted requests have finished, but not over less than this time.
LOAD_LIFETIME_REQUESTS = 2.0
LOAD_LIFETIME_S = 0.4
# Consecutive failures after which a server is ejected for a time.
FAILURES_TO_EJECT = 3
# A request without an answer counts as one failure for each time that it waited this
# many times as long as expected.
SILENCE_FACTOR = 2.0
# Nodes that have to report a server before a node without own evidence ejects it, and
# the time for which a report counts.
REPORTS_TO_EJECT = 2
REPORT_LIFETIME_S = 3.0
# Time for which an own answer refutes the reports of other nodes.
ANSWER_LIFETIME_S = 1.0
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# Time for which the state of a server without an entry is retained. Entries that
# expired while the store was unavailable return within seconds after it.
UNLISTED_RETENTION_S = 60.0
# First ejection time of a server that refuses connections.
REFUSED_EJECTION_S = 0.5
# Largest fraction of a service's servers in a region that may be ejected at once.
MAX_EJECTED_FRACTION = 0.5


@define
class TrackedServer:
    """The load, latency and failures of one backend server as this node sees them."""

    server: BackendServer
    in_flight: int = 0
    # Those of them that were sent after an ejection, to try the server again.
    trials: int = 0
    # Requests of other senders at the last load report, and the time of the report.
    others_in_flight: float = 0.0
    reported_at: float = float("-inf")
    # Mean service time without network delay; None before the first answer.
    service_s: float | None = None
    # Service time relative to the service's other servers, and its last answer's time.
    slowness: float = 1.0
    slowness_at: float = float("-inf")
    # Times of this node's last request, or of the listing, and of its last trial.
    sent_at: float = float("-inf")
    trial_at: float = float("-inf")
    # This node's place, 0 to 1, among the turns of all nodes to try the server.
    trial_phase: float = 0.0
    # Network round-trip time; None before the first connection.
    round_trip_s: float | None = None
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    # Whether the server couldn't be reached since its last complete answer.
    ejected_unreachable: bool = False
    # Whether the last ejection followed from this node's own requests.
    ejected_by_own_evidence: bool = False
    answered_at: float = float("-inf")
    # Time at which other nodes last reported that they ejected the server.
    reports: dict[str, float] = field(factory=dict)
    cold_until: float = float("-inf")
    pacer: ColdPacer = field(factory=ColdPacer)
    # The rate of requests that the server takes from all nodes, if it names one.
    limit: ServerLimit = field(factory=ServerLimit)
    # Time until which the server wants no requests from this node.
    paused_until: float = float("-inf")
    # Whether the server stated in its answers that it leaves.
    states_leaving: bool = False
    life: ProcessLife = field(factory=ProcessLife)

    def listed_again(self) -> "TrackedServer":
        """Return the state of a later process after the list names it, too."""
        self.life = ProcessLife()
        self.ejections = 0
        self.ejected_until = float("-inf")
        self.ejected_unreachable = False
        return self

    def load(self, now: float) -> float:
        """Return the estimated number of requests on the server."""
        age = now - self.reported_at
        lifetime_s = LOAD_LIFETIME_REQUESTS * (self.service_s or 0.0)
        weight = max(0.0, 1.0 - age / max(lifetime_s, LOAD_LIFETIME_S))
        return self.in_flight + self.others_in_flight * weight

    def is_cold(self, now: float) -> bool:
        """Return whether the server is warming up and gets only a bounded rate.

        The next request to a server whose process has ended may be the first of a cold
        one.
        """
        return now < self.cold_until or self.life.is_awaited

    def next_process(self, pacer: ColdPacer) -> "TrackedServer":
        """Return the state of the server's next process, which holds nothing yet.

        What the server asked of its senders stays until it answers again, and so does
        its ejection.
        """
        return TrackedServer(
            self.server,
            round_trip_s=self.round_trip_s,
            ejections=self.ejections,
            ejected_until=self.ejected_until,
            ejected_unreachable=self.ejected_unreachable,
            ejected_by_own_evidence=self.ejected_by_own_evidence,
            cold_until=self.cold_until,
            pacer=pacer,
            limit=self.limit,
            paused_until=self.paused_until,
            sent_at=self.sent_at,
            trial_at=self.trial_at,
            trial_phase=self.trial_phase,
            states_leaving=self.states_leaving,
            life=self.life,
        )

    def is_ejected(self, now: float) -> bool:
        """Return whether the server is ejected after failures.

        After the ejection time, it gets one request at a time until it answers one.
        Requests sent before the ejection may wait for long, and are not counted.
        """
        return now < self.ejected_until or (self.ejections > 0 and self.trials > 0)

    def is_paused(self, now: float) -> bool:
        """Return whether the server asked this node to send nothing for a time."""
        return now < self.paused_until

    def record_pause(self, seconds: float, now: float) -> bool:
        """Record for how long the server wants nothing; return whether that begins.

        Answers to several requests may arrive in any order, so none ends a pause.
        """
        begins = seconds > 0 and not self.is_paused(now)
        self.paused_until = max(self.paused_until, now + seconds)
        return begins

    def start_request(self) -> bool:
        """Count a request in flight; return whether it tries an ejected server."""
        self.in_flight += 1
        is_trial = self.ejections > 0
        self.trials += is_trial
        return is_trial

    def end_request(self, is_trial: bool) -> None:
        """Stop counting a request that start_request counted."""
        self.in_flight -= 1
        self.trials -= is_trial

    def is_unreachable(self, now: float) -> bool:
        """Return whether the server is ejected because it couldn't be reached."""
        return self.ejected_unreachable and self.is_ejected(now)

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Record the load that an answer reports."""
        self.others_in_flight = max(running + waiting - self.in_flight, 0)
        self.reported_at = now

    def record_success(self, seconds: float | None, now: float = float("-inf")) -> None:
        """Record a complete answer, and its time without network delay if known."""
        self.answered_at = now
        self.reports.clear()
        self.failures = 0
        self.ejections = 0
        self.ejected_unreachable = False
        if seconds is None:
            return
        if self.service_s is None:
            self.service_s = seconds
        else:
            self.service_s += GAIN * (seconds - self.service_s)

    def record_failure(self, now: float) -> None:
        """Record a lost answer or a server error; eject the server after several."""
        self._add_failures(1, now)

    def record_silence(self, now: float, sent_at: float, expected_s: float) -> None:
        """Record a request without an answer.

        If nothing else was answered meanwhile, a wait of several times the expected
        seconds counts as several failures.
        """
        waits = (now - sent_at) / (SILENCE_FACTOR * expected_s) if expected_s else 1
        self._add_failures(1 if self.answered_at > sent_at else max(int(waits), 1), now)

    def record_report(self, node: str, now: float) -> None:
        """Record that another node ejected the server; eject it after several.

        One report is enough after an own failure. Reports don't count against a server
        that lately answered this node.
        """
        self.reports[node] = now
        # An ejected server is tried by this node's own requests.
        if now - self.answered_at < ANSWER_LIFETIME_S or self.ejections:
            return
        reports = sum(now - at < REPORT_LIFETIME_S for at in self.reports.values())
        if reports + min(self.failures, 1) >= REPORTS_TO_EJECT:
            self._eject(now, FIRST_EJECTION_S)
            self.ejected_by_own_evidence = False

    def _add_failures(self, count: int, now: float) -> None:
        self.failures += count
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
        self.ejected_by_own_evidence = True
        duration_s = min(first_s * 2**self.ejections, MAX_EJECTION_S)
        self.ejections = min(self.ejections + 1, 10)
        self.ejected_until = now + duration_s


class ServerTable:
    """All listed backend servers, by name and by service."""

    def __init__(
        self,
        new_phase: Callable[[], float] = lambda: 0.0,
        cold_s: Callable[[str], float] = lambda _: 0.0,
        on_next_process: Callable[[str], None] = lambda _: None,
    ) -> None:
        # Returns the phase of a new server's pacer.
        self.new_phase = new_phase
        # Returns the time for which a new process of a service is cold.
        self.cold_s = cold_s
        # Called with a server whose next process holds nothing of what is known.
        self.on_next_process = on_next_process
        self.states: dict[str, TrackedServer] = {}
        # Servers without an entry, and the times until which their state is retained.
        self.unlisted: dict[str, tuple[float, TrackedServer]] = {}
        self.by_service: dict[str, list[TrackedServer]] = {}
        # Failure domains whose servers get no requests.
        self.evacuated: frozenset[str] = frozenset()
        self.leaving = LeavingServers()

    def update(self, servers: Mapping[str, BackendServer], now: float) -> None:
        """Apply a list of servers; preserve the state of servers that stay listed.

        The state is that of a process, whose entry may expire and return.
        """
        states: dict[str, TrackedServer] = {}
        for name, server in servers.items():
            state = self.states.get(name) or self._unlisted_state(name)
            if state is not None and _restarted(state.server, server):
                self.on_next_process(name)
                # The list names the process that gave a sign of life before.
                is_known = state.life.ended_at > float("-inf")
                state = state.listed_again() if is_known else None
            if state is None:
                state = TrackedServer(
                    server,
                    pacer=ColdPacer(self.new_phase()),
                    limit=ServerLimit(self.new_phase()),
                    sent_at=now,
                    trial_phase=self.new_phase(),
                )
            if server != state.server or state.cold_until == float("-inf"):
                # An entry states the warm-up time that remained when it was written,
                # so an unchanged entry must not extend the warm-up.
                state.cold_until = max(state.cold_until, now + server.cold_for_s)
            state.server = server
            state.states_leaving = server.process in self.leaving
            states[name] = state
        self._retain_unlisted(servers, now)
        self.states = states
        self.by_service = {}
        for state in states.values():
            self.by_service.setdefault(state.server.service, []).append(state)

    def record_end(
        self, process: ServerProcess, at: float, margin_s: float = 0.0
    ) -> bool:
        """Record that a process did not exist at a time; return whether that is new.

        Requests in flight keep the state of the process that ended.
        """
        state = self.states.get(process.name)
        if state is None or state.server.process != process:
            return False
        if not state.life.record_end(at, margin_s):
            return False
        following = state.next_process(ColdPacer(self.new_phase()))
        self.states[process.name] = following
        of_service = self.by_service[state.server.service]
        of_service[of_service.index(state)] = following
        self.on_next_process(process.name)
        return True

    def record_alive(self, process: ServerProcess, asked_at: float, now: float) -> bool:
        """Record a sign of life; return whether it is the first of a process."""
        state = self.states.get(process.name)
        if state is None or state.server.process != process:
            return False
        if not state.life.record_alive(asked_at, now):
            return False
        cold_until = now + self.cold_s(state.server.service)
        state.cold_until = max(state.cold_until, cold_until)
        return True

    def is_current(self, state: TrackedServer) -> bool:
        """Return whether a state is that of the server's present process."""
        return self.states.get(state.server.name) is state

    def unlisted_servers(self) -> dict[str, BackendServer]:
        """Return the servers that were listed lately and aren't any more."""
        return {name: state.server for name, (_, state) in self.unlisted.items()}

    def _unlisted_state(self, name: str) -> TrackedServer | None:
        return self.unlisted[name][1] if name in self.unlisted else None

    def _retain_unlisted(self, listed: Container[str], now: float) -> None:
        for name, state in self.states.items():
            if name not in listed:
                until = max(now + UNLISTED_RETENTION_S, state.paused_until)
                self.unlisted[name] = until, state
        self.unlisted = {
            name: (until, state)
            for name, (until, state) in self.unlisted.items()
            if now < until and name not in listed
        }

    def ejected_servers(self, now: float, max_count: int) -> tuple[str, ...]:
        """Return the servers that this node ejected by its own evidence, latest first.

        A server that is tried again after its ejection is included until it answers.
        """
        found = [
            (state.ejected_until, name)
            for name, state in self.states.items()
            if state.ejections
            and state.ejected_by_own_evidence
            and now < state.ejected_until + REPORT_LIFETIME_S
        ]
        return tuple(name for _, name in sorted(found, reverse=True)[:max_count])

    def record_reports(self, node: str, names: Iterable[str], now: float) -> None:
        """Record the servers that another node ejected."""
        for name in names:
            state = self.states.get(name)
            if state is not None:
                state.record_report(node, now)

    def record_leaving(self, process: ServerProcess, now: float) -> bool:
        """Record that a server states that it leaves; return whether that is new."""
        is_new = self.leaving.record(process, now)
        state = self.states.get(process.name)
        if state is not None and state.server.process == process:
            state.states_leaving = True
        return is_new

    def merge_leaving(self, reports: Iterable[LeavingReport], now: float) -> list[str]:
        """Record another node's reports; return the names of newly leaving servers."""
        found = self.leaving.merge(reports, now)
        for name in found:
            state = self.states.get(name)
            if state is not None:
                state.states_leaving = state.server.process in self.leaving
        return found

    def leaving_reports(self, now: float, max_count: int) -> tuple[LeavingReport, ...]:
        """Return the leaving servers that the list still names as live."""
        if not self.leaving.stated_at:
            return ()
        live = {
            state.server.process
            for state in self.states.values()
            if state.server.state is LifeState.LIVE
        }
        return self.leaving.reports(live, now, max_count)

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
                state.pacer = ColdPacer(self.new_phase())

    def usable(self, service: str) -> list[TrackedServer]:
        """Return the servers of a service to which requests may be sent."""
        return [
            state
            for state in self.by_service.get(service, ())
            if state.server.state is LifeState.LIVE
            and state.server.failure_domain not in self.evacuated
            and not state.states_leaving
        ]


def _restarted(known: BackendServer, listed: BackendServer) -> bool:
    return (
        known.started_ms != listed.started_ms
        or known.address != listed.address
        or known.service != listed.service
    )
