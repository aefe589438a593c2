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

# A second exchange within this time, by either side, says nothing new.
PAIR_SILENCE_S = 1.5
FAR_PEERS_PER_ROUND = 2
FAR_PEERS_FOR_RULES = 3
# Two, since the one may be dead or cut off.
FAR_PEERS_PER_DOMAIN_FOR_SUSPECTS = 2
FAR_PEERS_AT_START = 8
# A peer that failed is not chosen at random for this time.
FAILED_PEER_S = 5.0
RULES = RecordName(RecordKind.RULES, MAIN)


class PeerAddress(Protocol):
    """Where another control process is reached."""

    name: str
    failure_domain: str
    address: str


class PeerTransport(Protocol):
    """Carry one request to one peer."""

    async def send(
        self, address: str, request: ExchangeRequest
    ) -> ExchangeReply | None:
        """Return the reply, or None when there was none."""
        ...

    async def fetch_shard(self, address: str, shard: ShardVersion) -> bytes | None:
        """Return a shard of the client map, or None if the peer doesn't have it."""
        ...


class PeerExchange:
    """Send and answer exchanges; what is new goes into the replica."""

    def __init__(
        self,
        own: str,
        failure_domain: str,
        replica: Replica,
        suspects: SuspectSet,
        transport: PeerTransport,
        peers: Callable[[], tuple[PeerAddress, ...]],
        seeds: Iterable[str],
        timers: Timers,
        random: Random,
    ):
        self.own = own
        self.failure_domain = failure_domain
        self.replica = replica
        self.suspects = suspects
        self.transport = transport
        self.peers = peers
        self.seeds = tuple(seeds)
        self.timers = timers
        self.random = random
        self.tasks = Tasks(timers)
        # Set once this control has synchronised.
        self.ready = False
        self.on_suspects: Callable[[], None] = lambda: None
        # Time of the last exchange that a peer started, or that reached it.
        self.contacts: dict[str, float] = {}
        self.failures: dict[str, float] = {}
        self.busy: dict[str, bool] = {}
        # Counts since the start, for metrics.
        self.started = 0
        self.failed = 0
        self.answered = 0
        replica.listen(RecordKind.RULES, self._rules_changed)

    def round(self) -> None:
        """Exchange once with the own domain's peers and with some of the others."""
        near, far = self._split()
        for peer in near:
            if self.own < peer.name or self._silent(peer.name):
                self.start(peer)
        for peer in self._choose(far, FAR_PEERS_PER_ROUND):
            self.start(peer)
        if not near and not far:
            for address in self.seeds:
                self.tasks.start(self.exchange(address))

    def push_load(self) -> None:
        """Exchange at once with the own domain."""
        near, _ = self._split()
        for peer in near:
            self.start(peer)

    def push_rules(self) -> None:
        """Exchange at once with the own domain and some others."""
        near, far = self._split()
        for peer in (*near, *self._choose(far, FAR_PEERS_FOR_RULES)):
            self.start(peer)

    def push_suspects(self, everywhere: bool) -> Deferred[list[None]]:
        """Send the suspects to the own domain and, if asked, to all others."""
        near, far = self._split()
        chosen = list(near)
        if everywhere:
            domains = {peer.failure_domain for peer in far}
            for domain in sorted(domains):
                members = [peer for peer in far if peer.failure_domain == domain]
                chosen += self._choose(members, FAR_PEERS_PER_DOMAIN_FOR_SUSPECTS)
        sent = [self.tasks.start(self._notify(peer)) for peer in chosen]
        return gatherResults(sent, consumeErrors=True)

    async def _notify(self, peer: PeerAddress) -> None:
        """Send suspects at once, also while an exchange with the peer is running.

        An exchange sends them only with its second request, and a crash notice that
        waits for a running one is later than the entry's resend of the suspect.
        """
        near = peer.failure_domain == self.failure_domain
        notice = self.request(near, suspects=self.suspects.records())
        reply = await self.transport.send(peer.address, notice)
        if reply is not None:
            self._take(reply.records, reply.suspects, reply.failure_domain)

    async def synchronise(self) -> int:
        """Ask the seeds and known peers for everything; return how many are ready."""
        near, far = self._split()
        addresses = {*self.seeds, *(peer.address for peer in near)}
        chosen = self._choose(far, FAR_PEERS_AT_START)
        addresses.update(peer.address for peer in chosen)
        runs = [
            Deferred.fromCoroutine(self.exchange(address))
            for address in sorted(addresses)
        ]
        replies = await gatherResults(runs, consumeErrors=True)
        return sum(1 for reply in replies if reply is not None and reply.ready)

    def start(self, peer: PeerAddress) -> Deferred[None]:
        """Exchange with a peer in the background, once at a time for each peer."""
        if peer.name in self.busy:
            # What the running exchange has sent may be out of date already.
            self.busy[peer.name] = True
            return succeed(None)
        self.busy[peer.name] = False
        return self.tasks.start(self._run(peer))

    async def _run(self, peer: PeerAddress) -> None:
        near = peer.failure_domain == self.failure_domain
        try:
            reply = await self.exchange(peer.address, near)
            while reply is not None and self.busy[peer.name]:
                self.busy[peer.name] = False
                reply = await self.exchange(peer.address, near)
        finally:
            del self.busy[peer.name]
        if reply is None:
            self.failures[peer.name] = self.timers.seconds()
        else:
            self.failures.pop(peer.name, None)
            self.contacts[peer.name] = self.timers.seconds()

    async def exchange(self, address: str, near: bool = False) -> ExchangeReply | None:
        """Exchange with the peer at an address; return its first reply."""
        self.started += 1
        reply = await self.transport.send(address, self.request(near))
        if reply is None:
            self.failed += 1
            return None
        self._take(reply.records, reply.suspects, reply.failure_domain)
        newer, older = [], []
        if reply.slow:
            newer, older = self.replica.slow_differences(reply.slow)
        records = self.replica.records(dict.fromkeys([*reply.wanted, *newer]))
        differ = reply.suspects_digest != self.suspects.digest()
        suspects = self.suspects.records() if differ else ()
        if records or older or suspects:
            rest = self.request(near, records, suspects, tuple(older))
            second = await self.transport.send(address, rest)
            if second is not None:
                self._take(second.records, second.suspects, second.failure_domain)
        return reply

    def request(
        self,
        near: bool,
        records: tuple[Record, ...] = (),
        suspects: tuple[SuspectRecord, ...] = (),
        wanted: tuple[RecordName, ...] = (),
    ) -> ExchangeRequest:
        """Return a request that says what is held here.

        Loads are told only inside the domain. The other domains get the summary from
        its writer, so that a confirmation doesn't wait until they ask.
        """
        own = self._own_load() if near else self._own_summary()
        records = (*records, *own)
        return ExchangeRequest(
            self.own,
            self.failure_domain,
            self.replica.version(RecordKind.RULES),
            self.replica.slow_digest(),
            self.suspects.digest(),
            self.replica.versions(RecordKind.DOMAIN),
            self.replica.versions(RecordKind.LOAD) if near else {},
            records,
            suspects,
            wanted,
        )

    def answer(self, request: ExchangeRequest) -> ExchangeReply:
        """Take what a request brings and return what its sender lacks."""
        self.answered += 1
        self.contacts[request.sender] = self.timers.seconds()
        self._take(request.records, request.suspects, request.failure_domain)
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
            self.own,
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
        return tuple(record for record in found if record.writer == self.own)

    def _own_load(self) -> tuple[Record, ...]:
        return self.replica.records((RecordName(RecordKind.LOAD, self.own),))

    def _take(
        self,
        records: Iterable[Record],
        suspects: Iterable[SuspectRecord],
        failure_domain: str,
    ) -> None:
        near = failure_domain == self.failure_domain
        for record in records:
            if near or record.kind is not RecordKind.LOAD:
                self._offer(record)
        changes = [self.suspects.merge(suspect) for suspect in suspects]
        if any(changes):
            self.on_suspects()
            if not near:
                self.push_suspects(everywhere=False)

    def _offer(self, record: Record) -> None:
        try:
            self.replica.merge_record(record)
        except SteeringError as error:
            get_logger().warning(
                "record_bad", kind=record.kind.value, error=error.message
            )

    def _rules_changed(self, _name: str) -> None:
        # After the reply that brought the rules has been taken whole.
        self.timers.callLater(0, self.push_rules)

    def _silent(self, name: str) -> bool:
        last = self.contacts.get(name)
        return last is None or self.timers.seconds() - last > PAIR_SILENCE_S

    def _split(self) -> tuple[list[PeerAddress], list[PeerAddress]]:
        near, far = [], []
        for peer in self.peers():
            own_domain = peer.failure_domain == self.failure_domain
            (near if own_domain else far).append(peer)
        return near, far

    def _choose(self, peers: list[PeerAddress], count: int) -> list[PeerAddress]:
        """Return some peers at random, those that failed lately last."""
        shuffled = self.random.sample(peers, len(peers))
        shuffled.sort(key=self._failed_lately)
        return shuffled[:count]

    def _failed_lately(self, peer: PeerAddress) -> bool:
        failed_at = self.failures.get(peer.name, float("-inf"))
        return self.timers.seconds() - failed_at < FAILED_PEER_S
