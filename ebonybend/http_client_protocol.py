"""A connection of the HTTP client that reads answers strictly."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web._newclient import HEADER, STATUS, HTTP11ClientProtocol, Request
from twisted.web.client import HTTPConnectionPool, _HTTP11ClientFactory

from ebonybend.http_answer_parser import MAX_HEAD_BYTES, AnswerParser, HeadTooLarge


class StrictClientProtocol(HTTP11ClientProtocol):
    """Close the connection on a malformed answer, or on a head over the limit."""

    head_bytes = 0

    def request(self, request: Request) -> Deferred[Any]:
        """Send a request; return its response once the head is received."""
        self.head_bytes = 0
        finished = super().request(request)
        # There is no new parser if the request could not be sent.
        if not isinstance(self._parser, AnswerParser | None):
            self._parser = self._strict_parser(request)
        return finished

    def _strict_parser(self, request: Request) -> AnswerParser:
        """Return a parser that takes the place of the library's own."""
        parser = AnswerParser(request, self._on_parsed)
        parser.makeConnection(self._transportProxy)
        parser._responseDeferred = self._responseDeferred
        return parser

    def _on_parsed(self, unparsed: bytes) -> None:
        """End the request; use the connection no more if bytes follow the answer."""
        if unparsed:
            self._currentRequest.persistent = False
        self._finishResponse(unparsed)

    def dataReceived(self, bytes: bytes) -> None:
        """Parse received bytes."""
        super().dataReceived(bytes)
        parser = self._parser
        if parser is None or parser.state not in (STATUS, HEADER):
            return
        self.head_bytes += len(bytes)
        if self.head_bytes > MAX_HEAD_BYTES:
            error = HeadTooLarge(f"head over {MAX_HEAD_BYTES} bytes")
            self._giveUp(Failure(error))


class StrictClientFactory(_HTTP11ClientFactory):
    """Build connections for a pool."""

    def buildProtocol(self, addr: Any) -> StrictClientProtocol:
        """Return a new connection."""
        return StrictClientProtocol(self._quiescentCallback)


class StrictPool(HTTPConnectionPool):
    """A pool whose connections read answers strictly."""

    _factory = StrictClientFactory
