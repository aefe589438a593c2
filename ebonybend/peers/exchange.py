"""Exchange records with other control processes."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from twisted.internet.defer import Deferred, gatherResults, succeed

from ebonybend.errors import SteeringError
from ebonybend.logs import get_logger
from ebonybend.peers.merge import Replica
from ebonybend.peers.records import (
    MAIN,
    ExchangeReply,
    ExchangeRequest,
    Record,
    RecordKind,
    RecordName,
    ShardVersion,
    SuspectRecord,
)
from ebonybend.peers.suspects import SuspectSet
from ebonybend.tasks import Tasks, Timers

# A second exchange of two local peers within this time, started by either of them,
# brings nothing new.
MIN_EXCHANGE_INTERVAL_S = 1.5
REMOTE_PEERS_PER_ROUND = 2
REMOTE_PEERS_FOR_RULES = 3
# Two, since one of them may be down or partitioned.
REMOTE_PEERS_PER_DOMAIN_FOR_SUSPECTS = 2
REMOTE_PEERS_AT_START = 8
# A peer whose exchange failed is chosen last for this time.
FAILED_PEER_AVOIDANCE_S = 5.0
RULES = RecordName(RecordKind.RULES, MAIN)


class PeerAddress(Protocol):
    """Name, failure domain and address of another control process."""

    name: str
    failure_domain: str
    address: str


class PeerTransport(Protocol):
    """Send requests to peers."""

    async def send(
        self, address: str, request: ExchangeRequest
    ) -> ExchangeReply | None:
        """Return the reply, or None if there was none."""
        ...

    async def fetch_shard(self, address: str, shard: ShardVersion) -> bytes | None:
        """Return a shard of the client map, or None if the peer doesn't have it."""
        ...


