"""A simulation of uneven backend servers, to compare load-balancing policies."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Protocol

from attrs import define, evolve, field, frozen

from ebonybend.clock import ManualClock
from ebonybend.steering.admission import Admission, ServerResult
from ebonybend.steering.choice import ServerChooser
from ebonybend.steering.slots import SlotLedger
from ebonybend.steering.table import ServerView
from ebonybend.world import ServerState

SERVERS = 12
SLOTS = 4
# Factors on the service time; the slowest server takes three times the fastest's time.
TIME_FACTORS = tuple(1.0 + 2.0 * server / (SERVERS - 1) for server in range(SERVERS))
BASE_S = 0.02
# Fraction by which a request takes longer on a server whose slots are all in use.
CONTENTION = 0.5
COLD_SERVER = 0
COLD_FACTOR = 4.0
COLD_S = 5.0
REPORT_LAG_S = 1.0
DURATION_S = 60.0
# Requests per second, about half of the capacity of the servers.
ARRIVAL_RATE = 500.0
LEDGER_SETTLE_S = 10.0


class Policy(Protocol):
    """A load-balancing policy."""

    def choose(self, model: "Model") -> int | None:
        """Return the index of a server with a free slot, or None."""
        ...

    def record_end(self, server: int, latency_s: float) -> None:
        """Record the end of a request."""
        ...


@frozen
class ModelResult:
    """The latencies, refusals and balance that a policy achieved."""

    latencies_ms: list[float]
    refused: int
    # Highest busy time of a server, relative to the mean of all servers.
    imbalance: float

    def percentile(self, fraction: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


@define
class Model:
    """Servers with slots that one entry owns, and requests that arrive at random."""

    clock: ManualClock
    random: Random
    in_flight: list[int] = field(factory=lambda: [0] * SERVERS)
    # Last reported in-flight counts; a report arrives after REPORT_LAG_S.
    reported: list[int] = field(factory=lambda: [0] * SERVERS)
    busy_s: list[float] = field(factory=lambda: [0.0] * SERVERS)

    def free_servers(self) -> list[int]:
        """Return the indexes of the servers with a free slot."""
        return [x for x in range(SERVERS) if self.in_flight[x] < SLOTS]

    def service_s(self, server: int, now: float) -> float:
        """Return a random service time for a request that starts now."""
        duration_s = BASE_S * TIME_FACTORS[server] * self.random.uniform(0.7, 1.3)
        if server == COLD_SERVER and now < COLD_S:
            duration_s *= COLD_FACTOR
        return duration_s * (1 + CONTENTION * self.in_flight[server] / SLOTS)


class RoundRobin:
    """Choose the next server with a free slot in rotation."""

    def __init__(self) -> None:
        self.last = 0

    def choose(self, model: Model) -> int | None:
        """Return the next server that has a free slot."""
        for step in range(1, SERVERS + 1):
            server = (self.last + step) % SERVERS
            if model.in_flight[server] < SLOTS:
                self.last = server
                return server
        return None

    def record_end(self, server: int, latency_s: float) -> None:
        """Ignore the end; the policy needs no latencies."""


class TwoRandomChoices:
    """Choose the less loaded of two random servers, by own and reported counts."""

    def choose(self, model: Model) -> int | None:
        """Return the less loaded of two servers with a free slot."""
        free = model.free_servers()
        if not free:
            return None
        pair = model.random.sample(free, min(2, len(free)))
        return min(pair, key=lambda x: model.in_flight[x] + model.reported[x])

    def record_end(self, server: int, latency_s: float) -> None:
        """Ignore the end; the policy needs no latencies."""


class EntryPolicy:
    """Choose a server as the entry process does."""

    def __init__(self, clock: ManualClock, random: Random, headroom_share: float):
        self.clock = clock
        self.headroom_share = headroom_share
        ledger = SlotLedger("entry", 1, clock, 2.0, 5.0)
        ledger.set_roster(["entry"])
        ledger.set_servers({str(x): SLOTS for x in range(SERVERS)})
        clock.advance(LEDGER_SETTLE_S)
        ledger.tick()
        self.ledger = ledger
        self.admission = Admission(ledger, clock)
        self.chooser = ServerChooser(self.admission, clock, random)
        self.views = tuple(
            ServerView(str(x), "service", "", SLOTS, 300, ServerState.READY)
            for x in range(SERVERS)
        )

    def choose(self, model: Model) -> int | None:
        """Return the entry's choice and acquire a slot there."""
        self.ledger.tick()
        views = tuple(
            evolve(view, reported_in_flight=count, reported_age_ms=REPORT_LAG_S * 1e3)
            for view, count in zip(self.views, model.reported, strict=True)
        )
        view = self.chooser.choose(views, (), self.headroom_share)
        if view is None or not self.admission.acquire(view.name):
            return None
        return int(view.name)

    def record_end(self, server: int, latency_s: float) -> None:
        """Release the slot and record the latency."""
        name = str(server)
        self.admission.release(name, ServerResult.SUCCESS, latency_s)
        self.chooser.record_latency(name, latency_s)


@define(order=True)
class _Event:
    at: float
    sequence: int
    # The server whose request ends, or None for the arrival of a load report.
    server: int | None
    started_at: float = field(order=False, default=0.0)
    counts: list[int] | None = field(order=False, default=None)


def run_model(
    make_policy: Callable[[ManualClock, Random], Policy],
    seed: int,
    arrival_rate: float = ARRIVAL_RATE,
) -> ModelResult:
    """Simulate random arrivals under one policy."""
    clock = ManualClock()
    random = Random(seed)
    policy = make_policy(clock, Random(seed + 1))
    model = Model(clock, random)
    origin = clock.monotonic()
    events: list[_Event] = []
    latencies: list[float] = []
    refused = 0
    sequence = 0
    now = random.expovariate(arrival_rate)
    next_report = 0.0
    while now < DURATION_S:
        while next_report <= now:
            sequence += 1
            lagged = _Event(
                next_report + REPORT_LAG_S, sequence, None, counts=list(model.in_flight)
            )
            heappush(events, lagged)
            next_report += 0.5
        while events and events[0].at <= now:
            _process_event(model, policy, heappop(events), origin, latencies)
        clock.now = origin + now
        server = policy.choose(model)
        if server is None:
            refused += 1
        else:
            duration_s = model.service_s(server, now)
            model.in_flight[server] += 1
            model.busy_s[server] += duration_s
            sequence += 1
            heappush(events, _Event(now + duration_s, sequence, server, now))
        now += random.expovariate(arrival_rate)
    busy = model.busy_s
    return ModelResult(latencies, refused, max(busy) / (sum(busy) / SERVERS))


def _process_event(
    model: Model, policy: Policy, event: _Event, origin: float, latencies: list[float]
) -> None:
    if event.server is None:
        model.reported = event.counts
        return
    model.clock.now = origin + event.at
    model.in_flight[event.server] -= 1
    latency_s = event.at - event.started_at
    latencies.append(latency_s * 1000)
    policy.record_end(event.server, latency_s)
