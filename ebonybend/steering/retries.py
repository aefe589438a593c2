"""A budget for attempts after the first."""

from ebonybend.clock import Clock

# Share of the first attempts that may be tried again.
RETRY_RATIO = 0.1
# Retries a second that are allowed at any load, so that a quiet entry can retry.
MIN_RETRIES_PER_S = 3.0
# Longest time for which unused budget is kept; a longer one would let a burst of
# retries follow a quiet period.
KEEP_S = 1.0


class RetryBudget:
    """Grant retries as a share of the first attempts, with a floor per second."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.floor = MIN_RETRIES_PER_S * KEEP_S
        self.earned = 0.0
        self._updated = clock.monotonic()

    def _update(self) -> None:
        now = self.clock.monotonic()
        elapsed = now - self._updated
        self._updated = now
        most = MIN_RETRIES_PER_S * KEEP_S
        self.floor = min(most, self.floor + elapsed * MIN_RETRIES_PER_S)
        # Earned tokens fade within KEEP_S, so they follow the present load.
        self.earned *= max(0.0, 1.0 - elapsed / KEEP_S)

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        self._update()
        self.earned += RETRY_RATIO

    def try_acquire(self) -> bool:
        """Take a token for one retry; return False if none is left."""
        self._update()
        if self.earned >= 1.0:
            self.earned -= 1.0
            return True
        if self.floor >= 1.0:
            self.floor -= 1.0
            return True
        return False
