"""Lookups with a client map of the target size."""

from collections.abc import Iterator
from random import Random
from time import perf_counter

from bench.figures.figure import Figure, cpu_seconds, resident_bytes
from bench.figures.forward import run_load
from bench.figures.small_fleet import entry_pid, one_domain, quick_fleet
from bench.fleet import Fleet
from ebonybend.control.client_map import ClientMapObject
from ebonybend.steering.lookup import ClientMap, LookupRanker, encode_shard
from ebonybend.steering.table import InstanceView, Table
from ebonybend.world import Deployment, FailureDomain, LifeState, Link, Region

BLOCKS = 2_400_000
# Six bytes per block, in base64, stay below the platform's limit of 1 MB per value.
SHARD_BLOCKS = 110_000
REGIONS = 10
DOMAINS = 25
INSTANCES = 520
LOOKUPS_PER_S_PER_NODE = 442
BLOCK_SIZE = 256
FIRST_ADDRESS = 1 << 24
DECISIONS = 50_000
LOAD_CONNECTIONS = 8
LOAD_SECONDS = 4.0
MAP_TIMEOUT_S = 60.0
MEGABYTE = 1 << 20
BYTES_PER_BLOCK = 6


def build_shards(sites: tuple[str, ...], seed: int) -> list[bytes]:
    """Return the encoded shards of a client map of the target size."""
    random = Random(seed)
    encoded = []
    for start in range(0, BLOCKS, SHARD_BLOCKS):
        numbers = range(start, min(start + SHARD_BLOCKS, BLOCKS))
        blocks = [
            (FIRST_ADDRESS + number * BLOCK_SIZE, random.randrange(len(sites)))
            for number in numbers
        ]
        encoded.append(encode_shard(sites, blocks))
    return encoded


def target_table() -> Table:
    """Return a table of the target size: 520 instances in 25 failure domains."""
    regions = tuple(Region(f"region-{number}") for number in range(REGIONS))
    names = [f"domain-{number}" for number in range(DOMAINS)]
    members: dict[str, list[str]] = {name: [] for name in names}
    for number in range(INSTANCES):
        members[names[number % DOMAINS]].append(f"instance-{number}")
    domains = tuple(
        FailureDomain(name, regions[number % REGIONS].name, tuple(members[name]))
        for number, name in enumerate(names)
    )
    links = tuple(
        Link(source.name, target.name, 1e9, 50.0)
        for source in regions
        for target in regions
        if source != target
    )
    deployment = Deployment(regions, domains, links, (), ())
    views = tuple(
        InstanceView(name, 1, domain, "127.0.0.1:1", "", "", LifeState.LIVE, True, 0, 0)
        for domain, instances in members.items()
        for name in instances
    )
    return Table(1, 1, 0, "", deployment, names[0], instances=views)


def measure_decision(seed: int) -> Iterator[Figure]:
    """Measure the time of one lookup and the client map's memory, in this process."""
    table = target_table()
    sites = tuple(domain.name for domain in table.deployment.failure_domains)
    client_map = ClientMap.from_shards(build_shards(sites, seed))
    ranker = LookupRanker(table, client_map)
    random = Random(seed)
    addresses = [
        FIRST_ADDRESS + random.randrange(BLOCKS * BLOCK_SIZE) for _ in range(DECISIONS)
    ]
    for address in addresses:
        ranker.rank(address)
    started = perf_counter()
    for address in addresses:
        ranker.rank(address)
    microseconds = (perf_counter() - started) / DECISIONS * 1e6
    yield Figure("lookup_decision", microseconds, "us", 20.0, microseconds / 20.0, seed)
    size = client_map.size_bytes() / MEGABYTE
    yield Figure("lookup_table_memory", size, "MB", 40.0, size / 40.0, seed)


def write_client_map(fleet: Fleet, seed: int) -> None:
    """Write a client map of the target size to the platform."""
    sites = tuple(x.name for x in fleet.plan.deployment.failure_domains)
    for number, shard in enumerate(build_shards(sites, seed)):
        fleet.write_object("clientmap", f"{number:04d}", ClientMapObject(shard))


def lookup(seed: int) -> Iterator[Figure]:
    """Measure the lookups of one entry process with 2.4 million address blocks."""
    yield from measure_decision(seed)
    with quick_fleet(one_domain()) as fleet:
        instance = fleet.plan.instances[0]
        address = fleet.addresses.public(instance).listen
        pid = entry_pid(fleet, instance)
        bytes_before = resident_bytes(pid)
        write_client_map(fleet, seed)
        load_time_s = wait_for_client_map(fleet)
        yield Figure("lookup_map_loaded", load_time_s, "s", None, None, seed)
        growth_mb = (resident_bytes(pid) - bytes_before) / MEGABYTE
        yield Figure(
            "lookup_process_growth", growth_mb, "MB", 40.0, growth_mb / 40.0, seed
        )
        cpu_before_s = cpu_seconds(pid)
        path = "/v1/lookup?client=1.2.3.4"
        summary = run_load(address, path, LOAD_CONNECTIONS, LOAD_SECONDS)
        cpu_used_s = cpu_seconds(pid) - cpu_before_s
    # The processor time includes the requests of the warm-up of 0.3 s.
    lookups = summary.per_second * (LOAD_SECONDS + 0.3)
    cpu_percent = cpu_used_s / lookups * LOOKUPS_PER_S_PER_NODE * 100
    yield Figure("lookup_rate", summary.per_second, "look-ups/s", None, None, seed)
    yield Figure(
        "lookup_cpu_at_442", cpu_percent, "% of a core", 10.0, cpu_percent / 10.0, seed
    )


def wait_for_client_map(fleet: Fleet) -> float:
    """Wait until the entry has loaded the complete client map; return the seconds."""
    log = fleet.directory / f"{fleet.plan.instances[0]}-entry.log"
    loaded_event = f'"bytes": {BLOCKS * BYTES_PER_BLOCK}'
    return fleet.wait_until(
        lambda: loaded_event in log.read_text(), "the map is loaded", MAP_TIMEOUT_S
    )
