"""The nodes of the system, and which of them are alive by their heartbeats."""

from collections.abc import Iterable, Mapping, Sequence
from math import ceil, inf
from typing import Any

from attrs import frozen
from xxhash import xxh3_64_intdigest

from ebonybend.addresses import is_ipv4_address, split_address
from ebonybend.steering.crash_suspects import CrashReport, EndReport
from ebonybend.steering.leaving import LeavingReport

# The liveness timeout covers three periods, so two lost datagrams in a row are
# tolerated.
HEARTBEAT_PERIOD_S = 0.7
# Time without a heartbeat after which a node is no longer listed to clients. Applies to
# a node that sends to this one every period; a longer round-robin adds to it.
LIVENESS_TIMEOUT_S = 2.5
# Recipients of one heartbeat in the node's own region, and in all other regions
# together. With 100 nodes in a region each receives from every other one every 4.2 s,
# and a node sends at most 10 KB/s in any deployment.
MAX_LOCAL_RECIPIENTS = 18
MAX_REMOTE_RECIPIENTS = 4
# Maximum delay of a datagram of an earlier process: several round trips.
DATAGRAM_LIFETIME_S = 1.0
# Time that a newly listed node has to send its first heartbeat.
FIRST_HEARTBEAT_TIMEOUT_S = 3.0

# The port after the one for heartbeats is that for pulses.
MAX_PORT = 65535
# Unix time in milliseconds, far in the future.
MAX_INCARNATION = 10**15
MAX_DEMAND = 10**9


@frozen
class Member:
    """A node's own entry in the store."""

    name: str
    failure_domain: str
    region: str
    callers_address: str
    peer_address: str
    # Unix time of the start in milliseconds; a later process has a larger value.
    incarnation: int
    # Rate of the machine's link; 0 if unknown.
    link_mbps: float = 0.0

    def is_valid(self) -> bool:
        """Return whether the addresses and numbers can be used."""
        return (
            is_ipv4_address(self.callers_address)
            and is_ipv4_address(self.peer_address)
            and split_address(self.peer_address)[1] < MAX_PORT
            and 0 <= self.incarnation <= MAX_INCARNATION
            and 0.0 <= self.link_mbps < inf
        )


@frozen(kw_only=True)
class ServerReports:
    """What a node's own requests showed of servers, for all other nodes."""

    # Requests suspected of crashing servers.
    suspects: tuple[CrashReport, ...] = ()
    # Servers whose end the node saw lately.
    ended: tuple[EndReport, ...] = ()
    # Servers that state in their answers that they leave.
    leaving: tuple[LeavingReport, ...] = ()


@frozen(kw_only=True)
class NodeHeartbeat:
    """The state that a node sends to other nodes once per period."""

    name: str
    incarnation: int
    # Sequence number within an incarnation; an older datagram is ignored.
    count: int
    # Whether clients may use the node.
    ready: bool
    # Newest version of an object of each kind that the node watches in the store.
    newest: dict[str, int]
    # Time for which the store has answered the node without a failure; 0 while the
    # store is unreachable.
    followed_s: float
    # Demand by service in hundredths of a slot: of the node itself when sent within its
    # region, of all live nodes of its region when sent to other regions.
    demand: dict[str, int]
    member: Member
    # Servers that the node ejected after its own requests failed.
    ejected: tuple[str, ...] = ()
    # Required by builds that know no reports; not used here.
    suspects: tuple[Any, ...] = ()
    # Era of the store in which the versions count; 0 if the node knows none.
    era: int = 0
    # None if there is nothing to report.
    reports: ServerReports | None = None

    def is_valid(self) -> bool:
        """Return whether the addresses and numbers can be used."""
        return (
            self.member.is_valid()
            and 0 <= self.incarnation <= MAX_INCARNATION
            and 0.0 <= self.followed_s < inf
            and all(0 <= slots <= MAX_DEMAND for slots in self.demand.values())
        )


