"""Bounds over all nodes together, kept by fixed shares without asking anyone."""

from collections import deque

# Part of a shared bound that is used, so that differing views of the number of nodes
# and requests on their way don't exceed it.
SAFE_SHARE = 0.8
# A cold server that gets nothing never proves itself.
LEAST_COLD_RATE = 0.5


class RetryWindow:
    """Bound the repeated sends to one service in any window.

    All nodes together may repeat ratio x first sends + slack. Each node uses its own
    first sends and an equal part of the slack, so the sum holds whoever is reachable.
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.firsts: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def record_first_send(self, now: float) -> None:
        """Count a request that is sent for the first time."""
        self.firsts.append(now)
        self._expire(self.firsts, now)

    def try_acquire(self, now: float, nodes: int) -> bool:
        """Take one repeated send; return False if none is left."""
        self._expire(self.firsts, now)
        self._expire(self.repeats, now)
        allowed = self.ratio * len(self.firsts) + self.slack / max(nodes, 1)
        if len(self.repeats) + 1 > allowed * SAFE_SHARE:
            return False
        self.repeats.append(now)
        return True

    def _expire(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self.window_s:
            times.popleft()


class ColdPacer:
    """Space the requests to one cold server evenly."""

    def __init__(self) -> None:
        self.next_at = 0.0

    def ready(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        return now >= self.next_at

    def record_send(self, now: float, rate: float, nodes: int) -> None:
        """Count a request; rate is what the server bears from all nodes a second."""
        share = max(rate * SAFE_SHARE / max(nodes, 1), LEAST_COLD_RATE)
        self.next_at = max(self.next_at, now) + 1.0 / share
