"""Tell callers that come back after a refusal from those that ask the first time.

A client states the time that it still waits. First attempts of a route share a few
common values, and a client that comes back states an uncommon, shorter one.
"""

from collections import Counter

from attrs import define, field

# A deadline below this part of the route's most common one may be of a return.
RETURNED_PART = 0.95
# Part of the deadlines from which on a value is common.
COMMON_PART = 0.03
# Deadlines that are counted before old ones lose weight; some seconds of a busy route.
MOST_COUNTED = 400


@define
class _Deadlines:
    """How often each deadline of a route was stated lately."""

    counts: Counter[float] = field(factory=Counter)
    total: int = 0
    most_common: float = 0.0

    def add(self, deadline_s: float) -> int:
        """Count a deadline; return how often it was stated."""
        self.counts[deadline_s] += 1
        self.total += 1
        count = self.counts[deadline_s]
        if count >= self.counts[self.most_common]:
            self.most_common = deadline_s
        if self.total >= MOST_COUNTED:
            halved = {value: n // 2 for value, n in self.counts.items() if n > 1}
            self.counts = Counter(halved)
            self.total = sum(halved.values())
        return count


class ClientRetryDetector:
    """Compare a request's deadline with the common ones of its route."""

    def __init__(self) -> None:
        self.routes: dict[str, _Deadlines] = {}

    def is_client_retry(self, route: str, deadline_s: float) -> bool:
        """Take in a request's deadline; tell whether its caller comes back."""
        known = self.routes.get(route)
        if known is None:
            known = self.routes[route] = _Deadlines()
        count = known.add(deadline_s)
        if count > 1 and count >= known.total * COMMON_PART:
            return False
        return deadline_s < known.most_common * RETURNED_PART

    def retain(self, routes: set[str]) -> None:
        """Forget routes that no longer exist."""
        self.routes = {n: d for n, d in self.routes.items() if n in routes}
