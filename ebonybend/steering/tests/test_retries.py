from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.steering.retries import RetryBudget


class RetryBudgetTest(TestWithScenarios, TestCase):
    """Guards against retries that amplify an overload, and against having none."""

    scenarios = [
        ("quiet", {"rate": 0, "seconds": 10, "min_retries": 30, "max_retries": 33}),
        ("slow", {"rate": 5, "seconds": 10, "min_retries": 30, "max_retries": 38}),
        (
            "busy",
            {"rate": 1000, "seconds": 10, "min_retries": 900, "max_retries": 1033},
        ),
    ]

    def test_retries_over_time(self):
        clock = ManualClock()
        budget = RetryBudget(clock)
        granted = 0
        for _ in range(self.seconds * 100):
            clock.advance(0.01)
            for _ in range(self.rate // 100):
                budget.record_first_attempt()
            granted += budget.try_acquire()
            granted += budget.try_acquire()
        self.assertGreaterEqual(granted, self.min_retries)
        self.assertLessEqual(granted, self.max_retries)

    def test_idle_time_adds_no_budget(self):
        clock = ManualClock()
        budget = RetryBudget(clock)
        clock.advance(3600.0)
        self.assertEqual(3, sum(budget.try_acquire() for _ in range(10)))
