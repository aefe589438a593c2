from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.codec import pack
from ebonybend.node.members import (
    BEAT_PERIOD_S,
    DATAGRAM_LIFETIME_S,
    MOST_FAR,
    MOST_NEAR,
    SILENT_AFTER_S,
    Member,
    Members,
)
from ebonybend.node.tests.beat_double import beat

# Budget for a node's control traffic in the two-year target, in bytes per second.
CONTROL_BYTES_PER_S = 11_000
# Longest time for which a dead node may be listed, the strictest of all sites.
NAMED_S = 6.0


def member(number, regions):
    region = f"region-{number % regions}"
    return Member(f"n{number}", f"{region}-a", region, "10.0.0.1:80", "10.0.0.1:81", 1)


def members(count, regions, own=0):
    found = Members(member(own, regions))
    found.update_list({f"n{i}": member(i, regions) for i in range(count)}, 0.0)
    return found


class TurnsTest(TestWithScenarios, TestCase):
    """Guards against heartbeat traffic that grows with the square of the node count."""

    scenarios = [
        ("today", {"count": 7, "regions": 3}),
        ("once grown", {"count": 26, "regions": 3}),
        ("sweep", {"count": 300, "regions": 3}),
        ("in two years", {"count": 520, "regions": 10}),
    ]

    def test_beats_of_one_period_are_bounded(self):
        near, far = members(self.count, self.regions).recipients()
        names = {each.name for each in near + far}
        self.assertEqual(len(near) + len(far), len(names))
        self.assertLessEqual(len(near), MOST_NEAR)
        self.assertLessEqual(len(far), MOST_FAR)

    def test_control_traffic_stays_in_its_budget(self):
        kinds = ("config", "servers", "evacuations", "ebonybend-nodes")
        found = members(self.count, self.regions)
        sent = beat(
            found.own,
            demand={f"service-{i}": 12_345 for i in range(4)},
            newest=dict.fromkeys(kinds, 123_456),
        )
        near, far = found.recipients()
        per_s = len(pack(sent)) * len(near + far) / BEAT_PERIOD_S
        self.assertLess(per_s, CONTROL_BYTES_PER_S)

    def test_every_node_is_heard_before_it_counts_as_silent(self):
        found = members(self.count, self.regions)
        for number, group in enumerate(found.by_distance()):
            after_s = found.silent_after_s(group[0].region)
            told = set()
            for _ in range(int((after_s - SILENT_AFTER_S) / BEAT_PERIOD_S + 1.01)):
                told |= {each.name for each in found.recipients()[number]}
            self.assertEqual(set(), {m.name for m in group} - told)

    def test_dead_node_of_the_region_is_not_named_for_long(self):
        found = members(self.count, self.regions)
        self.assertLessEqual(found.silent_after_s(found.own.region), NAMED_S)


class AliveTest(TestCase):
    """Guards against clients that are directed to dead nodes."""

    def test_node_that_falls_silent(self):
        found = members(7, 3)
        other = member(3, 3)
        found.take_beat(beat(other), 10.0)
        self.assertIn(other, found.usable(10.0 + SILENT_AFTER_S, True))
        self.assertNotIn(other, found.usable(10.1 + SILENT_AFTER_S, True))

    def test_node_that_is_not_ready(self):
        found = members(7, 3)
        found.take_beat(beat(member(3, 3), ready=False), 10.0)
        self.assertEqual([found.own], found.usable(10.0, True))

    def test_old_datagram_is_ignored(self):
        found = members(7, 3)
        self.assertTrue(found.take_beat(beat(member(3, 3), count=2), 10.0))
        self.assertFalse(found.take_beat(beat(member(3, 3), count=1), 11.0))

    def test_restart_after_the_clock_was_set_back(self):
        found = members(7, 3)
        other = member(3, 3)
        found.take_beat(beat(other, incarnation=9000, count=5), 10.0)
        late = beat(other, incarnation=5000, count=1)
        self.assertFalse(found.take_beat(late, 10.0 + DATAGRAM_LIFETIME_S))
        self.assertTrue(found.take_beat(late, 10.1 + DATAGRAM_LIFETIME_S))
        self.assertIn(other, found.usable(12.0, True))
