from testtools import TestCase

from bench.load import Operation
from bench.windows import max_in_window, recovery, useful_share


def operation(at, result="whole", client="c"):
    return Operation(
        "op", client, "r", "s", "GET", "/item", at, at + 0.1, 2000, result, ()
    )


class WindowsTest(TestCase):
    """Guards against checks that miss a violation."""

    def test_window_slides_and_leaves_out_its_start(self):
        times = [0.0, 0.5, 0.9, 0.95, 1.4]
        peak = max_in_window(times, 0.95)
        self.assertEqual((4, 1.4), (peak.count, peak.at))
        self.assertEqual(0, max_in_window([]).count)

    def test_recovery_ends_with_the_last_window_that_is_not_whole(self):
        operations = [operation(x / 20) for x in range(200)]
        operations[45] = operation(2.25, "unknown", "d")
        operations[60] = operation(3.0, "not_run", "e")
        recovered = recovery(operations, 2.0)
        self.assertEqual(
            (1.0, 2, 2),
            (recovered.seconds, recovered.callers, recovered.failed),
        )
        self.assertEqual(0.0, recovery(operations[:40], 0.5).seconds)

    def test_useful_share_counts_whole_answers_only(self):
        operations = [operation(x / 10) for x in range(10)]
        operations[5] = operation(0.5, "not_run")
        self.assertEqual(0.9, useful_share(operations, 0.0, 1.15, 1, 0.1) * 1.15)
