from testtools import TestCase

from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.node.metrics import NodeMetrics

# What the readers of the users' platform keep of one answer.
KEPT_BYTES = 4096


class OrderTest(TestCase):
    """Guards against counts that are cut off behind the latency histograms."""

    def test_counts_come_first(self):
        metrics = NodeMetrics()
        error = SteeringError(ErrorKind.OVERLOADED, "no server has room")
        for number in range(20):
            metrics.record_outcome(f"r{number}", 503, error, 0.1)
        kept = metrics.render()[0][:KEPT_BYTES].decode()
        for name in ("suspects", "suspects_refused", "suspects_most_crashes"):
            self.assertIn(f"\nebonybend_{name} 0.0\n", kept)
        self.assertIn('ebonybend_refusals_total{kind="overloaded"} 20.0', kept)
