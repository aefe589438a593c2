"""Answer bodies that identify their request and server and can be verified."""

from attrs import frozen
from msgspec import DecodeError, ValidationError, json
from xxhash import xxh3_64_hexdigest, xxh3_128_hexdigest

MAX_FILLER_BYTES = 8 << 20


@frozen
class Echo:
    """The first line of an answer's body, followed by filler bytes."""

    server: str
    request_id: str
    # Path and query as the backend server received them.
    path: str
    # Checksum of the request body.
    request_checksum: str
    filler_bytes: int
    filler_checksum: str


def body_checksum(body: bytes) -> str:
    """Return the checksum of a body."""
    return xxh3_64_hexdigest(body)


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a hash that is equal for requests of equal method, path and body."""
    return xxh3_128_hexdigest(b"\n".join((method.encode(), path.encode(), body)))


def filler(request_id: str, size: int) -> bytes:
    """Return filler bytes that differ between requests."""
    unit = f"{request_id} ".encode()
    return (unit * (size // len(unit) + 1))[:size]


def build_answer(
    server: str, request_id: str, path: str, body: bytes, filler_bytes: int
) -> bytes:
    """Return the body of the answer to a request."""
    filler_data = filler(request_id, min(filler_bytes, MAX_FILLER_BYTES))
    echo = Echo(
        server,
        request_id,
        path,
        body_checksum(body),
        len(filler_data),
        body_checksum(filler_data),
    )
    return json.encode(echo) + b"\n" + filler_data


def read_answer(answer: bytes) -> Echo | None:
    """Return the echo of a complete answer, or None if it is damaged."""
    first_line, _, filler_data = answer.partition(b"\n")
    try:
        echo = json.decode(first_line, type=Echo)
    except (DecodeError, ValidationError):
        return None
    if (echo.filler_bytes, echo.filler_checksum) != (
        len(filler_data),
        body_checksum(filler_data),
    ):
        return None
    return echo
