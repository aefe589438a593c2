"""One connection to a backend server, which carries one request at a time."""

from collections.abc import Callable
from enum import Enum
from typing import Any

from attrs import define, frozen
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import HTTPClientParser
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers

# Answers to earlier requests that are skipped before the connection is given up.
MOST_SKIPPED = 2
# A request that a server has not acknowledged for this time, in milliseconds, is lost:
# three transmissions on the longest way, and less than most callers wait.
SILENT_AFTER_MS = 1000
# Part of that time from which on a loss is taken for silence; a reset comes sooner.
SILENT_PART = 0.9


class Loss(Enum):
    """Why a request that was sent got no whole answer."""

    # The connection ended.
    CLOSED = "closed"
    # The server did not even acknowledge the request.
    SILENT = "silent"
    # The bytes received are no answer to this request.
    GARBLED = "garbled"
    # This node ended the connection.
    ABORTED = "aborted"


class AnswerNotReceived(Exception):
    """A request was sent and no whole answer to it came; it may have run."""

    def __init__(self, loss: Loss):
        super().__init__(loss.value)
        self.loss = loss


@frozen
class BackendAnswer:
    """A whole answer of a backend server."""

    status: int
    headers: Headers
    body: bytes


@define
class _Method:
    """The part of a request that the parser asks for."""

    method: bytes
    absoluteURI: None = None  # noqa: N815
    headers: None = None


class _Unpaced:
    """Stands for the transport where the parser would pause it."""

    disconnecting = False

    def pauseProducing(self) -> None:
        """Do nothing; bodies are read as they arrive."""

    def resumeProducing(self) -> None:
        """Do nothing; bodies are read as they arrive."""

    def loseConnection(self) -> None:
        """Do nothing; the connection decides itself when it closes."""


class _Body(Protocol):
    """Collect the body of an answer."""

    def __init__(self, ended: Callable[[bytes, Failure], None]):
        self.ended = ended
        self.chunks: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:
        self.chunks.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.ended(b"".join(self.chunks), reason)


class BackendConnection(Protocol):
    """Send requests one after the other and match each with its own answer."""

    def __init__(
        self,
        request_id_header: bytes,
        on_free: Callable[[Any], None],
        clock: Callable[[], float],
    ):
        self.request_id_header = request_id_header
        self.clock = clock
        self.sent_at = 0.0
        # Whether any byte came since the request was sent.
        self.heard = False
        # Called when the connection can take another request.
        self.on_free = on_free
        self.usable = True
        self.requests = 0
        self.idle_since = 0.0
        # Idle time after which the server closes, if its last answer told it.
        self.keep_s: float | None = None
        self.waiting: Deferred[BackendAnswer] | None = None
        self.parser: HTTPClientParser | None = None
        self.method = b""
        self.request_id = b""
        self.skipped = 0
        # Whether the connection has ended.
        self.lost = False
        # An answer without a length, received until the connection ended.
        self.unframed: BackendAnswer | None = None

    def send(
        self, method: bytes, request_id: bytes, data: bytes
    ) -> Deferred[BackendAnswer]:
        """Send a whole request; cancelling the result ends the connection."""
        self.method = method
        self.request_id = request_id
        self.skipped = 0
        self.requests += 1
        self.sent_at = self.clock()
        self.heard = False
        self.waiting = Deferred(lambda _: self._fail(Loss.ABORTED))
        self._expect_answer()
        self.transport.write(data)
        return self.waiting

    def close(self) -> None:
        """End the connection."""
        self.usable = False
        if self.transport is not None:
            self.transport.abortConnection()

    def _expect_answer(self) -> None:
        parser = HTTPClientParser(_Method(self.method), self._parsed)
        parser.makeConnection(_Unpaced())
        parser._responseDeferred.addCallbacks(self._head, lambda _: None)
        self.parser = parser
        self.rest = b""

    def _parsed(self, rest: bytes) -> None:
        self.rest = rest
        if self.parser.bodyDecoder is not None and not self.lost:
            # Tells the body's protocol that the body is whole.
            self.parser.response._bodyDataFinished()

    def _head(self, response: Any) -> None:
        parser = self.parser

        def ended(body: bytes, reason: Failure) -> None:
            answer = BackendAnswer(response.code, response.headers, body)
            if reason.check(ResponseDone):
                self._whole(answer, parser)
            elif reason.check(PotentialDataLoss):
                self.unframed = answer

        response.deliverBody(_Body(ended))

    def dataReceived(self, data: bytes) -> None:
        """Take in bytes; close if no request is waiting for them."""
        if self.waiting is None:
            # Bytes that no request asked for.
            self.close()
            return
        self.heard = True
        self._feed(data)

    def _feed(self, data: bytes) -> None:
        parser = self.parser
        try:
            parser.dataReceived(data)
        except Exception:
            # The parser raises errors of several modules for malformed bytes.
            self._fail(Loss.GARBLED)
            return
        if self.parser is not parser and self.waiting is not None and self.rest:
            rest, self.rest = self.rest, b""
            self._feed(rest)

    def _whole(self, answer: BackendAnswer, parser: HTTPClientParser) -> None:
        """Take a complete answer: the awaited one, or a late one to skip."""
        if self.waiting is None:
            return
        found = answer.headers.getRawHeaders(self.request_id_header)
        if found is not None and found != [self.request_id]:
            self.usable = False
            self.skipped += 1
            if self.skipped > MOST_SKIPPED:
                self._fail(Loss.GARBLED)
                return
            rest = self.rest
            self._expect_answer()
            self.rest = rest
            return
        closes = _has_token(parser.connHeaders, b"close")
        self.keep_s = _keep_alive_s(parser.connHeaders)
        waiting, self.waiting = self.waiting, None
        if closes or self.rest or not self.usable:
            self.close()
        else:
            self.on_free(self)
        waiting.callback(answer)

    def _fail(self, loss: Loss) -> None:
        waiting, self.waiting = self.waiting, None
        self.close()
        if waiting is not None:
            waiting.errback(AnswerNotReceived(loss))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Fail the waiting request unless its answer was to end this way."""
        self.usable = False
        self.lost = True
        if self.waiting is None:
            return
        self.parser.connectionLost(reason)
        answer = self.unframed
        if (
            answer is not None
            and reason.check(ConnectionDone)
            and answer.headers.getRawHeaders(self.request_id_header)
            == [self.request_id]
        ):
            waiting, self.waiting = self.waiting, None
            waiting.callback(answer)
            return
        if self.waiting is not None:
            self._fail(Loss.SILENT if self._is_silent(reason) else Loss.CLOSED)

    def _is_silent(self, reason: Failure) -> bool:
        """Tell whether the kernel gave up a server that acknowledges nothing."""
        if self.heard or reason.check(ConnectionDone):
            return False
        waited_ms = (self.clock() - self.sent_at) * 1000
        return waited_ms >= SILENT_AFTER_MS * SILENT_PART


def _has_token(headers: Headers, token: bytes) -> bool:
    values = headers.getRawHeaders(b"Connection") or []
    return any(
        part.strip().lower() == token for value in values for part in value.split(b",")
    )


def _keep_alive_s(headers: Headers) -> float | None:
    """Return the idle time that the header Keep-Alive states."""
    for value in headers.getRawHeaders(b"Keep-Alive") or ():
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                return float(number)
    return None
