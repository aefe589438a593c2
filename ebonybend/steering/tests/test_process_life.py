from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.process_life import REPORT_MARGIN_S, ProcessLife

END, TOLD, ALIVE = "end", "told", "alive"


class ProcessLifeTest(TestWithScenarios, TestCase):
    """Guards against one end that counts twice, and a new process taken for the old."""

    # Each event: when, what, and the time that it is about.
    scenarios = [
        ("nothing happened", {"events": ((1, ALIVE, 1),), "new": 0}),
        ("refused", {"events": ((1, END, 1),), "awaited": True}),
        ("refused again", {"events": ((1, END, 1), (2, END, 2)), "awaited": True}),
        ("came back", {"events": ((1, END, 1), (2, ALIVE, 2)), "returned_at": 2}),
        (
            "answered what was sent before",
            {"events": ((1, END, 1), (2, ALIVE, 0.9)), "awaited": True},
        ),
        (
            "told of the same end",
            {"events": ((1, END, 1), (2, ALIVE, 2), (3, TOLD, 1)), "returned_at": 2},
        ),
        (
            "told of the same end, late by the way",
            {"events": ((1, END, 1), (2, ALIVE, 2), (3, TOLD, 2.3)), "returned_at": 2},
        ),
        (
            "told of the next end",
            {
                "events": ((1, END, 1), (2, ALIVE, 2), (4, TOLD, 3)),
                "awaited": True,
                "new": 2,
            },
        ),
        (
            "ended twice",
            {
                "events": ((1, END, 1), (2, ALIVE, 2), (2.1, END, 2.1)),
                "awaited": True,
                "new": 2,
            },
        ),
        (
            "told of an earlier refusal than its own",
            {"events": ((2, END, 2), (3, TOLD, 1)), "awaited": True},
        ),
    ]
    awaited = False
    new = 1
    returned_at = None

    def test_ends(self):
        life, new = ProcessLife(), 0
        for now, event, about in self.events:
            if event is ALIVE:
                life.record_alive(about, now)
            else:
                new += life.record_end(about, REPORT_MARGIN_S if event is TOLD else 0)
        self.assertEqual((self.awaited, self.new), (life.is_awaited, new))
        if self.returned_at is not None:
            self.assertEqual(self.returned_at, life.returned_at)
