"""HTTP client whose errors separate unsent requests from those that may have run."""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any
from weakref import WeakSet

from attrs import frozen
from twisted.internet.defer import CancelledError, Deferred, gatherResults, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionRefusedError,
)
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import (
    Request,
    RequestGenerationFailed,
    RequestNotSent,
    RequestTransmissionFailed,
)
from twisted.web.client import ResponseDone, ResponseFailed
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from ebonybend.http_answer_parser import HeadTooLarge, MalformedAnswer
from ebonybend.http_client_protocol import StrictPool
from ebonybend.sockets import enable_dead_peer_detection
from ebonybend.timeouts import Timeout

# Shorter than the idle time-out of the servers, so that a connection is not reused
# while the server closes it.
MAX_IDLE_S = 15.0
# Longest idle time of a connection on which a request is sent that must not run twice.
# An entry closes no connection that was used within the last lookup lifetime, so a
# connection below this idle time isn't closed while the request is in flight.
RECENT_MAX_IDLE_S = 1.0
CONNECT_TIMEOUT_S = 1.0
REQUEST_ID_HEADER = "Request-Id"


class Reuse(Enum):
    """Which idle connections a request may use."""

    ANY = "any"
    RECENT = "recent"
    # Open a new connection and close it after the answer.
    NEVER = "never"


@frozen
class HttpAnswer:
    """A complete answer."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the last value of a header, or None if it is missing."""
        values = self.headers.getRawHeaders(name)
        return values[-1] if values else None


class RequestFailed(Exception):
    """A request without a complete answer."""


class NotSent(RequestFailed):
    """No byte of the request left this process."""

    def __init__(self, message: str, refused: bool = False):
        super().__init__(message)
        # Whether the port refused the connection, so that no process listens on it.
        self.refused = refused


class SendTooLate(NotSent):
    """The connection became ready after the last time for sending the request."""


class AnswerLost(RequestFailed):
    """The connection ended after the request may have been received."""


class AnswerTimeout(RequestFailed):
    """No complete answer was received in time; the request may still run."""


class RequestCancelled(AnswerTimeout):
    """The caller cancelled the request; it may still run."""


class AnswerMismatch(RequestFailed):
    """The answer belongs to another request; the sent one may have run."""


class AnswerMalformed(RequestFailed):
    """The received bytes are not an answer; the request may have run."""


class AnswerTooLarge(RequestFailed):
    """The answer's head or body is over the limit."""


@implementer(IBodyProducer)
class _BytesProducer:
    """Send a request body that is in memory."""

    def __init__(self, body: bytes):
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the whole body."""
        consumer.write(self.body)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None:
        """Do nothing; the body is written at once."""

    def resumeProducing(self) -> None:
        """Do nothing; the body is written at once."""

    def stopProducing(self) -> None:
        """Do nothing; the body is written at once."""


class _BodyReader(Protocol):
    """Collect an answer's body and check that it is complete."""

    def __init__(self, expected_size: int | None, max_size: int):
        self.expected_size = expected_size
        self.max_size = max_size
        # One buffer, since a body may arrive in chunks of one byte.
        self.body = bytearray()
        self.done: Deferred[bytes] = Deferred(lambda _: self.abort())

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        if self.done.called:
            return
        self.body += data
        if len(self.body) > self.max_size:
            self.abort()
            self.done.errback(AnswerTooLarge(f"answer over {self.max_size} bytes"))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.done.called:
            return
        size = len(self.body)
        malformed = _reason_of(reason.value, MalformedAnswer)
        if malformed is not None:
            self.done.errback(AnswerMalformed(str(malformed)))
        elif not reason.check(ResponseDone):
            # Also covers a body that ends with the connection: without a length or
            # chunks a truncated body looks like a complete one.
            self.done.errback(AnswerLost(f"answer cut off after {size} bytes"))
        elif self.expected_size is not None and size != self.expected_size:
            self.done.errback(
                AnswerLost(f"answer has {size} of {self.expected_size} bytes")
            )
        else:
            self.done.callback(bytes(self.body))


