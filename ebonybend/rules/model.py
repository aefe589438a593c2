"""The rules that operators write, as typed values."""

from typing import Literal, TypeAlias

from attrs import frozen


@frozen
class RuleError:
    """A fault in a rules text; lines and columns count from 1."""

    line: int
    column: int
    message: str


@frozen(kw_only=True)
class WeightsRule:
    """Replace the contract's weights for one service."""

    service: str
    latency: float
    headroom: float


@frozen(kw_only=True)
class ShiftRule:
    """Move a share of a service's requests between regions under a cap."""

    service: str
    source: str
    target: str
    # Fraction of the requests that arrive in the source region, 0 to 1.
    share: float
    # Maximum number of requests moved in any window of one second, over all entry
    # instances of the source region.
    cap_per_second: int


@frozen(kw_only=True)
class CapRule:
    """Limit all traffic steered from one region to another."""

    source: str
    target: str
    service: str | None = None
    # Maximum number of requests in any window of one second, over all entry instances
    # of the source region.
    cap_per_second: int


@frozen(kw_only=True)
class RefuseRule:
    """Refuse the requests of a service whose path starts with a prefix."""

    service: str
    path: str = "/"
    method: str | None = None


@frozen(kw_only=True)
class DrainRule:
    """Take an entry instance or a backend server out of use."""

    target_kind: Literal["instance", "backend"]
    name: str


@frozen(kw_only=True)
class PardonRule:
    """Allow a request that was refused for crashing backend servers."""

    fingerprint: str


RuleBody: TypeAlias = (
    WeightsRule | ShiftRule | CapRule | RefuseRule | DrainRule | PardonRule
)
RULE_KINDS = {
    "weights": WeightsRule,
    "shift": ShiftRule,
    "cap": CapRule,
    "refuse": RefuseRule,
    "drain": DrainRule,
    "pardon": PardonRule,
}


@frozen(kw_only=True)
class Rule:
    """One rule with its line in the file, its author and its reason."""

    line: int
    author: str
    reason: str
    # Canonical text of the rule; it identifies a shift or cap across revisions.
    text: str
    body: RuleBody
    # End of validity, seconds since the epoch, or None for no end.
    until: float | None = None
