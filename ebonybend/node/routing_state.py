"""The newest routing configuration; a version is never taken back."""

from ebonybend.logs import get_logger
from ebonybend.steering.returns import ClientRetryDetector
from ebonybend.steering.routes import PartChooser, RouteTable
from ebonybend.world.route import ClientLimits, Route, RoutingConfig, ServiceLimits


class RoutingState:
    """Routes and services of the newest version."""

    def __init__(self) -> None:
        self.version: int | None = None
        self.routes: tuple[Route, ...] = ()
        self.table = RouteTable(())
        self.services: dict[str, ServiceLimits] = {}
        self.limits = ClientLimits()
        # The most urgent route of each service.
        self.most_urgent: dict[str, Route] = {}
        self.parts = PartChooser()
        self.returns = ClientRetryDetector()

    def take(self, config: RoutingConfig) -> bool:
        """Use a configuration if it is newer; return whether it is."""
        if self.version is not None and config.version <= self.version:
            return False
        before, self.version = self.version, config.version
        self.routes = config.routes
        self.table = RouteTable(config.routes)
        self.services = {service.name: service for service in config.services}
        self.limits = config.limits
        self.most_urgent = _most_urgent(config)
        names = {route.name for route in config.routes}
        self.parts.forget_except(names)
        self.returns.retain(names)
        get_logger().info(
            "config_in_force",
            version=config.version,
            before=before,
            routes=len(config.routes),
        )
        return True

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request."""
        return self.table.find(host, path)

    def urgent_route(self, route: Route, service: str) -> Route | None:
        """Return the most urgent route of a service if it goes before another."""
        found = self.most_urgent.get(service)
        return found if found and found.priority < route.priority else None


def _most_urgent(config: RoutingConfig) -> dict[str, Route]:
    found: dict[str, Route] = {}
    for route in config.routes:
        for part in route.parts:
            known = found.get(part.service, route)
            found[part.service] = min(known, route, key=_urgency)
    return found


def _urgency(route: Route) -> tuple[int, float]:
    return route.priority, route.objective_s
