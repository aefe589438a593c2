from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.store.era import EraTracker


class EraTrackerTest(TestWithScenarios, TestCase):
    """Guards against answers of an earlier copy of the store that are believed.

    Each step is an era, the time at which it was asked for, and whether it counts.
    """

    scenarios = [
        ("no eras", {"steps": [(0, 0, True), (0, 1, True)], "era": 0, "changes": 0}),
        ("the first", {"steps": [(3, 0, True)], "era": 3, "changes": 0}),
        ("the next", {"steps": [(3, 0, True), (4, 1, True)], "era": 4, "changes": 1}),
        (
            "a late answer",
            {"steps": [(3, 0, True), (4, 1, True), (3, 1, False)], "era": 4},
        ),
        (
            "an answer without an era",
            {"steps": [(3, 0, True), (4, 1, True), (0, 2, True)], "era": 4},
        ),
        (
            "the count starts again",
            {
                "steps": [(3, 0, True), (4, 1, True), (1, 3, True)],
                "era": 1,
                "changes": 2,
            },
        ),
        (
            "the count starts again, then a late answer",
            {
                "steps": [(3, 0, True), (4, 1, True), (1, 3, True), (4, 3, True)],
                "era": 4,
                "changes": 3,
            },
        ),
    ]
    changes = 1

    def test_current(self):
        clock = ManualClock(0.0)
        tracker = EraTracker(clock.monotonic)
        changes = []
        tracker.on_change = lambda: changes.append(tracker.current)
        for era, asked_at, counts in self.steps:
            clock.now = asked_at + 0.5
            self.assertEqual(counts, tracker.record(era, asked_at))
        self.assertEqual(self.era, tracker.current)
        self.assertEqual(self.changes, len(changes))
