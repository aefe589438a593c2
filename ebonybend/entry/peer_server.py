"""The peer port: heartbeats, leases, outcomes and forwarded requests."""

from collections.abc import Callable
from typing import Any

from ebonybend.codec import pack, unpack
from ebonybend.entry.budgets import RegionBudgets
from ebonybend.entry.heartbeats import HEARTBEAT_PATH
from ebonybend.entry.hops import HOP_PREFIX, OWNER_PREFIX, REGION_HEADER
from ebonybend.entry.lending import LEND_PATH, LendingLoop
from ebonybend.entry.messages import (
    FindOutcome,
    LendRequest,
    OutcomeFound,
    OutcomesPush,
)
from ebonybend.entry.replication import FIND_PATH, OUTCOMES_PATH, answer_push
from ebonybend.entry.serving import RequestPort
from ebonybend.http_router import Router
from ebonybend.http_server import IncomingRequest, OutgoingAnswer
from ebonybend.steering.outcomes import OutcomeStore
from ebonybend.steering.slots import Heartbeat, SlotLedger


class PeerServer:
    """Answer the messages and requests of other entries."""

    def __init__(
        self,
        ledger: SlotLedger,
        lending: LendingLoop,
        store: OutcomeStore,
        budgets: RegionBudgets,
        hops: RequestPort,
        owned: RequestPort,
    ):
        self.budgets = budgets
        self.hops = hops
        self.owned = owned
        self.router = Router()
        self._add(HEARTBEAT_PATH, Heartbeat, ledger.receive)
        self._add(LEND_PATH, LendRequest, lending.lend)
        self._add(OUTCOMES_PATH, OutcomesPush, lambda push: answer_push(store, push))
        self._add(
            FIND_PATH,
            FindOutcome,
            lambda ask: OutcomeFound(store.find(ask.key, ask.fingerprint)),
        )

    def _add(self, path: str, kind: type, answer: Callable[[Any], Any]) -> None:
        """Register the handler of one kind of message."""

        async def handle(incoming: IncomingRequest) -> OutgoingAnswer:
            reply = answer(unpack(incoming.body, kind))
            return OutgoingAnswer(200, pack(reply))

        self.router.add("POST", path, handle)

    async def handle(self, incoming: IncomingRequest) -> OutgoingAnswer:
        """Answer one request of the peer port."""
        if incoming.path.startswith(HOP_PREFIX):
            return await self.hops.serve(incoming, self._pacer(incoming))
        if incoming.path.startswith(OWNER_PREFIX):
            return await self.owned.serve(incoming, self._pacer(incoming))
        return await self.router(incoming)

    def _pacer(self, incoming: IncomingRequest) -> Any:
        return self.budgets.pacer(incoming.header(REGION_HEADER))
