"""An HTTP client that tells a request that was not sent from one that may have run."""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any

from twisted.internet.defer import CancelledError, Deferred, DeferredList
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionRefusedError,
)
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from ebonybend.http_answers import (
    AnswerLost,
    AnswerParser,
    AnswerTimeout,
    AnswerTooLarge,
    HttpAnswer,
    NotSent,
    RequestFailed,
    SendTooLate,
)

__all__ = [
    "AnswerLost",
    "AnswerTimeout",
    "AnswerTooLarge",
    "HttpAnswer",
    "HttpClient",
    "NotSent",
    "RequestFailed",
    "Reuse",
    "SendTooLate",
]

# Shorter than the idle time-out of the servers, so that a connection is not reused
# while the other side closes it.
IDLE_CONNECTION_S = 15.0
# Longest idle age of a connection that carries a request which must not be sent twice.
# Entries close no connection that was used within the last look-up lifetime, so a
# younger one can't be closed by the other side while the request is under way.
RECENT_CONNECTION_S = 1.0
SWEEP_INTERVAL_S = 5.0
CONNECT_TIMEOUT_S = 1.0


class Reuse(Enum):
    """Which idle connections a request may use."""

    ANY = "any"
    RECENT = "recent"
    # A new connection, closed after the answer.
    NEVER = "never"


LONGEST_IDLE_S = {
    Reuse.ANY: IDLE_CONNECTION_S,
    Reuse.RECENT: RECENT_CONNECTION_S,
    Reuse.NEVER: 0.0,
}


class _Connection(Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, release: Callable[["_Connection"], None]):
        self.release = release
        self.answer: Deferred[HttpAnswer] | None = None
        self.parser: AnswerParser | None = None
        self.open = False
        # The connection may carry another request after this one.
        self.reusable = True
        self.idle_since = 0.0
        self.closed: Deferred[None] = Deferred()

    def connectionMade(self) -> None:
        self.open = True
        self.transport.setTcpNoDelay(True)

    def send(
        self, request: bytes, has_body: bool, max_body: int, reusable: bool
    ) -> Deferred[HttpAnswer]:
        """Send a request; cancelling the result closes the connection."""
        self.parser = AnswerParser(has_body, max_body)
        self.reusable = reusable
        self.answer = Deferred(lambda _: self._fail(AnswerTimeout("no answer in time")))
        self.transport.write(request)
        return self.answer

    def dataReceived(self, data: bytes) -> None:
        if self.answer is None:
            # No request is waiting, so the bytes belong to none.
            self.transport.abortConnection()
            return
        try:
            answer = self.parser.feed(data)
        except RequestFailed as error:
            self._fail(error)
            return
        if answer is None:
            return
        waiting, self.answer = self.answer, None
        # A server that was asked to close need not say so in its answer.
        if self.reusable and self.parser.keeps_connection:
            self.release(self)
        else:
            self.transport.loseConnection()
        waiting.callback(answer)

    def _fail(self, error: RequestFailed) -> None:
        waiting, self.answer = self.answer, None
        self.open = False
        self.transport.abortConnection()
        if waiting is not None:
            waiting.errback(error)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.open = False
        waiting, self.answer = self.answer, None
        if waiting is not None:
            size = self.parser.received
            waiting.errback(AnswerLost(f"connection lost after {size} bytes"))
        self.closed.callback(None)


