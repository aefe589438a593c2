from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.node.lag import PATIENCE_S, PAUSE_S, LagDetector


class LagDetectorTest(TestWithScenarios, TestCase):
    """Guards against a node that serves stale state because its watch is dead."""

    scenarios = [
        ("same version", {"beats": [(0, 5, 5), (1, 5, 5)], "found": []}),
        ("just now", {"beats": [(0, 5, 7), (0.1, 5, 7)], "found": []}),
        ("lasting", {"beats": [(0, 5, 7), (PATIENCE_S, 5, 7)], "found": [PATIENCE_S]}),
        ("caught up", {"beats": [(0, 5, 7), (0.2, 7, 7), (1, 7, 8)], "found": []}),
        (
            "not again at once",
            {
                "beats": [
                    (0, 5, 7),
                    (1, 5, 7),
                    (1.5, 5, 7),
                    (1 + PAUSE_S, 5, 7),
                ],
                "found": [1, 1 + PAUSE_S],
            },
        ),
    ]

    def test_lag(self):
        detector = LagDetector()
        found = [
            now
            for now, own, told in self.beats
            if detector.is_behind("servers", own, told, now)
        ]
        self.assertEqual(self.found, found)
