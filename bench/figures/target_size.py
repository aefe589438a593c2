"""Sizes and processing times of messages and tables at the target size."""

from collections.abc import Callable, Iterator
from time import process_time

from bench.figures.figure import Figure
from bench.figures.lookup import DOMAINS, INSTANCES, target_table
from ebonybend.clock import ManualClock
from ebonybend.codec import pack, unpack
from ebonybend.peers.merge import Replica
from ebonybend.peers.records import DomainSummary, LoadRecord, Record, RecordKind
from ebonybend.steering.lookup import ClientMap, LookupRanker
from ebonybend.steering.table import ServiceLoad, TableReply

SERVICES = 3
INSTANCES_PER_DOMAIN = -(-INSTANCES // DOMAINS)
REPEATS = 200


def service_loads() -> tuple[ServiceLoad, ...]:
    """Return the load reports of three services."""
    return tuple(ServiceLoad(f"service-{x}", 96, 48, 20.5) for x in range(SERVICES))


def mean_cpu_ms(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the mean processor time of a call, in milliseconds."""
    started = process_time()
    for _ in range(repeats):
        work()
    return (process_time() - started) / repeats * 1000


def target_size(_seed: int) -> Iterator[Figure]:
    """Measure the records and tables of 520 instances in 25 failure domains."""
    load = LoadRecord("instance-100", 12345, 600, service_loads())
    record = Record(RecordKind.LOAD, load.name, 1, pack(load), load.name)
    size = len(pack(record))
    yield Figure("load_record", size, "bytes")
    summary = DomainSummary("domain-10", "region-1", service_loads(), 12345, (), (), 77)
    domain = Record(RecordKind.DOMAIN, summary.name, 1, pack(summary), "instance-100")
    yield Figure("domain_record", len(pack(domain)), "bytes")
    yield Figure("merge_load_record", _merge_ms(record), "ms")
    table = target_table()
    body = pack(TableReply(table))
    yield Figure("table_520", len(body), "bytes")
    yield Figure("table_520_pack", mean_cpu_ms(lambda: pack(TableReply(table))), "ms")
    yield Figure(
        "table_520_unpack", mean_cpu_ms(lambda: unpack(body, TableReply)), "ms"
    )
    empty = ClientMap.from_shards([])
    yield Figure(
        "ranker_520", mean_cpu_ms(lambda: LookupRanker(table, empty), 20), "ms"
    )


def _merge_ms(record: Record) -> float:
    replica = Replica(ManualClock())
    version = 0

    def merge() -> None:
        nonlocal version
        version += 1
        newer = Record(record.kind, record.name, version, record.body, record.writer)
        replica.merge_record(newer)

    return mean_cpu_ms(merge, 5000)
