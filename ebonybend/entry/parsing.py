"""Parse and validate client requests."""

from uuid import uuid4

from ebonybend.entry.requests import IDEMPOTENT_METHODS, SteeredRequest
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_answers import IncomingRequest
from ebonybend.settings import Settings

MS = 1000.0
MAX_REQUEST_ID_LENGTH = 128
MAX_KEY_LENGTH = 256


def split_service(uri: str, prefix: str) -> tuple[str, str]:
    """Return the service, and the path with query, that follow a prefix."""
    service, slash, path = uri.removeprefix(prefix).partition("/")
    if not uri.isprintable():
        raise SteeringError(ErrorKind.BAD_REQUEST, "the path has control characters")
    if not service or not slash or "?" in service:
        raise SteeringError(
            ErrorKind.UNKNOWN_PATH, f"expected {prefix}<service>/<path>"
        )
    return service, f"/{path}"


def parse_deadline_ms(text: str | None, settings: Settings) -> float:
    """Return the deadline of a request in milliseconds, or the default."""
    if text is None:
        return settings.default_deadline_ms
    longest = settings.longest_deadline_ms
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= longest:
        raise SteeringError(
            ErrorKind.BAD_DEADLINE, f"Deadline-Ms must be a number from 1 to {longest}"
        )
    return int(text)


def parse_request_id(text: str | None) -> str:
    """Return the client's request id, or a new one."""
    if text is None:
        return uuid4().hex
    if (
        not text
        or len(text) > MAX_REQUEST_ID_LENGTH
        or not (text.isascii() and text.isprintable())
    ):
        raise SteeringError(
            ErrorKind.BAD_REQUEST,
            f"Request-Id must be 1 to {MAX_REQUEST_ID_LENGTH} printable ASCII bytes",
        )
    return text


def parse_key(method: str, text: str | None) -> str | None:
    """Return the idempotency key; a request that may run only once needs one."""
    if method in IDEMPOTENT_METHODS:
        return None
    if method != "POST":
        raise SteeringError(
            ErrorKind.METHOD_NOT_ALLOWED, f"{method} is not one of GET, HEAD, POST"
        )
    if not text:
        raise SteeringError(ErrorKind.KEY_REQUIRED, "POST needs Idempotency-Key")
    if len(text) > MAX_KEY_LENGTH:
        raise SteeringError(
            ErrorKind.BAD_KEY, f"Idempotency-Key is over {MAX_KEY_LENGTH} characters"
        )
    return text


def parse_request(
    incoming: IncomingRequest,
    prefix: str,
    settings: Settings,
    now: float,
    request_id: str,
) -> SteeredRequest:
    """Return the validated request; raise an error with outcome bad_request."""
    service, path = split_service(incoming.raw.uri.decode("ascii"), prefix)
    key = parse_key(incoming.method, incoming.header("Idempotency-Key"))
    deadline_ms = parse_deadline_ms(incoming.header("Deadline-Ms"), settings)
    return SteeredRequest(
        service=service,
        method=incoming.method,
        path=path,
        body=incoming.body,
        content_type=incoming.header("Content-Type"),
        deadline=now + deadline_ms / MS,
        request_id=request_id,
        key=key,
    )
