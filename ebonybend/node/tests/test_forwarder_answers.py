from math import inf
from typing import ClassVar

from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from ebonybend.errors import ErrorKind
from ebonybend.node.backend_connection import (
    BackendAnswer,
)
from ebonybend.node.tests.forwarder_fixture import (
    OK,
    ForwarderFixture,
)


class LeavingAnswerTest(TestWithScenarios, TestCase):
    """Guards against requests to a server that stated that it leaves."""

    LEAVING: ClassVar = {"Leaving": ["1"]}
    scenarios = [
        ("answered", {"answer": BackendAnswer(200, Headers(LEAVING), b"")}),
        ("failed", {"answer": BackendAnswer(500, Headers(LEAVING), b"")}),
        (
            "not run",
            {"answer": BackendAnswer(503, Headers({**LEAVING, "Not-Run": ["1"]}), b"")},
        ),
        (
            "by another server at its address",
            {"answer": BackendAnswer(421, Headers(LEAVING), b""), "usable": 3},
        ),
    ]
    usable = 2

    def test_other_servers_are_used(self):
        fixture = ForwarderFixture([self.answer], max_sends=1)
        fixture.forward()
        table = fixture.forwarder.placement.table
        self.assertEqual(self.usable, len(table.usable("s")))

    def test_not_sent_if_the_server_begins_to_leave_meanwhile(self):
        fixture = ForwarderFixture([OK])
        connecting = fixture.pool.connecting = Deferred()
        fixture.forward()
        table = fixture.forwarder.placement.table
        (chosen,) = [s for s in table.states.values() if s.in_flight]
        table.record_leaving(chosen.server.process, 0.0)
        fixture.pool.connecting = None
        connecting.callback(None)
        self.assertEqual(200, fixture.outcome())
        self.assertEqual(1, len(fixture.pool.sent))
        self.assertEqual(float("-inf"), chosen.answered_at)


class RefusingServerTest(TestWithScenarios, TestCase):
    """Guards against requests to servers that asked for a pause."""

    scenarios = [
        ("not run", {"headers": {"Pause": ["2"], "Not-Run": ["1"]}}),
        ("failed", {"headers": {"Pause": ["2"]}}),
    ]

    def test_no_request_until_its_end(self):
        answer = BackendAnswer(503, Headers(self.headers), b"")
        fixture = ForwarderFixture([answer] * 3, max_sends=3)
        fixture.forward()
        self.assertEqual(3, len(fixture.pool.sent))
        fixture.clock.advance(1.9)
        fixture.results.clear()
        fixture.forward(deadline=3.0)
        self.assertEqual(ErrorKind.OVERLOADED, fixture.outcome())
        self.assertEqual(3, len(fixture.pool.sent))
        # The client is told to come back when the pause ends.
        self.assertTrue(100 <= fixture.results[0].value.retry_after_ms <= 150)
        fixture.clock.advance(0.2)
        fixture.pool.script = [OK]
        fixture.results.clear()
        fixture.forward(deadline=3.0)
        self.assertEqual(200, fixture.outcome())

    def test_not_by_another_server_at_its_address(self):
        answer = BackendAnswer(421, Headers(self.headers), b"")
        fixture = ForwarderFixture([answer, OK])
        fixture.forward()
        self.assertEqual(200, fixture.outcome())
        states = fixture.forwarder.placement.table.states.values()
        self.assertFalse(any(state.is_paused(0.0) for state in states))


class NamedLimitTest(TestWithScenarios, TestCase):
    """Guards against requests to a server that exceed the limit that it names."""

    scenarios = [
        ("answered", {"status": 200, "headers": {"Limit": ["2"]}}),
        ("failed", {"status": 500, "headers": {"Limit": ["2"]}}),
        ("not run", {"status": 503, "headers": {"Limit": ["2"], "Not-Run": ["1"]}}),
    ]

    def test_not_by_another_server_at_its_address(self):
        answer = BackendAnswer(421, Headers({"Limit": ["2"]}), b"")
        fixture = ForwarderFixture([answer], max_sends=1)
        fixture.forward()
        states = fixture.forwarder.placement.table.states.values()
        self.assertEqual({inf}, {state.limit.limit for state in states})

    def test_each_server_gets_its_limit(self):
        answer = BackendAnswer(self.status, Headers(self.headers), b"")
        fixture = ForwarderFixture([answer] * 400, max_sends=3)
        for _ in range(200):
            fixture.forward(deadline=fixture.clock.seconds() + 1.0)
            fixture.clock.advance(0.05)
        # A burst, 10 s at the rate, and the first request, which learned the limit.
        most = 3 * (2.0 + 10.0 * 2.0 + 1.0)
        self.assertLessEqual(len(fixture.pool.sent), most)
        self.assertGreaterEqual(len(fixture.pool.sent), 0.8 * most)
