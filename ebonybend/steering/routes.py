"""Find the route of a request, and the service that runs it."""

from collections.abc import Iterable

from attrs import define, field

from ebonybend.world.route import Route, RoutePart


class RouteTable:
    """The routes of one configuration, matched by host and longest path prefix."""

    def __init__(self, routes: Iterable[Route]):
        self.hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        prefixes = self.hosts.get(host.lower())
        if prefixes is None:
            return None
        # Prefixes end with a slash, so only the path's slashes can end one.
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


@define
class _RoundRobin:
    """The round-robin state of a route: the credit of each part."""

    parts: tuple[RoutePart, ...]
    credits: list[float] = field(factory=list)


class PartChooser:
    """Divide each route's requests between its parts by weighted round-robin.

    Each request adds every part's share to its credit and goes to the part with the
    largest credit, so the counts never differ from the shares by more than one.
    """

    def __init__(self) -> None:
        self.round_robins: dict[str, _RoundRobin] = {}

    def choose(self, route: Route) -> RoutePart:
        """Return the part that gets the next request."""
        if len(route.parts) == 1:
            return route.parts[0]
        state = self.round_robins.get(route.name)
        if state is None or state.parts != route.parts:
            state = _RoundRobin(route.parts, [0.0] * len(route.parts))
            self.round_robins[route.name] = state
        total = sum(part.weight for part in route.parts)
        if total <= 0:
            return route.parts[0]
        for index, part in enumerate(route.parts):
            state.credits[index] += part.weight / total
        best = max(range(len(state.credits)), key=state.credits.__getitem__)
        state.credits[best] -= 1.0
        return route.parts[best]

    def retain(self, names: set[str]) -> None:
        """Drop the state of routes that no longer exist."""
        self.round_robins = {
            name: state for name, state in self.round_robins.items() if name in names
        }
