"""Decide which backend server slots an entry instance may use.

Slot i of a server belongs to the member with the highest rendezvous hash among the
roster of the failure domain without its released members. A member is a name of the
roster, or a former name that has not been released yet.
"""

from collections.abc import Iterable, Mapping

from attrs import frozen
from xxhash import xxh3_64_intdigest

from ebonybend.clock import Clock

# Covers the time between a member's last loop run and the receipt of its heartbeat.
MARGIN_S = 0.5


@frozen
class Heartbeat:
    """A sign of life between entries of a failure domain, or the answer to one."""

    name: str
    incarnation: int
    # Grows with each message of an incarnation, so that late ones are recognised.
    sequence: int
    # The sender uses no slot, has nothing in flight and will not use a slot again.
    released: bool = False
    # Answers only: the receiver counts as a member, and what the sender has in flight
    # fits the share that this leaves it.
    acknowledges: bool = False
    # Answers only: the sender had released the receiver and may use its slots still.
    reclaiming: bool = False
    # Answers only: the highest incarnation of the receiver that the sender knows.
    peer_incarnation: int = 0


class Peer:
    """What a ledger knows about another member."""

    def __init__(self, now: float, acknowledged: bool):
        self.incarnation = 0
        self.sequence = 0
        self.heard_at = now
        self.released = False
        # It was released and has not been acknowledged since it came back.
        self.reclaiming = False
        # It is known not to use slots that this process owns.
        self.acknowledged = acknowledged
        self.first_refused_at: float | None = None
        self.last_refused_at: float | None = None
        self.unlisted_since: float | None = None

    def restart_evidence(self, now: float) -> None:
        """Forget what was observed before a pause of the observer."""
        self.heard_at = now
        self.first_refused_at = None
        self.last_refused_at = None
        if self.unlisted_since is not None:
            self.unlisted_since = now


