from math import inf
from random import Random

from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.server_limits import (
    LIMIT_LIFETIME_S,
    LimitDivision,
    ServerLimit,
    limit_part,
)
from ebonybend.world import BackendServer

SERVER = BackendServer("s1", "history", "a-1", "10.0.0.1:80", 5, region="a")
REGIONS = ("a", "b", "c")
WINDOW_S = 4.0
# The bound on the requests of all nodes in a window.
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5.0
STEP_S = 0.01


def node_regions(count):
    return {f"n{i}": REGIONS[i % len(REGIONS)] for i in range(count)}


class LimitPartTest(TestWithScenarios, TestCase):
    """Guards against parts that together exceed a limit, or that nobody may use."""

    scenarios = [
        (f"{nodes} nodes, limit {limit}", {"nodes": nodes, "limit": limit})
        for nodes in (1, 2, 7, 35, 78, 520)
        for limit in (0.0, 0.3, 1.0, 4.5, 12.0, 80.0)
    ]

    def test_parts(self):
        regions = node_regions(self.nodes)
        parts = [limit_part(self.limit, SERVER, name, regions) for name in regions]
        rate = sum(part.rate for part in parts)
        self.assertAlmostEqual(max(self.limit, 0.1), rate)
        used = [part for part in parts if part.rate]
        in_window = WINDOW_S * rate + sum(part.burst for part in used)
        bound = LIMIT_FACTOR * WINDOW_S * self.limit + LIMIT_SLACK
        self.assertLessEqual(in_window, bound)

    def test_servers_without_nodes_in_their_region(self):
        regions = {"n1": "b", "n2": "c"}
        rates = [limit_part(6.0, SERVER, name, regions).rate for name in regions]
        self.assertEqual([3.0, 3.0], rates)


class SharedLimitTest(TestWithScenarios, TestCase):
    """Guards against a server that gets more requests than the limit that it names.

    Load pattern: clients want far more of a server than it takes, at a rate that rises
    from nothing at once, while nodes are restarted or can't reach the others.
    """

    scenarios = [
        ("two nodes", {"nodes": 2}),
        ("few nodes", {"nodes": 7}),
        ("many nodes", {"nodes": 78}),
        ("low limit", {"nodes": 7, "limit": 0.5}),
        ("a node is restarted", {"nodes": 7, "restarted_at": 10.0}),
        ("all demand on one node", {"nodes": 7, "only": "n0", "least": 0.2}),
    ]
    limit = 12.0
    restarted_at = inf
    only = ""
    # Least part of the limit that is used.
    least = 0.9

    def test_every_window_is_within_the_bound(self):
        random = Random(1)
        regions = node_regions(self.nodes)
        divisions = {name: LimitDivision(name, lambda: regions) for name in regions}
        limits = {name: ServerLimit(random.random()) for name in regions}
        sent = []
        for step in range(int(24.0 / STEP_S)):
            now = step * STEP_S
            if now < 8.0:
                continue
            if abs(now - self.restarted_at) < STEP_S / 2:
                limits["n1"] = ServerLimit(random.random())
            for name, limit in limits.items():
                if self.only not in ("", name):
                    continue
                limit.record_answer(self.limit, now)
                part = divisions[name].part(SERVER, limit.in_force(now))
                if limit.share.available(now, part.rate, part.burst) >= 1.0:
                    limit.share.take(now, part.rate, part.burst)
                    sent.append(now)
        largest = max(
            sum(start <= at < start + WINDOW_S for at in sent) for start in sent
        )
        bound = LIMIT_FACTOR * WINDOW_S * self.limit + LIMIT_SLACK
        self.assertLessEqual(largest, bound)
        self.assertGreaterEqual(len(sent), self.least * self.limit * 16.0)


class LimitLifetimeTest(TestCase):
    """Guards against a limit that outlives the time for which the server names it."""

    def test_limit_holds_while_named(self):
        limit = ServerLimit()
        self.assertEqual(inf, limit.in_force(0.0))
        self.assertTrue(limit.record_answer(12.5, 1.0))
        self.assertFalse(limit.record_answer(12.5, 2.0))
        self.assertEqual(12.5, limit.in_force(3.0))
        self.assertTrue(limit.record_answer(20.0, 3.0))
        self.assertEqual(20.0, limit.in_force(3.0))
        limit.record_answer(inf, 4.0)
        self.assertEqual(inf, limit.in_force(4.0))

    def test_a_node_without_a_part_asks_again(self):
        regions = node_regions(78)
        names = [n for n in regions if not limit_part(1.0, SERVER, n, regions).rate]
        self.assertGreater(len(names), 70)
        limit = ServerLimit()
        limit.record_answer(1.0, 0.0)
        self.assertEqual(1.0, limit.in_force(LIMIT_LIFETIME_S - 0.1))
        self.assertEqual(inf, limit.in_force(LIMIT_LIFETIME_S))

    def test_parts_follow_the_list_of_nodes(self):
        regions = [node_regions(2), node_regions(4)]
        known = [regions[0]]
        division = LimitDivision("n0", lambda: known[0])
        before = division.part(SERVER, 12.0)
        known[0] = regions[1]
        self.assertLess(division.part(SERVER, 12.0).rate, before.rate)
        other = evolve(SERVER, name="s2", region="b")
        self.assertLess(division.part(other, 12.0).rate, 12.0 / 4)
