from collections import Counter
from math import inf
from random import Random
from typing import ClassVar

from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import Clock
from twisted.web.http_headers import Headers

from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.node.backend_connection import (
    ACK_TIMEOUT_MS,
    AnswerNotReceived,
    BackendAnswer,
    LossReason,
)
from ebonybend.node.backend_pool import BackendUnreachable
from ebonybend.node.caller_requests import ClientRequest
from ebonybend.node.crash_watch import CrashWatch
from ebonybend.node.forwarder import Forwarder
from ebonybend.node.pause_gate import PauseGate
from ebonybend.steering.crashes import CRASHES_TO_REFUSE, CrashDetector, CrashReport
from ebonybend.steering.placement import Placement
from ebonybend.steering.server_state import ServerTable
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.steering.shared_rates import RetryWindow
from ebonybend.steering.suspects import fingerprint
from ebonybend.tasks import ReactorClock
from ebonybend.world import BackendServer
from ebonybend.world.route import Route, RoutePart

ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    idempotent=True,
    parts=(RoutePart("s", 1.0),),
    max_sends=2,
    timeout_s=1.0,
    objective_s=0.3,
    priority=1,
)
OK = BackendAnswer(200, Headers(), b"whole")
FAILED = BackendAnswer(500, Headers(), b"failed")
MALFORMED = AnswerNotReceived(LossReason.MALFORMED)
FULL = BackendAnswer(503, Headers({"Not-Run": ["1"]}), b"")
WRONG_SERVER = BackendAnswer(421, Headers(), b"")
CLOSED = AnswerNotReceived(LossReason.CLOSED)
REFUSED = BackendUnreachable("refused", True)


class FixedRegion:
    """Assign every object to one region."""

    def record_request(self, route, service):
        """Do nothing."""

    def region_of(self, service, object_key):
        """Return the only region."""
        return "a"


class PlainWireFormat:
    """The formats that these tests use."""

    def server_headers(self, server, remaining_s):
        """Return a header with the remaining time."""
        return ((b"Left", str(round(remaining_s, 3)).encode()),)

    def states_not_run(self, status, headers):
        """Return whether an answer states that the request was not run."""
        return status == 421 or headers.hasHeader("Not-Run")

    def read_limit(self, headers):
        """Return the limit that an answer names."""
        return float((headers.getRawHeaders("Limit") or [inf])[0])

    def states_leaving(self, headers):
        """Return whether an answer states that its server leaves."""
        return headers.hasHeader("Leaving")

    def read_pause(self, status, headers):
        """Return the pause that an answer asks for."""
        return float((headers.getRawHeaders("Pause") or [0.0])[0])

    def read_load(self, headers):
        """Return no load."""


class ScriptedPool:
    """A pool whose connections answer by a script."""

    def __init__(self, script):
        self.script = list(script)
        self.sent = []
        self.ack_timeouts_ms = []
        self.waiting = None
        self.checked = []
        # If set, the next connection is delayed until it fires.
        self.connecting = None

    def acquire(self, server, non_idempotent):
        """Return no idle connection."""

    async def connect(self, server):
        """Return a connection, or raise the error that is next in the script."""
        if self.connecting is not None:
            await self.connecting
        if self.script and isinstance(self.script[0], BackendUnreachable):
            raise self.script.pop(0)
        return self

    def add_idle(self, server, connection):
        """Count a connection that a check opened."""
        self.checked.append(server.name)

    def close(self):
        """Do nothing."""

    def send(self, method, request_id, data, ack_timeout_ms):
        """Answer with the next entry of the script; wait if there is none."""
        self.sent.append(data)
        self.ack_timeouts_ms.append(ack_timeout_ms)
        self.waiting = Deferred(
            lambda d: d.errback(AnswerNotReceived(LossReason.ABORTED))
        )
        if self.script:
            result = self.script.pop(0)
            if isinstance(result, Exception):
                self.waiting.errback(result)
            else:
                self.waiting.callback(result)
        return self.waiting


class ForwarderFixture:
    """A forwarder with three servers behind a scripted pool."""

    def __init__(self, script, slack=100.0, **route):
        self.clock = Clock()
        self.pool = ScriptedPool(script)
        table = ServerTable()
        names = ("s1", "s2", "s3")
        table.update(
            {n: BackendServer(n, "s", "a-1", "1:1", 4, region="a") for n in names}, 0.0
        )
        self.crash_detector = CrashDetector(ReactorClock(self.clock))
        self.forwarder = Forwarder(
            self.clock,
            self.pool,
            Placement(table, ServiceTimes()),
            FixedRegion(),
            PlainWireFormat(),
            lambda: RetryWindow(0.0, slack, 10.0),
            lambda: 1,
            Random(1),
            CrashWatch(self.clock, self.pool, self.crash_detector),
            PauseGate(self.clock, lambda: None, lambda time: True),
        )
        self.route = evolve(ROUTE, **route)
        self.results = []

    def forward(self, deadline=1.0):
        request = ClientRequest(
            request_id=b"a1",
            method=b"POST",
            uri=b"/x?y=1",
            headers=Headers({"Request-Id": ["a1"], "Connection": ["close"]}),
            body=b"body",
            route=self.route,
            service="s",
            object_key=b"17",
            arrived_at=0.0,
            deadline=deadline,
            urgent_route=None,
        )
        running = Deferred.fromCoroutine(self.forwarder.forward(request))
        running.addBoth(self.results.append)
        return running

    def outcome(self):
        result = self.results[0]
        if isinstance(result, BackendAnswer):
            return result.status
        error = result.value
        return error.kind if isinstance(error, SteeringError) else type(error)


