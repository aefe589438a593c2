"""Messages between entries other than forwarded requests."""

from attrs import frozen

from ebonybend.steering.keys import OutcomeRecord, SealedIncarnation
from ebonybend.steering.outcomes import Found


@frozen
class LendRequest:
    """Ask for units of a shift or cap."""

    borrower: str
    # Name of the bound, see budgets.bound_name.
    bound: str
    units: int


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

    found: Found | None
