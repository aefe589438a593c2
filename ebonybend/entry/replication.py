"""Hand finished outcomes to a peer, and find those of other entries."""

from typing import Any

from twisted.internet.defer import Deferred, succeed

from ebonybend.entry.messages import (
    FindOutcome,
    OutcomeFound,
    OutcomesPush,
    OutcomesTaken,
)
from ebonybend.entry.peer_client import PeerClient
from ebonybend.entry.table_state import TableState
from ebonybend.http_client import NotSent, RequestFailed
from ebonybend.logs import get_logger
from ebonybend.steering.keys import KeyRegistry, OutcomeBatch, SealedIncarnation
from ebonybend.steering.outcomes import KnownOutcome, OutcomeStore
from ebonybend.steering.table import InstanceView, Table

OUTCOMES_PATH = "/peer/outcomes"
FIND_PATH = "/peer/outcomes/find"
PUSH_TIMEOUT_S = 1.0
FIND_TIMEOUT_S = 0.3
# Outcomes in one push; fewer when their answers are large.
MAX_RECORDS_PER_PUSH = 256
# Below the body limit of the peer port.
MAX_PUSH_BYTES = 512 << 10
# Retries of a push wait this long.
RETRY_INTERVAL_S = 0.25
# Entries that are asked for an outcome. The first is the one that the owner replicates
# to while it is ready; the others take over when it is not.
MOST_ASKED = 3


def replica_order(table: Table, owner: str, domain_name: str) -> list[InstanceView]:
    """Return the entries to hold an owner's outcomes, first choice first.

    The own domain's entries come first, from the owner's name on, then the next
    domain's.
    """
    domains = sorted({view.failure_domain for view in table.instances})
    if domain_name not in domains:
        domains = sorted([*domains, domain_name])
    place = domains.index(domain_name)
    ordered = domains[place:] + domains[:place]

    def rank(view: InstanceView) -> tuple[int, bool, str]:
        wraps = view.name < owner
        return ordered.index(view.failure_domain), wraps, view.name

    others = [view for view in table.instances if view.name != owner]
    return sorted(others, key=rank)


class Replicator:
    """Push final outcomes to one peer, in order, without gaps."""

    def __init__(
        self,
        reactor: Any,
        table_state: TableState,
        registry: KeyRegistry,
        peers: PeerClient,
    ):
        self.reactor = reactor
        self.table_state = table_state
        self.registry = registry
        self.peers = peers
        self.target: tuple[str, int] | None = None
        self.mark = 0
        self._running: Deferred[bool] | None = None
        self._retry: Any = None

    def changed(self) -> None:
        """Note that there is a new outcome; it is pushed with others soon."""
        if self._running is not None or self._retry is not None:
            return
        self._start()

    def _start(self) -> None:
        self._retry = None
        self._running = Deferred.fromCoroutine(self.flush())
        self._running.addBoth(self._ended)

    def _ended(self, done: Any) -> None:
        self._running = None
        if done is not True:
            self._retry = self.reactor.callLater(RETRY_INTERVAL_S, self._start)

    def stop(self) -> None:
        """Start no further push."""
        if self._retry is not None and self._retry.active():
            self._retry.cancel()

    def settled(self) -> Deferred[Any]:
        """Return what fires when the present push has ended."""
        if self._running is None:
            return succeed(None)
        done: Deferred[None] = Deferred()
        self._running.addBoth(lambda result: done.callback(None) or result)
        return done

    def _choose_target(self) -> InstanceView | None:
        table = self.table_state.table
        if table is None:
            return None
        order = replica_order(table, self.table_state.own, table.failure_domain)
        drained = self.table_state.rules.drained_instances
        usable = set()
        for domain in table.deployment.failure_domains:
            usable.update(v.name for v in self.table_state.usable_in(domain.name))
        candidates = [v for v in order if v.name in usable and v.name not in drained]
        return candidates[0] if candidates else None

    async def flush(self) -> bool:
        """Push all outcomes that the peer lacks; return whether it has them."""
        while True:
            view = self._choose_target()
            if view is None:
                return False
            if self.target != (view.name, view.incarnation):
                # Another peer starts with nothing.
                self.target = (view.name, view.incarnation)
                self.mark = 0
            batch = self._batch()
            if batch.mark == self.mark:
                return True
            if not await self._push(view, batch):
                return False

    def _batch(self) -> OutcomeBatch:
        most = MAX_RECORDS_PER_PUSH
        while True:
            batch = self.registry.outcomes_since(self.mark, most)
            size = sum(len(r.answer.body or b"") for r in batch.outcomes if r.answer)
            if size <= MAX_PUSH_BYTES or most == 1:
                return batch
            most //= 2

    async def _push(self, view: InstanceView, batch: OutcomeBatch) -> bool:
        push = OutcomesPush(
            self.registry.own, self.registry.incarnation, batch.outcomes
        )
        try:
            await self.peers.ask(
                view.peer_address, OUTCOMES_PATH, push, OutcomesTaken, PUSH_TIMEOUT_S
            )
        except RequestFailed as error:
            if isinstance(error, NotSent) and error.refused:
                self.table_state.pass_over(view.name)
            get_logger().warning("outcomes_not_taken", peer=view.name, error=str(error))
            return False
        self.mark = batch.mark
        return True

    async def seal(self, sealed: SealedIncarnation) -> bool:
        """Hand over all outcomes and the seal; return whether a peer has both."""
        if not await self.flush():
            return False
        view = self._choose_target()
        if view is None:
            return False
        push = OutcomesPush(self.registry.own, self.registry.incarnation, (), sealed)
        try:
            taken = await self.peers.ask(
                view.peer_address, OUTCOMES_PATH, push, OutcomesTaken, PUSH_TIMEOUT_S
            )
        except RequestFailed:
            return False
        return taken.sealed


class OutcomeFinder:
    """Find the outcome of a key whose owner can't be reached."""

    def __init__(self, table_state: TableState, store: OutcomeStore, peers: PeerClient):
        self.table_state = table_state
        self.store = store
        self.peers = peers

    async def find(
        self, key: str, fingerprint: str, owner: str, timeout_s: float
    ) -> KnownOutcome | None:
        """Return what this entry or the likely holders know about a key."""
        found = self.store.find(key, fingerprint)
        table = self.table_state.table
        if found is not None or table is None:
            return found
        domain = table.deployment.domain_of_instance(owner)
        if domain is None:
            return None
        holders = replica_order(table, owner, domain.name)
        holders = [v for v in holders if v.ready and v.name != self.table_state.own]
        per_holder_s = min(FIND_TIMEOUT_S, timeout_s / MOST_ASKED)
        for view in holders[:MOST_ASKED]:
            found = await self._ask(view, key, fingerprint, per_holder_s)
            if found is not None:
                return found
        return None

    async def _ask(
        self, view: InstanceView, key: str, fingerprint: str, timeout_s: float
    ) -> KnownOutcome | None:
        question = FindOutcome(key, fingerprint)
        try:
            reply = await self.peers.ask(
                view.peer_address, FIND_PATH, question, OutcomeFound, timeout_s
            )
        except RequestFailed:
            return None
        return reply.found


def answer_push(store: OutcomeStore, push: OutcomesPush) -> OutcomesTaken:
    """Keep a peer's outcomes and, if it holds all of them, its seal."""
    store.add(push.instance, push.incarnation, push.records)
    sealed = push.sealed is not None and store.seal(push.sealed)
    return OutcomesTaken(sealed)
