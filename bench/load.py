"""Load plans for clients, and records of the resulting operations."""

from collections.abc import Iterator
from pathlib import Path
from typing import Literal

from attrs import field, frozen
from msgspec import json

from bench.addresses import AddressPlan

# Ratio of the largest to the smallest answer to a read.
SMALLEST_ANSWER_DIVISOR = 20

# The result of an attempt or operation as the client sees it.
# "not_sent": the client sent no byte. "lost": the connection ended or timed out.
AttemptResult = Literal[
    "answered", "not_run", "unknown", "bad_request", "not_sent", "lost"
]
OperationResult = Literal["whole", "wrong", "not_run", "unknown", "bad_request"]


@frozen
class Traffic:
    """A stream of requests with random intervals."""

    service: str
    method: Literal["GET", "POST"]
    # Mean requests per second over all clients of the region.
    rate: float
    path: str
    deadline_ms: int = 2000
    # Size of the filler in an answer, in bytes.
    smallest_answer: int = 100
    largest_answer: int = 2000


@frozen
class RegionLoad:
    """The clients of one region and their traffic."""

    region: str
    # Names of the clients; each has its own lookup cache, connections and address.
    callers: tuple[str, ...]
    source_addresses: tuple[str, ...]
    # Client addresses sent in lookups.
    clients: tuple[str, ...]
    # Addresses of entry instances to query before a lookup has been answered.
    seeds: tuple[str, ...]
    traffic: tuple[Traffic, ...]


@frozen
class LoadPlan:
    """The load that one client process generates."""

    regions: tuple[RegionLoad, ...]
    records: str
    duration_s: float
    seed: int = 1


@frozen
class Attempt:
    """One request that a client sent, or tried to send."""

    at: float
    request_id: str
    instance: str
    key: str
    result: AttemptResult
    status: int = 0
    error: str = ""
    # Backend server named in the answer.
    server: str = ""
    retry_after_ms: int = 0
    # Time at which the attempt's result was known.
    ended_at: float = 0.0
    # Whether an entry refused the request after reading it, so that no copy under the
    # key ran or will run. A refused connection implies this for one copy only.
    covers_key: bool = False


@frozen
class Operation:
    """The result of a read or write and all its attempts."""

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
        """Return the duration of the operation in milliseconds."""
        return (self.ended_at - self.started_at) * 1000


@frozen
class LoadShape:
    """The rates and sizes of the requests that clients send."""

    # Mean requests per second per region and service.
    read_rate: float = 8.0
    write_rate: float = 4.0
    clients_per_region: int = 4
    deadline_ms: int = 2000
    # Services that receive requests; all if empty.
    services: tuple[str, ...] = field(default=())
    # Regions whose clients send requests; all if empty.
    regions: tuple[str, ...] = field(default=())
    largest_answer: int = 2000


def region_loads(addresses: AddressPlan, shape: LoadShape) -> tuple[RegionLoad, ...]:
    """Return the load of each region."""
    regions = (x.name for x in addresses.plan.deployment.regions)
    return tuple(
        _region_load(addresses, shape, region)
        for region in regions
        if not shape.regions or region in shape.regions
    )


def _region_load(addresses: AddressPlan, shape: LoadShape, region: str) -> RegionLoad:
    plan = addresses.plan
    numbers = range(1, shape.clients_per_region + 1)
    client_roles = plan.client_roles or ("caller",)
    names = (
        f"{region}-{client_roles[x % len(client_roles)]}-{x}".replace(" ", "-")
        for x in numbers
    )
    local = plan.deployment.region_instances(region)
    remote = tuple(x for x in plan.instances if x not in local)
    return RegionLoad(
        region,
        tuple(names),
        tuple(f"{addresses.client_network(region)}{x}" for x in numbers),
        tuple(addresses.client_ip(region, x) for x in numbers),
        tuple(addresses.public(x).advertise for x in (*local, *remote)),
        tuple(
            _service_traffic(plan.write_service, service.name, shape)
            for service in plan.deployment.services
            if not shape.services or service.name in shape.services
        ),
    )


def _service_traffic(write_service: str, service: str, shape: LoadShape) -> Traffic:
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
    """Read the operations recorded by a client process."""
    with path.open("rb") as lines:
        for line in lines:
            yield json.decode(line, type=Operation)
