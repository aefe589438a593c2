"""Measure the cost of the routing decisions for a request and for a lookup."""

import tracemalloc
from random import Random
from time import perf_counter, sleep

from ebonybend.clock import SystemClock
from ebonybend.steering import (
    Admission,
    ClientMap,
    LookupRanker,
    ServerChooser,
    ServerResult,
    SlotLedger,
    SuspectRegistry,
    encode_shard,
    fingerprint,
)
from ebonybend.steering.table import InstanceView, ServerView, Table
from ebonybend.world import (
    Deployment,
    FailureDomain,
    LifeState,
    Link,
    Region,
    ServerState,
)

# The target size of a deployment.
BLOCKS = 2_400_000
BLOCKS_PER_SHARD = 150_000
REGIONS = 10
DOMAINS = 25
NODES = 520
REQUESTS = 20_000
ROUNDS = 5
SLOW_START_S = 1.5
LOOKUPS = 20_000


def measure_request() -> list[float]:
    """Return the sorted microseconds per request by round; 12 servers, 5 slots each."""
    clock = SystemClock()
    # A long hold time, because no heartbeat loop runs here.
    ledger = SlotLedger("a", 1, clock, 1e9, 5.0)
    ledger.set_roster(["a"])
    servers = tuple(
        ServerView(f"s{i}", "rides", "", 5, 300, ServerState.READY, 2)
        for i in range(12)
    )
    ledger.set_servers({server.name: server.slots for server in servers})
    ledger.predecessor_done_at = 0.0
    ledger.tick()
    admission = Admission(ledger, clock)
    chooser = ServerChooser(admission, clock, Random(1))
    suspects = SuspectRegistry(clock)
    for server in servers:
        admission.limit(server.name)
        chooser.record_latency(server.name, 0.02)
    sleep(SLOW_START_S)
    # A third of the slots are in use, as under typical load.
    for server in servers[:10]:
        for _ in range(2):
            admission.acquire(server.name)
    costs = [measure_round(servers, suspects, chooser) for _ in range(ROUNDS)]
    return sorted(costs)


def measure_round(
    servers: tuple[ServerView, ...], suspects: SuspectRegistry, chooser: ServerChooser
) -> float:
    """Return the mean microseconds for one request's decisions."""
    admission = chooser.admission
    started_at = perf_counter()
    for _ in range(REQUESTS):
        name = fingerprint("rides", "GET", "/history/1234", b"")
        suspects.verdict(name)
        server = chooser.choose(servers).name
        admission.acquire(server)
        admission.release(server, ServerResult.SUCCESS, 0.02)
        chooser.record_latency(server, 0.02)
        suspects.record_success(name)
    return (perf_counter() - started_at) / REQUESTS * 1e6


def make_table() -> Table:
    """Return a table with the target number of regions, domains and instances."""
    regions = tuple(Region(f"r{i}") for i in range(REGIONS))
    domains = tuple(
        FailureDomain(
            f"d{i:02}",
            f"r{i % REGIONS}",
            tuple(f"d{i:02}-{j}" for j in range(i, NODES, DOMAINS)),
        )
        for i in range(DOMAINS)
    )
    links = tuple(
        Link(a.name, b.name, 1e6, 20.0 + 5 * abs(i - j))
        for i, a in enumerate(regions)
        for j, b in enumerate(regions)
        if i != j
    )
    instances = tuple(
        InstanceView(name, 1, domain.name, "", "", "", LifeState.LIVE, True, 0, 0)
        for domain in domains
        for name in domain.instances
    )
    deployment = Deployment(regions, domains, links, (), ())
    return Table(1, 1, 1, "", deployment, "d00", instances=instances)


def measure_lookups() -> None:
    """Print the memory use and times of the client map and the lookup ranking."""
    sites = tuple(f"d{i:02}" for i in range(DOMAINS))
    shards = [
        encode_shard(
            sites,
            [
                (block * 256, block % DOMAINS)
                for block in range(first, first + BLOCKS_PER_SHARD)
            ],
        )
        for first in range(0, BLOCKS, BLOCKS_PER_SHARD)
    ]
    tracemalloc.start()
    client_map = ClientMap.from_shards(shards)
    allocated, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_at = perf_counter()
    client_map = ClientMap.from_shards(shards)
    print(f"largest shard: {max(map(len, shards))} B")
    print(f"client map: {client_map.size_bytes() / 1e6:.1f} MB in arrays")
    print(f"client map: {allocated / 1e6:.1f} MB held, {peak / 1e6:.1f} MB at load")
    print(f"client map: loaded in {(perf_counter() - started_at) * 1000:.0f} ms")
    table = make_table()
    started_at = perf_counter()
    ranker = LookupRanker(table, client_map)
    print(f"new ranker: {(perf_counter() - started_at) * 1e3:.2f} ms")
    random = Random(1)
    clients = [random.randrange(BLOCKS * 256) for _ in range(LOOKUPS)]
    for label in ("first", "second"):
        started_at = perf_counter()
        for client in clients:
            ranker.rank(client)
        cost = (perf_counter() - started_at) / LOOKUPS * 1e6
        print(f"look-up: {cost:.1f} us in the {label} round")


if __name__ == "__main__":
    print("request:", ", ".join(f"{cost:.1f}" for cost in measure_request()), "us")
    measure_lookups()