class _IdleConnections:
    """The connections to each address that wait for a request."""

    def __init__(self, reactor: Any, per_host: int):
        self.reactor = reactor
        self.per_host = per_host
        self.by_address: dict[str, list[_Connection]] = {}
        self._timer: Any = None

    def take(self, address: str, longest_idle_s: float) -> _Connection | None:
        """Return the connection used last unless it was idle for too long.

        The age is read here, because the timers of a paused process run late.
        """
        connections = self.by_address.get(address)
        oldest = self.reactor.seconds() - longest_idle_s
        while connections:
            if connections[-1].open and connections[-1].idle_since < oldest:
                return None
            connection = connections.pop()
            if connection.open:
                return connection
        return None

    def put(self, address: str, connection: _Connection) -> None:
        """Keep a connection for a later request."""
        connections = self.by_address.setdefault(address, [])
        if len(connections) >= self.per_host:
            connection.transport.loseConnection()
            return
        connection.idle_since = self.reactor.seconds()
        connections.append(connection)
        if self._timer is None:
            self._timer = self.reactor.callLater(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Close the connections that were idle for too long."""
        self._timer = None
        oldest = self.reactor.seconds() - IDLE_CONNECTION_S
        for address, connections in list(self.by_address.items()):
            kept = [c for c in connections if c.open and c.idle_since >= oldest]
            for connection in connections:
                if connection.open and connection.idle_since < oldest:
                    connection.transport.loseConnection()
            self.by_address[address] = kept
            if not kept:
                del self.by_address[address]
        if self.by_address:
            self._timer = self.reactor.callLater(SWEEP_INTERVAL_S, self._sweep)

    def close(self) -> Deferred[Any]:
        """Close all connections; fires when they are closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        connections = [c for group in self.by_address.values() for c in group if c.open]
        self.by_address.clear()
        for connection in connections:
            connection.transport.abortConnection()
        return DeferredList([connection.closed for connection in connections])


class _Timeout:
    """Cancel a Deferred after a time, once what has arrived by then is read.

    A process that was paused fires its timers before it reads its connections. The
    answer may have arrived during the pause.
    """

    def __init__(self, reactor: Any, seconds: float, waiting: Deferred[Any]):
        self.reactor = reactor
        self.waiting = waiting
        self.timer = reactor.callLater(seconds, self._due)

    def _due(self) -> None:
        self.timer = self.reactor.callLater(0, self.waiting.cancel)

    def stop(self) -> None:
        """Don't cancel."""
        if self.timer.active():
            self.timer.cancel()


class HttpClient:
    """Send requests over persistent connections from one source address."""

    def __init__(
        self,
        reactor: Any,
        source_address: str | None = None,
        connections_per_host: int = 64,
    ):
        self.reactor = reactor
        self.bind = (source_address, 0) if source_address else None
        self.idle = _IdleConnections(reactor, connections_per_host)
        self.endpoints: dict[str, Any] = {}

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout: float = 5.0,
        max_body: int = 1 << 20,
        reuse: Reuse = Reuse.ANY,
        may_send: Callable[[], bool] | None = None,
    ) -> HttpAnswer:
        """Return the whole answer, or raise a RequestFailed that says what is known.

        may_send is asked once the connection is ready; False raises SendTooLate.
        """
        request = encode_request(method, address, path, headers or {}, body, reuse)
        deadline = self.reactor.seconds() + timeout
        connection = self.idle.take(address, LONGEST_IDLE_S[reuse])
        if connection is None:
            connection = await self._connect(address, timeout)
        if may_send is not None and not may_send():
            connection.transport.loseConnection()
            raise SendTooLate("the connection was ready too late")
        answer = connection.send(
            request, method != "HEAD", max_body, reuse is not Reuse.NEVER
        )
        left = max(deadline - self.reactor.seconds(), 0.0)
        timeout = _Timeout(self.reactor, left, answer)
        try:
            return await answer
        finally:
            timeout.stop()

    async def _connect(self, address: str, timeout: float) -> _Connection:
        factory = Factory.forProtocol(_Connection)
        factory.noisy = False
        factory.buildProtocol = lambda _: _Connection(
            lambda connection: self.idle.put(address, connection)
        )
        connecting = self._endpoint(address).connect(factory)
        timer = self.reactor.callLater(timeout, connecting.cancel)
        try:
            return await connecting
        except (CancelledError, ConnectingCancelledError) as error:
            raise NotSent(f"no connection to {address} in {timeout:.3f} s") from error
        except ConnectionRefusedError as error:
            raise NotSent(f"{address} refused the connection", True) from error
        except (ConnectError, OSError) as error:
            raise NotSent(f"no connection to {address}: {error}") from error
        finally:
            if timer.active():
                timer.cancel()

    def _endpoint(self, address: str) -> Any:
        endpoint = self.endpoints.get(address)
        if endpoint is None:
            host, _, port = address.rpartition(":")
            kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
            endpoint = kind(
                self.reactor, host.strip("[]"), int(port), CONNECT_TIMEOUT_S, self.bind
            )
            self.endpoints[address] = endpoint
        return endpoint

    def close(self) -> Deferred[Any]:
        """Close the idle connections."""
        return self.idle.close()


def encode_request(
    method: str,
    address: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    reuse: Reuse,
) -> bytes:
    """Return the bytes of a request; raise NotSent if they would not be one."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    if reuse is Reuse.NEVER:
        lines.append("Connection: close")
    head = "\r\n".join(lines)
    # A line break inside a value would start another header or request.
    if head.count("\n") != len(lines) - 1 or head.count("\r") != len(lines) - 1:
        raise NotSent("a header contains a line break")
    if method.count(" ") or path.count(" "):
        raise NotSent("the method or the path contains a space")
    return head.encode() + b"\r\n\r\n" + body