class Members:
    """The nodes known from the store's list and from heartbeats."""

    def __init__(self, own: Member):
        self.own = own
        self.listed: dict[str, Member] = {}
        self.heartbeats: dict[str, NodeHeartbeat] = {}
        # Time of a node's last heartbeat. For a newly listed node a time in the future,
        # which leaves it time for the first heartbeat.
        self.last_seen: dict[str, float] = {}
        # Cache of the other nodes in the own region and in all others; None if stale.
        self.cached_peers: tuple[list[Member], list[Member]] | None = None
        # Cache of the region of each node, computed from these peers.
        self.cached_regions: tuple[object, dict[str, str]] = (None, {})
        # Starts at a hash, so that not all senders choose the same recipients.
        self.round_number = xxh3_64_intdigest(own.name.encode())

    def update_list(self, members: Mapping[str, Member], now: float) -> None:
        """Replace the list of nodes that the store holds."""
        for name, member in members.items():
            known = self.listed.get(name)
            if known is None or known.incarnation != member.incarnation:
                grace = FIRST_HEARTBEAT_TIMEOUT_S - LIVENESS_TIMEOUT_S
                self.last_seen.setdefault(name, now + grace)
        self.listed = dict(members)
        self.cached_peers = None

    def record_heartbeat(self, heartbeat: NodeHeartbeat, now: float) -> bool:
        """Record a heartbeat; return False if it is older than the last one."""
        known = self.heartbeats.get(heartbeat.name)
        if known is not None and not self._is_newer(heartbeat, known, now):
            return False
        if known is None or known.member != heartbeat.member:
            self.cached_peers = None
        self.heartbeats[heartbeat.name] = heartbeat
        self.last_seen[heartbeat.name] = now
        return True

    def _is_newer(
        self, heartbeat: NodeHeartbeat, known: NodeHeartbeat, now: float
    ) -> bool:
        order = (heartbeat.incarnation, heartbeat.count)
        if order > (known.incarnation, known.count):
            return True
        # After its clock was set back, a restarted node has a smaller incarnation.
        is_other_process = heartbeat.incarnation != known.incarnation
        return (
            is_other_process
            and now - self.last_seen[heartbeat.name] > DATAGRAM_LIFETIME_S
        )

    def _known_peers(self) -> list[Member]:
        found = {
            heartbeat.name: heartbeat.member for heartbeat in self.heartbeats.values()
        }
        for name, member in self.listed.items():
            known = found.get(name)
            if known is None or known.incarnation < member.incarnation:
                found[name] = member
        found.pop(self.own.name, None)
        return list(found.values())

    def recipients(self) -> tuple[list[Member], list[Member]]:
        """Return the recipients of the next heartbeat: in the own region, and others.

        Where there are too many for one period, they are chosen by round-robin.
        """
        self.round_number += 1
        local, remote = self.local_and_remote_peers()
        return (
            _round_robin_slice(local, MAX_LOCAL_RECIPIENTS, self.round_number),
            _round_robin_slice(remote, MAX_REMOTE_RECIPIENTS, self.round_number),
        )

    def local_and_remote_peers(self) -> tuple[list[Member], list[Member]]:
        """Return the other nodes of the own region, and those of all other regions.

        The second list interleaves the regions, so each slice spans many of them.
        """
        if self.cached_peers is None:
            self.cached_peers = self._split_by_region()
        return self.cached_peers

    def _split_by_region(self) -> tuple[list[Member], list[Member]]:
        local: list[Member] = []
        by_region: dict[str, list[Member]] = {}
        for member in sorted(self._known_peers(), key=lambda member: member.name):
            if member.region == self.own.region:
                local.append(member)
            else:
                by_region.setdefault(member.region, []).append(member)
        remote = [
            (number, member.name, member)
            for members in by_region.values()
            for number, member in enumerate(members)
        ]
        return local, [member for _, _, member in sorted(remote, key=lambda x: x[:2])]

    def liveness_timeout_s(self, region: str) -> float:
        """Return the time without a heartbeat after which a node counts as dead.

        All nodes use the same round-robin; its length follows from this node's list.
        """
        local, remote = self.local_and_remote_peers()
        is_local = region == self.own.region
        rounds = (
            len(local) / MAX_LOCAL_RECIPIENTS
            if is_local
            else len(remote) / MAX_REMOTE_RECIPIENTS
        )
        return LIVENESS_TIMEOUT_S + (max(ceil(rounds), 1) - 1) * HEARTBEAT_PERIOD_S

    def live_heartbeats(self, region: str, now: float) -> list[NodeHeartbeat]:
        """Return the last heartbeats of a region's other nodes that are alive."""
        timeout_s = self.liveness_timeout_s(region)
        return [
            heartbeat
            for name, heartbeat in self.heartbeats.items()
            if heartbeat.member.region == region
            and name != self.own.name
            and now - self.last_seen[name] <= timeout_s
        ]

    def is_alive(self, name: str, now: float) -> bool:
        """Return whether a node sent a heartbeat within the liveness timeout."""
        if name == self.own.name:
            return True
        last_seen = self.last_seen.get(name)
        if last_seen is None:
            return False
        known = self.heartbeats.get(name)
        member = known.member if known else self.listed.get(name)
        region = member.region if member else ""
        return now - last_seen <= self.liveness_timeout_s(region)

    def ready_members(self, now: float, own_ready: bool) -> list[Member]:
        """Return the live nodes that are ready for clients."""
        found = [self.own] if own_ready else []
        local, remote = self.local_and_remote_peers()
        for member in local + remote:
            heartbeat = self.heartbeats.get(member.name)
            if (
                heartbeat is not None
                and heartbeat.ready
                and self.is_alive(member.name, now)
            ):
                found.append(heartbeat.member)
        return found

    def regions_by_name(self) -> dict[str, str]:
        """Return the region of each known node; the same object while none changes."""
        peers = self.local_and_remote_peers()
        if self.cached_regions[0] is not peers:
            local, remote = peers
            regions = {m.name: m.region for m in (self.own, *local, *remote)}
            if regions == self.cached_regions[1]:
                regions = self.cached_regions[1]
            self.cached_regions = peers, regions
        return self.cached_regions[1]

    def node_count(self) -> int:
        """Return the number of known nodes, by which shared limits are divided."""
        local, remote = self.local_and_remote_peers()
        return len(local) + len(remote) + 1

    def alive_count(self, now: float) -> int:
        """Return the number of live nodes, this one included."""
        local, remote = self.local_and_remote_peers()
        return 1 + sum(self.is_alive(member.name, now) for member in local + remote)


def _round_robin_slice(
    members: Sequence[Member], max_count: int, round_number: int
) -> list[Member]:
    """Return one slice of the nodes; the next round returns the slice after it."""
    if len(members) <= max_count:
        return list(members)
    start = round_number * max_count
    return [members[(start + step) % len(members)] for step in range(max_count)]


def members_in_region(
    members: Iterable[Member], failure_domain: str, region: str
) -> list[Member]:
    """Return the nodes of the client's region, or all if it has none."""
    ordered = sorted(members, key=lambda member: member.name)
    in_region = [member for member in ordered if member.region == region]
    return in_region or ordered
