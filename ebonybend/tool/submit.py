"""Apply a change without duplicates, even if answers are lost."""

from attrs import evolve, frozen
from returns.result import Failure, Result

from ebonybend.control.admin_messages import ApplyAnswer, CheckAnswer, ConflictAnswer
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.rules import RuleError
from ebonybend.tool.admin_client import Change
from ebonybend.tool.confirm import Confirmation, confirmation_lines, wait_until_in_force
from ebonybend.tool.context import EXIT_DONE, EXIT_REFUSED, Context, VerbResult
from ebonybend.tool.options import usage_error

# Delays before each retry of a change whose answer was lost.
RETRY_DELAYS_S = (0.1, 0.5, 1.0, 2.0)


@frozen
class ChangeResult:
    """The result of a change."""

    accepted: bool
    revision: int = 0
    change_id: str = ""
    changes: tuple[str, ...] = ()
    confirmation: Confirmation | None = None
    errors: tuple[RuleError, ...] = ()
    conflict: ConflictAnswer | None = None


def require_author_and_reason(context: Context) -> tuple[str, str]:
    """Return the author and the reason; raise BAD_SETTING if one is missing."""
    options = context.options
    if not options.author or not options.why:
        raise usage_error(f"{options.verb} needs --author=NAME and --why=REASON")
    # Both go into one line of the history and must be encodable as UTF-8 for sending.
    if not (options.author + options.why).isprintable():
        raise usage_error("--author and --why must be one line of readable text")
    return options.author, options.why


def submit(
    context: Context, change: Change
) -> Result[ApplyAnswer, ConflictAnswer | CheckAnswer]:
    """Apply a change; retry with the same change id if the answer is lost."""
    for delay in (*RETRY_DELAYS_S, None):
        try:
            return context.client.put_rules(change)
        except SteeringError as error:
            if error.kind is not ErrorKind.OUTCOME_UNKNOWN:
                raise
            if delay is None:
                raise _unknown_outcome_error(change, error) from error
            context.report_progress(f"no answer ({error.message}); asking again")
            context.sleep(delay)
    raise AssertionError("the last try returns or raises")


def _unknown_outcome_error(change: Change, error: SteeringError) -> SteeringError:
    return SteeringError(
        ErrorKind.OUTCOME_UNKNOWN,
        f"the change may or may not have been accepted: {error.message}; run the "
        f"same command again with --change_id={change.change_id}",
    )


def confirm_change(
    context: Context, answer: ApplyAnswer, changes: tuple[str, ...]
) -> VerbResult:
    """Wait until an accepted change is in force and return its result."""
    revision, change_id = answer.revision, answer.change_id
    context.report_progress(f"accepted as revision {revision} (change {change_id})")
    confirmation = wait_until_in_force(context, revision)
    status = EXIT_DONE if confirmation.in_force_everywhere else EXIT_REFUSED
    value = ChangeResult(True, revision, change_id, changes, confirmation)
    return VerbResult(status, (*changes, *confirmation_lines(confirmation)), value)


def refused_result(
    failure: ConflictAnswer | CheckAnswer, base: int, name: str, header_lines: int = 0
) -> VerbResult:
    """Return the result of a refused change, with the line numbers of the file.

    header_lines is the number of lines of the file that were not sent.
    """
    if isinstance(failure, ConflictAnswer):
        return _conflict_result(failure, base)
    errors = tuple(evolve(e, line=e.line + header_lines) for e in failure.errors)
    value = ChangeResult(False, errors=errors)
    return VerbResult(EXIT_REFUSED, error_lines(name, errors), value)


def error_lines(name: str, errors: tuple[RuleError, ...]) -> tuple[str, ...]:
    """Return one line FILE:LINE:COLUMN for each error, a form that editors read."""
    return tuple(f"{name}:{e.line}:{e.column}: {e.message}" for e in errors)


def _conflict_result(conflict: ConflictAnswer, base: int) -> VerbResult:
    lines = (
        f"conflict: revision {conflict.revision} by {conflict.author} "
        f"({conflict.reason}) was accepted first; your text was made from "
        f"revision {base}",
        f"difference from revision {conflict.revision} to your text:",
        *(f"  {line}" for line in conflict.difference or ("none",)),
        "nothing was changed; get the newest rules with `ebonybend show`, make your "
        "change again and apply it",
    )
    return VerbResult(EXIT_REFUSED, lines, ChangeResult(False, conflict=conflict))


def is_conflict(result: Result) -> bool:
    """Return whether another change was accepted first."""
    return isinstance(result, Failure) and isinstance(result.failure(), ConflictAnswer)