class _IdleLimitedPool(StrictPool):
    """Keep idle connections, and reuse none that was idle for longer than a limit.

    The idle time is checked when a connection is acquired, because the timers of a
    paused process fire late.
    """

    def __init__(self, reactor: Any, max_idle_s: float, connections_per_host: int):
        super().__init__(reactor, persistent=True)
        # The pool's own retry would send a request twice.
        self.retryAutomatically = False
        self.maxPersistentPerHost = connections_per_host
        self.cachedConnectionTimeout = max_idle_s

    def getConnection(self, key: Any, endpoint: Any) -> Deferred[Any]:
        """Return the most recently used idle connection, or a new one."""
        connections = self._connections.get(key)
        while connections:
            connection = connections.pop()
            timer = self._timeouts.pop(connection)
            is_fresh = timer.getTime() > self._reactor.seconds()
            timer.cancel()
            if connection.state != "QUIESCENT":
                continue
            if is_fresh:
                return succeed(connection)
            connection.transport.loseConnection()
        return self._newConnection(key, endpoint)


def _is_answer_to(sent: Headers, received: Headers, is_reused: bool) -> bool:
    """Return whether an answer states the id of the request, if that has one.

    A server may send an answer twice, and the second copy late. On a reused connection
    an answer without an id may thus belong to the request before.
    """
    request_ids = sent.getRawHeaders(REQUEST_ID_HEADER)
    if request_ids is None:
        return True
    answered_ids = received.getRawHeaders(REQUEST_ID_HEADER)
    return answered_ids == request_ids or (answered_ids is None and not is_reused)


def _no_answer(timeout: Timeout) -> AnswerTimeout:
    """Return the error of a request that was cancelled before its answer was read."""
    if timeout.expired:
        return AnswerTimeout("no answer in time")
    return RequestCancelled("cancelled by the caller")


def _reason_of(error: Exception, kind: type[Exception]) -> Exception | None:
    """Return the error of a kind that caused a ResponseFailed, or None."""
    reasons = error.reasons if isinstance(error, ResponseFailed) else ()
    return next((x.value for x in reasons if x.check(kind)), None)


def _response_error(error: ResponseFailed, address: str) -> RequestFailed:
    """Return the error of a request whose answer's head did not arrive."""
    if malformed := _reason_of(error, MalformedAnswer):
        return AnswerMalformed(f"{address} sent no answer: {malformed}")
    if too_large := _reason_of(error, HeadTooLarge):
        return AnswerTooLarge(f"answer of {address}: {too_large}")
    return AnswerLost(f"connection to {address} lost: {error}")


