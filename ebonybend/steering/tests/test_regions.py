from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.regions import (
    SHIFT_WINDOW_S,
    DemandMeter,
    RegionShares,
    SlotLossDetector,
    even_demand,
    next_target,
    target_shares,
)

KEYS = [b"object-%d" % number for number in range(2000)]


class TargetSharesTest(TestWithScenarios, TestCase):
    """Guards against objects that move without need, or to a region without capacity.

    Load pattern: a region with a third of the clients and a sixth of the slots, and
    load that moves between regions.
    """

    scenarios = [
        (
            "capacity in the own region",
            {"demand": {"k": 6}, "capacity": {"k": 10, "m": 20}, "local_share": 1.0},
        ),
        (
            "unknown demand",
            {"demand": {}, "capacity": {"k": 10, "m": 20}, "local_share": 1.0},
        ),
        (
            "excess moves",
            {"demand": {"k": 14}, "capacity": {"k": 10, "m": 20}, "local_share": 0.5},
        ),
        (
            "all regions are full",
            {
                "demand": {"k": 20, "m": 30},
                "capacity": {"k": 10, "m": 15},
                "local_share": 1.0,
            },
        ),
        (
            "more demand than slots",
            {
                "demand": {"k": 30, "m": 0},
                "capacity": {"k": 10, "m": 10},
                "local_share": 0.5,
            },
        ),
        (
            "no server in the own region",
            {"demand": {"k": 5}, "capacity": {"m": 10, "n": 30}, "local_share": 0.0},
        ),
    ]

    def test_target(self):
        shares = target_shares("k", self.demand, self.capacity)
        self.assertAlmostEqual(self.local_share, shares.get("k", 0.0), 6)
        self.assertAlmostEqual(1.0, sum(shares.values()), 6)


class RegionSharesTest(TestCase):
    """Guards against moving more requests than allowed, and against needless moves."""

    def moved_fraction(self, shares, steps, period_s):
        """Return the largest fraction of the objects that moved in one window."""
        target = {"k": 0.0, "m": 1.0}
        capacity = {"k": 10.0, "m": 10.0}
        before = {}
        largest = 0.0
        per_window = int(SHIFT_WINDOW_S / period_s)
        for step in range(steps):
            shares.move_toward(target, capacity, 0.15, step * period_s)
            assigned = {key: shares.region_of(key) for key in KEYS}
            if step % per_window == 0:
                changed = sum(before.get(k, p) != p for k, p in assigned.items())
                largest = max(largest, changed / len(KEYS))
                before = assigned
        return largest

    def test_change_in_a_window_is_bounded(self):
        self.assertLess(self.moved_fraction(RegionShares("k"), 60, 0.5), 0.15)

    def test_small_change_moves_few_objects(self):
        shares = RegionShares("k", {"k": 0.6, "m": 0.2, "n": 0.2})
        before = {key: shares.region_of(key) for key in KEYS}
        shares.shares = {"k": 0.58, "m": 0.22, "n": 0.2}
        changed = sum(shares.region_of(key) != before[key] for key in KEYS)
        self.assertLess(changed / len(KEYS), 0.05)

    def test_shares_are_right_before_the_first_request(self):
        """Load pattern: servers that start one by one before traffic begins."""
        shares = RegionShares("k")
        shares.move_toward({"m": 1.0}, {"m": 3.0}, 0.15, 0.0, in_use=False)
        shares.move_toward({"k": 1.0}, {"k": 9.0, "m": 9.0}, 0.15, 0.7, in_use=False)
        self.assertEqual({"k"}, {shares.region_of(key) for key in KEYS})

    def test_moves_at_once_when_no_region_in_use_has_capacity(self):
        shares = RegionShares("k", {"k": 1.0}, 0.0)
        shares.move_toward({"m": 1.0}, {"m": 10.0}, 0.15, 0.1)
        self.assertEqual({"m": 1.0}, shares.shares)

    def test_objects_of_lost_servers_move_at_once(self):
        """Load pattern: one of a region's two failure domains is evacuated."""
        shares = RegionShares("k", {"k": 1.0}, 0.0)
        shares.move_toward(
            {"k": 0.2, "m": 0.8}, {"k": 5.0, "m": 10.0}, 0.15, 0.0, True, 0.5
        )
        self.assertAlmostEqual(0.5, shares.shares["k"])


class StartTest(TestCase):
    """Guards against a region that is overloaded from the first second of traffic.

    Load pattern: equal traffic from each region, and most slots in one of them.
    """

    def test_shares_before_any_demand_is_known(self):
        capacity = {"k": 10.0, "m": 50.0}
        demand = even_demand({"k", "m"}, capacity)
        self.assertAlmostEqual(1 / 3, target_shares("k", demand, capacity)["k"])
        self.assertEqual({"m": 1.0}, target_shares("m", demand, capacity))


class ReturnTest(TestWithScenarios, TestCase):
    """Guards against objects that move back and forth and are cold each time.

    Load pattern: a demand that swings around the capacity of a region.
    """

    scenarios = [
        ("still too much", {"demand": 14, "own": 0.4, "expected": 0.4}),
        ("somewhat less", {"demand": 9, "own": 0.5, "expected": 0.5}),
        ("clearly less", {"demand": 5, "own": 0.5, "expected": 0.8}),
        ("very little", {"demand": 3, "own": 0.5, "expected": 1.0}),
        ("much more", {"demand": 28, "own": 0.5, "expected": 0.25}),
    ]

    def test_target(self):
        current = {"k": self.own, "m": 1 - self.own}
        demand, capacity = {"k": self.demand}, {"k": 10, "m": 90}
        target = next_target("k", current, demand, capacity)
        self.assertAlmostEqual(self.expected, target["k"], 6)

    def test_objects_leave_a_region_without_capacity(self):
        current = {"k": 0.5, "m": 0.5}
        target = next_target("k", current, {"k": 9}, {"k": 10, "n": 90})
        self.assertNotIn("m", target)


class SlotLossDetectorTest(TestWithScenarios, TestCase):
    """Guards against a region that keeps the load of servers that it lost."""

    scenarios = [
        ("first count", {"counts": [10], "lost": [0.0]}),
        ("half is lost", {"counts": [10, 5], "lost": [0.0, 0.5]}),
        ("reported once", {"counts": [10, 5, 5], "lost": [0.0, 0.5, 0.0]}),
        ("servers recover", {"counts": [5, 10], "lost": [0.0, 0.0]}),
        ("all are lost", {"counts": [10, 0], "lost": [0.0, 1.0]}),
        (
            "one server flaps",
            {"counts": [10, 5, 10, 5, 10, 5], "lost": [0.0, 0.5, 0.0, 0.0, 0.0, 0.0]},
        ),
        (
            "lost again after recovery",
            {"counts": [10, 5, 10, 10, 10, 10, 10, 5], "lost": [0, 0.5, *[0] * 5, 0.5]},
        ),
    ]

    def test_lost(self):
        detector = SlotLossDetector()
        lost = [
            detector.update(count, now * 1.0) for now, count in enumerate(self.counts)
        ]
        self.assertEqual(self.lost, lost)


class DemandMeterTest(TestCase):
    """Guards against a demand with a wrong rate, or one that outlasts the load."""

    def test_steady_rate(self):
        meter = DemandMeter()
        for step in range(1000):
            meter.add(0.05, step * 0.01)
        self.assertAlmostEqual(5.0, meter.read(10.0), delta=0.5)

    def test_falls_without_requests(self):
        meter = DemandMeter(slots=10.0, updated_at=0.0)
        self.assertEqual(0.0, meter.read(5.0))
