"""The results of attempts to have a request answered."""

from attrs import define, field, frozen
from returns.result import Failure, Result

from ebonybend.entry.requests import ServedAnswer
from ebonybend.errors import ErrorKind, Outcome, SteeringError

# The first attempt and at most two more.
MAX_SENDS = 3
# Refusals after which another place may answer.
ELSEWHERE = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.BACKEND_UNREACHABLE,
        ErrorKind.NOT_READY,
        ErrorKind.DRAINING,
        ErrorKind.CAP_REACHED,
        ErrorKind.LINK_FULL,
        ErrorKind.TOO_MANY_CONNECTIONS,
        ErrorKind.SLOW_CALLER,
    }
)


@frozen
class AttemptFailure:
    """Why an attempt gave no answer."""

    error: SteeringError
    # The attempt used a backend server or another entry; a refusal inside this
    # process needs no retry token.
    sent: bool
    # Another entry gave the error, so it holds for that entry's whole handling.
    stated: bool = False

    @property
    def may_have_run(self) -> bool:
        """Tell whether the request may have run."""
        return self.error.answer.outcome is Outcome.UNKNOWN

    def as_failure(self) -> "Attempt":
        """Return this as an attempt."""
        return Failure(self)


Attempt = Result[ServedAnswer, AttemptFailure]


def refused(kind: ErrorKind, message: str, retry_ms: int | None = None) -> Attempt:
    """Return the failure of an attempt that did not leave this process."""
    return Failure(AttemptFailure(SteeringError(kind, message, retry_ms), False))


def failed(kind: ErrorKind, message: str) -> Attempt:
    """Return the failure of an attempt that used another process."""
    return Failure(AttemptFailure(SteeringError(kind, message), True))


@define
class Search:
    """What the attempts for one request have tried and found."""

    servers: set[str] = field(factory=set)
    instances: set[str] = field(factory=set)
    # Failure domains that are not tried again.
    domains: set[str] = field(factory=set)
    # Region that a shift sends the request to, or None.
    shifted_to: str | None = None
    sends: int = 0
    # No place is left to try.
    exhausted: bool = False
    last: AttemptFailure | None = None
    last_sent: AttemptFailure | None = None
    # The last attempt that may have run the request.
    doubtful: AttemptFailure | None = None

    def note(self, failure: AttemptFailure) -> None:
        """Take in a failed attempt."""
        self.last = failure
        if failure.sent:
            self.sends += 1
            self.last_sent = failure
        if failure.may_have_run:
            self.doubtful = failure

    def conclusion(self) -> AttemptFailure:
        """Return what to answer.

        A doubtful attempt goes before any refusal, and what another process said goes
        before what this one found when no place was left.
        """
        return self.doubtful or self.last_sent or self.last
