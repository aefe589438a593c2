"""Enforce limits that all nodes share, by a fixed share per node."""

from collections import deque

# Fraction of a shared limit that is used. The rest covers requests in transit and
# differences between the nodes' views of how many nodes there are.
SAFETY_FACTOR = 0.8
# Lowest rate of a node to a cold server, which needs requests to show that it works.
MIN_COLD_RATE = 0.5


class RetryWindow:
    """Limit the retries to one service in any window.

    All nodes together may send ratio x first sends + slack retries. Each node uses its
    own first sends and an equal part of the slack, so the limit holds whichever nodes
    are reachable.
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.first_sends: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_first_send(self, now: float) -> None:
        """Record a request that is sent for the first time."""
        self.first_sends.append(now)
        self._expire(self.first_sends, now)

    def try_acquire(self, now: float, nodes: int) -> bool:
        """Record a retry if one is allowed now; return whether it is."""
        self._expire(self.first_sends, now)
        self._expire(self.retries, now)
        allowed = self.ratio * len(self.first_sends) + self.slack / max(nodes, 1)
        if len(self.retries) + 1 > allowed * SAFETY_FACTOR:
            return False
        self.retries.append(now)
        return True

    def _expire(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self.window_s:
            times.popleft()


class ColdPacer:
    """Space the requests to one cold server evenly."""

    def __init__(self) -> None:
        self.next_at = 0.0

    def ready(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return now >= self.next_at

    def record_send(self, now: float, rate: float, nodes: int) -> None:
        """Record a request; rate is the server's limit for all nodes per second."""
        share = max(rate * SAFETY_FACTOR / max(nodes, 1), MIN_COLD_RATE)
        self.next_at = max(self.next_at, now) + 1.0 / share
