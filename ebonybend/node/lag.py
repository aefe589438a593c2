"""Detect from other nodes' heartbeats that a watch no longer reports changes."""

# A working watch reports a change at most this much later than another node's watch.
LAG_TOLERANCE_S = 0.6
# Minimum time between two lists of one kind that a lag triggers.
RELIST_INTERVAL_S = 2.0


class LagDetector:
    """Detect that the own version of a kind stays older than another node's."""

    def __init__(self) -> None:
        # Newer version that is missing for each kind, and the time since when.
        self.missing_versions: dict[str, tuple[int, float]] = {}
        self.relisted_at: dict[str, float] = {}

    def should_relist(self, kind: str, own: int, reported: int, now: float) -> bool:
        """Record a version that another node reports; return whether to list again."""
        known = self.missing_versions.get(kind)
        if known is not None and own >= known[0]:
            del self.missing_versions[kind]
            known = None
        if reported <= own:
            return False
        if known is None:
            self.missing_versions[kind] = (reported, now)
            return False
        if now - known[1] < LAG_TOLERANCE_S:
            return False
        if now - self.relisted_at.get(kind, float("-inf")) < RELIST_INTERVAL_S:
            return False
        self.relisted_at[kind] = now
        return True
