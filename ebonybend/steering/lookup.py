"""Find the entry instances that a client should use."""

from array import array
from bisect import bisect_left
from collections.abc import Collection
from functools import lru_cache
from itertools import islice, pairwise
from operator import lt
from sys import byteorder

from attrs import frozen
from xxhash import xxh3_64_intdigest

from ebonybend.codec import pack, unpack
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.steering.table import InstanceView, Table
from ebonybend.world import LifeState

BLOCK_MASK = 0xFFFFFF00
# Instances are ranked per group of blocks rather than per block, so that the order can
# be cached. With 21 instances in a domain their shares differ by about 14%.
BLOCK_GROUPS = 1024
# A client falls back to a second instance of the domain, then to other domains.
MAX_PER_DOMAIN = 2
MAX_INSTANCES = 8
# 1024 groups for each of 25 failure domains.
RANK_CACHE_SIZE = 25_600


@frozen
class ClientShard:
    """A part of the client map, as stored in a platform object."""

    # Names of the failure domains that the numbers stand for; the same in all shards.
    sites: tuple[str, ...]
    # First addresses of /24 blocks, ascending, 4 bytes each, little-endian.
    starts: bytes
    # The number of each block's site, 2 bytes each, little-endian.
    numbers: bytes


def encode_shard(sites: tuple[str, ...], blocks: list[tuple[int, int]]) -> bytes:
    """Return a shard for pairs of block start and site number."""
    blocks = sorted(blocks)
    starts = array("I", (start for start, _ in blocks))
    numbers = array("H", (site_number for _, site_number in blocks))
    return pack(ClientShard(sites, _little_endian(starts), _little_endian(numbers)))


def _little_endian(values: array) -> bytes:
    if byteorder == "big":
        values.byteswap()
    return values.tobytes()


def _decode_array(kind: str, data: bytes) -> array:
    values = array(kind)
    values.frombytes(data)
    if byteorder == "big":
        values.byteswap()
    return values


def _bad_shard(problem: str) -> SteeringError:
    return SteeringError(ErrorKind.BAD_REQUEST, f"client map: {problem}")


class ClientMap:
    """Maps /24 blocks of client addresses to sites, in two flat arrays."""

    def __init__(self, sites: tuple[str, ...], starts: array, numbers: array):
        self.sites = sites
        self.starts = starts
        self.numbers = numbers

    @classmethod
    def from_shards(cls, shards: list[bytes]) -> "ClientMap":
        """Join shards in any order; raise BAD_REQUEST if they don't fit together."""
        decoded = [_decode_shard(shard) for shard in shards]
        decoded = [shard for shard in decoded if shard[1]]
        decoded.sort(key=lambda shard: shard[1][0])
        for (sites, before, _), (other_sites, after, _) in pairwise(decoded):
            if sites != other_sites:
                raise _bad_shard("shards name different sites")
            if before[-1] >= after[0]:
                raise _bad_shard("shards overlap")
        joined = cls(decoded[0][0] if decoded else (), array("I"), array("H"))
        for _, starts, numbers in decoded:
            joined.starts.extend(starts)
            joined.numbers.extend(numbers)
        return joined

    def site_of(self, ip: int) -> int | None:
        """Return the number of a client's site, or None if its block is unknown."""
        block = ip & BLOCK_MASK
        index = bisect_left(self.starts, block)
        if index == len(self.starts) or self.starts[index] != block:
            return None
        return self.numbers[index]

    def size_bytes(self) -> int:
        """Return the memory that the blocks use."""
        starts, numbers = self.starts, self.numbers
        return len(starts) * starts.itemsize + len(numbers) * numbers.itemsize


def _decode_shard(shard: bytes) -> tuple[tuple[str, ...], array, array]:
    parts = unpack(shard, ClientShard)
    if len(parts.starts) % 4 or len(parts.numbers) * 2 != len(parts.starts):
        raise _bad_shard("a shard is truncated")
    starts = _decode_array("I", parts.starts)
    numbers = _decode_array("H", parts.numbers)
    if not all(map(lt, starts, islice(starts, 1, None))):
        raise _bad_shard("block starts are not ascending")
    if numbers and max(numbers) >= len(parts.sites):
        raise _bad_shard("a block's site is not named")
    return parts.sites, starts, numbers


@lru_cache(maxsize=RANK_CACHE_SIZE)
def _preferred_positions(names: tuple[bytes, ...], group: int) -> tuple[int, ...]:
    """Return the positions of the names that a group of blocks prefers, best first."""
    hashes = [xxh3_64_intdigest(name, group) for name in names]
    order = sorted(range(len(names)), key=hashes.__getitem__, reverse=True)
    return tuple(order[:MAX_PER_DOMAIN])


@frozen
class ReadyInstances:
    """A failure domain's instances that clients can use, by name."""

    names: tuple[bytes, ...]
    views: tuple[InstanceView, ...]


class LookupRanker:
    """Ranks the entry instances for a client, nearest failure domain first."""

    def __init__(
        self,
        table: Table,
        client_map: ClientMap,
        drained: Collection[str] = (),
        previous: "LookupRanker | None" = None,
    ):
        self.table = table
        self.client_map = client_map
        self.ready = _ready_by_domain(table, drained)
        # Failure domains by latency, for each site. They change only with the
        # deployment, so a new ranker reuses those of the previous one.
        self.domain_orders: dict[str, tuple[str, ...]] = {}
        if previous is not None and previous.table.deployment == table.deployment:
            self.domain_orders = previous.domain_orders

    def rank(self, client_ip: int) -> tuple[InstanceView, ...]:
        """Return the instances that a client should try, best first."""
        block = client_ip & BLOCK_MASK
        group = xxh3_64_intdigest(block.to_bytes(4)) % BLOCK_GROUPS
        found: list[InstanceView] = []
        for domain in self._domain_order(client_ip):
            ready = self.ready.get(domain)
            if ready is None:
                continue
            found += [
                ready.views[index] for index in _preferred_positions(ready.names, group)
            ]
            if len(found) >= MAX_INSTANCES:
                break
        return tuple(found[:MAX_INSTANCES])

    def _domain_order(self, client_ip: int) -> tuple[str, ...]:
        site_number = self.client_map.site_of(client_ip)
        # A client at an unknown site is assumed to be near the instance it reached.
        site = self.table.failure_domain
        if site_number is not None:
            site = self.client_map.sites[site_number]
        order = self.domain_orders.get(site)
        if order is None:
            order = self._domains_by_latency(site)
            self.domain_orders[site] = order
        return order

    def _domains_by_latency(self, site: str) -> tuple[str, ...]:
        deployment = self.table.deployment
        if deployment.domain(site) is None:
            site = self.table.failure_domain

        def latency(name: str) -> tuple[float, str]:
            return deployment.one_way_latency_ms(site, name), name

        names = (domain.name for domain in deployment.failure_domains)
        return tuple(sorted(names, key=latency))


def _ready_by_domain(
    table: Table, drained: Collection[str]
) -> dict[str, ReadyInstances]:
    grouped: dict[str, list[InstanceView]] = {}
    for view in sorted(table.instances, key=lambda view: view.name):
        usable = view.ready and view.state is LifeState.LIVE
        if usable and view.name not in drained:
            grouped.setdefault(view.failure_domain, []).append(view)
    return {
        domain: ReadyInstances(
            tuple(view.name.encode() for view in views), tuple(views)
        )
        for domain, views in grouped.items()
    }
