"""The newest routing configuration; a version is never taken back."""

from ebonybend.logs import get_logger
from ebonybend.steering.routes import PartChooser, RouteTable
from ebonybend.world.route import CallerLimits, Route, RoutedService, RoutingConfig


class RoutingState:
    """Routes and services of the newest version."""

    def __init__(self) -> None:
        self.version: int | None = None
        self.table = RouteTable(())
        self.services: dict[str, RoutedService] = {}
        self.limits = CallerLimits()
        self.parts = PartChooser()

    def take(self, config: RoutingConfig) -> bool:
        """Use a configuration if it is newer; return whether it is."""
        if self.version is not None and config.version <= self.version:
            return False
        before, self.version = self.version, config.version
        self.table = RouteTable(config.routes)
        self.services = {service.name: service for service in config.services}
        self.limits = config.limits
        self.parts.forget_except({route.name for route in config.routes})
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
