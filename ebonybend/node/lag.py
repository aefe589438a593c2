"""Detect from other nodes' heartbeats that a watch no longer reports changes."""

# A working watch reports a change at most this much later than another node's watch.
PATIENCE_S = 0.6
# Least time between two lists of one kind that a lag triggers.
PAUSE_S = 2.0


class LagDetector:
    """Detect that the own version of a kind stays older than another node's."""

    def __init__(self) -> None:
        # Newer version that is missing for each kind, and the time since when.
        self.missing: dict[str, tuple[int, float]] = {}
        self.hurried_at: dict[str, float] = {}

    def is_behind(self, kind: str, own: int, told: int, now: float) -> bool:
        """Record a version that another node reports; return whether to list again."""
        known = self.missing.get(kind)
        if known is not None and own >= known[0]:
            del self.missing[kind]
            known = None
        if told <= own:
            return False
        if known is None:
            self.missing[kind] = (told, now)
            return False
        if now - known[1] < PATIENCE_S:
            return False
        if now - self.hurried_at.get(kind, float("-inf")) < PAUSE_S:
            return False
        self.hurried_at[kind] = now
        return True
