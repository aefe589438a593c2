"""Encode client requests for backend servers."""

from collections.abc import Iterable

from ebonybend.node.caller_requests import ClientRequest

# Hop-by-hop headers, and headers that the node sets itself.
NOT_FORWARDED_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


def encode_request(
    request: ClientRequest, added_headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Return the bytes of a request, with headers added or replaced."""
    added_headers = tuple(added_headers)
    replaced = {name.lower() for name, _ in added_headers}
    lines = [b"%s %s HTTP/1.1" % (request.method, request.uri)]
    for name, values in request.headers.getAllRawHeaders():
        lowered = name.lower()
        if lowered in NOT_FORWARDED_HEADERS or lowered in replaced:
            continue
        lines += [b"%s: %s" % (name, value) for value in values]
    lines += [b"%s: %s" % pair for pair in added_headers]
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body