class PeerExchange:
    """Start and answer exchanges; merge newer records into the replica."""

    def __init__(
        self,
        own_name: str,
        failure_domain: str,
        replica: Replica,
        suspects: SuspectSet,
        transport: PeerTransport,
        peers: Callable[[], tuple[PeerAddress, ...]],
        seeds: Iterable[str],
        timers: Timers,
        random: Random,
    ):
        self.own_name = own_name
        self.failure_domain = failure_domain
        self.replica = replica
        self.suspects = suspects
        self.transport = transport
        self.peers = peers
        self.seeds = tuple(seeds)
        self.timers = timers
        self.random = random
        self.tasks = Tasks(timers)
        # True once this control has synchronised.
        self.ready = False
        self.on_suspects_changed: Callable[[], None] = lambda: None
        # Time of the last exchange that a peer started or answered, by name.
        self.last_contacts: dict[str, float] = {}
        self.failed_at: dict[str, float] = {}
        # Peers with a running exchange, by name; true if it must be repeated.
        self.repeat_requested: dict[str, bool] = {}
        # Counts since the start, for metrics.
        self.started = 0
        self.failed = 0
        self.answered = 0
        replica.add_listener(RecordKind.RULES, self._on_rules_changed)

    def run_round(self) -> None:
        """Exchange once with the local domain's peers and with some remote ones."""
        local, remote = self._split_peers()
        for peer in local:
            if self.own_name < peer.name or self._exchange_is_overdue(peer.name):
                self.start(peer)
        for peer in self._choose_peers(remote, REMOTE_PEERS_PER_ROUND):
            self.start(peer)
        if not local and not remote:
            for address in self.seeds:
                self.tasks.start(self.exchange(address))

    def push_load(self) -> None:
        """Exchange at once with the local domain."""
        local, _ = self._split_peers()
        for peer in local:
            self.start(peer)

    def push_rules(self) -> None:
        """Exchange at once with the local domain and some remote peers."""
        local, remote = self._split_peers()
        for peer in (*local, *self._choose_peers(remote, REMOTE_PEERS_FOR_RULES)):
            self.start(peer)

    def push_suspects(self, everywhere: bool) -> Deferred[list[None]]:
        """Send the suspects to the local domain and, if asked, to all others."""
        local, remote = self._split_peers()
        chosen = list(local)
        if everywhere:
            domains = {peer.failure_domain for peer in remote}
            for domain in sorted(domains):
                members = [peer for peer in remote if peer.failure_domain == domain]
                chosen += self._choose_peers(
                    members, REMOTE_PEERS_PER_DOMAIN_FOR_SUSPECTS
                )
        sent = [self.tasks.start(self._send_suspects(peer)) for peer in chosen]
        return gatherResults(sent, consumeErrors=True)

    async def _send_suspects(self, peer: PeerAddress) -> None:
        """Send the suspects at once, also while an exchange with the peer is running.

        An exchange sends them only in its second request. A crash report that waits for
        a running exchange arrives after the entry has resent the suspect request.
        """
        local = peer.failure_domain == self.failure_domain
        notice = self.build_request(local, suspects=self.suspects.records())
        reply = await self.transport.send(peer.address, notice)
        if reply is not None:
            self._merge(reply.records, reply.suspects, reply.failure_domain)

    async def synchronise(self) -> int:
        """Exchange with the seeds and known peers; return how many are synchronised."""
        local, remote = self._split_peers()
        addresses = {*self.seeds, *(peer.address for peer in local)}
        chosen = self._choose_peers(remote, REMOTE_PEERS_AT_START)
        addresses.update(peer.address for peer in chosen)
        runs = [
            Deferred.fromCoroutine(self.exchange(address))
            for address in sorted(addresses)
        ]
        replies = await gatherResults(runs, consumeErrors=True)
        return sum(1 for reply in replies if reply is not None and reply.ready)

    def start(self, peer: PeerAddress) -> Deferred[None]:
        """Start an exchange with a peer, or have the running one repeated."""
        if peer.name in self.repeat_requested:
            # The data that the running exchange has sent may be out of date already.
            self.repeat_requested[peer.name] = True
            return succeed(None)
        self.repeat_requested[peer.name] = False
        return self.tasks.start(self._run(peer))

    async def _run(self, peer: PeerAddress) -> None:
        local = peer.failure_domain == self.failure_domain
        try:
            reply = await self.exchange(peer.address, local)
            while reply is not None and self.repeat_requested[peer.name]:
                self.repeat_requested[peer.name] = False
                reply = await self.exchange(peer.address, local)
        finally:
            del self.repeat_requested[peer.name]
        if reply is None:
            self.failed_at[peer.name] = self.timers.seconds()
        else:
            self.failed_at.pop(peer.name, None)
            self.last_contacts[peer.name] = self.timers.seconds()

    async def exchange(self, address: str, local: bool = False) -> ExchangeReply | None:
        """Exchange with the peer at an address; return its first reply."""
        self.started += 1
        reply = await self.transport.send(address, self.build_request(local))
        if reply is None:
            self.failed += 1
            return None
        self._merge(reply.records, reply.suspects, reply.failure_domain)
        newer, older = [], []
        if reply.slow:
            newer, older = self.replica.slow_differences(reply.slow)
        records = self.replica.records(dict.fromkeys([*reply.wanted, *newer]))
        differ = reply.suspects_digest != self.suspects.digest()
        suspects = self.suspects.records() if differ else ()
        if records or older or suspects:
            rest = self.build_request(local, records, suspects, tuple(older))
            second = await self.transport.send(address, rest)
            if second is not None:
                self._merge(second.records, second.suspects, second.failure_domain)
        return reply

    def build_request(
        self,
        local: bool,
        records: tuple[Record, ...] = (),
        suspects: tuple[SuspectRecord, ...] = (),
        wanted: tuple[RecordName, ...] = (),
    ) -> ExchangeRequest:
        """Return a request with the versions that this control has.

        Load records are sent only inside the domain. Other domains get the summary
        from its writer, so that the confirmation of a change doesn't wait for their
        next request.
        """
        own_records = self._own_load() if local else self._own_summary()
        records = (*records, *own_records)
        return ExchangeRequest(
            self.own_name,
            self.failure_domain,
            self.replica.version(RecordKind.RULES),
            self.replica.slow_digest(),
            self.suspects.digest(),
            self.replica.versions(RecordKind.DOMAIN),
            self.replica.versions(RecordKind.LOAD) if local else {},
            records,
            suspects,
            wanted,
        )

    def answer(self, request: ExchangeRequest) -> ExchangeReply:
        """Merge the records of a request and return those that its sender lacks."""
        self.answered += 1
        self.last_contacts[request.sender] = self.timers.seconds()
        self._merge(request.records, request.suspects, request.failure_domain)
        newer = [
            *request.wanted,
            *self.replica.newer_than(RecordKind.DOMAIN, request.domains),
        ]
        if request.failure_domain == self.failure_domain:
            newer += self.replica.newer_than(RecordKind.LOAD, request.loads)
        revision = self.replica.version(RecordKind.RULES)
        if revision > request.rules_revision:
            newer.append(RULES)
        wanted = (RULES,) if request.rules_revision > revision else ()
        same = request.slow_digest == self.replica.slow_digest()
        digest = self.suspects.digest()
        suspects = () if digest == request.suspects_digest else self.suspects.records()
        return ExchangeReply(
            self.own_name,
            self.failure_domain,
            self.replica.records(dict.fromkeys(newer)),
            suspects,
            wanted,
            () if same else self.replica.slow_versions(),
            digest,
            self.ready,
        )

    def _own_summary(self) -> tuple[Record, ...]:
        found = self.replica.records(
            (RecordName(RecordKind.DOMAIN, self.failure_domain),)
        )
        return tuple(record for record in found if record.writer == self.own_name)

    def _own_load(self) -> tuple[Record, ...]:
        return self.replica.records((RecordName(RecordKind.LOAD, self.own_name),))

    def _merge(
        self,
        records: Iterable[Record],
        suspects: Iterable[SuspectRecord],
        failure_domain: str,
    ) -> None:
        local = failure_domain == self.failure_domain
        for record in records:
            if local or record.kind is not RecordKind.LOAD:
                self._merge_record(record)
        changes = [self.suspects.merge(suspect) for suspect in suspects]
        if any(changes):
            self.on_suspects_changed()
            if not local:
                self.push_suspects(everywhere=False)

    def _merge_record(self, record: Record) -> None:
        try:
            self.replica.merge_record(record)
        except SteeringError as error:
            get_logger().warning(
                "record_bad", kind=record.kind.value, error=error.message
            )

    def _on_rules_changed(self, _name: str) -> None:
        # Delayed until all records of the reply with the new rules are merged.
        self.timers.callLater(0, self.push_rules)

    def _exchange_is_overdue(self, name: str) -> bool:
        last = self.last_contacts.get(name)
        return last is None or self.timers.seconds() - last > MIN_EXCHANGE_INTERVAL_S

    def _split_peers(self) -> tuple[list[PeerAddress], list[PeerAddress]]:
        local, remote = [], []
        for peer in self.peers():
            own_domain = peer.failure_domain == self.failure_domain
            (local if own_domain else remote).append(peer)
        return local, remote

    def _choose_peers(self, peers: list[PeerAddress], count: int) -> list[PeerAddress]:
        """Return some peers at random, those that failed recently last."""
        shuffled = self.random.sample(peers, len(peers))
        shuffled.sort(key=self._failed_recently)
        return shuffled[:count]

    def _failed_recently(self, peer: PeerAddress) -> bool:
        failed_at = self.failed_at.get(peer.name, float("-inf"))
        return self.timers.seconds() - failed_at < FAILED_PEER_AVOIDANCE_S
