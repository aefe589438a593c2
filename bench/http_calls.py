"""Blocking HTTP calls for controlling and monitoring a fleet."""

from http.client import HTTPConnection, HTTPException
from typing import Any

from attrs import frozen

from ebonybend.addresses import split_address
from ebonybend.codec import to_json

TIMEOUT_S = 2.0


@frozen
class CallAnswer:
    """The answer to a call; status 0 if there was none."""

    status: int
    body: bytes


def call(
    method: str,
    address: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = TIMEOUT_S,
    source_ip: str = "",
) -> CallAnswer:
    """Send one request; the body is encoded as JSON unless it is bytes."""
    host, port = split_address(address)
    source = (source_ip, 0) if source_ip else None
    connection = HTTPConnection(host, port, timeout=timeout, source_address=source)
    data = body if isinstance(body, bytes | None) else to_json(body)
    try:
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return CallAnswer(response.status, response.read())
    except (OSError, HTTPException) as error:
        return CallAnswer(0, repr(error).encode())
    finally:
        connection.close()


def must_call(method: str, address: str, path: str, body: Any = None) -> bytes:
    """Send one request and return the body; raise RuntimeError unless it is 2xx."""
    answer = call(method, address, path, body)
    if not 200 <= answer.status < 300:
        text = answer.body.decode("utf-8", "replace")
        raise RuntimeError(f"{method} {address}{path}: {answer.status} {text}")
    return answer.body
