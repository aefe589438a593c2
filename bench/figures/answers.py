"""Answers a second that one connection of a node reads, and the cost of the checks."""

from collections.abc import Iterator
from time import perf_counter

from twisted.internet.testing import StringTransport
from twisted.web._newclient import HTTPClientParser

from bench.figures.figure import Figure, compare_with_baseline
from ebonybend.node.backend_connection import BackendConnection

ROUNDS = 7
ANSWERS = 4000
FIELDS = (
    b"Request-Id: a1\r\nServer-Stamp: 0123456789abcdef\r\nServer-Load: 1,0,4\r\n"
    b"Content-Type: application/json\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\n"
)
BODY = b"x" * 1000
BODIES = {
    "length": b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY,
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
    % (len(BODY), BODY),
}


class LibraryConnection(BackendConnection):
    """A connection that reads answers with the library's own parser."""

    def _expect_answer(self) -> None:
        super()._expect_answer()
        self.parser.__class__ = HTTPClientParser


def answers(_seed: int) -> Iterator[Figure]:
    """Yield the rate with the strict parser; the baseline is the library's."""
    for name, body in BODIES.items():
        answer = b"HTTP/1.1 200 OK\r\n" + FIELDS + body
        strict, library = [], []
        for _ in range(ROUNDS):
            strict.append(_rate(BackendConnection, answer))
            library.append(_rate(LibraryConnection, answer))
        yield compare_with_baseline(f"answers_{name}", strict, library, "1/s")


def _rate(kind: type[BackendConnection], answer: bytes) -> float:
    """Return how many answers a second a connection reads."""
    connection = kind(b"Request-Id", lambda _: None, perf_counter)
    transport = StringTransport()
    connection.makeConnection(transport)
    received = []
    started = perf_counter()
    for _ in range(ANSWERS):
        connection.send(b"GET", b"a1", b"request").addCallback(received.append)
        connection.dataReceived(answer)
        transport.clear()
    seconds = perf_counter() - started
    if len(received) != ANSWERS:
        raise RuntimeError(f"read {len(received)} of {ANSWERS} answers")
    return ANSWERS / seconds
