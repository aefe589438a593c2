"""Choose a backend server within a failure domain, and a domain for a request."""

from collections.abc import Collection
from random import Random

from attrs import field, frozen

from ebonybend.clock import Clock
from ebonybend.steering.admission import Admission
from ebonybend.steering.freshness import FRESH_MS, age_weight, remote_window_factor
from ebonybend.steering.table import ServerView
from ebonybend.steering.weights import EQUAL_SHARE

# Weight of a new latency in the moving average; about the last ten requests count.
LATENCY_GAIN = 0.2
# Few answers take longer than the average plus this many mean deviations.
TAIL_DEVIATIONS = 2.0
# Latency that is assumed while no candidate has been measured.
DEFAULT_LATENCY_S = 0.02
# Factor on the latency of a full server when only headroom has weight. A larger one
# would hide the weights of a contract that favours latency.
UTILISATION_FACTOR = 4.0
# Servers with scores within this factor of the best are picked from at random, so that
# the entries of a domain don't all choose the same server.
TIE_FACTOR = 1.05

# A domain with an older view is chosen only when no other domain is usable.
LAST_RESORT_AGE_MS = 15_000.0
# Latency that counts as 1 in the score of a domain.
LATENCY_UNIT_MS = 100.0
INITIAL_WINDOW = 4.0
MIN_WINDOW = 1.0
MAX_WINDOW = 1000.0
# A burst of refusals halves the window once. Refusals arrive a round trip after
# sending, which is up to 110 ms between regions.
WINDOW_CUT_INTERVAL_S = 0.2
# Time for which a domain that left a request unanswered is the last resort for requests
# that can't be sent again. An answer to any request ends it earlier.
UNANSWERED_S = 5.0


@frozen
class ServerScore:
    """Why a backend server was or was not chosen; the lowest score is best."""

    server: str
    score: float
    in_flight: int
    limit: int
    latency_ms: float
    failures: float
    # Weight of the server's measurements by their age, 0 to 1.
    weight: float
    free: bool


