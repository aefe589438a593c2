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
        ("store was always available", {"recovered_at": None, "retained": False}),
        ("store has just recovered", {"recovered_at": NOW, "retained": True}),
        ("grace is over", {"recovered_at": NOW - RECOVERY_GRACE_S, "retained": False}),
        ("was leaving", {"recovered_at": NOW, "known": LEAVING, "retained": False}),
        (
            "address is reused",
            {"recovered_at": NOW, "listed": REUSED, "retained": False},
        ),
        (
            "another node reached the store throughout",
            {
                "recovered_at": NOW,
                "other_since": NOW - RECOVERY_GRACE_S,
                "retained": False,
            },
        ),
        (
            "another node reached it shortly before",
            {"recovered_at": NOW, "other_since": NOW - 1.0, "retained": True},
        ),
        (
            "another node reached it before, and the store was always available",
            {"recovered_at": None, "other_since": NOW, "retained": False},
        ),
        (
            "the node counts as settled soon",
            {
                "recovered_at": NOW,
                "unavailable_at": NOW - SETTLE_S + SETTLE_MARGIN_S,
                "retained": False,
            },
        ),
    ]
    known = OLD
    listed = OTHER
    other_since = None
    unavailable_at = None

    def test_merge(self):
        expired = ExpiredServers()
        if self.recovered_at is not None:
            unavailable_at = (
                self.recovered_at
                if self.unavailable_at is None
                else self.unavailable_at
            )
            expired.record_store_recovery(self.recovered_at, unavailable_at, SETTLE_S)
        if self.other_since is not None:
            expired.record_store_available_since(self.other_since)
        merged = expired.merge(
            {"old": self.known}, {self.listed.name: self.listed}, NOW
        )
        self.assertEqual(self.retained, "old" in merged)
        self.assertIn(self.listed.name, merged)
