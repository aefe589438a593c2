"""Retain servers whose store entries expired while the store was unavailable."""

from collections.abc import Mapping

from ebonybend.world import BackendServer, LifeState

# An entry is removed after three report periods without a report. The last report may
# have been sent more than one period before an outage, but not two.
LAPSE_PERIODS = 1.5
# Running servers restore their entries within about 2 s after the store recovers.
RECOVERY_GRACE_S = 2.2
# A node stops using missing servers this long before it counts as settled, which covers
# a request in transit.
SETTLE_MARGIN_S = 0.3


def shortest_lapse_s(report_period_s: float) -> float:
    """Return the length of the shortest outage in which an entry can expire."""
    return LAPSE_PERIODS * report_period_s


class ExpiredServers:
    """Determine which servers stay in use although the list no longer has them."""

    def __init__(self) -> None:
        # Time until which missing servers are retained.
        self.until = float("-inf")

    def record_store_recovery(
        self, now: float, unavailable_at: float, settle_s: float
    ) -> None:
        """Retain missing servers for a time after an outage in which entries expired.

        unavailable_at is the last time at which the store was known to be unavailable.
        The node has to be up to date once it has reached the store for settle_s. The
        end of this time is fixed; only a later outage begins another one.
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
