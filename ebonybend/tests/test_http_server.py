from hypothesis import given
from hypothesis import strategies as st
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from ebonybend.errors import ANSWERS, ErrorKind
from ebonybend.http_answers import json_answer
from ebonybend.http_router import Router
from ebonybend.http_server import HttpLimits, HttpSite
from ebonybend.tests.profile import REPEATABLE

LIMITS = HttpLimits(
    max_body_bytes=100, max_header_bytes=400, max_connections=2, receive_timeout_s=1.0
)
VALID_REQUEST = b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"


class InMemoryServer:
    """An HttpSite whose connections are in-memory transports."""

    def __init__(self):
        self.clock = Clock()
        self.bodies = []
        self.held = None
        router = Router()
        router.add("POST", "/echo", self.echo)
        self.site = HttpSite(self.clock, router, LIMITS)

    def hold_answers(self):
        """Hold the answers until the returned Deferred fires."""
        self.held = Deferred()
        return self.held

    async def echo(self, request):
        self.bodies.append(request.body)
        if self.held is not None:
            await self.held
        return json_answer(request.body.decode("latin-1"))

    def connect(self):
        protocol = self.site.buildProtocol(None)
        transport = StringTransport()
        transport.abortConnection = transport.loseConnection
        transport.loseWriteConnection = transport.loseConnection
        protocol.makeConnection(transport)
        return protocol, transport

    def send(self, data):
        protocol, transport = self.connect()
        protocol.dataReceived(data)
        return transport


class RefusalTest(TestWithScenarios, TestCase):
    """Guards against refusals without an error kind and handling partial requests."""

    scenarios = [
        ("garbage", {"data": b"nonsense\r\n\r\n", "kind": ErrorKind.BAD_REQUEST}),
        (
            "long body",
            {
                "data": b"POST /echo HTTP/1.1\r\nContent-Length: 101\r\n\r\n",
                "kind": ErrorKind.BODY_TOO_LARGE,
            },
        ),
        (
            "long chunks",
            {
                "data": b"POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"65\r\n" + b"a" * 101 + b"\r\n0\r\n\r\n",
                "kind": ErrorKind.BODY_TOO_LARGE,
            },
        ),
        (
            "long headers",
            {
                "data": b"POST /echo HTTP/1.1\r\n" + b"X: yyyy\r\n" * 60 + b"\r\n",
                "kind": ErrorKind.HEADERS_TOO_LARGE,
            },
        ),
        (
            "unknown path",
            {"data": b"GET /no HTTP/1.1\r\n\r\n", "kind": ErrorKind.UNKNOWN_PATH},
        ),
        (
            "method",
            {
                "data": b"GET /echo HTTP/1.1\r\n\r\n",
                "kind": ErrorKind.METHOD_NOT_ALLOWED,
            },
        ),
    ]

    def test_answers_with_kind(self):
        server = InMemoryServer()
        answer = server.send(self.data).value()
        expected = ANSWERS[self.kind]
        self.assertIn(b" %d " % expected.status, answer.split(b"\r\n")[0] + b" ")
        self.assertIn(f"Ebonybend-Error: {self.kind.value}".encode(), answer)
        self.assertEqual([], server.bodies)


class LimitTest(TestCase):
    """Guards against clients that hold connections without sending a request."""

    def test_slow_client_is_refused(self):
        server = InMemoryServer()
        transport = server.send(VALID_REQUEST[:-1])
        server.clock.advance(1.1)
        self.assertIn(b"slow_caller", transport.value())
        self.assertEqual([], server.bodies)

    def test_connections_over_the_limit_are_refused(self):
        server = InMemoryServer()
        server.connect()
        server.connect()
        _, transport = server.connect()
        self.assertIn(b"too_many_connections", transport.value())

    def test_keep_alive_requests_are_answered_in_order(self):
        server = InMemoryServer()
        transport = server.send(VALID_REQUEST + VALID_REQUEST.replace(b"abc", b"xyz"))
        self.assertEqual([b"abc", b"xyz"], server.bodies)
        self.assertLess(
            transport.value().index(b"abc"), transport.value().index(b"xyz")
        )


class MalformedRequestTest(TestCase):
    """Guards against input that raises, hangs or runs a partial request."""

    @REPEATABLE
    @given(st.binary(max_size=300), st.integers(1, 50))
    def test_any_bytes(self, data, step):
        self.check(data, step)

    @REPEATABLE
    @given(
        st.integers(0, len(VALID_REQUEST) - 1),
        st.binary(max_size=3),
        st.integers(1, 50),
    )
    def test_mutated_request(self, position, replacement, step):
        data = (
            VALID_REQUEST[:position]
            + replacement
            + VALID_REQUEST[position + len(replacement) :]
        )
        self.check(data, step)

    def check(self, data, step):
        server = InMemoryServer()
        protocol, transport = server.connect()
        for start in range(0, len(data), step):
            if not transport.disconnecting:
                protocol.dataReceived(data[start : start + step])
        server.clock.advance(LIMITS.receive_timeout_s + 0.1)
        for body in server.bodies:
            self.assertIn(body, data)
        answer = transport.value()
        self.assertTrue(answer == b"" or answer.startswith(b"HTTP/1."))
        self.assertNotIn(b" 500 ", answer.split(b"\r\n")[0])
