"""Routes: which service runs a request, and how it may be sent."""

from attrs import frozen


@frozen
class RoutePart:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@frozen
class Route:
    """How the requests for a host and a path prefix are routed."""

    name: str
    host: str
    prefix: str
    # Whether a request may run more than once.
    idempotent: bool
    parts: tuple[RoutePart, ...]
    # Backend servers to which one client attempt may be sent.
    max_sends: int
    # Longest time that a client waits for an answer.
    timeout_s: float
    # Latency objective: a later answer is of less use to the client.
    objective_s: float
    # 0 is the most urgent.
    priority: int
    # Whether a server answers faster if it handled the same object recently.
    sticky: bool = False
    # Regions that may run the requests; empty for all.
    home_regions: tuple[str, ...] = ()


@frozen
class ServiceLimits:
    """The load limits of a service's servers, as the operators configure them."""

    name: str
    max_connections: int
    # Time for which a server is cold after its start.
    cold_s: float
    # Requests per second that a cold server accepts from all senders together.
    cold_rate: float


@frozen
class ClientLimits:
    """Limits on the size of a client's requests and on the time to send them."""

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
