"""Assign the slots of backend servers to the entry instances of a failure domain.

Slot i of a server belongs to the member with the highest rendezvous hash. Members are
the instances that are on the failure domain's roster, or were removed from it, and that
have not been released.
"""

from collections.abc import Iterable, Mapping

from attrs import frozen
from xxhash import xxh3_64_intdigest

from ebonybend.clock import Clock

# Covers the time between a run of a member's heartbeat loop and the receipt of its
# heartbeat.
HEARTBEAT_MARGIN_S = 0.5


@frozen
class Heartbeat:
    """A heartbeat between entries of a failure domain, or the answer to one."""

    name: str
    incarnation: int
    # Increases with each message of an incarnation, so that late ones are recognised.
    sequence: int
    # The sender owns no slot, has no request in flight and will not use a slot again.
    released: bool = False
    # Answers only: the sender counts the receiver as a member, and the sender's
    # requests in flight fit into the slots that it owns then.
    acknowledges: bool = False
    # Answers only: the sender had released the receiver and may still use its slots.
    reclaiming: bool = False
    # Answers only: the highest incarnation of the receiver that the sender knows.
    peer_incarnation: int = 0


class Peer:
    """A ledger's view of another member."""

    def __init__(self, now: float, acknowledged: bool):
        self.incarnation = 0
        self.sequence = 0
        self.last_seen_at = now
        self.released = False
        # It was released, sent heartbeats again and has not been acknowledged since.
        self.reclaiming = False
        # It is known to use no slot that this process owns.
        self.acknowledged = acknowledged
        self.first_refused_at: float | None = None
        self.last_refused_at: float | None = None
        self.unlisted_since: float | None = None

    def reset_evidence(self, now: float) -> None:
        """Discard the observations from before a pause of this process."""
        self.last_seen_at = now
        self.first_refused_at = None
        self.last_refused_at = None
        if self.unlisted_since is not None:
            self.unlisted_since = now


