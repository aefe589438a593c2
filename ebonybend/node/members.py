"""The nodes of the system, and which of them are alive by their heartbeats."""

from collections.abc import Iterable, Mapping, Sequence
from math import ceil

from attrs import frozen
from xxhash import xxh3_64_intdigest

from ebonybend.steering.suspects import SuspectView

# The liveness timeout covers three periods, so two lost datagrams in a row are
# tolerated.
BEAT_PERIOD_S = 0.7
# Time without a heartbeat after which a node is no longer listed to clients. Applies to
# a node that sends to this one every period; a longer round-robin adds to it.
SILENT_AFTER_S = 2.5
# Recipients of one heartbeat in the node's own region, and in all other regions
# together. With 100 nodes in a region each receives from every other one every 4.2 s,
# and a node sends at most 10 KB/s in any deployment.
MOST_NEAR = 18
MOST_FAR = 4
# Maximum delay of a datagram of an earlier process: several round trips.
DATAGRAM_LIFETIME_S = 1.0
# Time that a newly listed node has to send its first heartbeat.
FIRST_WORD_S = 3.0


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


@frozen(kw_only=True)
class Beat:
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
    # Requests suspected of crashing servers.
    suspects: tuple[SuspectView, ...]
    member: Member


class Members:
    """The nodes known from the store's list and from heartbeats."""

    def __init__(self, own: Member):
        self.own = own
        self.listed: dict[str, Member] = {}
        self.beats: dict[str, Beat] = {}
        # Time of a node's last heartbeat, or of its first appearance in the list.
        self.heard: dict[str, float] = {}
        # Cache of the other nodes in the own region and in all others; None if stale.
        self.groups: tuple[list[Member], list[Member]] | None = None
        # Starts at a hash, so that different senders don't use the same recipients.
        self.turn = xxh3_64_intdigest(own.name.encode())

    def update_list(self, members: Mapping[str, Member], now: float) -> None:
        """Replace the list of nodes that the store holds."""
        for name, member in members.items():
            known = self.listed.get(name)
            if known is None or known.incarnation != member.incarnation:
                grace = FIRST_WORD_S - SILENT_AFTER_S
                self.heard.setdefault(name, now + grace)
        self.listed = dict(members)
        self.groups = None

    def take_beat(self, beat: Beat, now: float) -> bool:
        """Record a heartbeat; return False if it is older than the last one."""
        known = self.beats.get(beat.name)
        if known is not None and not self._is_newer(beat, known, now):
            return False
        if known is None or known.member != beat.member:
            self.groups = None
        self.beats[beat.name] = beat
        self.heard[beat.name] = now
        return True

    def _is_newer(self, beat: Beat, known: Beat, now: float) -> bool:
        order = (beat.incarnation, beat.count)
        if order > (known.incarnation, known.count):
            return True
        # After its clock was set back, a restarted node has a smaller incarnation.
        is_other = beat.incarnation != known.incarnation
        return is_other and now - self.heard[beat.name] > DATAGRAM_LIFETIME_S

    def _others(self) -> list[Member]:
        found = {beat.name: beat.member for beat in self.beats.values()}
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
        self.turn += 1
        near, far = self.by_distance()
        return (
            _in_turn(near, MOST_NEAR, self.turn),
            _in_turn(far, MOST_FAR, self.turn),
        )

    def by_distance(self) -> tuple[list[Member], list[Member]]:
        """Return the other nodes of the own region, and those of all other regions.

        The second list interleaves the regions, so each slice spans many of them.
        """
        if self.groups is None:
            self.groups = self._divide()
        return self.groups

    def _divide(self) -> tuple[list[Member], list[Member]]:
        near: list[Member] = []
        by_region: dict[str, list[Member]] = {}
        for member in sorted(self._others(), key=lambda member: member.name):
            if member.region == self.own.region:
                near.append(member)
            else:
                by_region.setdefault(member.region, []).append(member)
        far = [
            (number, member.name, member)
            for members in by_region.values()
            for number, member in enumerate(members)
        ]
        return near, [member for _, _, member in sorted(far, key=lambda x: x[:2])]

    def silent_after_s(self, region: str) -> float:
        """Return the time without a heartbeat after which a node counts as dead.

        All nodes use the same round-robin, so the own list gives its length.
        """
        near, far = self.by_distance()
        is_near = region == self.own.region
        turns = len(near) / MOST_NEAR if is_near else len(far) / MOST_FAR
        return SILENT_AFTER_S + (max(ceil(turns), 1) - 1) * BEAT_PERIOD_S

    def fresh_beats(self, region: str, now: float) -> list[Beat]:
        """Return the last heartbeats of a region's other nodes that are alive."""
        after_s = self.silent_after_s(region)
        return [
            beat
            for name, beat in self.beats.items()
            if beat.member.region == region
            and name != self.own.name
            and now - self.heard[name] <= after_s
        ]

    def is_alive(self, name: str, now: float) -> bool:
        """Return whether a node sent a heartbeat within the liveness timeout."""
        if name == self.own.name:
            return True
        heard = self.heard.get(name)
        if heard is None:
            return False
        known = self.beats.get(name)
        member = known.member if known else self.listed.get(name)
        region = member.region if member else ""
        return now - heard <= self.silent_after_s(region)

    def usable(self, now: float, own_ready: bool) -> list[Member]:
        """Return the live nodes that are ready for clients."""
        found = [self.own] if own_ready else []
        near, far = self.by_distance()
        for member in near + far:
            beat = self.beats.get(member.name)
            if beat is not None and beat.ready and self.is_alive(member.name, now):
                found.append(beat.member)
        return found

    def count(self) -> int:
        """Return the number of known nodes, by which shared limits are divided."""
        near, far = self.by_distance()
        return len(near) + len(far) + 1

    def alive_count(self, now: float) -> int:
        """Return the number of live nodes, this one included."""
        near, far = self.by_distance()
        return 1 + sum(self.is_alive(member.name, now) for member in near + far)


def _in_turn(members: Sequence[Member], most: int, turn: int) -> list[Member]:
    """Return one slice of the nodes; the next turn returns the slice after it."""
    if len(members) <= most:
        return list(members)
    start = turn * most
    return [members[(start + step) % len(members)] for step in range(most)]


def nearest(
    members: Iterable[Member], failure_domain: str, region: str
) -> list[Member]:
    """Return the nodes of the client's region, or all if it has none."""
    everyone = sorted(members, key=lambda member: member.name)
    same = [member for member in everyone if member.region == region]
    return same or everyone
