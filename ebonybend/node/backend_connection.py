"""A connection to a backend server, which carries one request at a time."""

from collections.abc import Callable
from enum import Enum
from typing import Any

from attrs import frozen
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers

from ebonybend.http_answer_parser import MAX_HEAD_BYTES, AnswerParser, HeadTooLarge
from ebonybend.node.answer_memory import AnswerMemory
from ebonybend.sockets import set_unacknowledged_timeout

# Late answers to earlier requests that are skipped before the connection is closed.
MAX_SKIPPED_ANSWERS = 2
# Memory that a byte of an incomplete head takes at most; each line becomes several
# objects.
HEAD_MEMORY_FACTOR = 50
# An idempotent request is lost, and may be sent to another server, if the kernel of its
# server doesn't acknowledge it within this time: long enough for three transmissions on
# the longest path, and below most client deadlines.
ACK_TIMEOUT_MS = 1000
# Fraction of that time from which on a lost connection counts as unacknowledged; a
# reset arrives sooner.
ACK_TIMEOUT_FRACTION = 0.9


class LossReason(Enum):
    """Why a request that was sent got no complete answer."""

    # The connection was closed or reset.
    CLOSED = "closed"
    # The server's kernel didn't acknowledge the request.
    UNACKNOWLEDGED = "silent"
    # The received bytes are not an answer to this request.
    MALFORMED = "garbled"
    # The answer exceeds the limit on its head or on the memory of answers.
    TOO_LARGE = "too large"
    # This node closed the connection.
    ABORTED = "aborted"


class AnswerNotReceived(Exception):
    """A request was sent but no complete answer arrived; it may have run."""

    def __init__(self, loss: LossReason):
        super().__init__(loss.value)
        self.loss = loss


class _AnswerTooLarge(Exception):
    """No more bytes of an answer may be stored."""


# Called when a connection has ended, with whether the server ended it without notice,
# and whether a request was waiting for an answer.
OnEnd = Callable[[Any, bool, bool], None]


def ignore_end(_connection: Any, _by_server: bool, _was_waiting: bool) -> None:
    """Do nothing when a connection has ended."""


@frozen
class BackendAnswer:
    """A complete answer of a backend server."""

    status: int
    headers: Headers
    body: bytes


class _BodyCollector(Protocol):
    """Collect the body of an answer."""

    def __init__(
        self,
        reserve: Callable[[int], None],
        on_end: Callable[[bytes, Failure], None],
    ):
        self.reserve = reserve
        self.on_end = on_end
        # One buffer, since a body may arrive in chunks of one byte.
        self.body = bytearray()

    def dataReceived(self, data: bytes) -> None:
        self.reserve(len(data))
        self.body += data

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.on_end(bytes(self.body), reason)


