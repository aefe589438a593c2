from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.node.lag import LAG_TOLERANCE_S, RELIST_INTERVAL_S, LagDetector


class LagDetectorTest(TestWithScenarios, TestCase):
    """Guards against a node that serves stale state because its watch is dead."""

    scenarios = [
        ("same version", {"heartbeats": [(0, 5, 5), (1, 5, 5)], "found": []}),
        ("just now", {"heartbeats": [(0, 5, 7), (0.1, 5, 7)], "found": []}),
        (
            "lasting",
            {
                "heartbeats": [(0, 5, 7), (LAG_TOLERANCE_S, 5, 7)],
                "found": [LAG_TOLERANCE_S],
            },
        ),
        ("caught up", {"heartbeats": [(0, 5, 7), (0.2, 7, 7), (1, 7, 8)], "found": []}),
        (
            "not again at once",
            {
                "heartbeats": [
                    (0, 5, 7),
                    (1, 5, 7),
                    (1.5, 5, 7),
                    (1 + RELIST_INTERVAL_S, 5, 7),
                ],
                "found": [1, 1 + RELIST_INTERVAL_S],
            },
        ),
    ]

    def test_lag(self):
        detector = LagDetector()
        found = [
            now
            for now, own, reported in self.heartbeats
            if detector.should_relist("servers", own, reported, now)
        ]
        self.assertEqual(self.found, found)
