"""Choose the backend server of a request by object affinity and load.

Each object has one preferred server in its region, where it stays warm. What exceeds
the load limit of that server goes to the least loaded of the others.
"""

from collections.abc import Callable, Collection, Mapping
from math import inf

from attrs import frozen
from xxhash import xxh3_64_intdigest

from ebonybend.steering.server_limits import LimitDivision, LimitPart
from ebonybend.steering.server_state import (
    MAX_EJECTED_FRACTION,
    ServerTable,
    TrackedServer,
)
from ebonybend.steering.service_times import SLOW_FACTOR, ServiceTimes
from ebonybend.world.route import Route, ServiceLimits

# Fraction of the latency objective that the estimated answer time may use. The rest
# covers the network delay to the client and errors of the estimate.
ON_TIME_FRACTION = 0.85
# Limits on the load of a server, in running and queued requests per slot: for the most
# urgent routes, for client retries, and for other requests. The lower limits keep the
# wait of urgent requests short during a burst.
URGENT_LOAD_LIMIT = 3.0
RETRY_LOAD_LIMIT = 2.4
LOAD_LIMIT = 1.4
# Upper bound of these limits while the wait in the queue can't be estimated.
UNKNOWN_TIME_LOAD_LIMIT = 1.2
# Slots that less urgent requests leave free where urgent ones would be late if queued.
RESERVED_SLOTS = 1
# Servers in remote regions that are tried when the object's region is full.
MAX_REMOTE_SERVERS = 2
# Bounds of the delay after which a refused client is asked to retry.
MIN_RETRY_AFTER_S = 0.06
MAX_RETRY_AFTER_S = 1.0
# A server that isn't preferred for an object runs it only while its load is below this
# fraction of its slots. The rest is left for its own objects.
IDLE_FRACTION = 0.75
# A server that every node expects to answer too late gets at most one request in this
# time from all of them, on average. Only an answer can correct a wrong estimate.
TRIAL_PERIOD_S = 0.5
# The regions of the nodes of a system of one node.
ONE_NODE = {"": ""}


@frozen(kw_only=True)
class PlacementQuery:
    """The properties of a request that the choice of its server depends on."""

    service: ServiceLimits
    route: Route
    # Key shared by all requests for one object; empty if the request states none.
    object_key: bytes
    # Region to which the object is assigned.
    region: str
    # The most urgent route of the service, or None if it isn't more urgent than this.
    urgent_route: Route | None = None
    # Time for which a retrying client still waits; None for a first attempt.
    retry_remaining_s: float | None = None
    excluded: Collection[str] = ()


def rendezvous_weight(object_key: bytes, name: str) -> int:
    """Return a server's rendezvous-hashing weight for an object; the largest wins."""
    return xxh3_64_intdigest(object_key + b"\0" + name.encode())


