"""A synchronous client of the administration API that tries several controls."""

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

T = TypeVar("T")
MAX_ANSWER_BYTES = 32 << 20


@frozen
class Change:
    """A change of the rules text; a repeated try has the same change id."""

    text: str
    # Revision that the text was made from.
    base: int
    author: str
    reason: str
    change_id: str


@frozen
class _Answer:
    status: int
    body: bytes


@frozen
class _Refusal:
    """The body of a refusal."""

    kind: str = ""
    outcome: str = ""
    message: str = ""


class _NotSent(Exception):
    """No connection was made, so the call had no effect."""


class _AnswerLost(Exception):
    """The call may have had its effect."""


@frozen
class AdminClient:
    """Call the administration API of the first control that answers."""

    addresses: Sequence[str]
    # Bounds connecting and each wait for bytes.
    timeout_s: float = 5.0

    def rules(self) -> RulesAnswer:
        """Return the rules that were accepted last."""
        return self._get("/v1/rules", RulesAnswer)

    def status(self) -> StatusAnswer:
        """Return the state of the system."""
        return self._get("/v1/status", StatusAnswer)

    def each_status(self) -> tuple[StatusAnswer, ...]:
        """Return the status of each control that answers; raise if none does."""
        found = []
        for address in self.addresses:
            with suppress(SteeringError):
                found.append(evolve(self, addresses=(address,)).status())
        return tuple(found) or (self.status(),)

    def history(self, limit: int) -> HistoryAnswer:
        """Return the newest audit entries."""
        return self._get(f"/v1/history?limit={limit}", HistoryAnswer)

    def where(self, **query: str | None) -> WhereAnswer:
        """Return why a look-up or a request goes where it goes."""
        chosen = {key: value for key, value in query.items() if value is not None}
        return self._get(
            f"/v1/where?{urlencode(chosen, errors='replace')}", WhereAnswer
        )

    def put_rules(
        self, change: Change
    ) -> Result[ApplyAnswer, ConflictAnswer | CheckAnswer]:
        """Apply a change, or return why it was refused.

        Raises OUTCOME_UNKNOWN if the change may have been accepted. It's then safe to
        call again with the same change.
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
        raise _error(answer)

    def _get(self, path: str, kind: type[T]) -> T:
        answer = self._first_answer("GET", path, {}, b"")
        if answer.status != 200:
            raise _error(answer)
        return _decode(answer, kind)

    def _first_answer(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> _Answer:
        """Return the first answer below 500; raise if no control gives one."""
        unknown = False
        problems = []
        for address in self.addresses:
            try:
                answer = self._exchange(address, method, path, headers, body)
            except _NotSent as error:
                problems.append(f"{address}: {error}")
                continue
            except _AnswerLost as error:
                unknown = True
                problems.append(f"{address}: {error}")
                continue
            if answer.status < 500:
                return answer
            refusal = _refusal(answer)
            unknown = unknown or refusal.outcome != Outcome.NOT_RUN.value
            problems.append(f"{address}: {refusal.message or refusal.kind}")
        raise _no_answer(unknown and method == "PUT", problems)

    def _exchange(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> _Answer:
        host, port = split_address(address)
        connection = HTTPConnection(host, port, timeout=self.timeout_s)
        try:
            connection.connect()
        except OSError as error:
            raise _NotSent(error.strerror or str(error)) from error
        try:
            connection.request(method, path, body or None, dict(headers))
            response = connection.getresponse()
            data = response.read(MAX_ANSWER_BYTES)
            length = response.headers.get("Content-Length")
        except (OSError, HTTPException) as error:
            message = str(error) or type(error).__name__
            raise _AnswerLost(f"no whole answer: {message}") from error
        finally:
            connection.close()
        # read with a size returns a truncated body without an error.
        if length is not None and len(data) != int(length):
            raise _AnswerLost(f"answer has {len(data)} of {length} bytes")
        return _Answer(response.status, data)


def _decode(
    answer: _Answer, kind: type[T], error_kind: ErrorKind = ErrorKind.INTERNAL
) -> T:
    try:
        return from_json(answer.body, kind)
    except SteeringError as error:
        message = f"the control's answer is not understood: {error.message}"
        raise SteeringError(error_kind, message) from error


def _refusal(answer: _Answer) -> _Refusal:
    try:
        return from_json(answer.body, _Refusal)
    except SteeringError:
        return _Refusal(message=f"HTTP status {answer.status}")


def _error(answer: _Answer) -> SteeringError:
    """Return the error that a control answered."""
    refusal = _refusal(answer)
    known = refusal.kind in {kind.value for kind in ErrorKind}
    kind = ErrorKind(refusal.kind) if known else ErrorKind.INTERNAL
    return SteeringError(kind, refusal.message or f"HTTP status {answer.status}")


def _no_answer(unknown: bool, problems: list[str]) -> SteeringError:
    message = "; ".join(problems)
    if unknown:
        return SteeringError(ErrorKind.OUTCOME_UNKNOWN, message)
    return SteeringError(ErrorKind.CONTROL_UNREACHABLE, message)
