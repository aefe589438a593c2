"""The peer port: heartbeats, leases, outcomes and forwarded requests."""

from collections.abc import Callable
from typing import Any

from ebonybend.codec import pack, unpack
from ebonybend.entry.budgets import RegionBudgets
from ebonybend.entry.heartbeats import HEARTBEAT_PATH
from ebonybend.entry.hops import HOP_PREFIX, OWNER_PREFIX, REGION_HEADER
from ebonybend.entry.lending import LEASE_PATH, LeaseLoop
from ebonybend.entry.messages import (
    FindOutcome,
    LeaseRequest,
    OutcomeFound,
    OutcomesPush,
)
from ebonybend.entry.replication import FIND_PATH, OUTCOMES_PATH, store_push
from ebonybend.entry.serving import RequestPort
from ebonybend.http_answers import IncomingRequest, OutgoingAnswer
from ebonybend.http_router import Router
from ebonybend.steering.outcomes import OutcomeStore
from ebonybend.steering.slots import Heartbeat, SlotLedger


class PeerServer:
    """Answer the messages and requests of other entries."""

    def __init__(
        self,
        ledger: SlotLedger,
        lease_loop: LeaseLoop,
        store: OutcomeStore,
        budgets: RegionBudgets,
        hop_port: RequestPort,
        owner_port: RequestPort,
    ):
        self.budgets = budgets
        self.hop_port = hop_port
        self.owner_port = owner_port
        self.router = Router()
        self._add_handler(HEARTBEAT_PATH, Heartbeat, ledger.receive)
        self._add_handler(LEASE_PATH, LeaseRequest, lease_loop.grant_lease)
        self._add_handler(
            OUTCOMES_PATH, OutcomesPush, lambda push: store_push(store, push)
        )
        self._add_handler(
            FIND_PATH,
            FindOutcome,
            lambda ask: OutcomeFound(store.find(ask.key, ask.fingerprint)),
        )

    def _add_handler(self, path: str, kind: type, answer: Callable[[Any], Any]) -> None:
        """Register the handler of one kind of message."""

        async def handle(incoming: IncomingRequest) -> OutgoingAnswer:
            reply = answer(unpack(incoming.body, kind))
            return OutgoingAnswer(200, pack(reply))

        self.router.add("POST", path, handle)

    async def handle(self, incoming: IncomingRequest) -> OutgoingAnswer:
        """Answer one request of the peer port."""
        if incoming.path.startswith(HOP_PREFIX):
            return await self.hop_port.serve(incoming, self._link_pacer(incoming))
        if incoming.path.startswith(OWNER_PREFIX):
            return await self.owner_port.serve(incoming, self._link_pacer(incoming))
        return await self.router(incoming)

    def _link_pacer(self, incoming: IncomingRequest) -> Any:
        return self.budgets.pacer(incoming.header(REGION_HEADER))
