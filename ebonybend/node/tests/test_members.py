from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.node.beats import encode_heartbeat
from ebonybend.node.members import (
    DATAGRAM_LIFETIME_S,
    HEARTBEAT_PERIOD_S,
    LIVENESS_TIMEOUT_S,
    MAX_LOCAL_RECIPIENTS,
    MAX_REMOTE_RECIPIENTS,
    Member,
    Members,
    ServerReports,
)
from ebonybend.node.tests.beat_double import heartbeat
from ebonybend.steering.crash_suspects import CrashReport, EndReport
from ebonybend.steering.crashes import (
    MAX_REPORTED_CRASHES,
    MAX_REPORTED_ENDS,
    MAX_REPORTED_SUSPECTS,
)
from ebonybend.steering.leaving import MAX_REPORTED_LEAVING, LeavingReport

# Budget for a node's control traffic in the two-year target, in bytes per second.
CONTROL_BYTES_PER_S = 11_000
# Longest time for which a dead node may be listed: the strictest limit of all sites.
MAX_LISTED_S = 6.0


def member(number, regions):
    region = f"region-{number % regions}"
    return Member(f"n{number}", f"{region}-a", region, "10.0.0.1:80", "10.0.0.1:81", 1)


def members(count, regions, own=0):
    membership = Members(member(own, regions))
    membership.update_list({f"n{i}": member(i, regions) for i in range(count)}, 0.0)
    return membership


class RoundRobinTest(TestWithScenarios, TestCase):
    """Guards against heartbeat traffic that grows with the square of the node count."""

    scenarios = [
        ("today", {"count": 7, "regions": 3}),
        ("after growth", {"count": 26, "regions": 3}),
        ("sweep", {"count": 300, "regions": 3}),
        ("in two years", {"count": 520, "regions": 10}),
    ]

    def test_recipients_of_one_period_are_bounded(self):
        local, remote = members(self.count, self.regions).recipients()
        names = {each.name for each in local + remote}
        self.assertEqual(len(local) + len(remote), len(names))
        self.assertLessEqual(len(local), MAX_LOCAL_RECIPIENTS)
        self.assertLessEqual(len(remote), MAX_REMOTE_RECIPIENTS)

    def test_control_traffic_stays_in_its_budget(self):
        kinds = ("config", "servers", "evacuations", "ebonybend-nodes")
        membership = members(self.count, self.regions)
        sent = heartbeat(
            membership.own,
            demand={f"service-{i}": 12_345 for i in range(4)},
            newest=dict.fromkeys(kinds, 123_456),
            era=3,
        )
        local, remote = membership.recipients()
        per_s = len(encode_heartbeat(sent)) * len(local + remote) / HEARTBEAT_PERIOD_S
        self.assertLess(per_s, CONTROL_BYTES_PER_S)

    def test_full_heartbeat_fits_into_a_datagram(self):
        name, started_ms = "i-0123456789", 1_764_909_355_000
        crashes = (f"{name}/{started_ms}",) * MAX_REPORTED_CRASHES
        suspects = CrashReport("f" * 32, crashes, 3, False, 1234.5)
        reports = ServerReports(
            suspects=(suspects,) * MAX_REPORTED_SUSPECTS,
            ended=(EndReport(name, started_ms),) * MAX_REPORTED_ENDS,
            leaving=(LeavingReport(name, started_ms, 12.5),) * MAX_REPORTED_LEAVING,
        )
        membership = members(self.count, self.regions)
        sent = heartbeat(
            membership.own,
            demand={f"service-{i}": 12_345 for i in range(4)},
            newest=dict.fromkeys(("config", "servers", "evacuations"), 123_456),
            reports=reports,
        )
        self.assertLess(len(encode_heartbeat(sent)), 1400)

    def test_every_node_is_reached_within_the_liveness_timeout(self):
        membership = members(self.count, self.regions)
        for number, group in enumerate(membership.local_and_remote_peers()):
            timeout_s = membership.liveness_timeout_s(group[0].region)
            reached = set()
            for _ in range(
                int((timeout_s - LIVENESS_TIMEOUT_S) / HEARTBEAT_PERIOD_S + 1.01)
            ):
                reached |= {each.name for each in membership.recipients()[number]}
            self.assertEqual(set(), {m.name for m in group} - reached)

    def test_dead_node_of_the_region_is_soon_unlisted(self):
        membership = members(self.count, self.regions)
        self.assertLessEqual(
            membership.liveness_timeout_s(membership.own.region), MAX_LISTED_S
        )


class AliveTest(TestCase):
    """Guards against clients that are directed to dead nodes."""

    def test_node_that_stops_sending(self):
        membership = members(7, 3)
        other = member(3, 3)
        membership.record_heartbeat(heartbeat(other), 10.0)
        self.assertIn(other, membership.ready_members(10.0 + LIVENESS_TIMEOUT_S, True))
        self.assertNotIn(
            other, membership.ready_members(10.1 + LIVENESS_TIMEOUT_S, True)
        )

    def test_node_that_is_not_ready(self):
        membership = members(7, 3)
        membership.record_heartbeat(heartbeat(member(3, 3), ready=False), 10.0)
        self.assertEqual([membership.own], membership.ready_members(10.0, True))

    def test_old_datagram_is_ignored(self):
        membership = members(7, 3)
        self.assertTrue(
            membership.record_heartbeat(heartbeat(member(3, 3), count=2), 10.0)
        )
        self.assertFalse(
            membership.record_heartbeat(heartbeat(member(3, 3), count=1), 11.0)
        )

    def test_restart_after_the_clock_was_set_back(self):
        membership = members(7, 3)
        other = member(3, 3)
        membership.record_heartbeat(heartbeat(other, incarnation=9000, count=5), 10.0)
        first = heartbeat(other, incarnation=5000, count=1)
        self.assertFalse(membership.record_heartbeat(first, 10.0 + DATAGRAM_LIFETIME_S))
        self.assertTrue(membership.record_heartbeat(first, 10.1 + DATAGRAM_LIFETIME_S))
        self.assertIn(other, membership.ready_members(12.0, True))
