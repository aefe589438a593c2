"""The nodes of the system: who they are, and which of them were heard lately."""

from collections.abc import Iterable, Mapping

from attrs import frozen

from ebonybend.steering.suspects import SuspectView

# A node that was not heard for this time is not named to callers.
SILENT_AFTER_S = 2.5
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
    # Demand at the node in slots by service.
    demand: dict[str, float]
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

    def update_list(self, members: Mapping[str, Member], now: float) -> None:
        """Take in the store's list."""
        for name, member in members.items():
            known = self.listed.get(name)
            if known is None or known.incarnation != member.incarnation:
                grace = FIRST_WORD_S - SILENT_AFTER_S
                self.heard.setdefault(name, now + grace)
        self.listed = dict(members)

    def take_beat(self, beat: Beat, now: float) -> bool:
        """Take in a beat; return False for one that is older than a known one."""
        known = self.beats.get(beat.name)
        order = (beat.incarnation, beat.count)
        if known is not None and order <= (known.incarnation, known.count):
            return False
        self.beats[beat.name] = beat
        self.heard[beat.name] = now
        return True

    def others(self) -> list[Member]:
        """Return the other nodes that beats are sent to."""
        found = {beat.name: beat.member for beat in self.beats.values()}
        for name, member in self.listed.items():
            known = found.get(name)
            if known is None or known.incarnation < member.incarnation:
                found[name] = member
        found.pop(self.own.name, None)
        return list(found.values())

    def is_alive(self, name: str, now: float) -> bool:
        """Tell whether a node was heard lately."""
        if name == self.own.name:
            return True
        heard = self.heard.get(name)
        return heard is not None and now - heard <= SILENT_AFTER_S

    def usable(self, now: float, own_ready: bool) -> list[Member]:
        """Return the nodes that callers may be sent to."""
        found = [self.own] if own_ready else []
        for member in self.others():
            beat = self.beats.get(member.name)
            if beat is not None and beat.ready and self.is_alive(member.name, now):
                found.append(beat.member)
        return found

    def count(self) -> int:
        """Return the number of nodes that may share a bound with this one."""
        return len(self.others()) + 1

    def alive_count(self, now: float) -> int:
        """Return the number of nodes that were heard lately, this one included."""
        names = (member.name for member in self.others())
        return 1 + sum(self.is_alive(name, now) for name in names)


def nearest(
    members: Iterable[Member], failure_domain: str, region: str
) -> list[Member]:
    """Return the nodes of the caller's region, or all if it has none."""
    everyone = sorted(members, key=lambda member: member.name)
    same = [member for member in everyone if member.region == region]
    return same or everyone
