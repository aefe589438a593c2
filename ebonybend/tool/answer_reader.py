"""Read an answer from a blocking socket, with the parser that all readers use."""

from socket import socket
from typing import Any

from attrs import frozen
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from ebonybend.http_answer_parser import MAX_HEAD_BYTES, AnswerParser, HeadTooLarge

RECEIVED_BYTES = 64 << 10


class AnswerIncomplete(Exception):
    """The connection ended within an answer, or the answer is over a limit."""


@frozen
class ReceivedAnswer:
    """A complete answer."""

    status: int
    body: bytes


class _AnswerReader(Protocol):
    """Parse the answer to one request, and collect its body."""

    def __init__(self, method: str, max_body: int):
        self.max_body = max_body
        self.response: Any = None
        self.body = bytearray()
        self.is_complete = False
        self.parser = AnswerParser.without_transport(method.encode(), self._on_parsed)
        self.parser._responseDeferred.addCallback(self._on_head)

    def _on_head(self, response: Any) -> None:
        self.response = response
        response.deliverBody(self)

    def _on_parsed(self, _unparsed: bytes) -> None:
        if self.parser.bodyDecoder is not None:
            # Reports to the body's protocol that the body is complete.
            self.parser.response._bodyDataFinished()

    def dataReceived(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > self.max_body:
            raise AnswerIncomplete(f"answer over {self.max_body} bytes")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.is_complete = bool(reason.check(ResponseDone))


def read_answer(connection: socket, method: str, max_body: int) -> ReceivedAnswer:
    """Return the answer to a request that was sent on a connection.

    Raises OSError, AnswerIncomplete, MalformedAnswer or HeadTooLarge.
    """
    reader = _AnswerReader(method, max_body)
    received = 0
    while not reader.is_complete:
        data = connection.recv(RECEIVED_BYTES)
        if not data:
            raise AnswerIncomplete(f"answer cut off after {received} bytes")
        received += len(data)
        reader.parser.dataReceived(data)
        if reader.response is None and received > MAX_HEAD_BYTES:
            raise HeadTooLarge(f"head over {MAX_HEAD_BYTES} bytes")
    return ReceivedAnswer(reader.response.code, bytes(reader.body))
