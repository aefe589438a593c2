"""Answer bodies that show whose answer they are and that they are whole."""

from attrs import frozen
from msgspec import DecodeError, ValidationError, json
from xxhash import xxh3_64_hexdigest, xxh3_128_hexdigest

MAX_FILLER_BYTES = 8 << 20


@frozen
class Echo:
    """The first line of an answer's body; the filler follows it."""

    server: str
    request_id: str
    # Path and query as the backend server received them.
    path: str
    # Checksum of the request's body.
    request_checksum: str
    filler_bytes: int
    filler_checksum: str


def body_checksum(body: bytes) -> str:
    """Return the checksum of a body."""
    return xxh3_64_hexdigest(body)


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a value that is equal for requests that would run equally."""
    return xxh3_128_hexdigest(b"\n".join((method.encode(), path.encode(), body)))


def filler(request_id: str, size: int) -> bytes:
    """Return filler that differs between requests."""
    unit = f"{request_id} ".encode()
    return (unit * (size // len(unit) + 1))[:size]


def build_answer(
    server: str, request_id: str, path: str, body: bytes, size: int
) -> bytes:
    """Return the body of the answer to a request."""
    rest = filler(request_id, min(size, MAX_FILLER_BYTES))
    echo = Echo(
        server, request_id, path, body_checksum(body), len(rest), body_checksum(rest)
    )
    return json.encode(echo) + b"\n" + rest


def read_answer(answer: bytes) -> Echo | None:
    """Return the echo of a whole answer, or None if it is damaged."""
    first, _, rest = answer.partition(b"\n")
    try:
        echo = json.decode(first, type=Echo)
    except (DecodeError, ValidationError):
        return None
    if (echo.filler_bytes, echo.filler_checksum) != (len(rest), body_checksum(rest)):
        return None
    return echo