class Placement:
    """Choose servers without exceeding the load limit of any."""

    def __init__(
        self,
        table: ServerTable,
        times: ServiceTimes,
        node_count: Callable[[], int] = lambda: 1,
        division: LimitDivision | None = None,
    ):
        self.table = table
        self.times = times
        self.division = division or LimitDivision("", lambda: ONE_NODE)
        # Returns the number of nodes that share the limits.
        self.node_count = node_count

    def choose(self, query: PlacementQuery, now: float) -> TrackedServer | None:
        """Return the server to send the request to, or None if none has capacity.

        A server that is expected to answer too late gets a request on trial now and
        then while it is idle, which is recorded here.
        """
        candidates = self._candidates(query, now)
        local = [s for s in candidates if s.server.region == query.region]
        ordered = self._by_preference(local or candidates, query, now)
        ordered = [s for s in ordered if self._is_within_limit(s, query, now)]
        if ordered and (
            self._has_capacity(ordered[0], query, now)
            or self._begins_trial(ordered[0], query, now)
        ):
            return ordered[0]
        idle = self._least_loaded_idle(ordered[1:], query, now)
        if idle is None and local:
            idle = self._idle_remote(candidates, query, now)
        if idle is not None:
            return idle
        tried = (s for s in ordered[1:] if self._begins_trial(s, query, now))
        return next(tried, None)

    def _idle_remote(
        self, candidates: list[TrackedServer], query: PlacementQuery, now: float
    ) -> TrackedServer | None:
        """Return an idle server of another region, or None."""
        remote = [
            s
            for s in candidates
            if s.server.region != query.region and self._is_within_limit(s, query, now)
        ]
        return self._least_loaded_idle(
            self._by_preference(remote, query, now)[:MAX_REMOTE_SERVERS], query, now
        )

    def retry_after_s(self, query: PlacementQuery, now: float) -> float:
        """Return the estimated seconds until the preferred server has capacity."""
        state = self._preferred(query, now)
        delay_s = 0.0
        if state is None:
            delay_s = self._pause_wait_s(query, now)
        elif not self._is_within_limit(state, query, now):
            delay_s = self._limit_wait_s(query, now)
        else:
            mean_s = state.service_s or query.route.objective_s
            slots = state.server.slots
            excess = state.load(now) + 1 - slots * LOAD_LIMIT
            delay_s = max(excess, 1.0) * mean_s / slots
        return min(max(delay_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def describe(self, query: PlacementQuery, now: float) -> str:
        """Describe the server load that led to a refusal, for the log."""
        text = f"{len(self._candidates(query, now))} usable"
        paused = [s for s in self.table.usable(query.service.name) if s.is_paused(now)]
        if paused:
            text += f", {len(paused)} asked for a pause"
        state = self._preferred(query, now)
        if state is None:
            return text
        part = self._limit_part(state, now)
        if part is not None:
            text += (
                f", preferred one limited to {state.limit.limit:g}/s,"
                f" {part.rate:.1f}/s from here"
            )
        return (
            f"{text}; {state.server.name} {state.load(now):.1f} of {state.server.slots}"
            f" (report {now - state.reported_at:.1f} s old)"
            f", {self._describe_estimate(state, query, now)}"
        )

    def _describe_estimate(
        self, state: TrackedServer, query: PlacementQuery, now: float
    ) -> str:
        expected_s = self.times.expected(query.route.name, state, query.object_key)
        expected_s += state.round_trip_s or 0.0
        return (
            f"expects {expected_s:.2f} s of {_on_time_s(query):.2f} s"
            f" (slowness {state.slowness:.1f}, last answer"
            f" {now - state.answered_at:.1f} s ago)"
        )

    def _preferred(self, query: PlacementQuery, now: float) -> TrackedServer | None:
        """Return the object's preferred server, in its region if that has any."""
        candidates = self._candidates(query, now)
        local = [s for s in candidates if s.server.region == query.region]
        ordered = self._by_preference(local or candidates, query, now)
        return ordered[0] if ordered else None

    def _candidates(self, query: PlacementQuery, now: float) -> list[TrackedServer]:
        home_regions = query.route.home_regions
        usable = [
            state
            for state in self.table.usable(query.service.name)
            if state.server.name not in query.excluded
            and not state.is_paused(now)
            and (not home_regions or state.server.region in home_regions)
            and not (state.is_cold(now) and not self._may_warm_up(state, query, now))
        ]
        return without_ejected(usable, now)

    def _may_warm_up(
        self, state: TrackedServer, query: PlacementQuery, now: float
    ) -> bool:
        return state.pacer.ready(now, query.service.cold_rate, self.node_count())

    def _is_within_limit(
        self, state: TrackedServer, query: PlacementQuery, now: float
    ) -> bool:
        """Return whether this node's part of the server's limit has room.

        Less urgent requests leave one request of a burst to urgent ones.
        """
        part = self._limit_part(state, now)
        if part is None:
            return True
        is_reserved = query.urgent_route is not None and part.burst >= 2.0
        available = state.limit.share.available(now, part.rate, part.burst)
        return available >= (2.0 if is_reserved else 1.0)

    def _limit_part(self, state: TrackedServer, now: float) -> LimitPart | None:
        """Return this node's part of the server's limit; None if it names none."""
        limit = state.limit.in_force(now)
        return self.division.part(state.server, limit) if limit < inf else None

    def record_send(
        self, state: TrackedServer, service: ServiceLimits, now: float
    ) -> None:
        """Record a request to a server; some rates to it are bounded over all nodes."""
        state.sent_at = now
        if state.is_cold(now):
            state.pacer.record_send(now, service.cold_rate, self.node_count())
        part = self._limit_part(state, now)
        if part is not None:
            state.limit.share.take(now, part.rate, part.burst)

    def _limit_wait_s(self, query: PlacementQuery, now: float) -> float:
        """Return the time until a server of the region has room within its limit."""
        waits = [
            state.limit.share.wait_s(now, part.rate, part.burst)
            for state in self.table.usable(query.service.name)
            if state.server.region == query.region
            and (part := self._limit_part(state, now)) is not None
        ]
        return min(waits, default=0.0)

    def _pause_wait_s(self, query: PlacementQuery, now: float) -> float:
        """Return the time until a server that asked for a pause takes requests."""
        waits = [
            state.paused_until - now
            for state in self.table.usable(query.service.name)
            if state.is_paused(now)
        ]
        return min(waits, default=0.0)

    def _by_preference(
        self, states: list[TrackedServer], query: PlacementQuery, now: float
    ) -> list[TrackedServer]:
        """Sort servers by rendezvous weight for sticky routes, otherwise by load."""
        if query.route.sticky and query.object_key:
            key = query.object_key
            return sorted(
                states,
                key=lambda s: rendezvous_weight(key, s.server.name),
                reverse=True,
            )
        return sorted(states, key=lambda s: s.load(now) / s.server.slots)

    def _begins_trial(
        self, state: TrackedServer, query: PlacementQuery, now: float
    ) -> bool:
        """Record and return whether an idle server is tried, however late it seems.

        Every node takes its turn. The most urgent requests, and those whose outcome is
        unknown without an answer, wait for a period more, so that others are tried if
        there are any.
        """
        turns_s = TRIAL_PERIOD_S * max(self.node_count(), 1)
        due_at = max(
            state.sent_at + state.trial_phase * turns_s, state.trial_at + turns_s
        )
        waits = (query.urgent_route is None) + (not query.route.idempotent)
        if now < due_at + waits * TRIAL_PERIOD_S or not _is_idle(state, now):
            return False
        state.trial_at = now
        return True

    def _has_capacity(
        self, state: TrackedServer, query: PlacementQuery, now: float
    ) -> bool:
        load, slots = state.load(now), state.server.slots
        expected_s = self.times.expected(query.route.name, state, query.object_key)
        round_trip_s = state.round_trip_s or 0.0
        on_time_s = _on_time_s(query)
        if load < min(slots, self._load_limit(state, query)):
            # The request starts at once; a slow server has to answer on time too.
            return (
                state.slowness < SLOW_FACTOR or round_trip_s + expected_s <= on_time_s
            )
        if load >= self._load_limit(state, query):
            return False
        if state.service_s is None or not expected_s:
            # The wait can't be estimated yet, and cold servers are slow at first.
            return load < slots * UNKNOWN_TIME_LOAD_LIMIT
        mean_s = state.service_s
        wait_s = (load + 1 - slots) * mean_s / slots
        return round_trip_s + wait_s + expected_s <= on_time_s

    def _load_limit(self, state: TrackedServer, query: PlacementQuery) -> float:
        """Return the load below which a server accepts the request."""
        slots = state.server.slots
        urgent = query.urgent_route
        if urgent is None:
            return slots * URGENT_LOAD_LIMIT
        multiple = LOAD_LIMIT if query.retry_remaining_s is None else RETRY_LOAD_LIMIT
        urgent_s = self.times.warm_time_s(urgent.name) * state.slowness
        mean_s = state.service_s or 0.0
        if not urgent_s or not mean_s:
            return slots * multiple
        # Keep the queue short enough for an urgent request to be on time.
        spare_s = (
            urgent.objective_s * ON_TIME_FRACTION
            - urgent_s
            - (state.round_trip_s or 0.0)
        )
        queue_length = spare_s * slots / mean_s
        return min(max(slots + queue_length, slots - RESERVED_SLOTS), slots * multiple)

    def _least_loaded_idle(
        self, states: list[TrackedServer], query: PlacementQuery, now: float
    ) -> TrackedServer | None:
        """Return the least loaded of the servers with free slots that answer on time.

        The object is cold there, so a late answer would also hold a slot for the time
        of several requests to warm objects.
        """
        on_time_s = query.route.objective_s * ON_TIME_FRACTION
        idle = [
            s
            for s in states
            if _is_idle(s, now)
            and (s.round_trip_s or 0.0)
            + self.times.expected(query.route.name, s, query.object_key)
            <= on_time_s
        ]
        return min(idle, key=lambda s: s.load(now) / s.server.slots, default=None)


def _is_idle(state: TrackedServer, now: float) -> bool:
    return state.load(now) < state.server.slots * IDLE_FRACTION


def _on_time_s(query: PlacementQuery) -> float:
    """Return the time that an answer may be estimated to take."""
    allowed_s = query.retry_remaining_s or query.route.objective_s
    return allowed_s * ON_TIME_FRACTION


def without_ejected(states: list[TrackedServer], now: float) -> list[TrackedServer]:
    """Filter out ejected servers, up to MAX_EJECTED_FRACTION of a region's servers.

    All unreachable servers are filtered out first, unless none would remain.
    """
    states = [s for s in states if not s.is_unreachable(now)] or states
    by_region: dict[str, list[TrackedServer]] = {}
    for state in states:
        by_region.setdefault(state.server.region, []).append(state)
    remaining: list[TrackedServer] = []
    for group in by_region.values():
        healthy = [state for state in group if not state.is_ejected(now)]
        max_ejected = len(group) * MAX_EJECTED_FRACTION
        if len(group) - len(healthy) > max_ejected:
            # So many failures at once point to the network, not to the servers.
            ejected = [state for state in group if state.is_ejected(now)]
            ejected.sort(key=lambda state: state.ejected_until)
            healthy += ejected[: len(group) - int(max_ejected) - len(healthy)]
        remaining += healthy
    return remaining


def capacity_by_region(
    table: ServerTable, service: str, now: float
) -> dict[str, float]:
    """Return a service's capacity by region, in slots of servers of average speed."""
    capacity: dict[str, float] = {}
    for state in without_ejected(table.usable(service), now):
        slots = state.server.slots / max(state.slowness, 1.0)
        if state.service_s:
            slots = min(slots, state.limit.in_force(now) * state.service_s)
        region = state.server.region
        capacity[region] = capacity.get(region, 0.0) + slots
    return capacity


def usable_slots(table: ServerTable, service: str, region: str, now: float) -> int:
    """Return the number of a service's usable slots in a region."""
    states = without_ejected(table.usable(service), now)
    return sum(s.server.slots for s in states if s.server.region == region)


def limits_of(services: Mapping[str, ServiceLimits], name: str) -> ServiceLimits:
    """Return a service's limits, all zero if none are configured."""
    return services.get(name) or ServiceLimits(name, 0, 0.0, 0.0)