class SilentServerTest(TestWithScenarios, TestCase):
    """Guards against giving up a running request whose server is cut off for a while.

    Load pattern: sign-offs on servers that a partition of some seconds cuts off.
    """

    scenarios = [
        ("idempotent", {"idempotent": True, "ack_timeout_ms": ACK_TIMEOUT_MS}),
        ("not idempotent", {"idempotent": False, "ack_timeout_ms": 8000}),
        (
            "not idempotent, near the deadline",
            {"idempotent": False, "deadline": 0.5, "ack_timeout_ms": ACK_TIMEOUT_MS},
        ),
    ]
    deadline = 8.0

    def test_time_without_acknowledgement(self):
        fixture = ForwarderFixture([OK], idempotent=self.idempotent)
        fixture.forward(deadline=self.deadline)
        self.assertEqual([self.ack_timeout_ms], fixture.pool.ack_timeouts_ms)


class ForwardTest(TestWithScenarios, TestCase):
    """Guards against a second run, a wrong "not run" and a needless failure."""

    scenarios = [
        ("answered", {"script": [OK], "sends": 1, "ends": 200}),
        ("lost, idempotent", {"script": [CLOSED, OK], "sends": 2, "ends": 200}),
        (
            "lost, not idempotent",
            {
                "script": [CLOSED, OK],
                "idempotent": False,
                "sends": 1,
                "ends": ErrorKind.ANSWER_LOST,
            },
        ),
        (
            "refusal of another request, not idempotent",
            {
                "script": [MALFORMED, OK],
                "idempotent": False,
                "sends": 1,
                "ends": ErrorKind.ANSWER_LOST,
            },
        ),
        (
            "full, not idempotent",
            {"script": [FULL, OK], "idempotent": False, "sends": 2, "ends": 200},
        ),
        (
            "full everywhere",
            {"script": [FULL, FULL], "sends": 2, "ends": ErrorKind.OVERLOADED},
        ),
        ("another server", {"script": [WRONG_SERVER, OK], "sends": 2, "ends": 200}),
        (
            "lost, then full",
            {"script": [CLOSED, FULL], "sends": 2, "ends": ErrorKind.ANSWER_LOST},
        ),
        ("failed, idempotent", {"script": [FAILED, OK], "sends": 2, "ends": 200}),
        (
            "failed, not idempotent",
            {"script": [FAILED, OK], "idempotent": False, "sends": 1, "ends": 500},
        ),
        ("failed twice", {"script": [FAILED, FAILED], "sends": 2, "ends": 500}),
        ("failed, then lost", {"script": [FAILED, CLOSED], "sends": 2, "ends": 500}),
        ("unreachable", {"script": [REFUSED, OK], "sends": 1, "ends": 200}),
        (
            "unreachable everywhere",
            {"script": [REFUSED] * 3, "sends": 0, "ends": ErrorKind.OVERLOADED},
        ),
        (
            "one send only",
            {
                "script": [CLOSED, OK],
                "max_sends": 1,
                "sends": 1,
                "ends": ErrorKind.ANSWER_LOST,
            },
        ),
        (
            "no budget for a second send",
            {
                "script": [CLOSED, OK],
                "slack": 0.0,
                "sends": 1,
                "ends": ErrorKind.ANSWER_LOST,
            },
        ),
    ]
    idempotent = True
    max_sends = 2
    slack = 100.0

    def test_forward(self):
        fixture = ForwarderFixture(
            self.script,
            self.slack,
            idempotent=self.idempotent,
            max_sends=self.max_sends,
        )
        fixture.forward()
        self.assertEqual(self.ends, fixture.outcome())
        self.assertEqual(self.sends, len(fixture.pool.sent))