class ServerChooser:
    """Chooses the backend server with the shortest expected wait."""

    def __init__(self, admission: Admission, clock: Clock, random: Random):
        self.admission = admission
        self.clock = clock
        self.random = random
        # Moving average of the latency in seconds, by server.
        self.latencies: dict[str, float] = {}
        # Moving average of the absolute difference from that average.
        self.deviations: dict[str, float] = {}
        # Time of the last measurement.
        self.measured_at: dict[str, float] = {}

    def record_latency(self, server: str, latency_s: float) -> None:
        """Add the latency of an answer to a server's averages."""
        average_s = self.latencies.setdefault(server, latency_s)
        deviation = self.deviations.setdefault(server, 0.0)
        change = latency_s - average_s
        self.latencies[server] = average_s + LATENCY_GAIN * change
        self.deviations[server] = deviation + LATENCY_GAIN * (abs(change) - deviation)
        self.measured_at[server] = self.clock.monotonic()

    def latency_ms(self, server: str) -> float:
        """Return the average latency of a server, 0 if it was not measured."""
        return self.latencies.get(server, 0.0) * 1000

    def recent_latency_ms(self, server: str) -> float:
        """Return the average latency, which fades while no answer updates it.

        Otherwise a server that was slow once might never get the request that shows
        that it isn't slow any more.
        """
        measured_at = self.measured_at.get(server)
        if measured_at is None:
            return 0.0
        return self.latency_ms(server) * age_weight(self._age_ms(measured_at))

    def tail_latency_s(self, server: str) -> float:
        """Return the latency that few answers exceed, 0 if the last one is stale."""
        measured_at = self.measured_at.get(server)
        # A stale latency must not block the requests that would measure a new one.
        if measured_at is None or self._age_ms(measured_at) > FRESH_MS:
            return 0.0
        return self.latencies[server] + TAIL_DEVIATIONS * self.deviations[server]

    def _age_ms(self, measured_at: float) -> float:
        return (self.clock.monotonic() - measured_at) * 1000

    def choose(
        self,
        candidates: tuple[ServerView, ...],
        exclude: Collection[str] = (),
        headroom_share: float = EQUAL_SHARE,
    ) -> ServerView | None:
        """Return a server with a free slot, or None if there is none.

        Headroom's share of the contract's weights, 0 to 1, decides between a fast
        server and an idle one.
        """
        free = self._with_free_slots(candidates, exclude)
        if not free:
            return None
        scored = self._score(free, headroom_share)
        max_score = min(scored)[0] * TIE_FACTOR
        tied = [index for score, index in scored if score <= max_score]
        chosen = tied[0]
        if len(tied) > 1:
            chosen = tied[int(self.random.random() * len(tied))]
        return free[chosen][0]

    def explain(
        self,
        candidates: tuple[ServerView, ...],
        headroom_share: float = EQUAL_SHARE,
    ) -> tuple[ServerScore, ...]:
        """Return the scores of all candidates, best first."""
        ledger = self.admission.ledger
        entries = [
            (server, ledger.in_flight(server.name), self.admission.limit(server.name))
            for server in candidates
        ]
        weights = self._weights(entries)
        scores = [
            ServerScore(
                server=entries[index][0].name,
                score=score,
                in_flight=entries[index][1],
                limit=entries[index][2],
                latency_ms=self.latency_ms(entries[index][0].name),
                failures=self.admission.failures(entries[index][0].name),
                weight=weights[index],
                free=entries[index][1] < entries[index][2],
            )
            for score, index in self._score(entries, headroom_share)
        ]
        return tuple(sorted(scores, key=lambda s: (not s.free, s.score)))

    def _with_free_slots(
        self, candidates: tuple[ServerView, ...], exclude: Collection[str]
    ) -> list[tuple[ServerView, int, int]]:
        """Return the candidates with a free slot, their in-flight count and limit."""
        limit_of = self.admission.limit
        in_flight_of = self.admission.ledger.in_flight
        found = []
        for server in candidates:
            name = server.name
            if name in exclude:
                continue
            limit = limit_of(name)
            if limit == 0:
                continue
            in_flight = in_flight_of(name)
            if in_flight < limit:
                found.append((server, in_flight, limit))
        return found

    def _score(
        self, entries: list[tuple[ServerView, int, int]], headroom_share: float
    ) -> list[tuple[float, int]]:
        """Return the score and position of each entry."""
        latencies = self.latencies
        measured = [
            latencies[entry[0].name] for entry in entries if entry[0].name in latencies
        ]
        # An unmeasured server is scored as the fastest, so that it receives requests.
        fastest = min(measured, default=DEFAULT_LATENCY_S)
        now = self.clock.monotonic()
        weights = self._weights(entries)
        failures_of = self.admission.failures
        scored = []
        for index, (server, in_flight, limit) in enumerate(entries):
            name = server.name
            utilisation_factor = UTILISATION_FACTOR * in_flight / (limit or 1)
            score = self._expected_latency_s(name, fastest, now)
            score *= 1 + headroom_share * (utilisation_factor - 1)
            if server.reported_in_flight and server.slots:
                load = server.reported_in_flight / server.slots
                load *= age_weight(server.reported_age_ms)
                score *= 1 + 2 * headroom_share * load
            score *= 1 + failures_of(name)
            scored.append((score / weights[index], index))
        return scored

    def _expected_latency_s(self, server: str, fastest: float, now: float) -> float:
        """Return the average latency, which approaches the fastest one with age."""
        measured_at = self.measured_at.get(server)
        if measured_at is None:
            return fastest
        weight = age_weight((now - measured_at) * 1000)
        return fastest + weight * (self.latencies[server] - fastest)

    def _weights(self, entries: list[tuple[ServerView, int, int]]) -> list[float]:
        """Return the weight of each server by the age of its measurements."""
        ages_ms = [entry[0].reported_age_ms for entry in entries]
        if max(ages_ms, default=0.0) <= FRESH_MS:
            return [1.0] * len(entries)
        now = self.clock.monotonic()
        weights = [self._weight(entry[0], now) for entry in entries]
        # If the measurements of all servers are stale, the fault is in this process.
        if max(weights) < 1.0:
            return [1.0] * len(entries)
        return weights

    def _weight(self, server: ServerView, now: float) -> float:
        measured_at = self.measured_at.get(server.name)
        if measured_at is None:
            return age_weight(server.reported_age_ms)
        own_age_ms = (now - measured_at) * 1000
        return age_weight(min(server.reported_age_ms, own_age_ms))


@frozen
class DomainOption:
    """A failure domain that serves a service, as last reported."""

    domain: str
    one_way_latency_ms: float
    service_latency_ms: float
    slots: int
    in_flight: int
    # Utilisation of the link to the domain's region, 0 to 1; 0 in the local region.
    link_utilisation: float = 0.0
    age_ms: float = 0.0


@frozen
class DomainQuery:
    """A request's service, the domains to choose from and the weights of the scores."""

    service: str
    own_domain: str
    options: tuple[DomainOption, ...]
    latency_weight: float
    headroom_weight: float
    table_age_ms: float = 0.0
    exclude: frozenset[str] = field(default=frozenset())


@frozen
class DomainScore:
    """Why a failure domain was or was not chosen; the lowest score is best."""

    domain: str
    score: float
    latency_part: float
    headroom_part: float
    age_ms: float
    in_flight: int
    # Maximum number of this entry's requests in flight there; 0 for no limit.
    window: int
    usable: bool
    # Why it is not usable, or an empty string.
    reason: str = ""


class DomainWindow:
    """An entry's requests in flight in another domain, and the limit on them."""

    __slots__ = ("size", "in_flight", "cut_at")

    def __init__(self):
        self.size = INITIAL_WINDOW
        self.in_flight = 0
        self.cut_at = float("-inf")


