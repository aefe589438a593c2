"""Goodput at twice the capacity, relative to the goodput at capacity."""

from collections.abc import Iterator

from attrs import evolve

from bench.deployments import blue_mahoe, reduced
from bench.figures.figure import Figure
from bench.fleet import Fleet, FleetOptions
from bench.load import LoadShape
from bench.playing import check_run, start_load

DOMAINS = ("kingston-1", "montego-1")
# Long, so that the single client process does not limit the rate.
SERVICE_MS = 400.0
LOAD_S = 14.0
# Requests that start in this time are not counted; slow start limits them.
WARM_UP_S = 4.0
TARGET = 0.95
REGIONS = 2


def capacity_per_s(fleet: Fleet) -> float:
    """Return the requests per second that the slots of one service can run."""
    service = fleet.plan.deployment.services[0].name
    slots = sum(x.slots for x in fleet.plan.servers if x.service == service)
    return slots / (SERVICE_MS / 1000)


def goodput_per_s(fleet: Fleet, factor: float, seed: int) -> float:
    """Return the complete answers per second at a multiple of the capacity."""
    rate = capacity_per_s(fleet) * factor / REGIONS
    shape = LoadShape(read_rate=rate, write_rate=rate, deadline_ms=2000)
    load = start_load(fleet, shape, LOAD_S, seed)
    load.wait()
    report = check_run(fleet, [load])
    if not report.ok:
        raise RuntimeError(
            f"a guarantee is violated: {report.line()} {report.examples}"
        )
    operations = load.operations()
    first = min(x.started_at for x in operations) + WARM_UP_S
    last = max(x.started_at for x in operations)
    whole = sum(
        x.result == "whole" and first <= x.started_at <= last for x in operations
    )
    return whole / (last - first)


def overload(seed: int) -> Iterator[Figure]:
    """Measure the goodput at the capacity and at twice the capacity."""
    plan = reduced(blue_mahoe(), DOMAINS)
    options = FleetOptions(service_ms=SERVICE_MS, cold_s=0.1)
    with Fleet(plan, evolve(options, server_restart_s=None)) as fleet:
        at_capacity = goodput_per_s(fleet, 1.0, seed)
        at_twice = goodput_per_s(fleet, 2.0, seed + 1)
    yield Figure(
        "overload_goodput",
        at_twice,
        "requests/s",
        at_capacity,
        at_twice / at_capacity,
        seed,
    )
