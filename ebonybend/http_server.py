"""HTTP server with request limits, whose error answers all carry an ErrorKind."""

from typing import Any

from attrs import frozen
from twisted.internet.protocol import Protocol as ConnectionProtocol
from twisted.web.resource import Resource
from twisted.web.server import Site

from ebonybend.errors import ErrorKind
from ebonybend.http_answers import Handler, error_answer_bytes
from ebonybend.http_connection import HttpConnection, HttpRequest


@frozen
class HttpLimits:
    """Limits on the requests and connections of one listening port."""

    max_body_bytes: int = 1 << 20
    max_header_bytes: int = 16 << 10
    max_connections: int = 2000
    # Longest time from a request's first byte to its last.
    receive_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0
    # Whether the receive time-out covers only the headers, not the body.
    timeout_covers_headers_only: bool = False


class _RefusedConnection(ConnectionProtocol):
    """A connection over max_connections, which is answered and closed at once."""

    def connectionMade(self) -> None:
        message = "too many connections"
        self.transport.write(
            error_answer_bytes(ErrorKind.TOO_MANY_CONNECTIONS, message)
        )
        self.transport.loseConnection()


class HttpSite(Site):
    """A Twisted site that passes each complete request to one handler."""

    def __init__(self, reactor: Any, handler: Handler, limits: HttpLimits):
        super().__init__(
            Resource(),
            requestFactory=HttpRequest,
            timeout=limits.idle_timeout_s,
            reactor=reactor,
        )
        self.handler = handler
        # May be replaced at any time; connections that are open follow.
        self.limits = limits
        self.connections = 0
        # Number of requests whose answer is not written yet.
        self.running = 0
        self.channels: set[HttpConnection] = set()
        # Set while the process stops: answers then carry Connection: close.
        self.closing = False
        # Whether a handler is cancelled when its client disconnects.
        self.cancel_on_disconnect = False

    def buildProtocol(self, addr: Any) -> Any:
        """Accept a connection, or refuse it if too many are open."""
        if self.connections >= self.limits.max_connections:
            return _RefusedConnection()
        channel = HttpConnection()
        channel.requestFactory = self.requestFactory
        channel.site = self
        channel.factory = self
        channel.callLater = self.reactor.callLater
        channel.timeOut = self.limits.idle_timeout_s
        return channel

    def unfinished(self) -> int:
        """Return the number of requests that are received, handled or answered."""
        return self.running + sum(
            channel.is_receiving() or channel.ended for channel in self.channels
        )

    def close_idle(self) -> None:
        """Close each connection that has no request in progress."""
        for channel in list(self.channels):
            if not (channel.requests or channel.is_receiving() or channel.ended):
                channel.loseConnection()

    def close_connections(self) -> None:
        """Close each connection once its buffered output is sent."""
        for channel in list(self.channels):
            channel.loseConnection()

    def log(self, request: Any) -> None:
        """Write no access log; the handlers log their decisions."""
