from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.tests.test_http_server import LIMITS, VALID_REQUEST, InMemoryServer

HEAD = b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
LONG_LINE = b"X: " + b"y" * 20_000 + b"\r\n"
CHUNKED = b"POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
RAISED = {
    "max_header_bytes": 30_000,
    "max_body_bytes": 30_000,
    "receive_timeout_s": 5.0,
    "idle_timeout_s": 90.0,
}
LOWERED = {
    "max_header_bytes": 100,
    "max_body_bytes": 10,
    "receive_timeout_s": 0.1,
    "idle_timeout_s": 3.0,
}


class ChangedLimitTest(TestWithScenarios, TestCase):
    """Guards against an open connection that refuses by a limit of before."""

    scenarios = [
        ("a long line", {"after": HEAD + LONG_LINE + b"\r\nabc"}),
        ("many lines", {"after": HEAD + b"X: yyyy\r\n" * 2000 + b"\r\nabc"}),
        ("a long head in pieces", {"after": HEAD + LONG_LINE + b"\r\nabc", "step": 99}),
        (
            "a long body",
            {
                "after": b"POST /echo HTTP/1.1\r\nContent-Length: 2000\r\n\r\n"
                + b"a" * 2000
            },
        ),
        (
            "long chunks",
            {"after": CHUNKED + b"7d0\r\n" + b"a" * 2000 + b"\r\n0\r\n\r\n"},
        ),
        ("while a line arrives", {"before": HEAD + LONG_LINE[:300]}),
        ("while the lines arrive", {"before": HEAD + b"X: yyyy\r\n" * 20}),
        ("while chunks arrive", {"before": CHUNKED + b"50\r\n" + b"a" * 80 + b"\r\n"}),
        ("behind another request", {"before": VALID_REQUEST + HEAD}),
        ("raised in steps", {"after": HEAD + LONG_LINE + b"\r\nabc", "steps": 3}),
    ]
    before = b""
    after = b""
    step = 1_000_000
    steps = 1

    def rest(self):
        """Return the rest of a request that began before the limits were raised."""
        if self.before.startswith(CHUNKED):
            return b"7d0\r\n" + b"a" * 2000 + b"\r\n0\r\n\r\n"
        if b"yyy" in self.before[-10:] and not self.before.endswith(b"\r\n"):
            return LONG_LINE[300:] + b"\r\nabc"
        return LONG_LINE + b"\r\nabc"

    def test_raised(self):
        server = InMemoryServer()
        protocol, transport = server.connect()
        protocol.dataReceived(VALID_REQUEST)
        protocol.dataReceived(self.before)
        for number in range(1, self.steps + 1):
            change = {n: x // self.steps * number for n, x in RAISED.items()}
            server.site.limits = evolve(LIMITS, **change)
        data = self.after or self.rest()
        for start in range(0, len(data), self.step):
            protocol.dataReceived(data[start : start + self.step])
        served = 2 + self.before.startswith(VALID_REQUEST)
        self.assertEqual(served, len(server.bodies))
        self.assertEqual(served, transport.value().count(b"HTTP/1.1 200"))

    def test_request_that_began_before_the_limits_were_lowered(self):
        if self.steps > 1 or not self.before:
            return
        server = InMemoryServer()
        server.site.limits = evolve(LIMITS, **RAISED)
        protocol, transport = server.connect()
        protocol.dataReceived(self.before)
        server.site.limits = LIMITS
        if self.before.startswith(VALID_REQUEST):
            # The next request began before, too.
            self.assertEqual(1, len(server.bodies))
        protocol.dataReceived(self.rest())
        served = 1 + self.before.startswith(VALID_REQUEST)
        self.assertEqual(served, len(server.bodies))


class LoweredLimitTest(TestWithScenarios, TestCase):
    """Guards against an open connection that keeps a limit that was lowered."""

    scenarios = [
        ("headers", {"data": b"POST /echo HTTP/1.1\r\nX: " + b"y" * 200 + b"\r\n\r\n"}),
        ("body", {"data": b"POST /echo HTTP/1.1\r\nContent-Length: 20\r\n\r\n"}),
        ("chunks", {"data": CHUNKED + b"14\r\n" + b"a" * 20 + b"\r\n0\r\n\r\n"}),
    ]

    def test_next_request_is_refused(self):
        server = InMemoryServer()
        protocol, transport = server.connect()
        protocol.dataReceived(VALID_REQUEST)
        server.site.limits = evolve(LIMITS, **LOWERED)
        protocol.dataReceived(self.data)
        self.assertEqual(1, len(server.bodies))
        self.assertIn(b"HTTP/1.1 4", transport.value())


class ChangedTimeoutTest(TestWithScenarios, TestCase):
    """Guards against a timer that ends a connection by a limit of before."""

    scenarios = [
        ("idle, raised", {"old": 3.0, "new": 90.0, "open_s": 80.0, "closed_s": 91.0}),
        ("idle, lowered", {"old": 30.0, "new": 3.0, "open_s": 29.0, "closed_s": 31.0}),
        (
            "idle, raised twice",
            {"old": 3.0, "new": 9.0, "third": 90.0, "open_s": 80.0, "closed_s": 91.0},
        ),
        (
            "used again, lowered",
            {"old": 90.0, "new": 3.0, "again": True, "open_s": 2.0, "closed_s": 4.0},
        ),
        (
            "used again, raised",
            {"old": 3.0, "new": 90.0, "again": True, "open_s": 80.0, "closed_s": 91.0},
        ),
        (
            "receiving, raised",
            {"field": "receive_timeout_s", "old": 1.0, "new": 5.0}
            | {"open_s": 4.5, "closed_s": 5.1},
        ),
        (
            "receiving, lowered",
            {"field": "receive_timeout_s", "old": 5.0, "new": 1.0}
            | {"open_s": 4.5, "closed_s": 5.1},
        ),
    ]
    field = "idle_timeout_s"
    third = None
    again = False

    def test_timer(self):
        server = InMemoryServer()
        server.site.limits = evolve(LIMITS, **{self.field: self.old})
        protocol, transport = server.connect()
        is_idle = self.field == "idle_timeout_s"
        protocol.dataReceived(VALID_REQUEST if is_idle else VALID_REQUEST[:-1])
        server.site.limits = evolve(LIMITS, **{self.field: self.new})
        if self.again:
            protocol.dataReceived(VALID_REQUEST)
        passed = 0.0
        if self.third is not None:
            passed = self.old + 1.0
            server.clock.advance(passed)
            server.site.limits = evolve(LIMITS, **{self.field: self.third})
        while passed < self.open_s:
            passed += 0.5
            server.clock.advance(0.5)
        self.assertFalse(transport.disconnecting)
        server.clock.advance(self.closed_s - passed)
        self.assertTrue(transport.disconnecting)


class RequestInProgressTest(TestCase):
    """Guards against an idle time that was copied when a request began to run."""

    def test_limit_that_was_lowered_meanwhile(self):
        server = InMemoryServer()
        server.site.limits = evolve(LIMITS, idle_timeout_s=90.0)
        held = server.hold_answers()
        protocol, transport = server.connect()
        protocol.dataReceived(VALID_REQUEST)
        server.site.limits = evolve(LIMITS, idle_timeout_s=3.0)
        held.callback(None)
        server.clock.advance(2.9)
        self.assertFalse(transport.disconnecting)
        server.clock.advance(0.2)
        self.assertTrue(transport.disconnecting)


class ConnectionLimitTest(TestCase):
    """Guards against a limit on connections that was copied at the start."""

    def test_limit_on_connections(self):
        server = InMemoryServer()
        for _ in range(2):
            server.connect()
        server.site.limits = evolve(LIMITS, max_connections=3)
        self.assertEqual(b"", server.connect()[1].value())
        self.assertIn(b"too_many_connections", server.connect()[1].value())
