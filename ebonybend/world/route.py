"""Routes: which service runs a request, and how it may be sent."""

from attrs import frozen


@frozen
class RoutePart:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@frozen
class Route:
    """Where the requests of a host and a path prefix go."""

    name: str
    host: str
    prefix: str
    # Whether a request may run more than once.
    idempotent: bool
    parts: tuple[RoutePart, ...]
    # Backend servers to which one client attempt may be sent.
    max_sends: int
    # Longest time for which a caller is kept waiting.
    timeout_s: float
    # Time within which an answer is of full use to the caller.
    objective_s: float
    # 0 is the most urgent.
    priority: int
    # Whether a server that handled the same object recently answers faster.
    sticky: bool = False
    # Regions that may run the requests; empty for all.
    home_regions: tuple[str, ...] = ()


@frozen
class ServiceLimits:
    """What a service's servers bear, as the operators state it."""

    name: str
    max_connections: int
    # Time for which a server stays cold after its start.
    cold_s: float
    # Requests per second that a cold server bears from all senders together.
    cold_rate: float


@frozen
class ClientLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class RoutingConfig:
    """One version of the operators' routes, services and limits."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceLimits, ...]
    limits: ClientLimits = ClientLimits()