class SlotLedger:
    """The slots that one incarnation of an entry may use, and those in use."""

    def __init__(
        self,
        own: str,
        incarnation: int,
        clock: Clock,
        hold_s: float,
        longest_deadline_s: float,
    ):
        now = clock.monotonic()
        self.own = own
        self.incarnation = incarnation
        self.clock = clock
        self.hold_s = hold_s
        self.longest_deadline_s = longest_deadline_s
        # Requests of an earlier incarnation may run until then.
        self.predecessor_done_at = now + hold_s + longest_deadline_s
        self.silence_s = hold_s + longest_deadline_s + MARGIN_S
        self.evidence_s = longest_deadline_s + MARGIN_S
        self.roster: frozenset[str] = frozenset()
        self.peers: dict[str, Peer] = {}
        self.servers: dict[str, int] = {}
        self.listed: frozenset[str] | None = None
        self.ticked_at = now
        # Only acknowledgements of heartbeats sent after this time count.
        self.synchronise_from = now
        self.resumed_at = now
        self.sequence = 0
        self.releasing = False
        self.superseded = False
        self._in_flight: dict[str, int] = {}
        self._total_in_flight = 0
        self._hashes: dict[tuple[str, int, str], int] = {}
        self._shares: dict[str, int] = {}
        self._ready = False

    def set_roster(self, names: Iterable[str]) -> None:
        """Set the planned instance names of the failure domain, own name included."""
        now = self.clock.monotonic()
        was_member = self.own in self.roster
        self.roster = frozenset(names)
        # A name that joins waits for this process, not the other way round.
        for name in self.roster - self.peers.keys() - {self.own}:
            self.peers[name] = Peer(now, acknowledged=was_member)
            self._note_listing(name, now)
        if self.own in self.roster and not was_member:
            self._synchronise(now)
        self._drop_former_members()
        self._members_changed()

    def set_servers(self, servers: Mapping[str, int]) -> None:
        """Set the slots of each backend server of the failure domain."""
        if servers == self.servers:
            return
        self.servers = dict(servers)
        self._hashes = {}
        self._members_changed()

    def set_live_instances(self, live_names: Iterable[str]) -> None:
        """Set the names that the platform's list shows as live."""
        self.listed = frozenset(live_names)
        now = self.clock.monotonic()
        for name in self.peers:
            self._note_listing(name, now)

    def tick(self) -> None:
        """Note that the heartbeat loop ran; detect a pause and release the dead."""
        now = self.clock.monotonic()
        gap = now - self.ticked_at
        self.ticked_at = now
        if gap >= self.hold_s:
            self._resume(now, gap)
        self._release_dead(now)

    def heartbeat(self) -> Heartbeat:
        """Return the message to send to every other member."""
        self.sequence += 1
        return Heartbeat(
            name=self.own,
            incarnation=self.incarnation,
            sequence=self.sequence,
            released=self.is_released(),
        )

    def receive(self, heartbeat: Heartbeat) -> Heartbeat:
        """Take in a peer's heartbeat and return the answer to it."""
        now = self.clock.monotonic()
        if heartbeat.name == self.own and heartbeat.incarnation > self.incarnation:
            self.superseded = True
            self._check_ready()
        # After a pause the receive buffers may hold messages from before the pause.
        may_release = now - self.resumed_at >= self.hold_s
        current = self._update_peer(heartbeat, may_release)
        peer = self.peers.get(heartbeat.name)
        acknowledges = current and heartbeat.name in self.roster and self._fits()
        if acknowledges:
            peer.reclaiming = False
        self.sequence += 1
        return Heartbeat(
            name=self.own,
            incarnation=self.incarnation,
            sequence=self.sequence,
            released=self.is_released(),
            acknowledges=acknowledges,
            reclaiming=peer is not None and peer.reclaiming,
            peer_incarnation=peer.incarnation if peer else 0,
        )

    def record_acknowledgement(self, answer: Heartbeat, sent_at: float) -> None:
        """Take in the answer to a heartbeat that was sent at a time."""
        if answer.peer_incarnation > self.incarnation:
            self.superseded = True
        # A late answer may come from before the peer released this process.
        late = self.clock.monotonic() - sent_at >= self.hold_s
        valid = sent_at >= self.synchronise_from and not late
        if self._update_peer(answer, may_release=valid):
            peer = self.peers[answer.name]
            if answer.reclaiming:
                peer.acknowledged = False
            if answer.acknowledges and valid:
                peer.acknowledged = True
        self._check_ready()

    def record_refused_connection(self, name: str) -> None:
        """Note that a peer's port refused a connection."""
        peer = self.peers.get(name)
        if peer is None:
            return
        now = self.clock.monotonic()
        if peer.first_refused_at is None:
            peer.first_refused_at = now
        peer.last_refused_at = now

    def record_request_start(self, server: str) -> None:
        """Count a request that was sent to a server."""
        self._in_flight[server] = self._in_flight.get(server, 0) + 1
        self._total_in_flight += 1

    def record_request_end(self, server: str) -> None:
        """Count a request that ended on a server."""
        self._in_flight[server] -= 1
        self._total_in_flight -= 1

    def owned(self, server: str) -> int:
        """Return the number of a server's slots that may be used at this moment."""
        if not self._ready or self.clock.monotonic() - self.ticked_at >= self.hold_s:
            return 0
        return self._shares.get(server, 0)

    def in_flight(self, server: str) -> int:
        """Return the number of requests that this process has on a server."""
        return self._in_flight.get(server, 0)

    def slots(self, server: str) -> int:
        """Return the number of slots that a server has for all members."""
        return self.servers.get(server, 0)

    def release(self) -> None:
        """Own nothing from now on; heartbeats say so once nothing is in flight."""
        self.releasing = True
        self._check_ready()

    def is_released(self) -> bool:
        """Return whether this name has no request running and starts no more."""
        settled = self.clock.monotonic() >= self.predecessor_done_at
        stopping = self.releasing or self.own not in self.roster
        return stopping and settled and self._total_in_flight == 0

    def members(self) -> tuple[str, ...]:
        """Return the names that own slots in this process's view, sorted."""
        live = {name for name, peer in self.peers.items() if not peer.released}
        return tuple(sorted(live | (self.roster & {self.own})))

    def waiting_for(self) -> tuple[str, ...]:
        """Return the members whose acknowledgement is outstanding, sorted."""
        return tuple(
            sorted(
                name
                for name, peer in self.peers.items()
                if not (peer.released or peer.acknowledged)
            )
        )

    def _note_listing(self, name: str, now: float) -> None:
        peer = self.peers[name]
        if self.listed is None or name in self.listed:
            peer.unlisted_since = None
        elif peer.unlisted_since is None:
            peer.unlisted_since = now

    def _update_peer(self, message: Heartbeat, may_release: bool) -> bool:
        """Update a peer from its message; return whether the message is current."""
        peer = self.peers.get(message.name)
        if peer is None:
            return False
        mark = (message.incarnation, message.sequence)
        if mark <= (peer.incarnation, peer.sequence):
            return False
        peer.incarnation, peer.sequence = mark
        peer.heard_at = self.clock.monotonic()
        peer.first_refused_at = None
        peer.last_refused_at = None
        if message.released and may_release:
            self._set_released(peer)
        elif peer.released and not message.released:
            # It uses nothing until this process acknowledges it.
            peer.released = False
            peer.reclaiming = True
            self._members_changed()
        return not message.released

    def _set_released(self, peer: Peer) -> None:
        if peer.released:
            return
        peer.released = True
        peer.acknowledged = True
        self._drop_former_members()
        self._members_changed()

    def _resume(self, now: float, gap: float) -> None:
        # A replacement of a released member that started during a short gap is itself
        # still waiting. After a long gap, or two close together, it may own slots.
        steady = now - gap - self.resumed_at >= self.silence_s
        keep_released = steady and gap < self.longest_deadline_s
        self.resumed_at = now
        for peer in self.peers.values():
            peer.restart_evidence(now)
            if peer.released and not keep_released:
                peer.released = False
                peer.reclaiming = True
        self._synchronise(now)
        self._members_changed()

    def _synchronise(self, now: float) -> None:
        """Require a new acknowledgement from each member that is not released."""
        self.synchronise_from = now
        for peer in self.peers.values():
            peer.acknowledged = peer.released

    def _release_dead(self, now: float) -> None:
        dead = [
            peer
            for peer in self.peers.values()
            if not peer.released and self._is_dead(peer, now)
        ]
        for peer in dead:
            self._set_released(peer)
        self._check_ready()

    def _is_dead(self, peer: Peer, now: float) -> bool:
        """Return whether a peer is silent and another source shows it as dead.

        Evidence counts once it is older than the longest deadline, because a peer that
        was cut off may have sent requests until the moment it died.
        """
        if now - peer.heard_at < self.silence_s:
            return False
        unlisted = peer.unlisted_since
        if unlisted is not None and now - unlisted >= self.evidence_s:
            return True
        if peer.first_refused_at is None:
            return False
        still_refused = now - peer.last_refused_at < self.hold_s
        return still_refused and now - peer.first_refused_at >= self.evidence_s

    def _drop_former_members(self) -> None:
        for name in [n for n, p in self.peers.items() if p.released]:
            if name not in self.roster:
                del self.peers[name]

    def _members_changed(self) -> None:
        members = self.members()
        self._shares = {
            server: sum(
                self._owner(server, slot, members) == self.own for slot in range(slots)
            )
            for server, slots in self.servers.items()
        }
        self._check_ready()

    def _owner(self, server: str, slot: int, members: tuple[str, ...]) -> str | None:
        return max(
            members, key=lambda name: self._hash(server, slot, name), default=None
        )

    def _hash(self, server: str, slot: int, name: str) -> int:
        key = (server, slot, name)
        value = self._hashes.get(key)
        if value is None:
            value = xxh3_64_intdigest(f"{server}/{slot}/{name}".encode())
            self._hashes[key] = value
        return value

    def _fits(self) -> bool:
        """Return whether all requests of this name fit this process's share.

        Requests of an earlier incarnation are not counted here, so the answer is no
        until they have ended.
        """
        if self.clock.monotonic() < self.predecessor_done_at:
            return False
        return all(
            count <= self._shares.get(server, 0)
            for server, count in self._in_flight.items()
        )

    def _check_ready(self) -> None:
        settled = self.clock.monotonic() >= self.predecessor_done_at
        stopped = self.releasing or self.superseded or self.own not in self.roster
        self._ready = settled and not stopped and not self.waiting_for()
