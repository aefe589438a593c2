"""A connection of an HTTP server, and the requests on it.

The limits of the site may change while a connection is open. A request is held to those
in force when it began or to the present ones, whichever allow more, since its client
may know either; an idle connection likewise.
"""

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.protocols.basic import LineReceiver
from twisted.web.http import HTTPChannel
from twisted.web.server import Request

from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_answers import (
    IncomingRequest,
    OutgoingAnswer,
    Pacer,
    error_answer,
    error_answer_bytes,
)
from ebonybend.logs import get_logger

# Time for which a connection whose output was sent still reads and discards input. A
# close with unread input would reset the connection, and the client could lose the
# last answer.
LINGER_S = 1.0
# Chunks of a connection's input whose time of arrival is remembered separately.
MAX_ARRIVALS = 64
# Time that a new connection has for its first request before it counts as idle.
FIRST_REQUEST_S = 1.0


class HttpRequest(Request):
    """A request that is passed to the site's handler once it is complete."""

    received_bytes = 0
    # Limit on the body that was in force at the end of the headers.
    initial_max_body_bytes = 0
    # Called if the client closes its connection before the answer is written. The
    # handler then goes on, unless this function cancels it.
    on_client_disconnect: Callable[[], None] | None = None
    # The handler's coroutine; cancelling it ends the request.
    handler_task: Deferred[None] | None = None

    def gotLength(self, length: int | None) -> None:
        """Refuse a body whose stated length is over the limit."""
        limit = self.initial_max_body_bytes = self.channel.site.limits.max_body_bytes
        if length is not None and length > limit:
            self.channel.refuse(
                ErrorKind.BODY_TOO_LARGE, f"body of {length} bytes is over {limit}"
            )
        super().gotLength(min(length or 0, limit) if length is not None else None)

    def handleContentChunk(self, data: bytes) -> None:
        """Collect a piece of the body, up to the limit."""
        self.received_bytes += len(data)
        present = self.channel.site.limits.max_body_bytes
        limit = max(self.initial_max_body_bytes, present)
        if self.received_bytes > limit:
            self.channel.refuse(ErrorKind.BODY_TOO_LARGE, f"body is over {limit} bytes")
            return
        super().handleContentChunk(data)

    def process(self) -> None:
        """Pass the complete request to the handler."""
        self.received_at = self.channel.finish_receiving()
        if self.channel.ended:
            return
        self.client_disconnected = False
        self.notifyFinish().addErrback(self._handle_client_disconnect)
        # Twisted clears self.channel when the answer is written.
        site = self.channel_site = self.channel.site
        site.running += 1
        self.handler_task = Deferred.fromCoroutine(self._run_handler(site))
        self.handler_task.addBoth(partial(self._decrement_running, site))

    @staticmethod
    def _decrement_running(site: Any, _result: Any) -> None:
        site.running -= 1

    def _handle_client_disconnect(self, _reason: Any) -> None:
        self.client_disconnected = True
        if self.on_client_disconnect is not None:
            self.on_client_disconnect()
        elif self.channel_site.cancel_on_disconnect and self.handler_task is not None:
            self.handler_task.cancel()

    async def _run_handler(self, site: Any) -> None:
        try:
            path = self.path.decode("ascii")
            incoming = IncomingRequest(
                self.method.decode("ascii"),
                path,
                self.args,
                self.content.read(),
                self,
                self.received_at,
            )
            answer = await site.handler(incoming)
        except SteeringError as error:
            answer = error_answer(error)
        except UnicodeDecodeError:
            answer = error_answer(
                SteeringError(ErrorKind.BAD_REQUEST, "method or path is not ASCII")
            )
        except CancelledError:
            # The client disconnected.
            return
        except Exception as error:
            get_logger().exception("request_failed", error=repr(error))
            answer = error_answer(SteeringError(ErrorKind.INTERNAL, "internal error"))
        if answer.pacer is None or self.method == b"HEAD":
            self.send(answer)
        else:
            await self._send_paced(answer, answer.pacer)

    def send(self, answer: OutgoingAnswer) -> None:
        """Write an answer unless the client has disconnected."""
        if self.client_disconnected:
            return
        self._write_head(answer)
        if self.method != b"HEAD":
            self.write(answer.body)
        self.finish()

    async def _send_paced(self, answer: OutgoingAnswer, pacer: Pacer) -> None:
        """Write an answer in chunks, each when the pacer admits it."""
        if not self.client_disconnected:
            self._write_head(answer)
        # An empty body is written too, because the first write sends the headers.
        for start in range(0, max(len(answer.body), 1), pacer.chunk_bytes):
            chunk = answer.body[start : start + pacer.chunk_bytes]
            await pacer.admit(len(chunk))
            if self.client_disconnected:
                return
            self.write(chunk)
        self.finish()

    def _write_head(self, answer: OutgoingAnswer) -> None:
        self.setResponseCode(answer.status)
        for name, value in answer.headers.items():
            self.responseHeaders.setRawHeaders(name, [value])
        if answer.raw_headers is not None:
            for name, values in answer.raw_headers.getAllRawHeaders():
                self.responseHeaders.setRawHeaders(name, values)
        self.responseHeaders.setRawHeaders("Content-Length", [str(len(answer.body))])
        if self.channel.site.closing:
            self.responseHeaders.setRawHeaders("Connection", ["close"])
            self.channel.ends_after_answer = True


