"""Requests and answers as the handlers of an HTTP server see them."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol

from attrs import field, frozen
from twisted.web.http_headers import Headers

from ebonybend.codec import to_json
from ebonybend.errors import ErrorKind, SteeringError

DEFAULT_RETRY_AFTER_MS = 100


@frozen
class IncomingRequest:
    """A request whose headers and body were received completely."""

    method: str
    path: str
    query: Mapping[bytes, list[bytes]]
    body: bytes
    raw: Any
    # Time at which the first byte arrived, on the reactor's clock. A pipelined request
    # may be processed much later.
    received_at: float | None = None

    def header(self, name: str) -> str | None:
        """Return a header's value, or None if it is missing."""
        return self.raw.getHeader(name)

    def argument(self, name: str) -> str | None:
        """Return the first value of a query argument, or None if it is missing."""
        values = self.query.get(name.encode())
        return values[0].decode("utf-8", "replace") if values else None


class Pacer(Protocol):
    """Limit the rate at which an answer's body is written."""

    chunk_bytes: int

    async def admit(self, size: int) -> None:
        """Wait until a number of bytes may be sent."""
        ...


@frozen
class OutgoingAnswer:
    """An HTTP response that a handler returns."""

    status: int = 200
    body: bytes = b""
    headers: Mapping[str, str] = field(factory=dict)
    pacer: Pacer | None = None
    # Headers as bytes; a name may have several values.
    raw_headers: Headers | None = None


Handler = Callable[[IncomingRequest], Awaitable[OutgoingAnswer]]


@frozen
class ErrorBody:
    """The JSON body of every error answer."""

    kind: str
    outcome: str
    message: str
    advice: str
    request_id: str | None = None
    retry_after_ms: int | None = None


def json_answer(
    value: Any, status: int = 200, headers: Mapping[str, str] | None = None
) -> OutgoingAnswer:
    """Return an answer with a value encoded as its JSON body."""
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    return OutgoingAnswer(status, to_json(value), all_headers)


def error_answer(error: SteeringError, request_id: str | None = None) -> OutgoingAnswer:
    """Return the HTTP answer for an error."""
    answer = error.answer
    retry_after = error.retry_after_ms
    if retry_after is None and answer.status == 503:
        retry_after = DEFAULT_RETRY_AFTER_MS
    headers = {
        "Ebonybend-Error": error.kind.value,
        "Ebonybend-Outcome": answer.outcome.value,
    }
    if request_id is not None:
        headers["Request-Id"] = request_id
    if retry_after is not None:
        headers["Retry-After-Ms"] = str(retry_after)
    body = ErrorBody(
        error.kind.value,
        answer.outcome.value,
        error.message,
        answer.advice,
        request_id,
        retry_after,
    )
    return json_answer(body, answer.status, headers)


def error_answer_bytes(kind: ErrorKind, message: str) -> bytes:
    """Return an error answer as bytes, for a connection without a parsed request."""
    answer = error_answer(SteeringError(kind, message))
    lines = [f"HTTP/1.1 {answer.status} {kind.value}"]
    lines += [f"{name}: {value}" for name, value in answer.headers.items()]
    lines += [f"Content-Length: {len(answer.body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode() + answer.body
