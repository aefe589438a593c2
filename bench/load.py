"""What callers send: typed load plans, and the records of what became of it."""

from collections.abc import Iterator
from pathlib import Path
from typing import Literal

from attrs import field, frozen
from msgspec import json

from bench.addresses import AddressPlan

# Sizes of answers to reads vary by this factor.
SMALLEST_ANSWER_DIVISOR = 20

# The result of one attempt or operation as the caller may conclude it.
# "not_sent": no byte left the caller. "lost": the connection ended or the time was up.
AttemptResult = Literal[
    "answered", "not_run", "unknown", "bad_request", "not_sent", "lost"
]
OperationResult = Literal["whole", "wrong", "not_run", "unknown", "bad_request"]


@frozen
class Traffic:
    """One stream of requests with random gaps between them."""

    service: str
    method: Literal["GET", "POST"]
    # Mean requests per second over all callers of the region.
    rate: float
    path: str
    deadline_ms: int = 2000
    # Size of the answers' filler.
    smallest_answer: int = 100
    largest_answer: int = 2000


@frozen
class RegionLoad:
    """The callers of one region."""

    region: str
    # Each caller has its own look-up cache, connections and source address.
    callers: tuple[str, ...]
    source_addresses: tuple[str, ...]
    # Addresses by which the callers' look-ups name them.
    clients: tuple[str, ...]
    # Addresses of entry instances to ask before a look-up has been answered.
    seeds: tuple[str, ...]
    traffic: tuple[Traffic, ...]


@frozen
class LoadPlan:
    """Everything that one process of callers needs."""

    regions: tuple[RegionLoad, ...]
    records: str
    duration_s: float
    seed: int = 1


@frozen
class Attempt:
    """One request that a caller sent, or tried to send."""

    at: float
    request_id: str
    instance: str
    key: str
    result: AttemptResult
    status: int = 0
    error: str = ""
    # Backend server that the answer names.
    server: str = ""
    retry_after_ms: int = 0
    # When the attempt's result was known.
    ended_at: float = 0.0
    # A refusal by an entry that had read the request: no copy under the key ran or
    # will run. A refused connection says this of one copy only.
    covers_key: bool = False


@frozen
class Operation:
    """What became of one thing that a caller wanted done."""

    name: str
    caller: str
    region: str
    service: str
    method: str
    path: str
    started_at: float
    ended_at: float
    deadline_ms: int
    result: OperationResult
    attempts: tuple[Attempt, ...] = ()
    # Why an answer is wrong.
    fault: str = ""

    @property
    def latency_ms(self) -> float:
        """Return the time that the operation took."""
        return (self.ended_at - self.started_at) * 1000


@frozen
class LoadShape:
    """How much callers send."""

    # Mean requests per second per region and stream.
    read_rate: float = 8.0
    write_rate: float = 4.0
    callers_per_region: int = 4
    deadline_ms: int = 2000
    # Services that are used; all if empty.
    services: tuple[str, ...] = field(default=())
    # Regions whose callers send; all if empty.
    regions: tuple[str, ...] = field(default=())
    largest_answer: int = 2000


def region_loads(addresses: AddressPlan, shape: LoadShape) -> tuple[RegionLoad, ...]:
    """Return the callers of each region."""
    regions = (x.name for x in addresses.plan.deployment.regions)
    return tuple(
        _region_load(addresses, shape, region)
        for region in regions
        if not shape.regions or region in shape.regions
    )


def _region_load(addresses: AddressPlan, shape: LoadShape, region: str) -> RegionLoad:
    plan = addresses.plan
    numbers = range(1, shape.callers_per_region + 1)
    cast = plan.cast or ("caller",)
    names = (f"{region}-{cast[x % len(cast)]}-{x}".replace(" ", "-") for x in numbers)
    own = plan.deployment.region_instances(region)
    others = tuple(x for x in plan.instances if x not in own)
    return RegionLoad(
        region,
        tuple(names),
        tuple(f"{addresses.caller_network(region)}{x}" for x in numbers),
        tuple(addresses.client_ip(region, x) for x in numbers),
        tuple(addresses.public(x).advertise for x in (*own, *others)),
        tuple(
            _traffic(plan.write_service, service.name, shape)
            for service in plan.deployment.services
            if not shape.services or service.name in shape.services
        ),
    )


def _traffic(write_service: str, service: str, shape: LoadShape) -> Traffic:
    if service == write_service:
        rate, deadline = shape.write_rate, shape.deadline_ms
        return Traffic(service, "POST", rate, "/file", deadline)
    smallest = shape.largest_answer // SMALLEST_ANSWER_DIVISOR
    return Traffic(
        service,
        "GET",
        shape.read_rate,
        "/item",
        shape.deadline_ms,
        smallest,
        shape.largest_answer,
    )


def read_operations(path: Path) -> Iterator[Operation]:
    """Read the records of a process of callers."""
    with path.open("rb") as lines:
        for line in lines:
            yield json.decode(line, type=Operation)
