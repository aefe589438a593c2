"""All error kinds and the HTTP answer for each of them."""

from enum import Enum
from types import MappingProxyType
from typing import Any

from attrs import frozen


class Outcome(Enum):
    """What a client may conclude about whether its request ran."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    BAD_REQUEST = "bad_request"


class ErrorKind(Enum):
    """Every kind of error that a client or an operator can receive."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PATH = "unknown_path"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    BAD_DEADLINE = "bad_deadline"
    KEY_REQUIRED = "key_required"
    BAD_KEY = "bad_key"
    SLOW_CALLER = "slow_caller"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    OVERLOADED = "overloaded"
    LINK_FULL = "link_full"
    CAP_REACHED = "cap_reached"
    REFUSED_BY_RULE = "refused_by_rule"
    SUSPECT_REFUSED = "suspect_refused"
    DEADLINE_NOT_RUN = "deadline_not_run"
    BACKEND_UNREACHABLE = "backend_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ANSWER_LOST = "answer_lost"
    ANSWER_NOT_KEPT = "answer_not_kept"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_EXPIRED = "key_expired"
    KEY_NOT_RUN = "key_not_run"
    INVALID_RULES = "invalid_rules"
    CONFLICT = "conflict"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    CONFIRMATION_TIMEOUT = "confirmation_timeout"
    CONTROL_UNREACHABLE = "control_unreachable"
    BAD_SETTING = "bad_setting"
    INTERNAL = "internal"


@frozen
class ErrorAnswer:
    """The HTTP status, outcome and advice for an error kind."""

    status: int
    outcome: Outcome
    advice: str


_RESEND = (
    "The request did not run and won't. It is safe to send it again, "
    "a write under a new key."
)
_RESEND_LATER = (
    "The request did not run and won't. It is safe to send it again "
    "after the retry time, a write under a new key."
)
# The idempotency key was not read, so other copies of the request may have run.
_RESEND_SAME_KEY = (
    "This copy of the request did not run. It is safe to send it again, "
    "a write under the same key."
)
_CORRECT = "The request did not run. Correct it before sending it again."
_CHECK = (
    "The request may have run. Send it again only under the same key, "
    "or check its effect by other means."
)

ANSWERS: MappingProxyType[ErrorKind, ErrorAnswer] = MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: ErrorAnswer(400, Outcome.BAD_REQUEST, _CORRECT),
        ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(404, Outcome.BAD_REQUEST, _CORRECT),
        ErrorKind.UNKNOWN_PATH: ErrorAnswer(404, Outcome.BAD_REQUEST, _CORRECT),
        ErrorKind.METHOD_NOT_ALLOWED: ErrorAnswer(405, Outcome.BAD_REQUEST, _CORRECT),
        ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, Outcome.BAD_REQUEST, _CORRECT),
        ErrorKind.HEADERS_TOO_LARGE: ErrorAnswer(431, Outcome.BAD_REQUEST, _CORRECT),
        ErrorKind.BAD_DEADLINE: ErrorAnswer(400, Outcome.BAD_REQUEST, _CORRECT),
        ErrorKind.KEY_REQUIRED: ErrorAnswer(428, Outcome.BAD_REQUEST, _CORRECT),
        ErrorKind.BAD_KEY: ErrorAnswer(400, Outcome.BAD_REQUEST, _CORRECT),
        ErrorKind.SLOW_CALLER: ErrorAnswer(408, Outcome.NOT_RUN, _RESEND_SAME_KEY),
        ErrorKind.TOO_MANY_CONNECTIONS: ErrorAnswer(
            503, Outcome.NOT_RUN, _RESEND_SAME_KEY
        ),
        ErrorKind.NOT_READY: ErrorAnswer(503, Outcome.NOT_RUN, _RESEND_LATER),
        ErrorKind.DRAINING: ErrorAnswer(503, Outcome.NOT_RUN, _RESEND),
        ErrorKind.OVERLOADED: ErrorAnswer(503, Outcome.NOT_RUN, _RESEND_LATER),
        ErrorKind.LINK_FULL: ErrorAnswer(503, Outcome.NOT_RUN, _RESEND_LATER),
        ErrorKind.CAP_REACHED: ErrorAnswer(503, Outcome.NOT_RUN, _RESEND_LATER),
        ErrorKind.REFUSED_BY_RULE: ErrorAnswer(403, Outcome.NOT_RUN, _CORRECT),
        ErrorKind.SUSPECT_REFUSED: ErrorAnswer(
            422,
            Outcome.NOT_RUN,
            "This request crashed backend servers and is refused. Ask an operator.",
        ),
        ErrorKind.DEADLINE_NOT_RUN: ErrorAnswer(504, Outcome.NOT_RUN, _RESEND),
        ErrorKind.BACKEND_UNREACHABLE: ErrorAnswer(502, Outcome.NOT_RUN, _RESEND_LATER),
        ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(504, Outcome.UNKNOWN, _CHECK),
        ErrorKind.ANSWER_LOST: ErrorAnswer(502, Outcome.UNKNOWN, _CHECK),
        ErrorKind.ANSWER_NOT_KEPT: ErrorAnswer(
            410,
            Outcome.ANSWERED,
            "The request ran once. Its answer was too large to be kept.",
        ),
        ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(502, Outcome.UNKNOWN, _CHECK),
        ErrorKind.KEY_EXPIRED: ErrorAnswer(410, Outcome.UNKNOWN, _CHECK),
        ErrorKind.KEY_NOT_RUN: ErrorAnswer(409, Outcome.NOT_RUN, _RESEND),
        ErrorKind.INVALID_RULES: ErrorAnswer(422, Outcome.BAD_REQUEST, _CORRECT),
        ErrorKind.CONFLICT: ErrorAnswer(
            412,
            Outcome.NOT_RUN,
            "Another change was accepted first. Compare, then apply again.",
        ),
        ErrorKind.PLATFORM_UNAVAILABLE: ErrorAnswer(503, Outcome.UNKNOWN, _CHECK),
        ErrorKind.CONFIRMATION_TIMEOUT: ErrorAnswer(
            504,
            Outcome.ANSWERED,
            "The change is accepted but not confirmed in force everywhere.",
        ),
        ErrorKind.CONTROL_UNREACHABLE: ErrorAnswer(
            503,
            Outcome.NOT_RUN,
            "No control process answered. Give other addresses with --admin.",
        ),
        ErrorKind.BAD_SETTING: ErrorAnswer(500, Outcome.NOT_RUN, _CORRECT),
        ErrorKind.INTERNAL: ErrorAnswer(500, Outcome.UNKNOWN, _CHECK),
    }
)


class SteeringError(Exception):
    """An error that is answered according to its ErrorKind."""

    def __init__(
        self, kind: ErrorKind, message: str, retry_after_ms: int | None = None
    ):
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.retry_after_ms = retry_after_ms

    @property
    def answer(self) -> ErrorAnswer:
        """Return the HTTP answer for this error's kind."""
        return ANSWERS[self.kind]


def bad_setting(flag: str, value: Any, allowed: str) -> SteeringError:
    """Return the error for a flag's value that is not valid, as one line."""
    return SteeringError(
        ErrorKind.BAD_SETTING, f"--{flag}={value!r} is not valid: {allowed}"
    )
