from random import Random

from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import Clock
from twisted.web.http_headers import Headers

from ebonybend.clock import ManualClock
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.node.backend_connection import AnswerNotReceived, BackendAnswer, Loss
from ebonybend.node.backend_pool import Unreachable
from ebonybend.node.caller_requests import ClientRequest
from ebonybend.node.forwarder import Forwarder
from ebonybend.steering.crashes import CRASHES_TO_REFUSE, CrashDetector
from ebonybend.steering.placement import Placement
from ebonybend.steering.server_state import ServerTable
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.steering.shared_rates import RetryWindow
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
FULL = BackendAnswer(503, Headers({"Not-Run": ["1"]}), b"")
WRONG = BackendAnswer(421, Headers(), b"")
CLOSED = AnswerNotReceived(Loss.CLOSED)
REFUSED = Unreachable("refused", True)


class FixedRegion:
    """Keep every object in one region."""

    def arrived(self, route, service):
        """Do nothing."""

    def region_of(self, service, object_key):
        """Return the only region."""
        return "a"


class PlainWire:
    """Formats of these tests."""

    def server_headers(self, server, left_s):
        """State the time that is left."""
        return ((b"Left", str(round(left_s, 3)).encode()),)

    def states_not_run(self, status, headers):
        """Read the header of a server that did not run a request."""
        return status == 421 or headers.hasHeader("Not-Run")

    def read_load(self, headers):
        """Return no load."""


class ScriptedPool:
    """Give connections that answer what a script says."""

    def __init__(self, script):
        self.script = list(script)
        self.sent = []
        self.waiting = None
        # Delays the next connection until it fires, if set.
        self.connecting = None

    def take(self, server, single):
        """Return no kept connection."""

    async def connect(self, server):
        """Return a connection, or fail as the script says."""
        if self.connecting is not None:
            await self.connecting
        if self.script and isinstance(self.script[0], Unreachable):
            raise self.script.pop(0)
        return self

    def close(self):
        """Do nothing."""

    def send(self, method, request_id, data):
        """Answer with the next of the script; wait if it is empty."""
        self.sent.append(data)
        self.waiting = Deferred(lambda d: d.errback(AnswerNotReceived(Loss.ABORTED)))
        if self.script:
            result = self.script.pop(0)
            if isinstance(result, Exception):
                self.waiting.errback(result)
            else:
                self.waiting.callback(result)
        return self.waiting


class Bench:
    """A forwarder with three servers behind a scripted pool."""

    def __init__(self, script, slack=100.0, **route):
        self.clock = Clock()
        self.pool = ScriptedPool(script)
        table = ServerTable()
        names = ("s1", "s2", "s3")
        table.update(
            {n: BackendServer(n, "s", "a-1", "1:1", 4, region="a") for n in names}, 0.0
        )
        self.crashes = CrashDetector(ManualClock())
        self.forwarder = Forwarder(
            self.clock,
            self.pool,
            Placement(table, ServiceTimes()),
            FixedRegion(),
            PlainWire(),
            lambda: RetryWindow(0.0, slack, 10.0),
            lambda: 1,
            Random(1),
            self.crashes,
        )
        self.route = evolve(ROUTE, **route)
        self.results = []

    def forward(self):
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
            deadline=1.0,
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


class ForwardTest(TestWithScenarios, TestCase):
    """Guards against a second run, an untrue "not run" and a needless failure."""

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
            "full, not idempotent",
            {"script": [FULL, OK], "idempotent": False, "sends": 2, "ends": 200},
        ),
        (
            "full everywhere",
            {"script": [FULL, FULL], "sends": 2, "ends": ErrorKind.OVERLOADED},
        ),
        ("another server", {"script": [WRONG, OK], "sends": 2, "ends": 200}),
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
        bench = Bench(
            self.script,
            self.slack,
            idempotent=self.idempotent,
            max_sends=self.max_sends,
        )
        bench.forward()
        self.assertEqual(self.ends, bench.outcome())
        self.assertEqual(self.sends, len(bench.pool.sent))


class WaitingTest(TestCase):
    """Guards against work for callers that left or whose time is over."""

    def test_nothing_is_sent_again_once_the_caller_left(self):
        bench = Bench([])
        running = bench.forward()
        bench.pool.script = [OK]
        running.cancel()
        self.assertEqual(CancelledError, bench.outcome())
        self.assertEqual(1, len(bench.pool.sent))

    def test_answered_when_the_time_is_over(self):
        bench = Bench([])
        bench.forward()
        bench.clock.advance(1.0)
        bench.clock.advance(0.0)
        self.assertEqual(ErrorKind.DEADLINE_EXCEEDED, bench.outcome())

    def test_answer_that_arrived_while_the_process_was_paused(self):
        bench = Bench([])
        bench.forward()
        # The loop runs its due timers before it reads the connection.
        bench.clock.callLater(1.0, lambda: bench.pool.waiting.callback(OK))
        bench.clock.advance(1.5)
        self.assertEqual(200, bench.outcome())

    def test_nothing_is_sent_that_can_t_be_answered(self):
        bench = Bench([OK])
        connecting = bench.pool.connecting = Deferred()
        bench.forward()
        bench.clock.advance(0.99)
        connecting.callback(None)
        self.assertEqual(ErrorKind.OVERLOADED, bench.outcome())
        self.assertEqual([], bench.pool.sent)

    def test_second_send_states_the_time_that_is_left(self):
        bench = Bench([])
        bench.forward()
        bench.clock.advance(0.6)
        bench.pool.script = [OK]
        bench.pool.waiting.errback(CLOSED)
        self.assertEqual(200, bench.outcome())
        self.assertIn(b"Left: 0.4\r\n", bench.pool.sent[1])

    def test_headers_of_one_connection_are_not_passed_on(self):
        bench = Bench([OK])
        bench.forward()
        sent = bench.pool.sent[0]
        self.assertNotIn(b"Connection", sent)
        self.assertTrue(sent.startswith(b"POST /x?y=1 HTTP/1.1\r\n"))
        self.assertTrue(sent.endswith(b"Content-Length: 4\r\n\r\nbody"))

    def test_request_that_crashes_servers_is_refused(self):
        bench = Bench([CLOSED] * CRASHES_TO_REFUSE, max_sends=1)
        for _ in range(CRASHES_TO_REFUSE):
            bench.forward()
            for name in bench.forwarder.placement.table.states:
                bench.crashes.record_refused_connection(name)
            bench.crashes.clock.advance(2.0)
        bench.results.clear()
        bench.forward()
        self.assertEqual(ErrorKind.SUSPECT_REFUSED, bench.outcome())
