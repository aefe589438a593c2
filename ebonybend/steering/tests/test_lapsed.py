from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.lapsed import RETURN_GRACE_S, LapsedServers
from ebonybend.world import BackendServer, LifeState

OLD = BackendServer("old", "s", "a-1", "10.0.0.1:80", 4)
OTHER = BackendServer("other", "s", "a-1", "10.0.0.2:80", 4)
LEAVING = BackendServer("old", "s", "a-1", "10.0.0.1:80", 4, state=LifeState.LEAVING)
REUSED = BackendServer("new", "t", "a-1", "10.0.0.1:80", 4)


class LapsedServersTest(TestWithScenarios, TestCase):
    """Guards against refusing all callers after an outage emptied the list."""

    scenarios = [
        ("store was never away", {"returned_at": None, "kept": False}),
        ("store has just returned", {"returned_at": 10.0, "kept": True}),
        ("grace is over", {"returned_at": 10.0 - RETURN_GRACE_S, "kept": False}),
        ("was leaving", {"returned_at": 10.0, "known": LEAVING, "kept": False}),
        ("address is reused", {"returned_at": 10.0, "listed": REUSED, "kept": False}),
    ]
    known = OLD
    listed = OTHER

    def test_merge(self):
        lapsed = LapsedServers()
        if self.returned_at is not None:
            lapsed.store_returned(self.returned_at)
        merged = lapsed.merge(
            {"old": self.known}, {self.listed.name: self.listed}, 10.0
        )
        self.assertEqual(self.kept, "old" in merged)
        self.assertIn(self.listed.name, merged)
