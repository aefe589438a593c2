from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred

from ebonybend.errors import ErrorKind
from ebonybend.node.backend_connection import AnswerNotReceived, LossReason
from ebonybend.node.backend_pool import BackendUnreachable
from ebonybend.node.tests.forwarder_fixture import OK, ForwarderFixture

ANSWER_S = 0.1
DEADLINE_S = 20.0
TIMED_OUT = BackendUnreachable("timed out", False)
UNACKNOWLEDGED = AnswerNotReceived(LossReason.UNACKNOWLEDGED)


class PauseFixture(ForwarderFixture):
    """A forwarder with one server, whose process records that it runs."""

    def __init__(self):
        super().__init__([], names=("s1",))
        self.state = self.table.states["s1"]
        for _ in range(5):
            self.forward(DEADLINE_S)
            self.answer(ANSWER_S)
        self.results.clear()

    def answer(self, seconds, result=OK):
        """Let the request in flight end some seconds later."""
        waiting = self.pool.waiting
        self.advance(seconds)
        if isinstance(result, Exception):
            waiting.errback(result)
        else:
            waiting.callback(result)

    def advance(self, seconds):
        """Let some seconds pass, without a record that the process runs."""
        self.clock.advance(seconds)

    def run_for(self, seconds):
        """Let some seconds pass while the process records that it runs."""
        for _ in range(round(seconds / ANSWER_S)):
            self.clock.advance(ANSWER_S)
            self.forwarder.pause_gate.detect()


class AnswerTimeTest(TestWithScenarios, TestCase):
    """Guards against a pause of this process that counts as the time of a server.

    Load pattern: requests in flight while the process is stopped for some seconds.
    """

    scenarios = [
        ("a pause", {"paused": True, "time_s": ANSWER_S}),
        ("a slow answer", {"paused": False, "time_s": 4.0}),
    ]

    def setUp(self):
        super().setUp()
        self.fixture = PauseFixture()
        self.fixture.forward(DEADLINE_S)
        if not self.paused:
            self.fixture.run_for(4.0)
        self.fixture.answer(4.0 if self.paused else 0.0)
        self.times = self.fixture.forwarder.times

    def test_slowness(self):
        self.assertEqual(self.paused, self.fixture.state.slowness < 1.1)

    def test_mean_time_of_server(self):
        is_unchanged = self.fixture.state.service_s < 1.1 * ANSWER_S
        self.assertEqual(self.paused, is_unchanged)

    def test_longest_time_of_route(self):
        found = self.times.routes["r"].longest_s
        self.assertAlmostEqual(self.time_s, found, delta=0.01)

    def test_answer_counts_as_success(self):
        self.assertEqual(200, self.fixture.outcome())
        self.assertEqual(self.fixture.clock.seconds(), self.fixture.state.answered_at)

    def test_object_is_warm(self):
        self.assertTrue(self.times.is_warm("s1", b"17"))


class FirstAnswerTest(TestCase):
    """Guards against a route that starts with the length of a pause as its time."""

    def test_no_time_is_known(self):
        fixture = ForwarderFixture([], names=("s1",))
        fixture.forward(DEADLINE_S)
        fixture.clock.advance(4.0)
        fixture.pool.waiting.callback(OK)
        self.assertIsNone(fixture.table.states["s1"].service_s)
        self.assertIsNone(fixture.forwarder.times.mean_time_s("r"))


class ConnectTest(TestWithScenarios, TestCase):
    """Guards against a pause that counts as the distance or a failure of a server.

    Load pattern: connections that open while the process is stopped for some seconds.
    """

    scenarios = [
        ("opened in a pause", {"paused": True, "failure": None}),
        ("opened slowly", {"paused": False, "failure": None, "round_trip_s": 2.0}),
        ("timed out in a pause", {"paused": True, "failure": TIMED_OUT}),
        ("timed out", {"paused": False, "failure": TIMED_OUT, "ejected": True}),
    ]
    round_trip_s = None
    ejected = False

    def test_state_of_server(self):
        fixture = ForwarderFixture([], names=("s1",))
        state = fixture.table.states["s1"]
        fixture.pool.connecting = connecting = Deferred()
        if self.failure:
            fixture.pool.script = [self.failure] * 5
        fixture.forward(DEADLINE_S)
        for _ in range(1 if self.paused else 8):
            fixture.clock.advance(2.0 if self.paused else 0.25)
            if not self.paused:
                fixture.forwarder.pause_gate.detect()
        fixture.pool.connecting = None
        connecting.callback(None)
        self.assertEqual(self.ejected, state.is_ejected(fixture.clock.seconds()))
        self.assertEqual(self.round_trip_s, state.round_trip_s)


class LostAnswerTest(TestWithScenarios, TestCase):
    """Guards against ejecting a server for a pause of this process.

    Load pattern: a request whose answer doesn't arrive, with and without a pause.
    """

    scenarios = [
        ("no answer in time, pause", {"paused": True, "loss": None}),
        ("no answer in time", {"paused": False, "loss": None, "ejected": True}),
        ("reset in a pause", {"paused": True, "loss": UNACKNOWLEDGED}),
        (
            "unacknowledged",
            {"paused": False, "loss": UNACKNOWLEDGED, "ejected": True},
        ),
    ]
    ejected = False
    WAIT_S = 4.0

    def test_ejection(self):
        fixture = PauseFixture()
        fixture.pool.script = []
        fixture.forward(fixture.clock.seconds() + self.WAIT_S)
        if self.paused:
            fixture.advance(self.WAIT_S - 0.1)
        else:
            fixture.run_for(self.WAIT_S - 0.1)
        if self.loss is None:
            fixture.run_for(1.0)
            self.assertEqual(ErrorKind.DEADLINE_EXCEEDED, fixture.outcome())
        else:
            fixture.answer(0.0, self.loss)
        now = fixture.clock.seconds()
        self.assertEqual(self.ejected, fixture.state.is_ejected(now))
