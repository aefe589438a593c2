"""Remember which contents of requests succeeded lately."""

# Runs from before the first crash that count as successes of content; without them,
# servers that end in one moment would condemn what most callers send.
MAX_EARLIER_SUCCESSES = 8
# Contents whose successes are remembered, in each of two generations.
MAX_SUCCEEDED = 2000


class RecentSuccesses:
    """Numbers of successes of the contents that succeeded last."""

    def __init__(self) -> None:
        # The present generation, and the one before it.
        self.counts: dict[str, int] = {}
        self.counts_before: dict[str, int] = {}

    def record(self, content: str) -> None:
        """Record a success."""
        self.counts[content] = self._count(content) + 1
        if len(self.counts) >= MAX_SUCCEEDED:
            self.counts_before, self.counts = self.counts, {}

    def counted_before_a_crash(self, content: str) -> int:
        """Return the successes that count when the content first crashes a server."""
        return min(self._count(content), MAX_EARLIER_SUCCESSES)

    def _count(self, content: str) -> int:
        return self.counts.get(content) or self.counts_before.get(content, 0)
