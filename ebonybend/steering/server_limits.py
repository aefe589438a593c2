"""Divide the limit that a server names among the nodes, on each node alone.

All nodes know the same list of nodes, so they compute the same parts and need no
agreement. A node that is cut off, frozen or restarted leaves its part unused.
"""

from collections.abc import Callable, Mapping
from math import inf

from attrs import frozen
from xxhash import xxh3_64_intdigest

from ebonybend.steering.shared_rates import RateShare
from ebonybend.world import BackendServer

# Fraction of a limit for the nodes of the server's region, which send most requests.
LOCAL_FRACTION = 0.75
# Nodes that have a part. Each may send one request at any moment, so all of them
# together may send this many at once besides the limit itself.
MIN_HOLDERS = 3
HOLDERS_PER_RATE = 0.5
# Seconds of its part that a node may send at once.
BURST_S = 1.0
# Least limit in requests per second, so that a server that takes none is asked now and
# then whether it still names that limit.
MIN_LIMIT = 0.1
# Least time for which a limit holds that no answer confirms.
LIMIT_LIFETIME_S = 15.0
# Limits may change with each answer, and each has a part of its own.
MAX_CACHED_PARTS = 10_000


@frozen
class LimitPart:
    """The requests per second of one node to one server, and those at once."""

    rate: float
    burst: float


NO_PART = LimitPart(0.0, 0.0)


def limit_part(
    limit: float, server: BackendServer, own: str, regions: Mapping[str, str]
) -> LimitPart:
    """Return the part of one of the nodes with these regions."""
    limit = max(limit, MIN_LIMIT)

    def order(name: str) -> tuple[bool, int]:
        digest = xxh3_64_intdigest(f"{server.name} {name}".encode())
        return regions[name] != server.region, digest

    holders = sorted(regions, key=order)[: MIN_HOLDERS + int(limit * HOLDERS_PER_RATE)]
    if own not in holders:
        return NO_PART
    local = [name for name in holders if regions[name] == server.region]
    remote_count = len(holders) - len(local)
    if not local or not remote_count:
        rate = limit / len(holders)
    elif own in local:
        rate = limit * LOCAL_FRACTION / len(local)
    else:
        rate = limit * (1.0 - LOCAL_FRACTION) / remote_count
    return LimitPart(rate, max(rate * BURST_S, 1.0))


class LimitDivision:
    """The parts of one node in the limits of all servers."""

    def __init__(self, own: str, regions: Callable[[], Mapping[str, str]]):
        self.own = own
        # Returns the region of each node; the same object while nothing changes.
        self.regions = regions
        self.known_regions: Mapping[str, str] | None = None
        self.parts: dict[tuple[str, str, float], LimitPart] = {}

    def part(self, server: BackendServer, limit: float) -> LimitPart:
        """Return this node's part in a server's limit."""
        regions = self.regions()
        if regions is not self.known_regions or len(self.parts) > MAX_CACHED_PARTS:
            self.known_regions = regions
            self.parts.clear()
        key = server.name, server.region, limit
        part = self.parts.get(key)
        if part is None:
            part = limit_part(limit, server, self.own, regions)
            self.parts[key] = part
        return part


class ServerLimit:
    """The limit that a server names, and this node's use of its part."""

    def __init__(self, phase: float = 0.0):
        # Requests per second from all nodes; infinite if the server names none.
        self.limit = inf
        self.answered_at = -inf
        # Nodes without a part ask at different times whether a limit still holds.
        self.lifetime_s = LIMIT_LIFETIME_S * (1.0 + phase)
        self.share = RateShare(phase)

    def record_answer(self, limit: float, now: float) -> bool:
        """Record the limit in an answer; return whether it changed."""
        changed = limit != self.limit
        self.limit = limit
        self.answered_at = now
        return changed

    def in_force(self, now: float) -> float:
        """Return the limit in requests per second, infinite if there is none."""
        return self.limit if now - self.answered_at < self.lifetime_s else inf
