"""The cost of the decisions: a read through an entry and through a bare forwarder."""

import sys
from collections.abc import Iterator
from subprocess import run

from bench.closed_loop import LoadSummary
from bench.figures.figure import Figure, compared
from bench.figures.small_fleet import one_domain, quick_fleet
from bench.fleet import Fleet
from bench.http_calls import call
from bench.processes import ROOT, ProcessSpec
from ebonybend.codec import from_json

ROUNDS = 7
SECONDS = 1.0
RATE_CONNECTIONS = 16
BARE_PORT = 21002
SERVICE = "ride-history"


def load(target: str, path: str, connections: int, seconds: float) -> LoadSummary:
    """Run the load generator against an address."""
    command = (
        sys.executable,
        "-m",
        "bench.closed_loop",
        f"--target={target}",
        f"--path={path}",
        f"--connections={connections}",
        f"--seconds={seconds}",
    )
    done = run(command, cwd=ROOT, capture_output=True, check=True, timeout=60)
    summary = from_json(done.stdout, LoadSummary)
    if summary.failures:
        raise RuntimeError(f"{summary.failures} failed requests to {target}{path}")
    return summary


def start_bare(fleet: Fleet) -> str:
    """Start the bare forwarder to the servers of one service."""
    servers = [x for x in fleet.plan.servers if x.service == SERVICE]
    targets = ",".join(fleet.addresses.server(x.name).listen for x in servers)
    host = fleet.addresses.instance_host(fleet.plan.instances[0])
    address = f"{host}:{BARE_PORT}"
    arguments = (f"--listen={address}", f"--targets={targets}")
    fleet.processes.start(ProcessSpec("bare", "bench.bare_forwarder", arguments))
    fleet.wait_until(lambda: forwards(address), "the bare forwarder answers")
    return address


def forwards(address: str) -> bool:
    """Return whether a forwarder answers a read."""
    return call("GET", address, "/item").status == 200


def forward(seed: int) -> Iterator[Figure]:
    """Measure medians, 99th percentiles and rates in interleaved rounds."""
    with quick_fleet(one_domain(), service_ms=0.0) as fleet:
        entry = fleet.addresses.public(fleet.plan.instances[0]).listen
        bare = start_bare(fleet)
        steered = f"/s/{SERVICE}/item"
        single = [
            (load(entry, steered, 1, SECONDS), load(bare, "/item", 1, SECONDS))
            for _ in range(ROUNDS)
        ]
        many = [
            (
                load(entry, steered, RATE_CONNECTIONS, SECONDS),
                load(bare, "/item", RATE_CONNECTIONS, SECONDS),
            )
            for _ in range(ROUNDS)
        ]
    yield compared(
        "forward_median",
        [x.median_ms for x, _ in single],
        [x.median_ms for _, x in single],
        "ms",
        seed,
    )
    yield compared(
        "forward_p99",
        [x.p99_ms for x, _ in single],
        [x.p99_ms for _, x in single],
        "ms",
        seed,
    )
    yield compared(
        "forward_rate",
        [x.per_second for x, _ in many],
        [x.per_second for _, x in many],
        "requests/s",
        seed,
    )
