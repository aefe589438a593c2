"""Messages between entries, apart from forwarded requests."""

from attrs import frozen

from ebonybend.steering.keys import OutcomeRecord, SealedIncarnation
from ebonybend.steering.outcomes import KnownOutcome


@frozen
class LeaseRequest:
    """Request a lease of units of a shift or cap."""

    borrower: str
    # Key of the rule, see rules.rule_key.
    bound: str
    units: int
    # The borrower's cap. A lender with a different cap grants nothing, so that units
    # of a larger cap are never used under a smaller one.
    cap: int


@frozen
class OutcomesPush:
    """Final outcomes of an entry, and its seal when it stops."""

    instance: str
    incarnation: int
    records: tuple[OutcomeRecord, ...]
    sealed: SealedIncarnation | None = None


@frozen
class OutcomesReply:
    """The answer to a push."""

    # Whether the seal was stored; False when outcomes that it counts are missing.
    sealed: bool


@frozen
class FindOutcome:
    """Request the known outcome of a key of another incarnation."""

    key: str
    fingerprint: str


@frozen
class OutcomeFound:
    """The answer to FindOutcome."""

    found: KnownOutcome | None