class HttpClient:
    """Send requests over persistent connections from one source address."""

    def __init__(
        self,
        reactor: Any,
        source_address: str | None = None,
        connections_per_host: int = 64,
        detect_dead_peers: bool = False,
    ):
        self.reactor = reactor
        self.detect_dead_peers = detect_dead_peers
        self.bind = (source_address, 0) if source_address else None
        self.pools = {
            Reuse.ANY: _IdleLimitedPool(reactor, MAX_IDLE_S, connections_per_host),
            Reuse.RECENT: _IdleLimitedPool(
                reactor, RECENT_MAX_IDLE_S, connections_per_host
            ),
            Reuse.NEVER: StrictPool(reactor, persistent=False),
        }
        self.endpoints: dict[str, Any] = {}
        # Connections that have carried a request.
        self.used: WeakSet[Any] = WeakSet()

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
        """Return the complete answer, or raise a subclass of RequestFailed.

        may_send is called once the connection is ready; False raises SendTooLate.
        """
        request_headers = Headers(
            {name: [value] for name, value in (headers or {}).items()}
        )
        request_headers.setRawHeaders("Host", [address])
        producer = _BytesProducer(body) if body or method == "POST" else None
        persistent = reuse is not Reuse.NEVER
        request = Request(
            method.encode(), path.encode(), request_headers, producer, persistent
        )
        deadline = self.reactor.seconds() + timeout
        connection = await self._connect(address, reuse, timeout)
        if may_send is not None and not may_send():
            connection.transport.loseConnection()
            raise SendTooLate("the connection was ready too late")
        is_reused = connection in self.used
        self.used.add(connection)
        response = await self._send(connection, request, address, deadline)
        if not _is_answer_to(request_headers, response.headers, is_reused):
            connection.abort()
            raise AnswerMismatch(f"{address} answered another request")
        return await self._read(response, method, deadline, max_body)

    async def _connect(self, address: str, reuse: Reuse, timeout: float) -> Any:
        """Return an idle or a new connection, or raise NotSent."""
        connecting = self.pools[reuse].getConnection(address, self._endpoint(address))
        if connecting.called:
            timer = None
        else:
            timer = self.reactor.callLater(timeout, connecting.cancel)
        try:
            connection = await connecting
            if timer is not None and self.detect_dead_peers:
                enable_dead_peer_detection(connection.transport)
            return connection
        except (CancelledError, ConnectingCancelledError) as error:
            raise NotSent(f"no connection to {address} in {timeout:.3f} s") from error
        except ConnectionRefusedError as error:
            raise NotSent(f"{address} refused the connection", True) from error
        except (ConnectError, OSError) as error:
            raise NotSent(f"no connection to {address}: {error}") from error
        finally:
            if timer is not None and timer.active():
                timer.cancel()

    def _endpoint(self, address: str) -> Any:
        endpoint = self.endpoints.get(address)
        if endpoint is None:
            host, _, port = address.rpartition(":")
            if not (host and port.isdecimal()):
                # A peer's address may not be known yet.
                raise NotSent(f"{address!r} is not an address")
            endpoint_class = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
            endpoint = endpoint_class(
                self.reactor,
                host.strip("[]"),
                int(port),
                CONNECT_TIMEOUT_S,
                self.bind,
            )
            self.endpoints[address] = endpoint
        return endpoint

    async def _send(
        self, connection: Any, request: Request, address: str, deadline: float
    ) -> Any:
        """Send a request and return the response once its headers are received."""
        sending = connection.request(request)
        remaining_s = max(deadline - self.reactor.seconds(), 0.0)
        timeout = Timeout(self.reactor, remaining_s, sending.cancel)
        try:
            return await sending
        except CancelledError as error:
            raise _no_answer(timeout) from error
        except RequestNotSent as error:
            raise NotSent(f"connection to {address} was not usable") from error
        except ResponseFailed as error:
            if _reason_of(error, CancelledError):
                raise _no_answer(timeout) from error
            raise _response_error(error, address) from error
        except (RequestGenerationFailed, RequestTransmissionFailed) as error:
            raise AnswerLost(f"connection to {address} lost: {error}") from error
        finally:
            timeout.stop()

    async def _read(
        self, response: Any, method: str, deadline: float, max_body: int
    ) -> HttpAnswer:
        """Return the answer with its body; raise AnswerTimeout after the deadline."""
        length = response.length
        expected_size = None if length is UNKNOWN_LENGTH or method == "HEAD" else length
        reader = _BodyReader(expected_size, max_body)
        response.deliverBody(reader)
        remaining_s = max(deadline - self.reactor.seconds(), 0.0)
        timeout = Timeout(self.reactor, remaining_s, reader.done.cancel)
        try:
            body = await reader.done
        except CancelledError as error:
            raise _no_answer(timeout) from error
        finally:
            timeout.stop()
        return HttpAnswer(response.code, response.headers, body)

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        return gatherResults(
            [pool.closeCachedConnections() for pool in self.pools.values()]
        ).addCallback(lambda _: None)
