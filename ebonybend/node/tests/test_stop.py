from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.task import Clock

from ebonybend.node.stop import SERVING_FRACTION, NodeStop

GRACE_S = 6.0
STEP_S = 0.01


class StoppingNode:
    """A node's stop, with the number of its unfinished requests over time."""

    def __init__(self, unfinished):
        self.clock = Clock()
        self.grace_s = GRACE_S
        self.events = []
        self.unfinished = unfinished
        self.stop = NodeStop(
            self.clock,
            lambda: self.grace_s,
            lambda: self.record("announced"),
            self.close_ports,
            lambda: self.unfinished(self.clock.seconds()),
            lambda: self.record("ended"),
        )

    async def close_ports(self):
        self.record("ports closed")

    def record(self, event):
        self.events.append((event, round(self.clock.seconds(), 1)))

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)


class StopTest(TestWithScenarios, TestCase):
    """Guards against a planned stop that cuts off requests that were accepted.

    Load pattern: callers that go on sending, on connections that they know.
    """

    scenarios = [
        ("nothing to finish", {"until_s": 0.0, "ended_s": 3.7}),
        ("a request accepted at the end of serving", {"until_s": 5.0, "ended_s": 5.1}),
        ("a request without end", {"until_s": 99.0, "ended_s": 5.8}),
        ("a second SIGTERM", {"until_s": 5.0, "again_s": 1.0, "ended_s": 5.1}),
        (
            "a second SIGTERM after the ports are closed",
            {"until_s": 5.0, "again_s": 4.0, "ended_s": 5.1},
        ),
    ]
    again_s = None

    def test_ends_after_the_last_request(self):
        node = StoppingNode(lambda now: int(now < self.until_s))
        node.stop.begin()
        if self.again_s is not None:
            node.run(self.again_s)
            node.stop.begin()
        node.run(GRACE_S - node.clock.seconds())
        names = [name for name, _ in node.events]
        self.assertEqual(["announced", "ports closed", "ended"], names)
        times = dict(node.events)
        self.assertAlmostEqual(GRACE_S * SERVING_FRACTION, times["ports closed"], 1)
        self.assertAlmostEqual(self.ended_s, times["ended"], delta=0.11)
        self.assertLess(times["ended"], GRACE_S)


class LateRequestTest(TestWithScenarios, TestCase):
    """Guards against requests accepted late in a stop and cut off without an answer.

    Load pattern: clients keep sending on open connections until the process is gone.
    """

    scenarios = [
        ("before the stop", {"at_s": None, "likely_s": 36.0, "accepted": True}),
        ("early", {"at_s": 0.5, "likely_s": 4.0, "accepted": True}),
        ("early, too long", {"at_s": 0.5, "likely_s": 12.0, "accepted": False}),
        ("just early", {"at_s": 2.9, "likely_s": 1.2, "accepted": True}),
        ("late", {"at_s": 3.5, "likely_s": 4.0, "accepted": False}),
        ("late, short as a rule", {"at_s": 3.5, "likely_s": 1.2, "accepted": False}),
        (
            "late, ends by its deadline",
            {"at_s": 3.5, "likely_s": 4.0, "deadline_s": 2.0, "accepted": True},
        ),
        (
            "late, waited since before",
            {"at_s": 3.2, "waited_s": 0.5, "likely_s": 1.2, "accepted": True},
        ),
        ("after the ports closed", {"at_s": 5.0, "likely_s": 1.2, "accepted": False}),
        ("at the end", {"at_s": 5.75, "likely_s": 0.0, "accepted": False}),
    ]
    deadline_s = 15.0
    likely_s = 1.0
    waited_s = 0.0

    def test_accepted_only_if_it_can_end(self):
        node = StoppingNode(lambda now: 1)
        node.run(1.0)
        if self.at_s is not None:
            node.stop.begin()
            node.run(self.at_s)
        now = node.clock.seconds()
        accepted = node.stop.may_send(
            now - self.waited_s, now + self.deadline_s, self.likely_s
        )
        self.assertEqual(self.accepted, accepted)


class ChangedGraceTest(TestWithScenarios, TestCase):
    """Guards against a stop that outlasts a grace time that was shortened."""

    scenarios = [
        ("before the stop", {"changes_s": -1.0, "ended_s": 3.8}),
        ("during the stop", {"changes_s": 1.0, "ended_s": 5.8}),
    ]

    def test_end_of_a_request_without_end(self):
        node = StoppingNode(lambda now: 1)
        if self.changes_s < 0:
            node.grace_s = 4.0
        node.stop.begin()
        node.run(max(self.changes_s, 0.0))
        node.grace_s = 4.0
        node.run(GRACE_S)
        self.assertAlmostEqual(self.ended_s, dict(node.events)["ended"], delta=0.11)


class AbortTest(TestCase):
    """Guards against an operator who can't end a process that hangs."""

    def test_second_interrupt_ends_at_once(self):
        node = StoppingNode(lambda now: 1)
        node.stop.begin_or_abort()
        node.run(1.0)
        node.stop.begin_or_abort()
        self.assertEqual(("ended", 1.0), node.events[-1])