class WaitingTest(TestCase):
    """Guards against work for clients that disconnected or whose deadline passed."""

    def test_no_retry_after_the_client_disconnected(self):
        fixture = ForwarderFixture([])
        running = fixture.forward()
        fixture.pool.script = [OK]
        running.cancel()
        self.assertEqual(CancelledError, fixture.outcome())
        self.assertEqual(1, len(fixture.pool.sent))

    def test_deadline_exceeded_without_an_answer(self):
        fixture = ForwarderFixture([])
        fixture.forward()
        fixture.clock.advance(1.0)
        fixture.clock.advance(0.0)
        self.assertEqual(ErrorKind.DEADLINE_EXCEEDED, fixture.outcome())

    def test_answer_that_arrived_while_the_process_was_paused(self):
        fixture = ForwarderFixture([])
        fixture.forward()
        # The loop runs its due timers before it reads the connection.
        fixture.clock.callLater(1.0, lambda: fixture.pool.waiting.callback(OK))
        fixture.clock.advance(1.5)
        self.assertEqual(200, fixture.outcome())

    def test_no_send_too_late_for_an_answer(self):
        fixture = ForwarderFixture([OK])
        connecting = fixture.pool.connecting = Deferred()
        fixture.forward()
        fixture.clock.advance(0.99)
        connecting.callback(None)
        self.assertEqual(ErrorKind.OVERLOADED, fixture.outcome())
        self.assertEqual([], fixture.pool.sent)

    def test_second_send_states_the_remaining_time(self):
        fixture = ForwarderFixture([])
        fixture.forward()
        fixture.clock.advance(0.6)
        fixture.pool.script = [OK]
        fixture.pool.waiting.errback(CLOSED)
        self.assertEqual(200, fixture.outcome())
        self.assertIn(b"Left: 0.4\r\n", fixture.pool.sent[1])

    def test_hop_by_hop_headers_are_not_forwarded(self):
        fixture = ForwarderFixture([OK])
        fixture.forward()
        sent = fixture.pool.sent[0]
        self.assertNotIn(b"Connection", sent)
        self.assertTrue(sent.startswith(b"POST /x?y=1 HTTP/1.1\r\n"))
        self.assertTrue(sent.endswith(b"Content-Length: 4\r\n\r\nbody"))

    def test_request_that_crashes_servers_is_refused(self):
        fixture = ForwarderFixture([CLOSED, REFUSED] * CRASHES_TO_REFUSE, max_sends=1)
        for _ in range(CRASHES_TO_REFUSE):
            fixture.forward(deadline=fixture.clock.seconds() + 1.0)
            # No other request is for this server.
            fixture.clock.advance(2.0)
        self.assertEqual(CRASHES_TO_REFUSE, len(fixture.pool.sent))
        fixture.results.clear()
        fixture.forward(deadline=fixture.clock.seconds() + 1.0)
        self.assertEqual(ErrorKind.SUSPECT_REFUSED, fixture.outcome())

    def test_server_that_still_listens_did_not_crash(self):
        fixture = ForwarderFixture([CLOSED] * 9, max_sends=1)
        for _ in range(9):
            fixture.forward(deadline=fixture.clock.seconds() + 1.0)
            fixture.clock.advance(2.0)
        self.assertEqual(9, len(fixture.pool.checked))
        self.assertFalse(fixture.crash_detector.has_suspects())

    def test_a_server_is_checked_once_a_second(self):
        fixture = ForwarderFixture([CLOSED] * 40, max_sends=1)
        for _ in range(40):
            fixture.forward(deadline=fixture.clock.seconds() + 1.0)
            fixture.clock.advance(0.1)
        counts = Counter(fixture.pool.checked)
        self.assertLessEqual(max(counts.values()), 5)
        # Losses after a check are followed by another one.
        self.assertGreaterEqual(max(counts.values()), 2)

    def test_one_check_for_many_requests_lost_at_once(self):
        fixture = ForwarderFixture([CLOSED] * 3, max_sends=1)
        for _ in range(3):
            fixture.forward()
        fixture.clock.advance(1.0)
        self.assertLessEqual(len(fixture.pool.checked), 3)
        self.assertEqual(len(set(fixture.pool.checked)), len(fixture.pool.checked))

    def test_retry_is_refused_if_the_request_is_a_suspect_by_then(self):
        fixture = ForwarderFixture([])
        connecting = fixture.pool.connecting = Deferred()
        fixture.forward()
        report = CrashReport("", refused=True)
        name = fingerprint("s", "POST", "/x?y=1", b"body")
        fixture.crash_detector.merge("n2", [evolve(report, fingerprint=name)])
        fixture.pool.connecting = None
        connecting.callback(None)
        self.assertEqual(ErrorKind.SUSPECT_REFUSED, fixture.outcome())
        self.assertEqual([], fixture.pool.sent)

    def test_suspect_that_may_have_run_is_not_refused_as_not_run(self):
        fixture = ForwarderFixture([])
        fixture.forward()
        name = fingerprint("s", "POST", "/x?y=1", b"body")
        fixture.crash_detector.merge("n2", [CrashReport(name, refused=True)])
        fixture.pool.waiting.errback(CLOSED)
        self.assertEqual(ErrorKind.ANSWER_LOST, fixture.outcome())
        self.assertEqual(1, len(fixture.pool.sent))


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
