"""Choose the backend server of a request: warm objects first, within bounds."""

from collections.abc import Collection, Mapping

from attrs import frozen
from xxhash import xxh3_64_intdigest

from ebonybend.steering.server_state import (
    MOST_EJECTED_SHARE,
    ServerTable,
    TrackedServer,
)
from ebonybend.steering.service_times import SLOW, ServiceTimes
from ebonybend.world.route import Route, ServiceLimits

# Places of an object in its region; more would keep it cold in each of them.
PLACES = 2
# Part of the objective within which an answer is expected; the rest covers the way to
# the caller and what the estimate misses.
ON_TIME_PART = 0.85
# Requests on a server, running and waiting, as a multiple of its slots: of the most
# urgent routes, of callers that come back, and of the others, so that a burst leaves
# the urgent ones a short wait.
URGENT_FULL_AT = 3.0
RETURNED_FULL_AT = 2.4
FULL_AT = 1.4
# The same while no answer has told how long requests take.
UNKNOWN_FULL_AT = 1.2
# Slots that less urgent requests leave free where urgent ones can't wait.
RESERVED_SLOTS = 1
# Servers of other regions that are considered when the object's region is full.
FAR_PLACES = 2
# Bounds of the time after which a refused caller is asked to come back.
LEAST_PAUSE_S = 0.06
MOST_PAUSE_S = 1.0
# A server outside an object's places takes it only below this part of its slots.
IDLE_PART = 0.5


@frozen(kw_only=True)
class PlacementQuery:
    """What the choice depends on."""

    service: ServiceLimits
    route: Route
    # Requests of one object have one key; empty if none is stated.
    object_key: bytes
    # Region that takes the object.
    region: str
    # The most urgent route of the service, if it is more urgent than this one.
    urgent_route: Route | None = None
    # Time that is left to the caller, if it comes back after a refusal; None if it
    # asks for the first time.
    retry_remaining_s: float | None = None
    excluded: Collection[str] = ()


def rank(object_key: bytes, name: str) -> int:
    """Return the weight of a server for an object; the largest is its place."""
    return xxh3_64_intdigest(object_key + b"\0" + name.encode())


