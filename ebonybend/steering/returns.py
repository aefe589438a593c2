"""Detect client retries after a refusal by the deadlines that they state.

A client states how long it still waits. First attempts on a route share a few common
deadlines, and a retrying client states an uncommon, shorter one.
"""

from collections import Counter

from attrs import define, field

# A retry's deadline is below this fraction of the route's most common one.
RETRY_DEADLINE_FRACTION = 0.95
# Fraction of a route's deadlines from which a value is common.
COMMON_FRACTION = 0.03
# Number of deadlines at which the counts are halved, so that old ones lose weight; a
# busy route reaches it in some seconds.
MAX_COUNTED = 400


@define
class _Deadlines:
    """How often each deadline of a route was stated recently."""

    counts: Counter[float] = field(factory=Counter)
    total: int = 0
    most_common: float = 0.0

    def add(self, deadline_s: float) -> int:
        """Count a deadline; return its count."""
        self.counts[deadline_s] += 1
        self.total += 1
        count = self.counts[deadline_s]
        if count >= self.counts[self.most_common]:
            self.most_common = deadline_s
        if self.total >= MAX_COUNTED:
            halved = {value: n // 2 for value, n in self.counts.items() if n > 1}
            self.counts = Counter(halved)
            self.total = sum(halved.values())
        return count


class ClientRetryDetector:
    """Detect retries by comparing deadlines with the common ones of the route."""

    def __init__(self) -> None:
        self.routes: dict[str, _Deadlines] = {}

    def is_client_retry(self, route: str, deadline_s: float) -> bool:
        """Record a request's deadline; return whether it is a client retry."""
        deadlines = self.routes.get(route)
        if deadlines is None:
            deadlines = self.routes[route] = _Deadlines()
        count = deadlines.add(deadline_s)
        if count > 1 and count >= deadlines.total * COMMON_FRACTION:
            return False
        return deadline_s < deadlines.most_common * RETRY_DEADLINE_FRACTION

    def retain(self, routes: set[str]) -> None:
        """Drop routes that no longer exist."""
        self.routes = {n: d for n, d in self.routes.items() if n in routes}
