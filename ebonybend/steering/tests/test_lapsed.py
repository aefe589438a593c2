from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.lapsed import (
    RECOVERY_GRACE_S,
    SETTLE_MARGIN_S,
    ExpiredServers,
)
from ebonybend.world import BackendServer, LifeState

OLD = BackendServer("old", "s", "a-1", "10.0.0.1:80", 4)
OTHER = BackendServer("other", "s", "a-1", "10.0.0.2:80", 4)
LEAVING = BackendServer("old", "s", "a-1", "10.0.0.1:80", 4, state=LifeState.LEAVING)
REUSED = BackendServer("new", "t", "a-1", "10.0.0.1:80", 4)
NOW = 10.0
SETTLE_S = 4.0


class ExpiredServersTest(TestWithScenarios, TestCase):
    """Guards against refusing all requests after an outage emptied the server list."""

    scenarios = [
        ("store was always available", {"returned_at": None, "kept": False}),
        ("store has just recovered", {"returned_at": NOW, "kept": True}),
        ("grace is over", {"returned_at": NOW - RECOVERY_GRACE_S, "kept": False}),
        ("was leaving", {"returned_at": NOW, "known": LEAVING, "kept": False}),
        ("address is reused", {"returned_at": NOW, "listed": REUSED, "kept": False}),
        (
            "another node reached the store throughout",
            {"returned_at": NOW, "other_since": NOW - RECOVERY_GRACE_S, "kept": False},
        ),
        (
            "another node reached it shortly before",
            {"returned_at": NOW, "other_since": NOW - 1.0, "kept": True},
        ),
        (
            "another node reached it before, and the store was always available",
            {"returned_at": None, "other_since": NOW, "kept": False},
        ),
        (
            "the node counts as settled soon",
            {
                "returned_at": NOW,
                "unavailable_at": NOW - SETTLE_S + SETTLE_MARGIN_S,
                "kept": False,
            },
        ),
    ]
    known = OLD
    listed = OTHER
    other_since = None
    unavailable_at = None

    def test_merge(self):
        expired = ExpiredServers()
        if self.returned_at is not None:
            unavailable_at = (
                self.returned_at if self.unavailable_at is None else self.unavailable_at
            )
            expired.record_store_recovery(self.returned_at, unavailable_at, SETTLE_S)
        if self.other_since is not None:
            expired.record_store_available_since(self.other_since)
        merged = expired.merge(
            {"old": self.known}, {self.listed.name: self.listed}, NOW
        )
        self.assertEqual(self.kept, "old" in merged)
        self.assertIn(self.listed.name, merged)
