"""A connection of the HTTP client that bounds the memory of an answer's head."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web._newclient import HEADER, STATUS, HTTP11ClientProtocol, Request
from twisted.web.client import HTTPConnectionPool, _HTTP11ClientFactory

# Limit on the head of an answer, together with interim answers before it.
MAX_HEAD_BYTES = 64 << 10


class HeadTooLarge(Exception):
    """The head of an answer is over the limit."""


class LimitedHeadProtocol(HTTP11ClientProtocol):
    """Close the connection when the head of an answer is over the limit."""

    head_bytes = 0

    def request(self, request: Request) -> Deferred[Any]:
        """Send a request; return its response once the head is received."""
        self.head_bytes = 0
        return super().request(request)

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


class LimitedHeadFactory(_HTTP11ClientFactory):
    """Build connections for a pool."""

    def buildProtocol(self, addr: Any) -> LimitedHeadProtocol:
        """Return a new connection."""
        return LimitedHeadProtocol(self._quiescentCallback)


class LimitedHeadPool(HTTPConnectionPool):
    """A pool whose connections bound the heads of answers."""

    _factory = LimitedHeadFactory
