"""Lease units of shifts and caps from other entries of the region."""

from random import Random
from typing import Any

from ebonybend.clock import Clock
from ebonybend.entry.budgets import Bound, RegionBudgets
from ebonybend.entry.messages import LeaseRequest
from ebonybend.entry.peer_client import PeerClient, run_in_background
from ebonybend.entry.table_state import TableState
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_client import RequestFailed
from ebonybend.steering.shares import QuotaLease

LEASE_PATH = "/peer/lend"
# A lease lasts 2 s, so it is renewed three times before it expires.
LEASE_INTERVAL_S = 0.5
# A lease runs from the time of its request, so a later reply leaves less of it.
LEASE_TIMEOUT_S = 0.4


class LeaseLoop:
    """Request leases while a share is too small; renew the leases in use."""

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
        self._pending: set[str] = set()

    def start(self) -> None:
        """Start the loop."""
        self._timer = self.reactor.callLater(LEASE_INTERVAL_S, self._tick)

    def stop(self) -> None:
        """Stop the loop."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def grant_lease(self, request: LeaseRequest) -> QuotaLease:
        """Grant a lease of at most the requested units."""
        bound = self.budgets.bounds.get(request.bound)
        if bound is None or bound.share.cap != request.cap:
            return QuotaLease(self.table_state.own, 0)
        if request.units < 0:
            raise SteeringError(ErrorKind.BAD_REQUEST, "units are negative")
        return bound.share.grant_lease(request.units, request.borrower)

    def _tick(self) -> None:
        self._timer = self.reactor.callLater(LEASE_INTERVAL_S, self._tick)
        for name, bound in self.budgets.bounds.items():
            needed = self._needed_units(bound)
            if needed and name not in self._pending:
                self._pending.add(name)
                run_in_background(self._request_leases(name, bound, needed))

    @staticmethod
    def _needed_units(bound: Bound) -> int:
        """Return the number of leased units that this entry could use now."""
        usage = bound.share.usage()
        own = usage.units - sum(bound.share.leased_units().values())
        return max(0, usage.sent + usage.refused - own)

    def _lenders(self, bound: Bound) -> list[str]:
        """Return the entries to ask: current lenders first, then a random other one."""
        table = self.table_state.table
        region = self.table_state.region
        names = table.deployment.region_instances(region)
        others = [n for n in names if n != self.table_state.own]
        others = [n for n in others if n in self.table_state.instances]
        leases = bound.share.leased_units()
        new_lenders = [name for name in others if name not in leases]
        current_lenders = [name for name in others if name in leases]
        return current_lenders + self.random.sample(
            new_lenders, min(1, len(new_lenders))
        )

    async def _request_leases(self, name: str, bound: Bound, needed: int) -> None:
        try:
            for lender in self._lenders(bound):
                if needed <= 0:
                    return
                needed -= await self._request_lease(lender, name, bound, needed)
        finally:
            self._pending.discard(name)

    async def _request_lease(
        self, lender: str, name: str, bound: Bound, units: int
    ) -> int:
        """Request a lease from an entry and return the granted units."""
        sent_at = self.clock.monotonic()
        request = LeaseRequest(self.table_state.own, name, units, bound.share.cap)
        address = self.table_state.instances[lender].peer_address
        try:
            lease = await self.peers.ask(
                address, LEASE_PATH, request, QuotaLease, LEASE_TIMEOUT_S
            )
        except RequestFailed:
            return 0
        bound.share.use_lease(lease, sent_at)
        return lease.units
