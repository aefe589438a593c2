"""Weights of latency and headroom when a server or domain is chosen."""

from attrs import frozen

EQUAL_SHARE = 0.5


@frozen
class Weights:
    """The weights of a contract, or those of a rule that replaces them."""

    latency: float
    headroom: float

    @property
    def headroom_share(self) -> float:
        """Return headroom's share of the total, 0 to 1; one half if both are 0."""
        total = self.latency + self.headroom
        return self.headroom / total if total > 0 else EQUAL_SHARE


EQUAL_WEIGHTS = Weights(EQUAL_SHARE, EQUAL_SHARE)
