"""Keep servers whose entries lapsed while the list could not be kept up."""

from collections.abc import Mapping

from ebonybend.world import BackendServer, LifeState

# Entries of servers that live are back about 2 s after the store's return.
RETURN_GRACE_S = 2.2
# Time before a node counts as settled by which it uses no entry that is missing;
# covers a request on its way.
SETTLE_MARGIN_S = 0.3


class ExpiredServers:
    """Tell which servers stay in use although the list no longer has them."""

    def __init__(self) -> None:
        # Time until which missing servers are kept.
        self.until = float("-inf")

    def record_store_recovery(
        self, now: float, unavailable_at: float, settle_s: float
    ) -> None:
        """Take in that the store answers this node again.

        It was last known to be away at a time, and the node has to be up to date when
        it has reached the store for settle_s.
        """
        settled_at = unavailable_at + settle_s - SETTLE_MARGIN_S
        self.until = min(now + RETURN_GRACE_S, settled_at)

    def record_store_available_since(self, time: float) -> None:
        """Take in that the store has answered another node since a time.

        Entries that lapsed before are back by now, so what is missing has gone.
        """
        self.until = min(self.until, time + RETURN_GRACE_S)

    def remaining_s(self, now: float) -> float:
        """Return for how long missing entries are still kept."""
        return max(self.until - now, 0.0)

    def merge(
        self,
        known: Mapping[str, BackendServer],
        listed: Mapping[str, BackendServer],
        now: float,
    ) -> dict[str, BackendServer]:
        """Return the servers to use: the listed ones and, for a time, missing ones."""
        if self.remaining_s(now) <= 0:
            return dict(listed)
        addresses = {server.address for server in listed.values()}
        kept = {
            name: server
            for name, server in known.items()
            if server.state is LifeState.LIVE and server.address not in addresses
        }
        return {**kept, **listed}
