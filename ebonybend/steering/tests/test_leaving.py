from math import inf

from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.leaving import (
    LIFETIME_S,
    MAX_PROCESSES,
    LeavingReport,
    LeavingServers,
)
from ebonybend.steering.server_state import ServerTable
from ebonybend.world import BackendServer, LifeState
from ebonybend.world.backend_server import ServerProcess

# Time between two nodes.
TRAVEL_S = 0.055
LISTED = BackendServer("s1", "s", "a-1", "1:1", 4, region="a", started_ms=7)
PROCESS = LISTED.process


class LeavingTableTest(TestWithScenarios, TestCase):
    """Guards against a list that makes a node forget that a server leaves."""

    scenarios = [
        ("the list still shows it as live", {"lists": [{"s1": 7}], "usable": 0}),
        ("its entry expires and returns", {"lists": [{}, {"s1": 7}], "usable": 0}),
        ("a new incarnation", {"lists": [{"s1": 8}], "usable": 1}),
        ("another server", {"lists": [{"s2": 7}], "usable": 1}),
        (
            "the old entry after the new one",
            {"lists": [{"s1": 8}, {"s1": 7}], "usable": 0},
        ),
    ]

    def test_usable(self):
        table = ServerTable()
        table.update({"s1": LISTED}, 0.0)
        table.record_leaving(PROCESS, 1.0)
        for started in self.lists:
            servers = {
                name: BackendServer(name, "s", "a-1", "1:1", 4, started_ms=started_ms)
                for name, started_ms in started.items()
            }
            table.update(servers, 2.0)
        self.assertEqual(self.usable, len(table.usable("s")))


class LeavingReportTest(TestCase):
    """Guards against a leaving server that only one node knows, or none forgets."""

    def test_all_leaving_servers_are_reported_in_turn(self):
        leaving = LeavingServers()
        processes = [ServerProcess(f"s{number}", 1) for number in range(5)]
        for process in processes:
            leaving.record(process, 0.0)
        told = LeavingServers()
        for _ in range(3):
            told.merge(leaving.reports(processes, 1.0, 2), 1.0)
        self.assertEqual(set(processes), set(told.stated_at))

    def test_only_what_the_list_still_names_is_reported(self):
        table = ServerTable()
        table.update({"s1": LISTED}, 0.0)
        table.leaving.record(PROCESS, 0.0)
        self.assertEqual(1, len(table.leaving_reports(0.0, 6)))
        draining = BackendServer(
            "s1", "s", "a-1", "1:1", 4, state=LifeState.LEAVING, started_ms=7
        )
        table.update({"s1": draining}, 0.0)
        self.assertEqual((), table.leaving_reports(0.0, 6))

    def test_reports_that_go_round_do_not_renew_one_another(self):
        nodes = [LeavingServers(), LeavingServers()]
        nodes[0].record(PROCESS, 0.0)
        for second in range(int(LIFETIME_S) + 10):
            for sender, receiver in (nodes, nodes[::-1]):
                reports = sender.reports([PROCESS], second, 6)
                receiver.merge(reports, second + TRAVEL_S)
        for node in nodes:
            node.record(ServerProcess("other"), LIFETIME_S + 20.0)
            self.assertNotIn(PROCESS, node)

    def test_memory_is_bounded(self):
        leaving = LeavingServers()
        for number in range(MAX_PROCESSES + 10):
            leaving.record(ServerProcess(f"s{number}"), 0.0)
        self.assertEqual(MAX_PROCESSES, len(leaving.stated_at))

    def test_malformed_age(self):
        leaving = LeavingServers()
        for age_ms in (-5.0, inf, 1e300):
            leaving.merge([LeavingReport("s1", 7, age_ms)], 10.0)
        self.assertEqual({PROCESS: 10.0}, leaving.stated_at)
