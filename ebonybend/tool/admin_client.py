"""A synchronous client of the administration API with failover between controls."""

from collections.abc import Mapping, Sequence
from contextlib import suppress
from http.client import HTTPConnection, HTTPException
from typing import TypeVar
from urllib.parse import quote, urlencode

from attrs import evolve, frozen
from returns.result import Failure, Result, Success

from ebonybend.addresses import split_address
from ebonybend.codec import from_json
from ebonybend.control.admin_messages import (
    ApplyAnswer,
    CheckAnswer,
    ConflictAnswer,
    HistoryAnswer,
    RulesAnswer,
    StatusAnswer,
    WhereAnswer,
)
from ebonybend.errors import ErrorKind, Outcome, SteeringError
from ebonybend.http_answer_parser import HeadTooLarge, MalformedAnswer
from ebonybend.tool.answer_reader import AnswerIncomplete, ReceivedAnswer, read_answer

T = TypeVar("T")
MAX_ANSWER_BYTES = 32 << 20
NO_WHOLE_ANSWER = (
    OSError,
    HTTPException,
    AnswerIncomplete,
    MalformedAnswer,
    HeadTooLarge,
)


@frozen
class Change:
    """A change of the rules text; a retry has the same change id."""

    text: str
    # Revision that the text was edited from.
    base: int
    author: str
    reason: str
    change_id: str


@frozen
class _ErrorBody:
    """The body of an error answer."""

    kind: str = ""
    outcome: str = ""
    message: str = ""


class _ConnectError(Exception):
    """The connection failed, so the request had no effect."""


class _AnswerLost(Exception):
    """The request was sent and may have taken effect."""


@frozen
class AdminClient:
    """Call the administration API of the first control that answers."""

    addresses: Sequence[str]
    # Limit for connecting and for each socket read or write, not for a whole request.
    timeout_s: float = 5.0

    def get_rules(self) -> RulesAnswer:
        """Return the rules that were accepted last."""
        return self._get("/v1/rules", RulesAnswer)

    def get_status(self) -> StatusAnswer:
        """Return the state of the system as the control that answers knows it."""
        return self._get("/v1/status", StatusAnswer)

    def get_statuses(self) -> tuple[StatusAnswer, ...]:
        """Return the status of each control that answers; raise if none does."""
        statuses = []
        for address in self.addresses:
            with suppress(SteeringError):
                statuses.append(evolve(self, addresses=(address,)).get_status())
        return tuple(statuses) or (self.get_status(),)

    def get_history(self, limit: int) -> HistoryAnswer:
        """Return the newest audit entries."""
        return self._get(f"/v1/history?limit={limit}", HistoryAnswer)

    def get_where(self, **query: str | None) -> WhereAnswer:
        """Return how a lookup or a request is routed, and why."""
        parameters = {key: value for key, value in query.items() if value is not None}
        return self._get(
            f"/v1/where?{urlencode(parameters, errors='replace')}", WhereAnswer
        )

    def put_rules(
        self, change: Change
    ) -> Result[ApplyAnswer, ConflictAnswer | CheckAnswer]:
        """Apply a change, or return why it was refused.

        Raises OUTCOME_UNKNOWN if the change may have been accepted; a call with the
        same change is then safe, since the change id makes it idempotent.
        """
        headers = {
            "If-Match": f'"{change.base}"',
            "Author": quote(change.author),
            "Reason": quote(change.reason),
            "Change-Id": change.change_id,
            "Content-Type": "text/plain; charset=utf-8",
        }
        body = change.text.encode()
        answer = self._first_answer("PUT", "/v1/rules", headers, body)
        if answer.status == 200:
            return Success(_decode(answer, ApplyAnswer, ErrorKind.OUTCOME_UNKNOWN))
        if answer.status == 412:
            return Failure(_decode(answer, ConflictAnswer))
        if answer.status == 422:
            check = _decode(answer, CheckAnswer)
            if check.errors:
                return Failure(check)
        raise _steering_error(answer)

    def _get(self, path: str, answer_type: type[T]) -> T:
        answer = self._first_answer("GET", path, {}, b"")
        if answer.status != 200:
            raise _steering_error(answer)
        return _decode(answer, answer_type)

    def _first_answer(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> ReceivedAnswer:
        """Return the first answer with a status below 500; raise if there is none."""
        outcome_unknown = False
        failures = []
        for address in self.addresses:
            try:
                answer = self._send_request(address, method, path, headers, body)
            except _ConnectError as error:
                failures.append(f"{address}: {error}")
                continue
            except _AnswerLost as error:
                outcome_unknown = True
                failures.append(f"{address}: {error}")
                continue
            if answer.status < 500:
                return answer
            error_body = _error_body(answer)
            outcome_unknown = (
                outcome_unknown or error_body.outcome != Outcome.NOT_RUN.value
            )
            failures.append(f"{address}: {error_body.message or error_body.kind}")
        raise _no_answer_error(outcome_unknown and method == "PUT", failures)

    def _send_request(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> ReceivedAnswer:
        host, port = split_address(address)
        connection = HTTPConnection(host, port, timeout=self.timeout_s)
        try:
            connection.connect()
        except OSError as error:
            raise _ConnectError(error.strerror or str(error)) from error
        try:
            connection.request(method, path, body or None, dict(headers))
            return read_answer(connection.sock, method, MAX_ANSWER_BYTES)
        except NO_WHOLE_ANSWER as error:
            message = str(error) or type(error).__name__
            raise _AnswerLost(f"no whole answer: {message}") from error
        finally:
            connection.close()


def _decode(
    answer: ReceivedAnswer,
    answer_type: type[T],
    error_kind: ErrorKind = ErrorKind.INTERNAL,
) -> T:
    try:
        return from_json(answer.body, answer_type)
    except SteeringError as error:
        message = f"the control's answer is not understood: {error.message}"
        raise SteeringError(error_kind, message) from error


def _error_body(answer: ReceivedAnswer) -> _ErrorBody:
    try:
        return from_json(answer.body, _ErrorBody)
    except SteeringError:
        return _ErrorBody(message=f"HTTP status {answer.status}")


def _steering_error(answer: ReceivedAnswer) -> SteeringError:
    """Return an error answer as a SteeringError."""
    error_body = _error_body(answer)
    known = error_body.kind in {kind.value for kind in ErrorKind}
    kind = ErrorKind(error_body.kind) if known else ErrorKind.INTERNAL
    return SteeringError(kind, error_body.message or f"HTTP status {answer.status}")


def _no_answer_error(outcome_unknown: bool, failures: list[str]) -> SteeringError:
    message = "; ".join(failures)
    if outcome_unknown:
        return SteeringError(ErrorKind.OUTCOME_UNKNOWN, message)
    return SteeringError(ErrorKind.CONTROL_UNREACHABLE, message)
