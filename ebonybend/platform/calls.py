"""Header names and the formats of the calls that clients make."""

from collections.abc import Mapping, Sequence

from twisted.web.http_headers import Headers

from ebonybend.codec import to_json
from ebonybend.node.wire import ClientHeaders, ServerLoad

RESOLVE_PATH = "/resolve"
READY_PATH = "/ready"
# Identifies one attempt of a client; servers echo it.
REQUEST_ID = b"Attempt-Id"
# Milliseconds for which the sender waits.
DEADLINE = b"Deadline-Ms"
# Requests of the same object have the same value.
OBJECT_KEY = b"Affinity-Key"
# Name of the only server that may run the request.
EXPECTED_SERVER = b"Expect-Instance"
# Running requests, waiting requests and slots, separated by commas.
LOAD = b"Server-Load"
# States that the server did not run the request.
NOT_RUN = b"Not-Executed"
RETRY_AFTER = "Retry-After"
MS_PER_S = 1000.0


class PlatformWire:
    """The formats between clients, nodes and servers."""

    request_id_header = REQUEST_ID
    lookup_path = RESOLVE_PATH
    ready_path = READY_PATH

    def read_client_headers(self, headers: Headers) -> ClientHeaders | None:
        """Return what the headers tell; None without an id or with a bad deadline."""
        request_id = _single(headers, REQUEST_ID)
        if not request_id:
            return None
        text = _single(headers, DEADLINE)
        deadline_s = None
        if text is not None:
            if not text.isdigit():
                return None
            deadline_s = int(text) / MS_PER_S
        return ClientHeaders(
            request_id, deadline_s, _single(headers, OBJECT_KEY) or b""
        )

    def server_headers(
        self, server: str, left_s: float
    ) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers that a request to a server gets besides the client's."""
        left_ms = max(int(left_s * MS_PER_S), 1)
        return ((DEADLINE, b"%d" % left_ms), (EXPECTED_SERVER, server.encode()))

    def states_not_run(self, status: int, headers: Headers) -> bool:
        """Tell whether a server's answer states that it did not run the request."""
        return status == 421 or headers.hasHeader(NOT_RUN)

    def read_load(self, headers: Headers) -> ServerLoad | None:
        """Return the load that an answer reports, or None."""
        text = _single(headers, LOAD)
        if text is None:
            return None
        parts = text.split(b",")
        if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
            return None
        return ServerLoad(*(int(part) for part in parts))

    def retry_after_header(self, seconds: float) -> tuple[str, str]:
        """Return the header that tells a client when to come back, in seconds."""
        return RETRY_AFTER, f"{seconds:.3f}"

    def read_lookup(self, query: Mapping[bytes, list[bytes]]) -> tuple[str, str]:
        """Return the failure domain and the region of the client that asks."""
        domain, region = (query.get(name, [b""])[0] for name in (b"Zone", b"Region"))
        return domain.decode("utf-8", "replace"), region.decode("utf-8", "replace")

    def encode_lookup(self, addresses: Sequence[str], lifetime_s: float) -> bytes:
        """Return the body of a directory answer."""
        return to_json({"Addrs": list(addresses), "TtlS": lifetime_s})


def _single(headers: Headers, name: bytes) -> bytes | None:
    values = headers.getRawHeaders(name)
    return values[0].strip() if values else None
