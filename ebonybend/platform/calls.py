"""Header names and formats of calls between clients, nodes and servers."""

import re
from collections.abc import Mapping, Sequence
from math import inf

from twisted.web.http_headers import Headers

from ebonybend.codec import to_json
from ebonybend.node.wire import ClientHeaders, ServerLoad

RESOLVE_PATH = "/resolve"
READY_PATH = "/ready"
# Identifies one attempt of a client; servers echo it.
REQUEST_ID_HEADER = b"Attempt-Id"
# Milliseconds for which the sender waits.
DEADLINE_HEADER = b"Deadline-Ms"
# Requests for the same object have the same value.
OBJECT_KEY_HEADER = b"Affinity-Key"
# Name of the only server that may run the request.
EXPECTED_SERVER_HEADER = b"Expect-Instance"
# Running requests, waiting requests and slots, separated by commas.
LOAD_HEADER = b"Server-Load"
# Requests a second that the server takes from all nodes together.
LIMIT_HEADER = b"Server-Limit"
# States that the server leaves, if it is 1.
LEAVING_HEADER = b"Server-Leaving"
WHOLE_NUMBER = re.compile(rb"[0-9]{1,12}")
DECIMAL_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
# States that the server did not run the request.
NOT_RUN_HEADER = b"Not-Executed"
RETRY_AFTER_HEADER = "Retry-After"
# Statuses of a server that is full; Retry-After in others is not about this node.
PAUSE_STATUSES = frozenset({429, 503})
MS_PER_S = 1000.0


class PlatformWireFormat:
    """The platform's formats of calls between clients, nodes and servers."""

    request_id_header = REQUEST_ID_HEADER
    lookup_path = RESOLVE_PATH
    ready_path = READY_PATH

    def read_client_headers(self, headers: Headers) -> ClientHeaders | None:
        """Return the decoded headers; None without an id or with a bad deadline."""
        request_id = _first_value(headers, REQUEST_ID_HEADER)
        if not request_id:
            return None
        value = _first_value(headers, DEADLINE_HEADER)
        deadline_s = None
        if value is not None:
            if not WHOLE_NUMBER.fullmatch(value):
                return None
            deadline_s = int(value) / MS_PER_S
        return ClientHeaders(
            request_id, deadline_s, _first_value(headers, OBJECT_KEY_HEADER) or b""
        )

    def server_headers(
        self, server: str, remaining_s: float
    ) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers that are added to a request to a server."""
        remaining_ms = max(int(remaining_s * MS_PER_S), 1)
        return (
            (DEADLINE_HEADER, b"%d" % remaining_ms),
            (EXPECTED_SERVER_HEADER, server.encode()),
        )

    def states_not_run(self, status: int, headers: Headers) -> bool:
        """Return whether an answer states that the server didn't run the request."""
        return status == 421 or headers.hasHeader(NOT_RUN_HEADER)

    def read_load(self, headers: Headers) -> ServerLoad | None:
        """Return the load that an answer reports, or None."""
        value = _first_value(headers, LOAD_HEADER)
        if value is None:
            return None
        parts = [part.strip() for part in value.split(b",")]
        if len(parts) != 3 or not all(map(WHOLE_NUMBER.fullmatch, parts)):
            return None
        return ServerLoad(*(int(part) for part in parts))

    def read_limit(self, headers: Headers) -> float | None:
        """Return the requests per second that a server takes from all nodes.

        Infinite if it names no limit, None if its limit can't be read.
        """
        value = _first_value(headers, LIMIT_HEADER)
        if value is None:
            return inf
        if not DECIMAL_NUMBER.fullmatch(value):
            return None
        return float(value)

    def states_leaving(self, headers: Headers) -> bool:
        """Return whether an answer states that its server leaves."""
        return _first_value(headers, LEAVING_HEADER) == b"1"

    def read_pause(self, status: int, headers: Headers) -> float:
        """Return the seconds for which the server wants no requests from this node.

        0 if it states none, or none that can be read.
        """
        value = _first_value(headers, RETRY_AFTER_HEADER.encode())
        if status not in PAUSE_STATUSES or value is None:
            return 0.0
        return float(value) if DECIMAL_NUMBER.fullmatch(value) else 0.0

    def retry_after_header(self, seconds: float) -> tuple[str, str]:
        """Return the header that states the delay before a client's retry."""
        return RETRY_AFTER_HEADER, f"{seconds:.3f}"

    def read_lookup(self, query: Mapping[bytes, list[bytes]]) -> tuple[str, str]:
        """Return the failure domain and the region that a client states."""
        domain, region = (query.get(name, [b""])[0] for name in (b"Zone", b"Region"))
        return domain.decode("utf-8", "replace"), region.decode("utf-8", "replace")

    def encode_lookup(self, addresses: Sequence[str], lifetime_s: float) -> bytes:
        """Return the body of a directory answer."""
        return to_json({"Addrs": list(addresses), "TtlS": lifetime_s})


def _first_value(headers: Headers, name: bytes) -> bytes | None:
    values = headers.getRawHeaders(name)
    return values[0].strip() if values else None
