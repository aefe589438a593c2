"""Enforce limits that all nodes share, by a fixed share per node."""

from collections import deque
from math import inf

# Fraction of a shared limit that is used. The rest covers requests in transit and
# differences between the nodes' views of how many nodes there are.
SAFETY_FACTOR = 0.8
# Rate of all nodes to a cold server whose limit is not known.
DEFAULT_COLD_RATE = 5.0
# Covers rounding errors of the time until a request may be sent.
TIMER_ERROR_S = 1e-6


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

    def change(self, ratio: float, slack: float, window_s: float, now: float) -> None:
        """Change the budget; what was sent in the present window still counts."""
        longer_s = window_s - self.window_s
        if longer_s > 0:
            # What was sent before the shorter window is forgotten.
            self.slack_from = max(self.slack_from, now + longer_s)
        self.ratio, self.slack, self.window_s = ratio, slack, window_s

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


class RateShare:
    """A node's part of a rate that holds for all nodes: a token bucket.

    The phase, 0 to 1, is the part of the first token that is missing at the start. It
    differs between nodes, so that they don't send their first requests at once.
    """

    def __init__(self, phase: float = 0.0):
        self.tokens = 1.0 - phase
        self.updated_at: float | None = None

    def available(self, now: float, rate: float, burst: float = 1.0) -> float:
        """Return the number of requests that may be sent now."""
        if self.updated_at is not None:
            self.tokens += max(now - self.updated_at, 0.0) * rate
        self.tokens = min(self.tokens, burst)
        self.updated_at = now
        return self.tokens

    def take(self, now: float, rate: float, burst: float = 1.0) -> None:
        """Record a request."""
        self.tokens = self.available(now, rate, burst) - 1.0

    def wait_s(self, now: float, rate: float, burst: float = 1.0) -> float:
        """Return the time until a request may be sent, infinite without a rate."""
        missing = 1.0 - self.available(now, rate, burst)
        if missing <= 0:
            return 0.0
        return missing / rate if rate > 0 else inf


class ColdPacer:
    """Space the requests to one cold server evenly.

    The phase, 0 to 1, differs between nodes, so that they don't send their first
    requests at the same moment.
    """

    def __init__(self, phase: float = 0.0):
        self.share = RateShare(phase)

    def ready(self, now: float, rate: float, nodes: int) -> bool:
        """Return whether a request may be sent now.

        The rate is the server's limit for all nodes per second.
        """
        return self.share.wait_s(now, _cold_rate(rate, nodes)) < TIMER_ERROR_S

    def record_send(self, now: float, rate: float, nodes: int) -> None:
        """Record a request."""
        self.share.take(now, _cold_rate(rate, nodes))


def _cold_rate(rate: float, nodes: int) -> float:
    """Return the requests per second of one node."""
    return SAFETY_FACTOR * (rate or DEFAULT_COLD_RATE) / max(nodes, 1)
