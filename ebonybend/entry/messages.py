"""Messages between entries other than forwarded requests."""

from attrs import frozen

from ebonybend.steering.keys import OutcomeRecord, SealedIncarnation
from ebonybend.steering.outcomes import KnownOutcome


@frozen
class LendRequest:
    """Ask for units of a shift or cap."""

    borrower: str
    # Key of the rule, see rules.rule_key.
    bound: str
    units: int
    # The borrower's cap; a lender with another cap grants nothing, so that no unit of
    # a larger cap is used under a smaller one.
    cap: int


@frozen
class OutcomesPush:
    """Finished outcomes of an entry, and its seal when it stops."""

    instance: str
    incarnation: int
    records: tuple[OutcomeRecord, ...]
    sealed: SealedIncarnation | None = None


@frozen
class OutcomesTaken:
    """The answer to a push."""

    # The seal was taken; False when outcomes that it counts are missing.
    sealed: bool


@frozen
class FindOutcome:
    """Ask what is known about a key of another incarnation."""

    key: str
    fingerprint: str


@frozen
class OutcomeFound:
    """The answer to FindOutcome."""

    found: KnownOutcome | None
