"""Limit retries to a budget that grows with the first attempts."""

from ebonybend.clock import Clock

# Retries that each first attempt adds to the budget.
RETRY_RATIO = 0.1
# Retries per second that are allowed at any load, so that an idle entry can retry.
MIN_RETRIES_PER_S = 3.0
# Time for which unused budget is retained. With a longer time, a burst of retries could
# follow a quiet period.
BUDGET_LIFETIME_S = 1.0


class RetryBudget:
    """Allow retries in proportion to the first attempts, with a minimum rate."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.floor_tokens = MIN_RETRIES_PER_S * BUDGET_LIFETIME_S
        self.earned_tokens = 0.0
        self._updated = clock.monotonic()

    def _update(self) -> None:
        now = self.clock.monotonic()
        elapsed = now - self._updated
        self._updated = now
        max_floor_tokens = MIN_RETRIES_PER_S * BUDGET_LIFETIME_S
        self.floor_tokens = min(
            max_floor_tokens, self.floor_tokens + elapsed * MIN_RETRIES_PER_S
        )
        # Earned tokens decay within BUDGET_LIFETIME_S, so they follow the current load.
        self.earned_tokens *= max(0.0, 1.0 - elapsed / BUDGET_LIFETIME_S)

    def record_first_attempt(self) -> None:
        """Record a first attempt."""
        self._update()
        self.earned_tokens += RETRY_RATIO

    def try_acquire(self) -> bool:
        """Acquire a token for one retry; return whether one was available."""
        self._update()
        if self.earned_tokens >= 1.0:
            self.earned_tokens -= 1.0
            return True
        if self.floor_tokens >= 1.0:
            self.floor_tokens -= 1.0
            return True
        return False
