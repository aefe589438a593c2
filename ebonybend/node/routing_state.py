"""The newest routing configuration; an older version is never applied."""

from ebonybend.logs import get_logger
from ebonybend.steering.returns import ClientRetryDetector
from ebonybend.steering.routes import PartChooser, RouteTable
from ebonybend.world.route import ClientLimits, Route, RoutingConfig, ServiceLimits


class RoutingState:
    """Routes, services and limits of the newest version."""

    def __init__(self) -> None:
        self.version: int | None = None
        self.routes: tuple[Route, ...] = ()
        self.table = RouteTable(())
        self.services: dict[str, ServiceLimits] = {}
        self.limits = ClientLimits()
        # The most urgent route of each service.
        self.most_urgent: dict[str, Route] = {}
        self.part_chooser = PartChooser()
        self.client_retry_detector = ClientRetryDetector()

    def apply(self, config: RoutingConfig) -> bool:
        """Apply a configuration if it is newer; return whether it was applied."""
        if self.version is not None and config.version <= self.version:
            return False
        before, self.version = self.version, config.version
        self.routes = config.routes
        self.table = RouteTable(config.routes)
        self.services = {service.name: service for service in config.services}
        self.limits = config.limits
        self.most_urgent = _most_urgent(config)
        route_names = {route.name for route in config.routes}
        self.part_chooser.retain(route_names)
        self.client_retry_detector.retain(route_names)
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
        """Return a service's most urgent route if it is more urgent than this one."""
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
