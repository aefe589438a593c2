"""The deployments and the load patterns that the model plays."""

from attrs import field, frozen

from ebonybend.world.route import Route, RoutePart


@frozen
class Traffic:
    """The requests on one route."""

    route: Route
    per_second: float
    # Mean time of a request on a server, over warm and cold objects.
    work_s: float
    # Time that a caller waits in total, with its retries.
    patience_s: float
    worth: float = 1.0


@frozen
class Deployment:
    """Regions with nodes and servers, and the traffic of a calm day."""

    regions: tuple[str, ...]
    # Fraction of the callers of each region.
    callers: tuple[float, ...]
    # Servers of each service in each region.
    servers: dict[str, tuple[int, ...]]
    slots: dict[str, int]
    traffic: tuple[Traffic, ...]
    nodes_per_region: int = 3
    # One-way times.
    between_regions_s: float = 0.055
    within_region_s: float = 0.001
    to_callers_s: float = 0.008
    objects_per_region: int = 60
    max_shift: float = 0.15


@frozen
class Trouble:
    """A change of the load or of the servers for some time."""

    kind: str
    at: float
    seconds: float
    # Multiplier of the load, fraction of the servers, or of the callers that move.
    strength: float


@frozen
class Pattern:
    """A named day of trouble."""

    name: str
    description: str
    troubles: tuple[Trouble, ...] = field(default=())


def route(name: str, service: str, objective_s: float, **changes) -> Route:
    """Return a route of the model."""
    values = {
        "name": name,
        "host": "h",
        "prefix": f"/{name}/",
        "idempotent": True,
        "parts": (RoutePart(service, 1.0),),
        "max_sends": 2,
        "timeout_s": 0.0,
        "objective_s": objective_s,
        "priority": 2,
        "sticky": True,
    }
    return Route(**{**values, **changes})


# Sizes and times of a small deployment of a records service: three regions, of which
# one has a third of the callers and a sixth of the servers.
SMALL = Deployment(
    regions=("kingston", "montego", "mandeville"),
    callers=(0.34, 0.33, 0.33),
    servers={"history": (2, 4, 6), "filing": (2, 4, 6)},
    slots={"history": 5, "filing": 3},
    traffic=(
        Traffic(route("lookup", "history", 0.3), 285.0, 0.24, 1.2),
        Traffic(
            route("report", "history", 0.2, priority=1), 60.0, 0.096, 0.5, worth=2.0
        ),
        Traffic(
            route("file", "filing", 0.3, idempotent=False, priority=0),
            80.0,
            0.312,
            1.5,
            worth=2.0,
        ),
    ),
)

PATTERNS = {
    pattern.name: pattern
    for pattern in (
        Pattern("calm", "the load of a calm day"),
        Pattern(
            "burst",
            "half as many callers again for some seconds",
            (Trouble("burst", 8.0, 8.0, 1.5),),
        ),
        Pattern(
            "overload",
            "twice as many callers as usual, for long",
            (Trouble("burst", 4.0, 60.0, 2.0),),
        ),
        Pattern(
            "crash",
            "a third of the servers crash and come back cold",
            (Trouble("crash", 8.0, 6.0, 0.34),),
        ),
        Pattern(
            "slow",
            "a quarter of the servers take four times as long",
            (Trouble("slow", 8.0, 8.0, 0.25),),
        ),
        Pattern(
            "failing",
            "a quarter of the servers fail half of their requests",
            (Trouble("failing", 8.0, 8.0, 0.25),),
        ),
        Pattern(
            "shift",
            "half of the callers move to the first region",
            (Trouble("shift", 8.0, 8.0, 0.5),),
        ),
        Pattern(
            "crash-in-burst",
            "servers crash while half as many callers again come",
            (Trouble("burst", 6.0, 10.0, 1.5), Trouble("crash", 8.0, 6.0, 0.34)),
        ),
    )
}
