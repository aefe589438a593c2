"""Detect that the store came back from an older copy of itself.

The store states its era in its answers; each return from an older copy begins a new
one. A revision identifies a state of the store only within one era, because those after
the copy are given out again.
"""

from collections.abc import Callable

from ebonybend.logs import get_logger

# The era before the first answer that states one.
UNKNOWN_ERA = 0


class EraTracker:
    """The current era, from the answers of the store and of relays."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.current = UNKNOWN_ERA
        self.changed_at = float("-inf")
        # Called when another era than the first begins.
        self.on_change: Callable[[], None] = lambda: None

    def record(self, era: int, asked_at: float) -> bool:
        """Record the era in an answer; return whether it is the current one.

        An answer with an older era, to a call that began before the current one was
        seen, was given before the store came back. In answers to later calls any other
        era counts, so that a store whose count starts again is followed, too.
        """
        if era in (UNKNOWN_ERA, self.current):
            return True
        if era < self.current and asked_at <= self.changed_at:
            return False
        previous, self.current = self.current, era
        if previous == UNKNOWN_ERA:
            return True
        self.changed_at = self.clock()
        get_logger().warning("store_restored", era=era, before=previous)
        self.on_change()
        return True
