"""Replicate final outcomes to a peer, and look up those of other entries."""

from typing import Any

from twisted.internet.defer import Deferred, succeed

from ebonybend.entry.messages import (
    FindOutcome,
    OutcomeFound,
    OutcomesPush,
    OutcomesReply,
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
# Outcomes per push; fewer when their answers are large.
MAX_RECORDS_PER_PUSH = 256
# Below the body limit of the peer port.
MAX_PUSH_BYTES = 512 << 10
# Delay before a failed push is retried.
RETRY_INTERVAL_S = 0.25
# Number of entries asked for an outcome. The owner replicates to the first one while
# that is ready, and otherwise to the next ones.
MAX_HOLDERS_ASKED = 3


def replica_order(table: Table, owner: str, domain_name: str) -> list[InstanceView]:
    """Return the entries that may store an owner's outcomes, in order of preference.

    Entries of the owner's domain come first, starting after the owner's name, then
    those of the following domains.
    """
    domains = sorted({view.failure_domain for view in table.instances})
    if domain_name not in domains:
        domains = sorted([*domains, domain_name])
    start = domains.index(domain_name)
    ordered = domains[start:] + domains[:start]

    def rank(view: InstanceView) -> tuple[int, bool, str]:
        wraps_around = view.name < owner
        return ordered.index(view.failure_domain), wraps_around, view.name

    others = [view for view in table.instances if view.name != owner]
    return sorted(others, key=rank)


class Replicator:
    """Push final outcomes to one peer, in order and without gaps."""

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
        # Name and incarnation of the peer that stores the outcomes.
        self.replica: tuple[str, int] | None = None
        # Position in the registry's log up to which that peer has all outcomes.
        self.mark = 0
        self._current_push: Deferred[bool] | None = None
        self._retry_timer: Any = None

    def schedule_push(self) -> None:
        """Start pushing new outcomes unless a push or a retry is pending."""
        if self._current_push is not None or self._retry_timer is not None:
            return
        self._start_push()

    def _start_push(self) -> None:
        self._retry_timer = None
        self._current_push = Deferred.fromCoroutine(self.flush())
        self._current_push.addBoth(self._finish_push)

    def _finish_push(self, done: Any) -> None:
        self._current_push = None
        if done is not True:
            self._retry_timer = self.reactor.callLater(
                RETRY_INTERVAL_S, self._start_push
            )

    def stop(self) -> None:
        """Cancel the pending retry."""
        if self._retry_timer is not None and self._retry_timer.active():
            self._retry_timer.cancel()

    def wait_for_push(self) -> Deferred[Any]:
        """Return a Deferred that fires when the current push has ended."""
        if self._current_push is None:
            return succeed(None)
        done: Deferred[None] = Deferred()
        self._current_push.addBoth(lambda result: done.callback(None) or result)
        return done

    def _choose_replica(self) -> InstanceView | None:
        table = self.table_state.table
        if table is None:
            return None
        order = replica_order(table, self.table_state.own, table.failure_domain)
        drained = self.table_state.rules.drained_instances
        usable = set()
        for domain in table.deployment.failure_domains:
            usable.update(
                v.name for v in self.table_state.usable_instances(domain.name)
            )
        candidates = [v for v in order if v.name in usable and v.name not in drained]
        return candidates[0] if candidates else None

    async def flush(self) -> bool:
        """Push all outcomes that the peer lacks; return whether it now has all."""
        while True:
            view = self._choose_replica()
            if view is None:
                return False
            if self.replica != (view.name, view.incarnation):
                # A new peer has none of the outcomes.
                self.replica = (view.name, view.incarnation)
                self.mark = 0
            batch = self._batch()
            if batch.mark == self.mark:
                return True
            if not await self._push(view, batch):
                return False

    def _batch(self) -> OutcomeBatch:
        max_records = MAX_RECORDS_PER_PUSH
        while True:
            batch = self.registry.outcomes_since(self.mark, max_records)
            size = sum(len(r.answer.body or b"") for r in batch.outcomes if r.answer)
            if size <= MAX_PUSH_BYTES or max_records == 1:
                return batch
            max_records //= 2

    async def _push(self, view: InstanceView, batch: OutcomeBatch) -> bool:
        push = OutcomesPush(
            self.registry.own, self.registry.incarnation, batch.outcomes
        )
        try:
            await self.peers.ask(
                view.peer_address, OUTCOMES_PATH, push, OutcomesReply, PUSH_TIMEOUT_S
            )
        except RequestFailed as error:
            if isinstance(error, NotSent) and error.refused:
                self.table_state.eject_instance(view.name)
            get_logger().warning("outcomes_not_taken", peer=view.name, error=str(error))
            return False
        self.mark = batch.mark
        return True

    async def seal(self, sealed: SealedIncarnation) -> bool:
        """Push all outcomes and the seal; return whether a peer stored both."""
        if not await self.flush():
            return False
        view = self._choose_replica()
        if view is None:
            return False
        push = OutcomesPush(self.registry.own, self.registry.incarnation, (), sealed)
        try:
            reply = await self.peers.ask(
                view.peer_address, OUTCOMES_PATH, push, OutcomesReply, PUSH_TIMEOUT_S
            )
        except RequestFailed:
            return False
        return reply.sealed


class OutcomeFinder:
    """Look up the outcome of a key whose owner is unreachable."""

    def __init__(self, table_state: TableState, store: OutcomeStore, peers: PeerClient):
        self.table_state = table_state
        self.store = store
        self.peers = peers

    async def find(
        self, key: str, fingerprint: str, owner: str, timeout_s: float
    ) -> KnownOutcome | None:
        """Return the outcome of a key as stored here or at a likely replica."""
        found = self.store.find(key, fingerprint)
        table = self.table_state.table
        if found is not None or table is None:
            return found
        domain = table.deployment.domain_of_instance(owner)
        if domain is None:
            return None
        holders = replica_order(table, owner, domain.name)
        holders = [v for v in holders if v.ready and v.name != self.table_state.own]
        per_holder_s = min(FIND_TIMEOUT_S, timeout_s / MAX_HOLDERS_ASKED)
        for view in holders[:MAX_HOLDERS_ASKED]:
            found = await self._ask_holder(view, key, fingerprint, per_holder_s)
            if found is not None:
                return found
        return None

    async def _ask_holder(
        self, view: InstanceView, key: str, fingerprint: str, timeout_s: float
    ) -> KnownOutcome | None:
        request = FindOutcome(key, fingerprint)
        try:
            reply = await self.peers.ask(
                view.peer_address, FIND_PATH, request, OutcomeFound, timeout_s
            )
        except RequestFailed:
            return None
        return reply.found


def store_push(store: OutcomeStore, push: OutcomesPush) -> OutcomesReply:
    """Store a peer's outcomes and, if none is missing, its seal."""
    store.add(push.instance, push.incarnation, push.records)
    sealed = push.sealed is not None and store.seal(push.sealed)
    return OutcomesReply(sealed)
