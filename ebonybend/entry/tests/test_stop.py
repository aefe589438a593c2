from testtools import TestCase
from twisted.internet.defer import succeed
from twisted.internet.task import Clock as FakeReactor

from ebonybend.entry.serving import Activity
from ebonybend.entry.stop import GracefulStop
from ebonybend.entry.tests.harness import ReactorClock, settings
from ebonybend.errors import SteeringError

LIFETIME_S = 5.0
LONGEST_S = 5.0


class GracefulStopTest(TestCase):
    """Guards against a stop that aborts requests or never ends."""

    def setUp(self):
        super().setUp()
        self.reactor = FakeReactor()
        self.reactor.advance(1000.0)
        self.activity = Activity(900.0)
        self.unfinished = 0
        self.log = []
        self.stop = GracefulStop(
            self.reactor,
            settings(),
            ReactorClock(self.reactor),
            self.activity,
            lambda: self.unfinished,
            lambda: self.log.append("announce"),
            lambda: self.log.append("refuse"),
            lambda: succeed(self.log.append("hand over")),
            self.log.append,
        )

    def advance(self, seconds):
        for _ in range(round(seconds * 20)):
            self.reactor.advance(0.05)

    def test_waits_until_no_lookup_can_list_the_instance(self):
        self.stop.request()
        self.advance(LIFETIME_S - 0.1)
        self.assertEqual(["announce"], self.log)
        self.activity.begin(self.reactor.seconds(), True)
        self.activity.in_flight -= 1
        self.advance(LIFETIME_S - 0.1)
        self.assertEqual(["announce"], self.log)
        self.advance(0.3)
        self.assertEqual(["announce", "refuse", "hand over", 0], self.log)

    def test_request_in_flight_is_waited_for(self):
        self.unfinished = 1
        self.stop.request()
        self.advance(LIFETIME_S + LONGEST_S + 0.2)
        self.assertEqual(["announce", "refuse"], self.log)
        self.assertRaises(SteeringError, self.activity.begin, 0.0, True)
        self.activity.begin(self.reactor.seconds(), False)
        self.unfinished = self.activity.in_flight = 0
        self.advance(0.1)
        self.assertEqual(0, self.log[-1])

    def test_second_request_ends_at_once(self):
        self.activity.in_flight = 1
        self.stop.request()
        self.stop.request()
        self.assertEqual(["announce", 1], self.log)
