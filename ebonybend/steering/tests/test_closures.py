from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.closures import Closures


class ClosuresTest(TestWithScenarios, TestCase):
    """Guards against a fault of the network taken for the end of servers."""

    # Each closure: when, of which server, whether the connection was in use, and
    # whether it was the last one.
    scenarios = [
        (
            "both",
            {"closed": ((1.0, "s", True, False), (1.01, "s", True, True)), "at": 1.01},
        ),
        (
            "two in use, and others",
            {
                "closed": (
                    (1.0, "s", True, False),
                    (1.0, "s", True, False),
                    (1.01, "s", False, True),
                ),
                "at": 1.01,
            },
        ),
        ("some", {"closed": ((1.0, "s", True, False), (1.01, "s", True, False))}),
        ("the only one", {"closed": ((1.0, "s", True, True),)}),
        (
            "one after the other",
            {"closed": ((1.0, "s", True, False), (1.3, "s", True, True))},
        ),
        ("idle ones", {"closed": ((1.0, "s", False, False), (1.01, "s", False, True))}),
        (
            "those of another server, too",
            {
                "closed": (
                    (1.0, "s", True, False),
                    (1.01, "t", True, True),
                    (1.02, "s", True, True),
                )
            },
        ),
        (
            "one of another server before",
            {
                "closed": (
                    (0.8, "t", True, True),
                    (1.0, "s", True, False),
                    (1.02, "s", True, True),
                ),
                "at": 1.02,
            },
        ),
    ]
    at = None

    def test_closed_all_alone(self):
        closures = Closures()
        for now, server, was_used, is_last in self.closed:
            closures.record(server, now, was_used, is_last)
        self.assertEqual(self.at, closures.closed_all_alone("s"))
        # It is one piece of evidence, and not evidence again.
        self.assertIsNone(closures.closed_all_alone("s"))
