from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.refusal_trials import TrialRecord, is_trial_due, with_trial

NOW_MS = 1_700_000_000_000.0


class DueTest(TestWithScenarios, TestCase):
    """Guards against a refusal without end, and a culprit that is tried too often."""

    scenarios = [
        ("just crashed", {"since_crash_s": 19.0, "due": False}),
        ("the first", {"since_crash_s": 20.0, "due": True}),
        ("soon after the first", {"count": 1, "since_s": 599.0, "due": False}),
        ("the second", {"count": 1, "since_s": 600.0, "due": True}),
        (
            "the first one crashed a server",
            {"count": 1, "since_s": 600.0, "since_crash_s": 1.0, "due": False},
        ),
        ("a third", {"count": 2, "since_s": 86_400.0, "due": False}),
        ("the clock was set back", {"count": 1, "since_s": -60.0, "due": False}),
    ]
    count = 0
    since_s = 0.0
    since_crash_s = 1000.0

    def test_due(self):
        record = TrialRecord(self.count, int(NOW_MS - self.since_s * 1000))
        known = record if self.count else None
        self.assertEqual(self.due, is_trial_due(known, self.since_crash_s, NOW_MS))

    def test_next_record(self):
        self.assertEqual(TrialRecord(1, int(NOW_MS)), with_trial(None, NOW_MS))
        record = TrialRecord(1, 5)
        self.assertEqual(TrialRecord(2, int(NOW_MS)), with_trial(record, NOW_MS))