class BackendConnection(Protocol):
    """Send requests one at a time and match each with its own answer."""

    def __init__(
        self,
        request_id_header: bytes,
        on_idle: Callable[[Any], None],
        clock: Callable[[], float],
        memory: AnswerMemory | None = None,
        on_end: OnEnd = ignore_end,
    ):
        self.request_id_header = request_id_header
        self.on_end = on_end
        self.memory = memory or AnswerMemory()
        # Memory reserved for the answer to the current request.
        self.reserved = 0
        self.head_bytes = 0
        self.is_head_complete = False
        self.clock = clock
        self.sent_at = 0.0
        # Whether any byte arrived since the request was sent.
        self.has_received = False
        # Time for which the server's kernel may acknowledge nothing.
        self.ack_timeout_ms = ACK_TIMEOUT_MS
        # Called when the connection can carry another request.
        self.on_idle = on_idle
        self.usable = True
        self.requests = 0
        self.idle_since = 0.0
        # Idle timeout that the server stated in its last answer, in seconds.
        self.keep_alive_s: float | None = None
        self.waiting: Deferred[BackendAnswer] | None = None
        self.parser: AnswerParser | None = None
        self.method = b""
        self.request_id = b""
        self.skipped_answers = 0
        # Whether the connection has ended.
        self.disconnected = False
        # An answer without a length, which ends with the connection.
        self.unframed_answer: BackendAnswer | None = None

    def send(
        self,
        method: bytes,
        request_id: bytes,
        data: bytes,
        ack_timeout_ms: int = ACK_TIMEOUT_MS,
    ) -> Deferred[BackendAnswer]:
        """Send a request; cancelling the result closes the connection."""
        if ack_timeout_ms != self.ack_timeout_ms:
            self.ack_timeout_ms = ack_timeout_ms
            set_unacknowledged_timeout(self.transport, ack_timeout_ms)
        self.method = method
        self.request_id = request_id
        self.skipped_answers = 0
        self.requests += 1
        self.sent_at = self.clock()
        self.has_received = False
        self.head_bytes = 0
        self.waiting = Deferred(lambda _: self._fail(LossReason.ABORTED))
        self._expect_answer()
        self.transport.write(data)
        return self.waiting

    def close(self) -> None:
        """Close the connection."""
        self.usable = False
        if self.transport is not None:
            self.transport.abortConnection()

    def _expect_answer(self) -> None:
        parser = AnswerParser.without_transport(self.method, self._on_parsed)
        parser._responseDeferred.addCallbacks(self._on_head, lambda _: None)
        self.parser = parser
        self.is_head_complete = False
        self.unparsed = b""

    def _on_parsed(self, unparsed: bytes) -> None:
        self.unparsed = unparsed
        if self.parser.bodyDecoder is not None and not self.disconnected:
            # Reports to the body's protocol that the body is complete.
            self.parser.response._bodyDataFinished()

    def _on_head(self, response: Any) -> None:
        parser = self.parser
        self.is_head_complete = True

        def on_end(body: bytes, reason: Failure) -> None:
            answer = BackendAnswer(response.code, response.headers, body)
            if reason.check(ResponseDone):
                self._on_complete(answer, parser)
            elif reason.check(PotentialDataLoss):
                self.unframed_answer = answer

        response.deliverBody(_BodyCollector(self._reserve, on_end))

    def _reserve(self, size: int) -> None:
        if not self._try_reserve(size):
            raise _AnswerTooLarge

    def _try_reserve(self, size: int) -> bool:
        if not self.memory.try_reserve(self.reserved, size):
            return False
        self.reserved += size
        return True

    def _end_request(self) -> Deferred[BackendAnswer] | None:
        """Release the answer's memory; return the result that waits for the answer."""
        self.memory.release(self.reserved)
        self.reserved = 0
        waiting, self.waiting = self.waiting, None
        return waiting

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no request is waiting."""
        if self.waiting is None:
            self.close()
            return
        self.has_received = True
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        parser = self.parser
        try:
            parser.dataReceived(data)
        except (_AnswerTooLarge, HeadTooLarge):
            self._fail(LossReason.TOO_LARGE)
            return
        except Exception:
            # The parser raises errors of several modules for malformed bytes.
            self._fail(LossReason.MALFORMED)
            return
        if not self.is_head_complete:
            self.head_bytes += len(data)
            if self.head_bytes > MAX_HEAD_BYTES or not self._try_reserve(
                len(data) * HEAD_MEMORY_FACTOR
            ):
                self._fail(LossReason.TOO_LARGE)
                return
        if self.parser is not parser and self.waiting is not None and self.unparsed:
            unparsed, self.unparsed = self.unparsed, b""
            self._parse(unparsed)

    def _on_complete(self, answer: BackendAnswer, parser: AnswerParser) -> None:
        """Deliver a complete answer, or skip it if it belongs to an earlier request."""
        if self.waiting is None:
            return
        request_ids = answer.headers.getRawHeaders(self.request_id_header)
        if request_ids is None and self.requests > 1:
            # It may be a second answer to an earlier request.
            self._fail(LossReason.MALFORMED)
            return
        if request_ids is not None and request_ids != [self.request_id]:
            self.usable = False
            self.skipped_answers += 1
            if self.skipped_answers > MAX_SKIPPED_ANSWERS:
                self._fail(LossReason.MALFORMED)
                return
            unparsed = self.unparsed
            self._expect_answer()
            self.unparsed = unparsed
            return
        closes = _has_token(parser.connHeaders, b"close")
        self.keep_alive_s = _keep_alive_s(parser.connHeaders)
        waiting = self._end_request()
        if closes or self.unparsed or not self.usable:
            self.close()
        else:
            self.on_idle(self)
        waiting.callback(answer)

    def _fail(self, loss: LossReason) -> None:
        waiting = self._end_request()
        self.close()
        if waiting is not None:
            waiting.errback(AnswerNotReceived(loss))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Fail the waiting request, unless the close completes its answer."""
        was_usable, self.usable = self.usable, False
        was_waiting = self.waiting is not None
        self.disconnected = True
        is_answered = was_waiting and self._end_waiting_request(reason)
        self.on_end(self, was_usable and not is_answered, was_waiting)

    def _end_waiting_request(self, reason: Failure) -> bool:
        """Return whether the close completes the answer that is waited for."""
        self.parser.connectionLost(reason)
        answer = self.unframed_answer
        if (
            answer is not None
            and reason.check(ConnectionDone)
            and answer.headers.getRawHeaders(self.request_id_header)
            == [self.request_id]
        ):
            waiting = self._end_request()
            waiting.callback(answer)
            return True
        if self.waiting is not None:
            self._fail(
                LossReason.UNACKNOWLEDGED
                if self._is_unacknowledged(reason)
                else LossReason.CLOSED
            )
        return False

    def _is_unacknowledged(self, reason: Failure) -> bool:
        """Return whether the connection ended for lack of acknowledgements."""
        if self.has_received or reason.check(ConnectionDone):
            return False
        waited_ms = (self.clock() - self.sent_at) * 1000
        return waited_ms >= self.ack_timeout_ms * ACK_TIMEOUT_FRACTION


def _has_token(headers: Headers, token: bytes) -> bool:
    values = headers.getRawHeaders(b"Connection") or []
    return any(
        part.strip().lower() == token for value in values for part in value.split(b",")
    )


def _keep_alive_s(headers: Headers) -> float | None:
    """Return the idle timeout that the Keep-Alive header states."""
    for value in headers.getRawHeaders(b"Keep-Alive") or ():
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                return float(number)
    return None