class DomainChooser:
    """Chooses the failure domain that answers a request."""

    def __init__(self, clock: Clock, random: Random):
        self.clock = clock
        self.random = random
        self.windows: dict[tuple[str, str], DomainWindow] = {}
        # Time of the last unanswered request, by domain, unless one was answered since.
        self.unanswered_at: dict[str, float] = {}

    def choose(self, query: DomainQuery, idempotent: bool = True) -> DomainScore | None:
        """Return the best usable domain for a request, or None if there is none."""
        usable = [s for s in self._scores(query) if s.usable]
        if not usable:
            return None
        if not idempotent:
            usable = [s for s in usable if not self._is_doubtful(s.domain)] or usable
        return min(usable, key=lambda s: self._sort_key(query, s))

    def record_unanswered(self, domain: str) -> None:
        """Record that a domain's entry left a request unanswered."""
        self.unanswered_at[domain] = self.clock.monotonic()

    def record_answer(self, domain: str) -> None:
        """Record that a domain's entry answered a request."""
        self.unanswered_at.pop(domain, None)

    def _is_doubtful(self, domain: str) -> bool:
        at = self.unanswered_at.get(domain)
        return at is not None and self.clock.monotonic() - at < UNANSWERED_S

    def explain(self, query: DomainQuery) -> tuple[DomainScore, ...]:
        """Return the scores of all domains, best first."""
        scores = self._scores(query)
        return tuple(sorted(scores, key=lambda s: self._sort_key(query, s)))

    def record_request_start(self, domain: str, service: str) -> None:
        """Add a request to those in flight in a domain."""
        self._window(domain, service).in_flight += 1

    def record_request_end(self, domain: str, service: str) -> None:
        """Remove an ended request from those in flight in a domain."""
        self._window(domain, service).in_flight -= 1

    def record_admission(self, domain: str, service: str) -> None:
        """Grow the window, by one for each full window of admitted requests."""
        window = self._window(domain, service)
        window.size = min(window.size + 1 / window.size, MAX_WINDOW)

    def record_refusal(self, domain: str, service: str) -> None:
        """Halve the window, once per burst of refusals."""
        window = self._window(domain, service)
        now = self.clock.monotonic()
        if now - window.cut_at < WINDOW_CUT_INTERVAL_S:
            return
        window.size = max(window.size / 2, MIN_WINDOW)
        window.cut_at = now

    def window(self, domain: str, service: str, table_age_ms: float = 0.0) -> int:
        """Return the maximum number of requests in flight in another domain."""
        size = self._window(domain, service).size
        return max(1, int(size * remote_window_factor(table_age_ms)))

    def _window(self, domain: str, service: str) -> DomainWindow:
        key = (domain, service)
        window = self.windows.get(key)
        if window is None:
            window = DomainWindow()
            self.windows[key] = window
        return window

    def _sort_key(self, query: DomainQuery, score: DomainScore) -> tuple:
        """Return a sort key: usable, not too old, score, local domain, then random."""
        return (
            not score.usable,
            score.age_ms > LAST_RESORT_AGE_MS,
            score.score,
            score.domain != query.own_domain,
            self.random.random(),
        )

    def _scores(self, query: DomainQuery) -> list[DomainScore]:
        return [self._score(query, option) for option in query.options]

    def _score(self, query: DomainQuery, option: DomainOption) -> DomainScore:
        remote = option.domain != query.own_domain
        window_state = self._window(option.domain, query.service)
        window = 0
        if remote:
            window = self.window(option.domain, query.service, query.table_age_ms)
        reason = self._unusable_reason(query, option, window_state.in_flight, window)
        latency_ms = 2 * option.one_way_latency_ms + option.service_latency_ms
        latency_part = query.latency_weight * latency_ms / LATENCY_UNIT_MS
        # The view may not include this entry's own requests yet.
        estimated_in_flight = max(option.in_flight, window_state.in_flight)
        utilisation = estimated_in_flight / option.slots if option.slots else 1.0
        load = utilisation**2 + option.link_utilisation**2
        headroom_part = query.headroom_weight * load
        return DomainScore(
            domain=option.domain,
            score=(latency_part + headroom_part) / age_weight(option.age_ms),
            latency_part=latency_part,
            headroom_part=headroom_part,
            age_ms=option.age_ms,
            in_flight=window_state.in_flight,
            window=window,
            usable=not reason,
            reason=reason,
        )

    def _unusable_reason(
        self, query: DomainQuery, option: DomainOption, in_flight: int, window: int
    ) -> str:
        """Return why a domain can't be used, or an empty string."""
        if option.domain in query.exclude:
            return "excluded"
        if option.slots == 0:
            return "no slots"
        if not window:
            return ""
        if in_flight >= window:
            return "window full"
        if option.in_flight >= option.slots and option.age_ms <= FRESH_MS:
            return "domain full"
        return ""
