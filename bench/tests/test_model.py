from testscenarios import TestWithScenarios
from testtools import TestCase

from bench.model.clock import SimulatedClock
from bench.model.play import play
from bench.model.world import PATTERNS, SMALL, Pattern, Trouble

SECONDS = 4.0
EARLY_BURST = Pattern("early burst", "", (Trouble("burst", 0.5, 3.0, 1.6),))


class SimulatedClockTest(TestCase):
    """Guards against calls that are made out of order, or after they were cancelled."""

    def test_calls_in_order(self):
        clock, made = SimulatedClock(), []
        clock.callLater(2.0, made.append, "second")
        clock.callLater(1.0, made.append, "first")
        clock.callLater(1.0, made.append, "also first")
        clock.callLater(1.5, made.append, "never").cancel()
        clock.callLater(3.0, made.append, "late")
        clock.run_until(2.5)
        self.assertEqual(["first", "also first", "second"], made)
        self.assertEqual(2.5, clock.seconds())


class PolicyTest(TestWithScenarios, TestCase):
    """Guards against a choice of servers that is no better than a simple one.

    Load patterns: a calm start, when all objects are cold, and a burst on top of it.
    """

    scenarios = [
        ("calm, random", {"pattern": PATTERNS["calm"], "baseline": "random"}),
        ("calm, two choices", {"pattern": PATTERNS["calm"], "baseline": "two-choices"}),
        ("burst, random", {"pattern": EARLY_BURST, "baseline": "random"}),
        ("burst, rendezvous", {"pattern": EARLY_BURST, "baseline": "rendezvous"}),
    ]

    def test_more_answers_on_time(self):
        node, other = (
            play(SMALL, self.pattern, policy, 1, SECONDS)
            for policy in ("node", self.baseline)
        )
        self.assertGreater(node.fraction("on_time"), other.fraction("on_time"))
        # A baseline whose requests all end in an error would always be worse.
        self.assertGreater(other.fraction("on_time"), 0.0)


class RepeatTest(TestCase):
    """Guards against plays that can't be repeated."""

    def test_same_seed_same_outcomes(self):
        outcomes = [
            play(SMALL, EARLY_BURST, "node", seed, 1.0).outcomes for seed in (5, 5, 6)
        ]
        self.assertEqual(outcomes[0], outcomes[1])
        self.assertNotEqual(outcomes[0], outcomes[2])
