"""Retain servers whose store entries expired while the store was unavailable."""

from collections.abc import Mapping

from ebonybend.world import BackendServer, LifeState

# Running servers restore their entries within about 2 s after the store recovers.
RECOVERY_GRACE_S = 2.2
# A node stops using missing servers this long before it counts as settled, which covers
# a request in transit.
SETTLE_MARGIN_S = 0.3


class ExpiredServers:
    """Determine which servers stay in use although the list no longer has them."""

    def __init__(self) -> None:
        # Time until which missing servers are retained.
        self.until = float("-inf")

    def record_store_recovery(
        self, now: float, unavailable_at: float, settle_s: float
    ) -> None:
        """Retain missing servers for a time after the store recovers for this node.

        unavailable_at is the last time at which the store was known to be unavailable.
        The node has to be up to date once it has reached the store for settle_s.
        """
        settled_at = unavailable_at + settle_s - SETTLE_MARGIN_S
        self.until = min(now + RECOVERY_GRACE_S, settled_at)

    def record_store_available_since(self, time: float) -> None:
        """Record that the store has answered another node since a time.

        Running servers restore expired entries within the grace time after that, so a
        server that is still missing then has terminated.
        """
        self.until = min(self.until, time + RECOVERY_GRACE_S)

    def remaining_s(self, now: float) -> float:
        """Return the seconds for which missing servers are still retained."""
        return max(self.until - now, 0.0)

    def merge(
        self,
        known: Mapping[str, BackendServer],
        listed: Mapping[str, BackendServer],
        now: float,
    ) -> dict[str, BackendServer]:
        """Return the servers to use: the listed ones and the retained ones."""
        if self.remaining_s(now) <= 0:
            return dict(listed)
        addresses = {server.address for server in listed.values()}
        retained = {
            name: server
            for name, server in known.items()
            if server.state is LifeState.LIVE and server.address not in addresses
        }
        return {**retained, **listed}
