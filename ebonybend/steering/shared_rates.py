"""Enforce limits that all nodes share, by a fixed share per node."""

from collections import deque

# Fraction of a shared limit that is used. The rest covers requests in transit and
# differences between the nodes' views of how many nodes there are.
SAFETY_FACTOR = 0.8
# Rate of all nodes to a cold server whose limit is not known.
DEFAULT_COLD_RATE = 5.0


class RetryWindow:
    """Limit the retries to one service in any window.

    All nodes together may send ratio x first sends + slack retries. Each node uses its
    own first sends and an equal part of the slack, so the limit holds whichever nodes
    are reachable. An earlier process of the node may have used its part of the slack in
    the current window, so that part is not used before a given time.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        slack_from: float = float("-inf"),
    ):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.slack_from = slack_from
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
        allowed = self.ratio * len(self.first_sends)
        if now >= self.slack_from:
            allowed += self.slack / max(nodes, 1)
        if len(self.retries) + 1 > allowed * SAFETY_FACTOR:
            return False
        self.retries.append(now)
        return True

    def _expire(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self.window_s:
            times.popleft()


class ColdPacer:
    """Space the requests to one cold server evenly.

    The phase, 0 to 1, differs between nodes, so that they don't send their first
    requests at the same moment.
    """

    def __init__(self, phase: float = 0.0):
        self.phase = phase
        self.next_at: float | None = None

    def ready(self, now: float, rate: float, nodes: int) -> bool:
        """Return whether a request may be sent now.

        The rate is the server's limit for all nodes per second.
        """
        if self.next_at is None:
            self.next_at = now + self.phase * _cold_period_s(rate, nodes)
        return now >= self.next_at

    def record_send(self, now: float, rate: float, nodes: int) -> None:
        """Record a request."""
        self.next_at = max(self.next_at or now, now) + _cold_period_s(rate, nodes)


def _cold_period_s(rate: float, nodes: int) -> float:
    """Return the time between two requests of one node."""
    return max(nodes, 1) / (SAFETY_FACTOR * (rate or DEFAULT_COLD_RATE))
