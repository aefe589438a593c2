from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from testtools import TestCase

from bench.deployments import blue_mahoe, reduced
from bench.soak import run_soak
from bench.soak_checks import late_work, max_moved
from bench.soak_faults import Leaving, plan_faults
from standins.server_history import ServerEvent

DOMAINS = ("kingston-1", "montego-1", "mandeville-1")
SHORT_TIMEOUT_FLAGS = (
    "--hold_ms=500",
    "--longest_deadline_ms=2000",
    "--lookup_lifetime_ms=1000",
)
SEED = 11
DURATION_S = 14.0


class SoakTest(TestCase):
    """The soak run and its checks."""

    def test_short_soak(self):
        # Guards against a guarantee that fails under two simultaneous faults.
        plan = reduced(blue_mahoe(), DOMAINS)
        with TemporaryDirectory() as directory:
            result = run_soak(
                plan, DURATION_S, SEED, Path(directory), SHORT_TIMEOUT_FLAGS
            )
        self.assertEqual([], result.violations, result.line())
        self.assertGreater(result.report.whole, 0)

    def test_plan_depends_on_the_seed_only(self):
        # Guards against a failed run that can't be reproduced.
        plans = [plan_faults(blue_mahoe(), 100.0, Random(x)) for x in (1, 1, 2)]
        self.assertEqual(plans[0], plans[1])
        self.assertNotEqual(plans[0], plans[2])
        for fault in plans[0]:
            self.assertLessEqual(fault.at + fault.lasts_s, 100.0)

    def test_window_count(self):
        # Guards against a cap check that misses an excess, or reports one when a fault
        # delays requests so that they arrive together.
        short_spans = [(x / 10, x / 10 + 0.05) for x in range(12)]
        self.assertEqual(10, max_moved(short_spans))
        long_spans = [(x / 10, 1.5) for x in range(12)]
        self.assertEqual(6, max_moved(long_spans))

    def test_late_work_count(self):
        # Guards against work on a leaving server that the check doesn't count.
        times = (0.5, 2.5, 4.0, 6.0)
        events = [
            ServerEvent(x, "a", 1, "received", "", "", "", "GET", "/", 0, 3, True)
            for x in times
        ]
        violations = late_work(events, [Leaving("a", 0.0, 5.0)])
        self.assertEqual(["a: 4.0 s after leaving"], violations)