class ArrivalTimes:
    """When the bytes of a stream arrived."""

    def __init__(self) -> None:
        self.size = 0
        # Size of the stream after each chunk, and the time at which it arrived.
        self.chunks: deque[tuple[int, float]] = deque()

    def record(self, size: int, now: float) -> None:
        """Record a chunk; one too many counts as part of the chunk before it."""
        self.size += size
        if len(self.chunks) == MAX_ARRIVALS:
            now = self.chunks.pop()[1]
        self.chunks.append((self.size, now))

    def time_at(self, offset: int) -> float:
        """Return when a byte arrived, and forget the chunks before it."""
        while len(self.chunks) > 1 and self.chunks[0][0] <= offset:
            self.chunks.popleft()
        return self.chunks[0][1]


class HttpConnection(HTTPChannel):
    """A connection that limits the size and the receive time of each request.

    Pipelined requests are handled one after the other.
    """

    # Whether the last answer is written, though maybe not sent; input is discarded.
    ended = False
    # Whether the next answer announces the end of the connection.
    ends_after_answer = False
    receive_timer: Any = None
    receive_began_at = 0.0
    linger_timer: Any = None
    header_bytes = 0
    # Limit on the headers that was in force when the current request began.
    initial_max_header_bytes = 0
    # Position of the current request's first byte in the received stream.
    request_offset = 0
    # Whether buffered input is parsed, which was received before.
    replaying = False

    @property
    def max_header_bytes(self) -> int:
        """Return the limit on the headers of the current request."""
        return max(self.initial_max_header_bytes, self.site.limits.max_header_bytes)

    @property
    def maxHeaders(self) -> int:
        """Return the parser's limit on the number of headers, which bytes bound."""
        return self.max_header_bytes

    @property
    def totalHeadersSize(self) -> int:
        """Return the parser's limit on the headers."""
        return self.max_header_bytes

    @property
    def MAX_LENGTH(self) -> int:
        """Return the parser's limit on a line, of a head or between chunks."""
        return max(LineReceiver.MAX_LENGTH, self.max_header_bytes)

    def connectionMade(self) -> None:
        """Count the connection."""
        super().connectionMade()
        self.arrivals = ArrivalTimes()
        self.connected_at = self.idle_since = self.site.reactor.seconds()
        self.site.connections += 1
        self.site.channels.add(self)

    def connectionLost(self, reason: Any) -> None:
        """Stop the timers and end the requests of the connection."""
        self.site.connections -= 1
        self.site.channels.discard(self)
        self._stop_timer()
        if self.linger_timer is not None and self.linger_timer.active():
            self.linger_timer.cancel()
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:
        """Parse input, and start the receive time with a request's first byte."""
        if self.ended:
            return
        if not self.replaying:
            self.arrivals.record(len(data), self.site.reactor.seconds())
        limits = self.site.limits
        # Input behind a request that is being handled isn't a request yet.
        if self.receive_timer is None and not self._handlingRequest:
            self.receive_began_at = self.site.reactor.seconds()
            self.initial_max_header_bytes = limits.max_header_bytes
            self.receive_timer = self.site.reactor.callLater(
                limits.receive_timeout_s, self._refuse_slow_client
            )
        self.idle_since = self.site.reactor.seconds()
        # None while a request is handled, which has no idle time.
        if self.timeOut is not None:
            self.timeOut = limits.idle_timeout_s
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        """Stop the receive time where it covers only the headers."""
        timer = self.receive_timer
        timer_is_active = timer is not None and timer.active()
        if timer_is_active and self.site.limits.timeout_covers_headers_only:
            timer.cancel()
        super().allHeadersReceived()

    def rawDataReceived(self, data: bytes) -> None:
        """Read a body, or keep input behind a request that is handled."""
        if not self.ended:
            super().rawDataReceived(data)

    def lineReceived(self, line: bytes) -> None:
        """Read a line of the headers, up to the limit of all lines."""
        if self.ended:
            return
        self.header_bytes += len(line)
        limit = self.max_header_bytes
        if self.header_bytes > limit:
            self.refuse(ErrorKind.HEADERS_TOO_LARGE, f"headers are over {limit} bytes")
            return
        super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a line that is over the limit of all headers."""
        limit = self.max_header_bytes
        self.refuse(ErrorKind.HEADERS_TOO_LARGE, f"headers are over {limit} bytes")

    def _respondToBadRequestAndDisconnect(self) -> None:
        self.refuse(ErrorKind.BAD_REQUEST, "malformed HTTP request")

    def _refuse_slow_client(self) -> None:
        limit = self.site.limits.receive_timeout_s
        left_s = self.receive_began_at + limit - self.site.reactor.seconds()
        if left_s > 0:
            # The limit was raised since the request began.
            self.receive_timer = self.site.reactor.callLater(
                left_s, self._refuse_slow_client
            )
            return
        self.receive_timer = None
        self.refuse(ErrorKind.SLOW_CALLER, f"request not received whole in {limit} s")

    def timeoutConnection(self) -> None:
        """Close the connection if it was idle for the limit in force now."""
        limit = self.site.limits.idle_timeout_s
        left_s = self.idle_since + limit - self.site.reactor.seconds()
        if left_s > 0:
            # The limit was raised since the connection became idle.
            self.setTimeout(left_s)
            return
        super().timeoutConnection()

    def _stop_timer(self) -> None:
        if self.receive_timer is not None and self.receive_timer.active():
            self.receive_timer.cancel()
        self.receive_timer = None

    def finish_receiving(self) -> float:
        """Prepare to receive the next request; return when this one began to arrive."""
        self._stop_timer()
        self.header_bytes = 0
        received_at = self.arrivals.time_at(self.request_offset)
        unparsed = len(self._buffer) + sum(map(len, self._dataBuffer))
        self.request_offset = self.arrivals.size - unparsed
        return received_at

    def requestDone(self, request: Any) -> None:
        """Continue with the next pipelined request, or end the connection."""
        if self.ends_after_answer:
            # The client sends the requests behind this answer again.
            self._dataBuffer.clear()
            self.requests.remove(request)
            self.end_output()
            return
        self.idle_since = self.site.reactor.seconds()
        if self._savedTimeOut is not None:
            self._savedTimeOut = self.site.limits.idle_timeout_s
        was_replaying, self.replaying = self.replaying, True
        try:
            super().requestDone(request)
        finally:
            self.replaying = was_replaying

    def refuse(self, kind: ErrorKind, message: str) -> None:
        """Answer with an error kind and close the connection."""
        if self.ended:
            return
        self._stop_timer()
        if self.transport is not None:
            self.transport.write(error_answer_bytes(kind, message))
            self.end_output()

    def end_output(self) -> None:
        """Close the connection in the direction to the client; discard its input."""
        self.ended = True
        # Otherwise the transport calls resumeProducing once the answer is sent.
        if not self._waitingForTransport:
            self._linger()

    def resumeProducing(self) -> None:
        """Read and answer requests again, or linger if the last answer was sent."""
        if not self.ended:
            super().resumeProducing()
        elif self.linger_timer is None:
            self._linger()

    def _linger(self) -> None:
        self._networkProducer.unregisterProducer()
        self._networkProducer.resumeProducing()
        self.transport.loseWriteConnection()
        self.linger_timer = self.site.reactor.callLater(LINGER_S, self._end_linger)

    def is_receiving(self) -> bool:
        """Return whether a request is being received, or the first one is awaited."""
        if self.ended or self.arrivals.size:
            return not self.ended and self.receive_timer is not None
        return self.site.reactor.seconds() - self.connected_at < FIRST_REQUEST_S

    def _end_linger(self) -> None:
        self.transport.abortConnection()
