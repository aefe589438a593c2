"""Choose the backend server of a request: warm objects first, within bounds."""

from collections.abc import Collection, Iterable, Mapping

from attrs import frozen
from xxhash import xxh3_64_intdigest

from ebonybend.steering.server_state import (
    MOST_EJECTED_SHARE,
    ServerState,
    ServerTable,
)
from ebonybend.world.route import RoutedService

# Requests that may be on a server, running and waiting, before another place is
# looked for, as a multiple of its slots.
FULL_AT = 1.5


@frozen(kw_only=True)
class PlacementQuery:
    """What the choice depends on."""

    service: RoutedService
    # Requests of one object have one key; empty if none is stated.
    object_key: bytes
    home_regions: Collection[str] = ()
    excluded: Collection[str] = ()
    # Number of nodes that share the bounds.
    nodes: int = 1


def rank(object_key: bytes, name: str) -> int:
    """Return the weight of a server for an object; the largest is its place."""
    return xxh3_64_intdigest(object_key + b"\0" + name.encode())


class Placement:
    """Choose servers for the requests that arrive in one region."""

    def __init__(self, table: ServerTable, region: str):
        self.table = table
        self.region = region

    def choose(self, query: PlacementQuery, now: float) -> ServerState | None:
        """Return the server that takes the request, or None if none has room."""
        candidates = self._candidates(query, now)
        own = [s for s in candidates if s.server.region == self.region]
        for group in (own, [s for s in candidates if s.server.region != self.region]):
            found = self._first_with_room(group, query, now)
            if found is not None:
                return found
        return None

    def _candidates(self, query: PlacementQuery, now: float) -> list[ServerState]:
        usable = [
            state
            for state in self.table.usable(query.service.name)
            if state.server.name not in query.excluded
            and (not query.home_regions or state.server.region in query.home_regions)
        ]
        return _without_ejected(usable, now)

    def _first_with_room(
        self, group: Iterable[ServerState], query: PlacementQuery, now: float
    ) -> ServerState | None:
        """Return the object's first place that has room."""
        key = query.object_key
        ordered = sorted(group, key=lambda s: rank(key, s.server.name), reverse=True)
        for state in ordered:
            if state.is_cold(now) and not state.pacer.ready(now):
                continue
            if state.load(now) < state.server.slots * FULL_AT:
                return state
        return None


def _without_ejected(states: list[ServerState], now: float) -> list[ServerState]:
    """Leave ejected servers out, unless too many of a region's would be."""
    by_region: dict[str, list[ServerState]] = {}
    for state in states:
        by_region.setdefault(state.server.region, []).append(state)
    kept: list[ServerState] = []
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


def service_of(services: Mapping[str, RoutedService], name: str) -> RoutedService:
    """Return a service's bounds; a service without any has no cold rate."""
    return services.get(name) or RoutedService(name, 0, 0.0, 0.0)
