"""A persistent connection that asks one backend server for its health."""

from typing import Any

from attrs import frozen
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from ebonybend.codec import from_json
from ebonybend.errors import SteeringError
from ebonybend.settings import split_address

HEADER_END = b"\r\n\r\n"
MAX_ANSWER_BYTES = 16 << 10


@frozen
class Health:
    """A backend server's answer to /health."""

    state: str
    in_flight: int = 0
    slots: int = 0


class ProbeFailed(Exception):
    """A probe that got no usable answer."""

    def __init__(self, message: str, refused: bool = False):
        super().__init__(message)
        # The port refused the connection, so no process listens on it.
        self.refused = refused


class _HealthProtocol(Protocol):
    """Send one request at a time and read an answer with a stated length.

    A general HTTP client costs about six times as much per probe, and probes are the
    most frequent thing that a control process does.
    """

    def __init__(self, host: str):
        self.request = f"GET /health HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
        self.buffer = b""
        self.waiting: Deferred[Health] | None = None
        self.open = False

    def connectionMade(self) -> None:
        """Note that the connection is usable."""
        self.open = True

    def ask(self) -> Deferred[Health]:
        """Send a request and return its answer."""
        self.buffer = b""
        self.waiting = Deferred(lambda _: self.abort())
        self.transport.write(self.request)
        return self.waiting

    def abort(self) -> None:
        """Close the connection; an answer that is still to come is of no use."""
        self.open = False
        self.waiting = None
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Collect the answer."""
        self.buffer += data
        try:
            body = split_answer(self.buffer)
            health = None if body is None else from_json(body, Health)
        except (ProbeFailed, SteeringError, ValueError) as error:
            self._finish(Failure(ProbeFailed(str(error))))
            self.abort()
            return
        if health is not None:
            self._finish(health)

    def connectionLost(self, reason: Any = None) -> None:
        """Fail the request that waits for its answer."""
        self.open = False
        self._finish(Failure(ProbeFailed("connection lost")))

    def _finish(self, result: Any) -> None:
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            waiting.callback(result)


def split_answer(data: bytes) -> bytes | None:
    """Return the body of a whole answer, or None while a part is missing."""
    if len(data) > MAX_ANSWER_BYTES:
        raise ProbeFailed("answer is too large")
    head, end, body = data.partition(HEADER_END)
    if not end:
        return None
    status, *lines = head.decode("latin-1").split("\r\n")
    if status.split(" ")[1:2] != ["200"]:
        raise ProbeFailed(f"answer {status!r}")
    fields = (line.partition(":") for line in lines)
    lengths = [value for name, _, value in fields if name.lower() == "content-length"]
    if not lengths:
        raise ProbeFailed("answer without a length")
    length = int(lengths[0])
    return body[:length] if len(body) >= length else None


class ProbeConnection:
    """Ask one server for its health; reconnect when needed."""

    def __init__(self, reactor: Any, address: str, source_address: str | None):
        self.reactor = reactor
        self.address = address
        self.source_address = source_address
        self.protocol: _HealthProtocol | None = None

    async def ask(self, timeout_s: float) -> Health:
        """Return the server's health; raise ProbeFailed."""
        deadline = self.reactor.seconds() + timeout_s
        if self.protocol is None or not self.protocol.open:
            self.protocol = await self._connect(timeout_s)
        left = max(deadline - self.reactor.seconds(), 0.0)
        answer = self.protocol.ask()
        answer.addTimeout(left, self.reactor)
        try:
            return await answer
        except ProbeFailed:
            raise
        except Exception as error:
            raise ProbeFailed(f"no answer in {timeout_s} s") from error

    async def _connect(self, timeout_s: float) -> _HealthProtocol:
        host, port = split_address(self.address)
        bind = (self.source_address, 0) if self.source_address else None
        endpoint = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        connecting = endpoint(self.reactor, host, port, timeout_s, bind).connect(
            Factory.forProtocol(lambda: _HealthProtocol(self.address))
        )
        try:
            return await connecting
        except ConnectionRefusedError as error:
            raise ProbeFailed(f"{self.address} refused", True) from error
        except Exception as error:
            raise ProbeFailed(f"no connection to {self.address}: {error}") from error

    def close(self) -> None:
        """Close the connection."""
        if self.protocol is not None and self.protocol.open:
            self.protocol.abort()
        self.protocol = None
