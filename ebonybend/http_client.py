"""An HTTP client that tells a request that was not sent from one that may have run."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionRefusedError,
    DNSLookupError,
)
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    ResponseDone,
    ResponseFailed,
    ResponseNeverReceived,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

# Shorter than the idle time-out of the servers, so that a connection is not reused
# while the other side closes it.
IDLE_CONNECTION_S = 15.0
CONNECT_TIMEOUT_S = 1.0


@frozen
class HttpAnswer:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the last value of a header, or None."""
        values = self.headers.getRawHeaders(name)
        return values[-1] if values else None


class RequestFailed(Exception):
    """A request that got no whole answer."""


class NotSent(RequestFailed):
    """No byte of the request left this process."""

    def __init__(self, message: str, refused: bool = False):
        super().__init__(message)
        # The port refused the connection, so no process listens on it.
        self.refused = refused


class AnswerLost(RequestFailed):
    """The connection ended after the request may have been received."""


class AnswerTimeout(RequestFailed):
    """No whole answer came in time; the request may run."""


class AnswerTooLarge(RequestFailed):
    """The answer's body is over the limit."""


@implementer(IBodyProducer)
class _BytesProducer:
    """Produce a body that is in memory."""

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
    """Collect a body and check that it is whole."""

    def __init__(self, expected: int | None, limit: int):
        self.expected = expected
        self.limit = limit
        self.chunks: list[bytes] = []
        self.size = 0
        self.done: Deferred[bytes] = Deferred(lambda _: self.abort())

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        self.size += len(data)
        self.chunks.append(data)
        if self.size > self.limit and not self.done.called:
            self.abort()
            self.done.errback(AnswerTooLarge(f"answer over {self.limit} bytes"))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.done.called:
            return
        if not reason.check(ResponseDone):
            # Also covers a body that ends with the connection: without a length or
            # chunks a truncated body can't be told from a whole one.
            self.done.errback(AnswerLost(f"answer cut off after {self.size} bytes"))
        elif self.expected is not None and self.size != self.expected:
            self.done.errback(
                AnswerLost(f"answer has {self.size} of {self.expected} bytes")
            )
        else:
            self.done.callback(b"".join(self.chunks))


class HttpClient:
    """Send requests over persistent connections from one source address."""

    def __init__(
        self,
        reactor: Any,
        source_address: str | None = None,
        connections_per_host: int = 64,
    ):
        self.reactor = reactor
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        # The pool's own retry would send a request twice.
        self.pool.retryAutomatically = False
        self.pool.maxPersistentPerHost = connections_per_host
        self.pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        bind = (source_address, 0) if source_address else None
        self.agent = Agent(
            reactor,
            connectTimeout=CONNECT_TIMEOUT_S,
            bindAddress=bind,
            pool=self.pool,
        )

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout: float = 5.0,
        max_body: int = 1 << 20,
    ) -> HttpAnswer:
        """Return the whole answer, or raise a RequestFailed that says what is known."""
        raw = Headers({name: [value] for name, value in (headers or {}).items()})
        producer = _BytesProducer(body) if body or method == "POST" else None
        started = self.agent.request(
            method.encode(), f"http://{address}{path}".encode(), raw, producer
        )
        timer = self.reactor.callLater(timeout, started.cancel)
        try:
            response = await started
        except CancelledError as error:
            raise AnswerTimeout(f"no answer in {timeout:.3f} s") from error
        except ConnectingCancelledError as error:
            raise NotSent(f"no connection to {address} in {timeout:.3f} s") from error
        except ConnectionRefusedError as error:
            raise NotSent(f"{address} refused the connection", True) from error
        except (ConnectError, DNSLookupError) as error:
            raise NotSent(f"no connection to {address}: {error}") from error
        except ResponseNeverReceived as error:
            if not timer.active():
                raise AnswerTimeout(f"no answer in {timeout:.3f} s") from error
            raise AnswerLost(f"connection to {address} lost") from error
        except ResponseFailed as error:
            raise AnswerLost(f"connection to {address} lost: {error}") from error
        except OSError as error:
            raise NotSent(f"no connection to {address}: {error}") from error
        finally:
            if timer.active():
                timer.cancel()
        return await self._read(response, method, timer.getTime(), max_body)

    async def _read(
        self, response: Any, method: str, deadline: float, max_body: int
    ) -> HttpAnswer:
        """Read the body until the time at which the request's time-out ends."""
        length = response.length
        expected = None if length is UNKNOWN_LENGTH or method == "HEAD" else length
        reader = _BodyReader(expected, max_body)
        response.deliverBody(reader)
        left = max(deadline - self.reactor.seconds(), 0.0)
        timer = self.reactor.callLater(left, reader.done.cancel)
        try:
            body = await reader.done
        except CancelledError as error:
            raise AnswerTimeout("the answer's body did not arrive in time") from error
        finally:
            if timer.active():
                timer.cancel()
        return HttpAnswer(response.code, response.headers, body)

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        return self.pool.closeCachedConnections()