class SlotLedger:
    """Tracks the slots that one incarnation of an entry owns, and those in use."""

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
        # Requests of an earlier incarnation may run until this time.
        self.predecessor_done_at = now + hold_s + longest_deadline_s
        self.min_silence_s = hold_s + longest_deadline_s + HEARTBEAT_MARGIN_S
        self.min_evidence_age_s = longest_deadline_s + HEARTBEAT_MARGIN_S
        self.roster: frozenset[str] = frozenset()
        self.peers: dict[str, Peer] = {}
        self.servers: dict[str, int] = {}
        self.live_instances: frozenset[str] | None = None
        self.last_tick_at = now
        # Only answers to heartbeats sent after this time count as acknowledgements.
        self.acknowledgements_since = now
        self.resumed_at = now
        self.sequence = 0
        self.releasing = False
        self.superseded = False
        self._in_flight: dict[str, int] = {}
        self._total_in_flight = 0
        self._hashes: dict[tuple[str, int, str], int] = {}
        self._owned_by_server: dict[str, int] = {}
        self._ready = False

    def set_roster(self, names: Iterable[str]) -> None:
        """Set the planned instances of the failure domain, this one included."""
        now = self.clock.monotonic()
        was_member = self.own in self.roster
        self.roster = frozenset(names)
        # A joining instance waits for this process's acknowledgement; this process
        # doesn't wait for the joining one.
        for name in self.roster - self.peers.keys() - {self.own}:
            self.peers[name] = Peer(now, acknowledged=was_member)
            self._update_listing(name, now)
        if self.own in self.roster and not was_member:
            self._require_acknowledgements(now)
        self._remove_former_members()
        self._reassign_slots()

    def set_servers(self, servers: Mapping[str, int]) -> None:
        """Set the number of slots of each backend server of the failure domain."""
        if servers == self.servers:
            return
        self.servers = dict(servers)
        self._hashes = {}
        self._reassign_slots()

    def set_live_instances(self, live_names: Iterable[str]) -> None:
        """Set the instances that the platform lists as live."""
        self.live_instances = frozenset(live_names)
        now = self.clock.monotonic()
        for name in self.peers:
            self._update_listing(name, now)

    def tick(self) -> None:
        """Record a run of the heartbeat loop; detect a pause and release dead peers."""
        now = self.clock.monotonic()
        since_last_tick_s = now - self.last_tick_at
        self.last_tick_at = now
        if since_last_tick_s >= self.hold_s:
            self._resume(now, since_last_tick_s)
        self._release_dead(now)

    def has_run_since(self, time: float) -> bool:
        """Return whether the heartbeat loop has run without a pause since a time."""
        pausing = self.clock.monotonic() - self.last_tick_at >= self.hold_s
        return self.resumed_at <= time and not pausing

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
        """Record a peer's heartbeat and return the answer to it."""
        now = self.clock.monotonic()
        if heartbeat.name == self.own and heartbeat.incarnation > self.incarnation:
            self.superseded = True
            self._update_ready()
        # After a pause the receive buffers may hold messages from before the pause.
        may_release = now - self.resumed_at >= self.hold_s
        current = self._update_peer(heartbeat, may_release)
        peer = self.peers.get(heartbeat.name)
        acknowledges = (
            current and heartbeat.name in self.roster and self._requests_fit()
        )
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
        """Record the answer to a heartbeat that was sent at `sent_at`."""
        if answer.peer_incarnation > self.incarnation:
            self.superseded = True
        # A late answer may have been sent before the peer released this process.
        late = self.clock.monotonic() - sent_at >= self.hold_s
        valid = sent_at >= self.acknowledgements_since and not late
        if self._update_peer(answer, may_release=valid):
            peer = self.peers[answer.name]
            if answer.reclaiming:
                peer.acknowledged = False
            if answer.acknowledges and valid:
                peer.acknowledged = True
        self._update_ready()

    def record_refused_connection(self, name: str) -> None:
        """Record that a peer's port refused a connection."""
        peer = self.peers.get(name)
        if peer is None:
            return
        now = self.clock.monotonic()
        if peer.first_refused_at is None:
            peer.first_refused_at = now
        peer.last_refused_at = now

    def record_request_start(self, server: str) -> None:
        """Add a request to those in flight on a server."""
        self._in_flight[server] = self._in_flight.get(server, 0) + 1
        self._total_in_flight += 1

    def record_request_end(self, server: str) -> None:
        """Remove an ended request from those in flight on a server."""
        self._in_flight[server] -= 1
        self._total_in_flight -= 1

    def owned_slots(self, server: str) -> int:
        """Return the number of a server's slots that this process may use now."""
        if not self._ready or self.clock.monotonic() - self.last_tick_at >= self.hold_s:
            return 0
        return self._owned_by_server.get(server, 0)

    def in_flight(self, server: str) -> int:
        """Return the number of requests that this process has on a server."""
        return self._in_flight.get(server, 0)

    def total_slots(self, server: str) -> int:
        """Return the number of slots that a server has for all members."""
        return self.servers.get(server, 0)

    def release(self) -> None:
        """Stop owning slots; heartbeats report it once no request is in flight."""
        self.releasing = True
        self._update_ready()

    def is_released(self) -> bool:
        """Return whether this instance has no request in flight and starts no more."""
        predecessor_done = self.clock.monotonic() >= self.predecessor_done_at
        stopping = self.releasing or self.own not in self.roster
        return stopping and predecessor_done and self._total_in_flight == 0

    def members(self) -> tuple[str, ...]:
        """Return the names that own slots in this process's view, sorted."""
        live = {name for name, peer in self.peers.items() if not peer.released}
        return tuple(sorted(live | (self.roster & {self.own})))

    def unacknowledged_members(self) -> tuple[str, ...]:
        """Return the members whose acknowledgement is outstanding, sorted."""
        return tuple(
            sorted(
                name
                for name, peer in self.peers.items()
                if not (peer.released or peer.acknowledged)
            )
        )

    def _update_listing(self, name: str, now: float) -> None:
        peer = self.peers[name]
        if self.live_instances is None or name in self.live_instances:
            peer.unlisted_since = None
        elif peer.unlisted_since is None:
            peer.unlisted_since = now

    def _update_peer(self, message: Heartbeat, may_release: bool) -> bool:
        """Update a peer from its message; return False for an old one or a release."""
        peer = self.peers.get(message.name)
        if peer is None:
            return False
        message_version = (message.incarnation, message.sequence)
        if message_version <= (peer.incarnation, peer.sequence):
            return False
        peer.incarnation, peer.sequence = message_version
        peer.last_seen_at = self.clock.monotonic()
        peer.first_refused_at = None
        peer.last_refused_at = None
        if message.released and may_release:
            self._set_released(peer)
        elif peer.released and not message.released:
            # It uses no slot until this process acknowledges it.
            peer.released = False
            peer.reclaiming = True
            self._reassign_slots()
        return not message.released

    def _set_released(self, peer: Peer) -> None:
        if peer.released:
            return
        peer.released = True
        peer.acknowledged = True
        self._remove_former_members()
        self._reassign_slots()

    def _resume(self, now: float, pause_s: float) -> None:
        # A released member's replacement that started during a short pause still waits
        # for acknowledgements. After a long pause, or two close together, it may own
        # slots.
        no_recent_pause = now - pause_s - self.resumed_at >= self.min_silence_s
        keep_released = no_recent_pause and pause_s < self.longest_deadline_s
        self.resumed_at = now
        for peer in self.peers.values():
            peer.reset_evidence(now)
            if peer.released and not keep_released:
                peer.released = False
                peer.reclaiming = True
        self._require_acknowledgements(now)
        self._reassign_slots()

    def _require_acknowledgements(self, now: float) -> None:
        """Require a new acknowledgement from each member that is not released."""
        self.acknowledgements_since = now
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
        self._update_ready()

    def _is_dead(self, peer: Peer, now: float) -> bool:
        """Return whether a peer is silent and another source shows it as dead.

        The evidence must be older than the longest deadline, because a partitioned peer
        may have sent requests until it died.
        """
        if now - peer.last_seen_at < self.min_silence_s:
            return False
        unlisted = peer.unlisted_since
        if unlisted is not None and now - unlisted >= self.min_evidence_age_s:
            return True
        if peer.first_refused_at is None:
            return False
        still_refused = now - peer.last_refused_at < self.hold_s
        return still_refused and now - peer.first_refused_at >= self.min_evidence_age_s

    def _remove_former_members(self) -> None:
        for name in [n for n, p in self.peers.items() if p.released]:
            if name not in self.roster:
                del self.peers[name]

    def _reassign_slots(self) -> None:
        members = self.members()
        self._owned_by_server = {
            server: sum(
                self._owner(server, slot, members) == self.own for slot in range(slots)
            )
            for server, slots in self.servers.items()
        }
        self._update_ready()

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

    def _requests_fit(self) -> bool:
        """Return whether all requests of this instance fit into the slots it owns.

        Requests of an earlier incarnation aren't counted, so the result is False until
        they have ended.
        """
        if self.clock.monotonic() < self.predecessor_done_at:
            return False
        return all(
            count <= self._owned_by_server.get(server, 0)
            for server, count in self._in_flight.items()
        )

    def _update_ready(self) -> None:
        predecessor_done = self.clock.monotonic() >= self.predecessor_done_at
        stopped = self.releasing or self.superseded or self.own not in self.roster
        self._ready = (
            predecessor_done and not stopped and not self.unacknowledged_members()
        )