class Placement:
    """Choose servers within the bounds of each."""

    def __init__(self, table: ServerTable, times: ServiceTimes):
        self.table = table
        self.times = times

    def choose(self, query: PlacementQuery, now: float) -> TrackedServer | None:
        """Return the server that takes the request, or None if none has room."""
        candidates = self._candidates(query, now)
        near = [s for s in candidates if s.server.region == query.region]
        ordered = self._ordered(near or candidates, query, now)
        places = ordered[:PLACES]
        for state in places:
            if self._has_room(state, query, now):
                return state
        idle = self._idle(ordered[PLACES:], query, now)
        if idle is not None or not near:
            return idle
        far = [s for s in candidates if s.server.region != query.region]
        return self._idle(self._ordered(far, query, now)[:FAR_PLACES], query, now)

    def retry_after_s(self, query: PlacementQuery, now: float) -> float:
        """Return the time after which a place of the object has room again."""
        pauses = []
        for state in self._places(query, now):
            mean = state.service_s or query.route.objective_s
            slots = state.server.slots
            over = state.load(now) + 1 - slots * FULL_AT
            pauses.append(max(over, 1.0) * mean / slots)
        return min(max(min(pauses, default=0.0), LEAST_PAUSE_S), MOST_PAUSE_S)

    def describe(self, query: PlacementQuery, now: float) -> str:
        """Return the loads that decided a refusal, for the log."""
        loads = [
            f"{state.server.name} {state.load(now):.1f} of {state.server.slots}"
            f" (report {now - state.reported_at:.1f} s old)"
            for state in self._places(query, now)
        ]
        return f"{len(self._candidates(query, now))} usable; " + ", ".join(loads)

    def _places(self, query: PlacementQuery, now: float) -> list[TrackedServer]:
        """Return the object's places in its region, or anywhere if it has no server."""
        candidates = self._candidates(query, now)
        near = [s for s in candidates if s.server.region == query.region]
        return self._ordered(near or candidates, query, now)[:PLACES]

    def _candidates(self, query: PlacementQuery, now: float) -> list[TrackedServer]:
        homes = query.route.home_regions
        usable = [
            state
            for state in self.table.usable(query.service.name)
            if state.server.name not in query.excluded
            and (not homes or state.server.region in homes)
            and not (state.is_cold(now) and not state.pacer.ready(now))
        ]
        return without_ejected(usable, now)

    def _ordered(
        self, states: list[TrackedServer], query: PlacementQuery, now: float
    ) -> list[TrackedServer]:
        """Return the servers in the order of preference."""
        if query.route.sticky and query.object_key:
            key = query.object_key
            return sorted(states, key=lambda s: rank(key, s.server.name), reverse=True)
        return sorted(states, key=lambda s: s.load(now) / s.server.slots)

    def _has_room(
        self, state: TrackedServer, query: PlacementQuery, now: float
    ) -> bool:
        load, slots = state.load(now), state.server.slots
        expected = self.times.expected(query.route.name, state, query.object_key)
        way = state.round_trip_s or 0.0
        within = query.retry_remaining_s or query.route.objective_s
        on_time = within * ON_TIME_PART
        if load < min(slots, self._most(state, query)):
            # It starts at once; a slow server is used only while it is on time.
            return state.slowness < SLOW or way + expected <= on_time
        if load >= self._most(state, query):
            return False
        if state.service_s is None or not expected:
            # Nothing is known of the wait yet, and cold servers are slow at first.
            return load < slots * UNKNOWN_FULL_AT
        mean = state.service_s
        wait = (load + 1 - slots) * mean / slots
        return way + wait + expected <= on_time

    def _most(self, state: TrackedServer, query: PlacementQuery) -> float:
        """Return the load up to which a server takes a request."""
        slots = state.server.slots
        urgent = query.urgent_route
        if urgent is None:
            return slots * URGENT_FULL_AT
        part = FULL_AT if query.retry_remaining_s is None else RETURNED_FULL_AT
        needed = self.times.warm_time(urgent.name) * state.slowness
        mean = state.service_s or 0.0
        if not needed or not mean:
            return slots * part
        # A less urgent request leaves a queue in which an urgent one is on time.
        spare = urgent.objective_s * ON_TIME_PART - needed - (state.round_trip_s or 0.0)
        queue = spare * slots / mean
        return min(max(slots + queue, slots - RESERVED_SLOTS), slots * part)

    def _idle(
        self, states: list[TrackedServer], query: PlacementQuery, now: float
    ) -> TrackedServer | None:
        """Return the least loaded server that is nearly idle, if it is on time.

        The object is cold there, so a late answer would also cost the others a slot
        for the time of several warm ones.
        """
        on_time = query.route.objective_s * ON_TIME_PART
        idle = [
            s
            for s in states
            if s.load(now) < s.server.slots * IDLE_PART
            and (s.round_trip_s or 0.0)
            + self.times.expected(query.route.name, s, query.object_key)
            <= on_time
        ]
        return min(idle, key=lambda s: s.load(now) / s.server.slots, default=None)


def without_ejected(states: list[TrackedServer], now: float) -> list[TrackedServer]:
    """Leave ejected servers out, unless too many of a region's would be.

    All servers of a region may be out of reach, if there are others.
    """
    states = [s for s in states if not s.is_unreachable(now)] or states
    by_region: dict[str, list[TrackedServer]] = {}
    for state in states:
        by_region.setdefault(state.server.region, []).append(state)
    kept: list[TrackedServer] = []
    for group in by_region.values():
        healthy = [state for state in group if not state.is_ejected(now)]
        most = len(group) * MOST_EJECTED_SHARE
        if len(group) - len(healthy) > most:
            # So many failures at once say more of the network than of the servers.
            ejected = [state for state in group if state.is_ejected(now)]
            ejected.sort(key=lambda state: state.ejected_until)
            healthy += ejected[: len(group) - int(most) - len(healthy)]
        kept += healthy
    return kept


def capacity_by_region(
    table: ServerTable, service: str, now: float
) -> dict[str, float]:
    """Return the room of a service by region, in slots of servers of common speed."""
    capacity: dict[str, float] = {}
    for state in without_ejected(table.usable(service), now):
        slots = state.server.slots / max(state.slowness, 1.0)
        region = state.server.region
        capacity[region] = capacity.get(region, 0.0) + slots
    return capacity


def slots_in(table: ServerTable, service: str, region: str, now: float) -> int:
    """Return the slots of a service that can be used in a region."""
    states = without_ejected(table.usable(service), now)
    return sum(s.server.slots for s in states if s.server.region == region)


def limits_of(services: Mapping[str, ServiceLimits], name: str) -> ServiceLimits:
    """Return a service's bounds; a service without any has no cold rate."""
    return services.get(name) or ServiceLimits(name, 0, 0.0, 0.0)
