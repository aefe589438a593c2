"""Borrow units of shifts and caps from other entries of the region."""

from random import Random
from typing import Any

from ebonybend.clock import Clock
from ebonybend.entry.budgets import Bound, RegionBudgets
from ebonybend.entry.messages import LendRequest
from ebonybend.entry.peer_client import PeerClient, run_in_background
from ebonybend.entry.table_state import TableState
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_client import RequestFailed
from ebonybend.steering.shares import QuotaLease

LEND_PATH = "/peer/lend"
# A loan lasts 2 s, so it is renewed three times before it ends.
LENDING_INTERVAL_S = 0.5
# A lease that is asked for longer ago is worth little.
LEND_TIMEOUT_S = 0.4


class LendingLoop:
    """Ask for loans while a share is short; renew the loans that are in use."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        table_state: TableState,
        budgets: RegionBudgets,
        peers: PeerClient,
        random: Random,
    ):
        self.reactor = reactor
        self.clock = clock
        self.table_state = table_state
        self.budgets = budgets
        self.peers = peers
        self.random = random
        self._timer: Any = None
        self._waiting: set[str] = set()

    def start(self) -> None:
        """Start the loop."""
        self._timer = self.reactor.callLater(LENDING_INTERVAL_S, self._tick)

    def stop(self) -> None:
        """Stop the loop."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def lend(self, request: LendRequest) -> QuotaLease:
        """Answer a request for a loan."""
        bound = self.budgets.bounds.get(request.bound)
        if bound is None or bound.share.cap != request.cap:
            return QuotaLease(self.table_state.own, 0)
        if request.units < 0:
            raise SteeringError(ErrorKind.BAD_REQUEST, "units are negative")
        return bound.share.grant_lease(request.units, request.borrower)

    def _tick(self) -> None:
        self._timer = self.reactor.callLater(LENDING_INTERVAL_S, self._tick)
        for name, bound in self.budgets.bounds.items():
            needed = self._needed(bound)
            if needed and name not in self._waiting:
                self._waiting.add(name)
                run_in_background(self._borrow(name, bound, needed))

    @staticmethod
    def _needed(bound: Bound) -> int:
        """Return how many borrowed units this entry could use now."""
        usage = bound.share.usage()
        own = usage.units - sum(bound.share.loans().values())
        return max(0, usage.sent + usage.refused - own)

    def _lenders(self, bound: Bound) -> list[str]:
        """Return the entries to ask: present lenders first, then a random one."""
        table = self.table_state.table
        region = self.table_state.region
        names = table.deployment.region_instances(region)
        others = [n for n in names if n != self.table_state.own]
        others = [n for n in others if n in self.table_state.instances]
        loans = bound.share.loans()
        fresh = [name for name in others if name not in loans]
        present = [name for name in others if name in loans]
        return present + self.random.sample(fresh, min(1, len(fresh)))

    async def _borrow(self, name: str, bound: Bound, needed: int) -> None:
        try:
            for lender in self._lenders(bound):
                if needed <= 0:
                    return
                needed -= await self._ask(lender, name, bound, needed)
        finally:
            self._waiting.discard(name)

    async def _ask(self, lender: str, name: str, bound: Bound, units: int) -> int:
        """Return the units that a lender granted."""
        sent_at = self.clock.monotonic()
        request = LendRequest(self.table_state.own, name, units, bound.share.cap)
        address = self.table_state.instances[lender].peer_address
        try:
            loan = await self.peers.ask(
                address, LEND_PATH, request, QuotaLease, LEND_TIMEOUT_S
            )
        except RequestFailed:
            return 0
        bound.share.use_lease(loan, sent_at)
        return loan.units
