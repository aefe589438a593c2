"""What a service's callers weigh against each other: latency and headroom."""

from attrs import frozen

EQUAL_SHARE = 0.5


@frozen
class Weights:
    """The weights of a contract, or those that a rule puts in their place."""

    latency: float
    headroom: float

    @property
    def headroom_share(self) -> float:
        """Return the part of headroom in both, 0 to 1; one half without weights."""
        total = self.latency + self.headroom
        return self.headroom / total if total > 0 else EQUAL_SHARE


EQUAL_WEIGHTS = Weights(EQUAL_SHARE, EQUAL_SHARE)
