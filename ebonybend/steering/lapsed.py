"""Keep servers whose entries lapsed while the list could not be kept up."""

from collections.abc import Mapping

from ebonybend.world import BackendServer, LifeState

# Entries of servers that live are back about 2 s after the store's return.
RETURN_GRACE_S = 2.2


class LapsedServers:
    """Tell which servers stay in use although the list no longer has them."""

    def __init__(self) -> None:
        # Time of the store's last return; None if it has not been away.
        self.returned_at: float | None = None

    def store_returned(self, now: float) -> None:
        """Take in that the store answers again."""
        self.returned_at = now

    def left_s(self, now: float) -> float:
        """Return for how long missing entries are still kept."""
        if self.returned_at is None:
            return 0.0
        return max(self.returned_at + RETURN_GRACE_S - now, 0.0)

    def merge(
        self,
        known: Mapping[str, BackendServer],
        listed: Mapping[str, BackendServer],
        now: float,
    ) -> dict[str, BackendServer]:
        """Return the servers to use: the listed ones and, for a time, missing ones."""
        if self.left_s(now) <= 0:
            return dict(listed)
        addresses = {server.address for server in listed.values()}
        kept = {
            name: server
            for name, server in known.items()
            if server.state is LifeState.LIVE and server.address not in addresses
        }
        return {**kept, **listed}
