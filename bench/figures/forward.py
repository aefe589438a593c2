"""The cost of routing: reads through an entry and through a bare forwarder."""

import sys
from collections.abc import Iterator
from subprocess import run

from bench.closed_loop import LoadSummary
from bench.figures.figure import Figure, compare_with_baseline
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


def run_load(target: str, path: str, connections: int, seconds: float) -> LoadSummary:
    """Run the closed-loop load generator against an address; return its summary."""
    command = (
        sys.executable,
        "-m",
        "bench.closed_loop",
        f"--target={target}",
        f"--path={path}",
        f"--connections={connections}",
        f"--seconds={seconds}",
    )
    process = run(command, cwd=ROOT, capture_output=True, check=True, timeout=60)
    summary = from_json(process.stdout, LoadSummary)
    if summary.failures:
        raise RuntimeError(f"{summary.failures} failed requests to {target}{path}")
    return summary


def start_bare_forwarder(fleet: Fleet) -> str:
    """Start a bare forwarder to the servers of one service; return its address."""
    servers = [x for x in fleet.plan.servers if x.service == SERVICE]
    targets = ",".join(fleet.addresses.server(x.name).listen for x in servers)
    host = fleet.addresses.instance_host(fleet.plan.instances[0])
    address = f"{host}:{BARE_PORT}"
    arguments = (f"--listen={address}", f"--targets={targets}")
    fleet.processes.start(ProcessSpec("bare", "bench.bare_forwarder", arguments))
    fleet.wait_until(lambda: answers_reads(address), "the bare forwarder answers")
    return address


def answers_reads(address: str) -> bool:
    """Return whether the bare forwarder answers a read."""
    return call("GET", address, "/item").status == 200


def forward(seed: int) -> Iterator[Figure]:
    """Measure the median and p99 latency and the rate, in interleaved rounds."""
    with quick_fleet(one_domain(), service_ms=0.0) as fleet:
        entry_address = fleet.addresses.public(fleet.plan.instances[0]).listen
        bare_address = start_bare_forwarder(fleet)
        entry_path = f"/s/{SERVICE}/item"
        latency_rounds = [
            (
                run_load(entry_address, entry_path, 1, SECONDS),
                run_load(bare_address, "/item", 1, SECONDS),
            )
            for _ in range(ROUNDS)
        ]
        rate_rounds = [
            (
                run_load(entry_address, entry_path, RATE_CONNECTIONS, SECONDS),
                run_load(bare_address, "/item", RATE_CONNECTIONS, SECONDS),
            )
            for _ in range(ROUNDS)
        ]
    yield compare_with_baseline(
        "forward_median",
        [x.median_ms for x, _ in latency_rounds],
        [x.median_ms for _, x in latency_rounds],
        "ms",
        seed,
    )
    yield compare_with_baseline(
        "forward_p99",
        [x.p99_ms for x, _ in latency_rounds],
        [x.p99_ms for _, x in latency_rounds],
        "ms",
        seed,
    )
    yield compare_with_baseline(
        "forward_rate",
        [x.per_second for x, _ in rate_rounds],
        [x.per_second for _, x in rate_rounds],
        "requests/s",
        seed,
    )
