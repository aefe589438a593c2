"""The nodes of the system: who they are, and which of them were heard lately."""

from collections.abc import Iterable, Mapping, Sequence
from math import ceil

from attrs import frozen
from xxhash import xxh3_64_intdigest

from ebonybend.steering.suspects import SuspectView

# Two lost datagrams in a row don't make a node silent.
BEAT_PERIOD_S = 0.7
# A node that was not heard for this time is not named to callers, if it tells this one
# with every beat; otherwise it is given the time of its turns.
SILENT_AFTER_S = 2.5
# Nodes of the own region that one beat goes to, and of all other regions together.
# 100 nodes of a region hear each other every 4.2 s then, and a node of any deployment
# sends 10 KB/s at the most.
MOST_NEAR = 18
MOST_FAR = 4
# A datagram of an earlier process arrives at most this late: several round trips.
DATAGRAM_LIFETIME_S = 1.0
# A node that was never heard is given this time after its entry was seen.
FIRST_WORD_S = 3.0


@frozen
class Member:
    """A node's own entry in the store."""

    name: str
    failure_domain: str
    region: str
    callers_address: str
    peer_address: str
    # Wall time of the start in milliseconds; a later process has a larger one.
    incarnation: int


@frozen(kw_only=True)
class Beat:
    """What a node tells the others about itself once per period."""

    name: str
    incarnation: int
    # Grows with each beat of an incarnation, so that an old datagram is ignored.
    count: int
    # Whether callers may use the node.
    ready: bool
    # Newest version of an object of each kind that the node follows in the store.
    newest: dict[str, int]
    # Time for which the store has answered the node without a failure; 0 while it
    # doesn't.
    followed_s: float
    # Demand in hundredths of a slot by service: of the node, told in its region, or of
    # all nodes of its region that it has heard, told to other regions.
    demand: dict[str, int]
    # Requests that crashed servers.
    suspects: tuple[SuspectView, ...]
    member: Member


class Members:
    """The nodes in the store's list and in beats; time is passed in."""

    def __init__(self, own: Member):
        self.own = own
        self.listed: dict[str, Member] = {}
        self.beats: dict[str, Beat] = {}
        # Time at which a node was heard last, or first seen in the list.
        self.heard: dict[str, float] = {}
        # The other nodes of the own region and of all others; None if out of date.
        self.groups: tuple[list[Member], list[Member]] | None = None
        # Spreads the turns of different senders over their receivers.
        self.turn = xxh3_64_intdigest(own.name.encode())

    def update_list(self, members: Mapping[str, Member], now: float) -> None:
        """Take in the store's list."""
        for name, member in members.items():
            known = self.listed.get(name)
            if known is None or known.incarnation != member.incarnation:
                grace = FIRST_WORD_S - SILENT_AFTER_S
                self.heard.setdefault(name, now + grace)
        self.listed = dict(members)
        self.groups = None

    def take_beat(self, beat: Beat, now: float) -> bool:
        """Take in a beat; return False for one that is older than a known one."""
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
        # A node whose clock was set back before its start has a smaller incarnation.
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
        """Return the nodes that the next beat goes to: of the own region, and others.

        Where there are many, they take turns.
        """
        self.turn += 1
        near, far = self.by_distance()
        return (
            _in_turn(near, MOST_NEAR, self.turn),
            _in_turn(far, MOST_FAR, self.turn),
        )

    def by_distance(self) -> tuple[list[Member], list[Member]]:
        """Return the other nodes of the own region, and those of all others.

        The others are in an order in which neighbours are of different regions.
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
        """Return the time without a beat after which a node counts as silent.

        The nodes of a deployment take their turns alike.
        """
        near, far = self.by_distance()
        is_near = region == self.own.region
        turns = len(near) / MOST_NEAR if is_near else len(far) / MOST_FAR
        return SILENT_AFTER_S + (max(ceil(turns), 1) - 1) * BEAT_PERIOD_S

    def fresh_beats(self, region: str, now: float) -> list[Beat]:
        """Return the beats of a region's other nodes that were heard lately."""
        after_s = self.silent_after_s(region)
        return [
            beat
            for name, beat in self.beats.items()
            if beat.member.region == region
            and name != self.own.name
            and now - self.heard[name] <= after_s
        ]

    def is_alive(self, name: str, now: float) -> bool:
        """Tell whether a node was heard lately."""
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
        """Return the nodes that callers may be sent to."""
        found = [self.own] if own_ready else []
        near, far = self.by_distance()
        for member in near + far:
            beat = self.beats.get(member.name)
            if beat is not None and beat.ready and self.is_alive(member.name, now):
                found.append(beat.member)
        return found

    def count(self) -> int:
        """Return the number of nodes that may share a bound with this one."""
        near, far = self.by_distance()
        return len(near) + len(far) + 1

    def alive_count(self, now: float) -> int:
        """Return the number of nodes that were heard lately, this one included."""
        near, far = self.by_distance()
        return 1 + sum(self.is_alive(member.name, now) for member in near + far)


def _in_turn(members: Sequence[Member], most: int, turn: int) -> list[Member]:
    """Return at most a number of nodes; the next turn returns those after them."""
    if len(members) <= most:
        return list(members)
    start = turn * most
    return [members[(start + step) % len(members)] for step in range(most)]


def nearest(
    members: Iterable[Member], failure_domain: str, region: str
) -> list[Member]:
    """Return the nodes of the caller's region, or all if it has none."""
    everyone = sorted(members, key=lambda member: member.name)
    same = [member for member in everyone if member.region == region]
    return same or everyone
