from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.closures import Closures


class ClosuresTest(TestWithScenarios, TestCase):
    """Guards against a fault of the network taken for the end of servers."""

    # Each closure: when, of which server, and whether its last connection was closed.
    scenarios = [
        (
            "both at once",
            {"closed": ((1.0, "s", False), (1.01, "s", True)), "at": 1.01},
        ),
        ("one of several", {"closed": ((1.0, "s", False), (1.01, "s", False))}),
        ("the only one", {"closed": ((1.0, "s", True),)}),
        ("one after the other", {"closed": ((1.0, "s", False), (1.3, "s", True))}),
        (
            "those of another server, too",
            {
                "closed": (
                    (1.0, "s", False),
                    (1.01, "t", False),
                    (1.02, "s", True),
                    (1.03, "t", True),
                )
            },
        ),
        (
            "one connection of another server",
            {
                "closed": ((1.0, "s", False), (1.01, "t", True), (1.02, "s", True)),
                "at": 1.02,
            },
        ),
    ]
    at = None

    def test_closed_all_alone(self):
        closures = Closures()
        for now, server, is_last in self.closed:
            closures.record(server, now, is_last)
        self.assertEqual(self.at, closures.closed_all_alone("s"))
