from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.steering.crashes import CRASH_WINDOW_S, CRASHES_TO_REFUSE, CrashDetector


class CrashDetectorTest(TestCase):
    """Guards against a request that crashes one server after another."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.detector = CrashDetector(self.clock)

    def crash(self, server, *fingerprints):
        for fingerprint in fingerprints:
            self.detector.record_lost_request(server, fingerprint)
        self.clock.advance(0.1)
        self.detector.record_refused_connection(server)
        self.clock.advance(2.0)

    def test_refused_after_the_third_crash(self):
        for number in range(CRASHES_TO_REFUSE):
            self.assertFalse(self.detector.is_refused("bad"))
            self.crash(f"s{number}", "bad")
        self.assertTrue(self.detector.is_refused("bad"))

    def test_lost_answers_without_refusals_are_no_crash(self):
        for number in range(10):
            self.detector.record_lost_request(f"s{number}", "good")
            self.clock.advance(CRASH_WINDOW_S + 0.1)
            self.detector.record_refused_connection(f"s{number}")
        self.assertFalse(self.detector.has_suspects())

    def test_a_success_clears_requests_that_ran_beside_the_culprit(self):
        for number in range(CRASHES_TO_REFUSE):
            self.crash(f"s{number}", "bad", "good")
            self.detector.registry.record_success("good")
        self.assertFalse(self.detector.is_refused("good"))
        self.assertTrue(self.detector.is_refused("bad"))

    def test_other_nodes_refuse_reported_suspects(self):
        for number in range(CRASHES_TO_REFUSE):
            self.crash(f"s{number}", "bad")
        other = CrashDetector(self.clock)
        other.registry.merge(*self.detector.suspects_to_report())
        self.assertTrue(other.is_refused("bad"))
