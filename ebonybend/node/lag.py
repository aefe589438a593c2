"""Find out from other nodes' beats that an own watch has stopped reporting."""

# A watch that is alive reports a change within this time of any other.
PATIENCE_S = 0.6
# Time between two lists of one kind that were asked for by a lag.
PAUSE_S = 2.0


class LagDetector:
    """Tell when the own version of a kind stays below one that another node knows."""

    def __init__(self) -> None:
        # Version that is missing of each kind, and since when.
        self.missing: dict[str, tuple[int, float]] = {}
        self.hurried_at: dict[str, float] = {}

    def is_behind(self, kind: str, own: int, told: int, now: float) -> bool:
        """Take in a version that another node knows; tell whether to list anew."""
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
