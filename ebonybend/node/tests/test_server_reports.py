from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.node.server_reports import ServerReportExchange
from ebonybend.steering.crash_suspects import CRASHES_TO_REFUSE
from ebonybend.steering.crashes import CrashDetector
from ebonybend.steering.server_state import ServerTable
from ebonybend.world import BackendServer, LifeState

SERVER = BackendServer("s1", "s", "a-1", "1:1", 4, started_ms=5)


class Node:
    """The reports of one node about servers."""

    def __init__(self, clock):
        self.clock = clock
        self.detector = CrashDetector(clock)
        self.servers = ServerTable()
        self.told = []
        self.exchange = ServerReportExchange(
            self.servers,
            self.detector,
            clock.monotonic,
            lambda: self.told.append("crash"),
            lambda: self.told.append("refusal"),
        )

    def list(self, *servers):
        by_name = {server.name: server for server in servers}
        self.servers.update(by_name, self.clock.monotonic())
        self.exchange.apply_list(by_name)


class ListedEndTest(TestWithScenarios, TestCase):
    """Guards against a server that ends silently and is never counted as crashed.

    Its connections hang and nothing refuses, so only the list shows the end.
    """

    scenarios = [
        ("still listed", {"then": [SERVER], "crashes": 0}),
        ("its entry expired", {"then": []}),
        ("a new incarnation", {"then": [evolve(SERVER, started_ms=6)]}),
        ("another name", {"then": [evolve(SERVER, name="s2")]}),
        (
            "it leaves",
            {"then": [evolve(SERVER, state=LifeState.LEAVING)], "crashes": 0},
        ),
        ("it said that it leaves", {"says": True, "then": [], "crashes": 0}),
        ("it answered since", {"answers": True, "then": [], "crashes": 0}),
    ]
    says = False
    answers = False
    crashes = 1

    def test_crashes(self):
        node = Node(ManualClock())
        node.list(SERVER)
        node.detector.record_lost_request(SERVER.process, "bad")
        if self.says:
            node.servers.record_leaving(SERVER.process, node.clock.monotonic())
        if self.answers:
            node.detector.record_alive(SERVER.process, node.clock.monotonic())
        node.clock.advance(4.5)
        node.list(*self.then)
        suspect = node.detector.suspects.get("bad")
        self.assertEqual(self.crashes, len(suspect.crashes) if suspect else 0)


class ToldTest(TestCase):
    """Guards against a crash that other nodes learn late, or all nodes at each one."""

    def test_crashes_are_told_to_some_and_refusals_to_all(self):
        node = Node(ManualClock())
        for number in range(CRASHES_TO_REFUSE):
            server = evolve(SERVER, name=f"s{number}")
            node.list(server)
            node.detector.record_lost_request(server.process, "bad")
            node.list()
        self.assertEqual(["crash"] * (CRASHES_TO_REFUSE - 1) + ["refusal"], node.told)

    def test_the_end_of_a_process_is_told_once(self):
        clock = ManualClock()
        sender, receiver = Node(clock), Node(clock)
        clock.advance(1.0)
        for node in (sender, receiver):
            node.list(SERVER)
        sender.detector.record_end(SERVER.process)
        clock.advance(0.1)
        receiver.exchange.apply("n1", sender.exchange.build())
        state = receiver.servers.states[SERVER.name]
        self.assertTrue(state.life.is_awaited)
        clock.advance(0.5)
        now = clock.monotonic()
        receiver.servers.record_alive(SERVER.process, now, now)
        clock.advance(1.0)
        receiver.exchange.apply("n1", sender.exchange.build())
        self.assertIs(state, receiver.servers.states[SERVER.name])
        self.assertFalse(state.life.is_awaited)

    def test_reports_reach_the_other_node(self):
        clock = ManualClock()
        sender, receiver = Node(clock), Node(clock)
        self.assertIsNone(sender.exchange.build())
        for node in (sender, receiver):
            node.list(SERVER)
        receiver.detector.record_lost_request(SERVER.process, "bad")
        sender.detector.record_end(SERVER.process)
        sender.servers.record_leaving(SERVER.process, clock.monotonic())
        receiver.exchange.apply("n1", sender.exchange.build())
        self.assertEqual(["crash"], receiver.told)
        self.assertEqual([], receiver.servers.usable("s"))
        self.assertIsNone(Node(clock).exchange.build())
