"""Results of the attempts to get a request answered."""

from attrs import define, field, frozen
from returns.result import Failure, Result

from ebonybend.entry.requests import ServedAnswer
from ebonybend.errors import ErrorKind, Outcome, SteeringError

# The first attempt and at most two retries.
MAX_SENDS = 3
# Refusals after which another server or failure domain may still answer.
RETRY_ELSEWHERE = frozenset(
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
    """The reason why an attempt produced no answer."""

    error: SteeringError
    # Whether a backend server or another entry was used for the attempt. A retry
    # after a refusal inside this process takes no token of the retry budget.
    sent: bool
    # Whether another entry reported the error; it then covers all attempts made there.
    reported_by_entry: bool = False

    @property
    def may_have_run(self) -> bool:
        """Return whether the request may have run."""
        return self.error.answer.outcome is Outcome.UNKNOWN

    def as_attempt(self) -> "Attempt":
        """Return the failure as the result of an attempt."""
        return Failure(self)


Attempt = Result[ServedAnswer, AttemptFailure]


def refused_attempt(
    kind: ErrorKind, message: str, retry_ms: int | None = None
) -> Attempt:
    """Return the result of an attempt that was refused inside this process."""
    return Failure(AttemptFailure(SteeringError(kind, message, retry_ms), False))


def failed_attempt(kind: ErrorKind, message: str) -> Attempt:
    """Return the result of an attempt that failed at another process."""
    return Failure(AttemptFailure(SteeringError(kind, message), True))


@define
class AttemptHistory:
    """The attempts made for one request: what was tried and how it failed."""

    tried_servers: set[str] = field(factory=set)
    tried_instances: set[str] = field(factory=set)
    # Failure domains that must not be tried again.
    domains: set[str] = field(factory=set)
    # Target region of a shift rule that applies to the request, or None.
    shifted_to: str | None = None
    sends: int = 0
    # Whether no server or failure domain remains to be tried.
    exhausted: bool = False
    last: AttemptFailure | None = None
    last_sent: AttemptFailure | None = None
    # The last failure after which the request may have run.
    last_unknown: AttemptFailure | None = None

    def record_failure(self, failure: AttemptFailure) -> None:
        """Record a failed attempt."""
        self.last = failure
        if failure.sent:
            self.sends += 1
            self.last_sent = failure
        if failure.may_have_run:
            self.last_unknown = failure

    def final_failure(self) -> AttemptFailure:
        """Return the failure to report to the client.

        A failure after which the request may have run takes precedence over refusals,
        and a failure at another process over a refusal inside this one.
        """
        return self.last_unknown or self.last_sent or self.last
