from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.steering.restored import (
    ENTRY_LIFETIME_S,
    HeldEvacuations,
    RestoredServers,
)
from ebonybend.world import BackendServer, LifeState

LIVE = BackendServer("s1", "s", "a-1", "1:1", 4, started_ms=5)
LEAVING = evolve(LIVE, state=LifeState.LEAVING)
EARLIER = evolve(LIVE, started_ms=4, address="1:9")
LATER = evolve(LIVE, started_ms=6)


class RestoredServersTest(TestWithScenarios, TestCase):
    """Guards against an older copy that puts a node back behind what it knew.

    A server of the first list of an era, the one known before, and what is used.
    """

    scenarios = [
        ("the same", {"known": LIVE, "listed": LIVE, "used": LIVE}),
        ("leaves in the copy, too", {"known": LEAVING, "listed": LEAVING}),
        ("left since", {"known": LEAVING, "listed": LIVE, "used": LEAVING}),
        ("restarted since", {"known": LIVE, "listed": EARLIER, "used": LIVE}),
        ("restarted, leaves", {"known": LEAVING, "listed": EARLIER}),
        ("a later process", {"known": LIVE, "listed": LATER, "used": LATER}),
        ("gone since", {"gone": LIVE, "listed": LIVE, "used": None}),
        ("gone, an earlier process", {"gone": LIVE, "listed": EARLIER, "used": None}),
        ("gone, a later process", {"gone": LIVE, "listed": LATER, "used": LATER}),
        ("never known", {"listed": LIVE, "used": LIVE}),
        (
            "left since, written again",
            {"known": LEAVING, "listed": LIVE, "version": 8, "used": LIVE},
        ),
        (
            "gone, but lives and writes again",
            {"gone": LIVE, "listed": LIVE, "version": 8, "used": LIVE},
        ),
        (
            "gone, and still listed after the time of the store",
            {"gone": LIVE, "listed": LIVE, "after_s": ENTRY_LIFETIME_S, "used": LIVE},
        ),
    ]
    known = None
    gone = None
    used = LEAVING
    version = 7
    after_s = 1.0

    def test_used(self):
        known = {"s1": self.known} if self.known else {}
        gone = {"s1": self.gone} if self.gone else {}
        listed = {"s1": self.listed}
        restored = RestoredServers()
        restored.begin_era(known, gone, listed, {"s1": 7}, 10.0)
        versions = {"s1": self.version}
        found = restored.merge(known, listed, versions, 10.0 + self.after_s)
        self.assertEqual(self.used, found.get("s1"))


class RemovedEntryTest(TestCase):
    """Guards against holding a server whose entry the store has removed."""

    def test_removed_entry_is_not_held(self):
        restored = RestoredServers()
        restored.begin_era({"s1": LEAVING}, {}, {"s1": LIVE}, {"s1": 7}, 10.0)
        self.assertEqual({}, restored.merge({"s1": LEAVING}, {}, {}, 11.0))


class HeldEvacuationTest(TestWithScenarios, TestCase):
    """Guards against the end of an evacuation that only an older copy lacks."""

    scenarios = [
        ("listed", {"lists": [["a"]], "evacuated": {"a"}}),
        ("not listed", {"lists": [[]], "evacuated": {"a"}}),
        ("not listed for long", {"lists": [[]], "after_s": 4.1, "evacuated": set()}),
        ("written again, then taken back", {"lists": [["a"], []], "evacuated": set()}),
        ("another one", {"lists": [["b"]], "evacuated": {"a", "b"}}),
    ]
    after_s = 1.0

    def test_evacuated(self):
        clock = ManualClock()
        held = HeldEvacuations(clock.monotonic)
        held.begin_era({"a"}, [], 4.0)
        clock.advance(self.after_s)
        for listed in self.lists:
            found = held.merge(listed)
        self.assertEqual(self.evacuated, found)
