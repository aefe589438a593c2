from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.server_state import (
    FAILURES_TO_EJECT,
    FIRST_EJECTION_S,
    LOAD_LIFETIME_S,
    REPORT_LIFETIME_S,
    ServerTable,
    TrackedServer,
)
from ebonybend.world import BackendServer
from ebonybend.world.backend_server import ServerProcess

SERVER = BackendServer("s1", "s", "a-1", "10.0.0.1:80", 4)


class EjectionTest(TestWithScenarios, TestCase):
    """Guards against many clients that wait for a server that no longer answers.

    Load pattern: servers that lose power, and servers that fail one after another.
    """

    scenarios = [
        ("new", {"steps": (), "ejected": False}),
        ("one failure", {"steps": ("failed",), "ejected": False}),
        ("failures", {"steps": ("failed",) * FAILURES_TO_EJECT, "ejected": True}),
        ("silent", {"steps": ("silent",), "ejected": True}),
        ("pause is over", {"steps": ("silent", "wait"), "ejected": False}),
        (
            "trial request in flight",
            {"steps": ("silent", "wait", "send"), "ejected": True},
        ),
        (
            "trial fails",
            {"steps": ("silent", "wait", "send", "failed", "end"), "ejected": True},
        ),
        (
            "trial is answered",
            {"steps": ("silent", "wait", "send", "answered"), "ejected": False},
        ),
        (
            "a request from before still waits",
            {"steps": ("send", "silent", "wait"), "ejected": False},
        ),
        (
            "a request from before ends during the trial",
            {"steps": ("send", "silent", "wait", "send", "end"), "ejected": True},
        ),
    ]

    def test_ejected(self):
        state = TrackedServer(SERVER)
        sent = []
        now = 0.0
        for step in self.steps:
            match step:
                case "failed":
                    state.record_failure(now)
                case "silent":
                    state.record_unreachable(now, False)
                case "wait":
                    now += FIRST_EJECTION_S
                case "send":
                    sent.append(state.start_request())
                case "end":
                    state.end_request(sent.pop(0))
                case "answered":
                    state.record_success(0.1)
        self.assertEqual(self.ejected, state.is_ejected(now))


class PauseTest(TestWithScenarios, TestCase):
    """Guards against a node that forgets that a server asked for a pause."""

    scenarios = [
        ("kept", {"lists": [7], "paused": True}),
        ("its entry expires and returns", {"lists": [None, 7], "paused": True}),
        ("a new incarnation", {"lists": [8], "paused": False}),
        ("a new incarnation, late", {"lists": [None, 8], "paused": False}),
        ("its end", {"lists": [7], "now": 5.1, "paused": False}),
        ("a shorter one later", {"lists": [7], "then_s": 0.5, "paused": True}),
        ("none in a later answer", {"lists": [7], "then_s": 0.0, "paused": True}),
        ("a longer one later", {"then_s": 9.0, "now": 5.1, "paused": True}),
        (
            "an entry that is long gone",
            {"lists": [None, 7], "pause_s": 3600.0, "now": 999.0, "paused": True},
        ),
    ]
    lists = (7,)
    pause_s = 5.0
    then_s = 0.1
    now = 4.9

    def test_paused(self):
        table = ServerTable()
        table.update({"s1": evolve(SERVER, started_ms=7)}, 0.0)
        state = table.states["s1"]
        self.assertTrue(state.record_pause(self.pause_s, 0.0))
        self.assertFalse(state.record_pause(self.then_s, 0.0))
        for started_ms in self.lists:
            listed = evolve(SERVER, started_ms=started_ms or 0)
            table.update({"s1": listed} if started_ms else {}, self.now)
        self.assertEqual(self.paused, table.states["s1"].is_paused(self.now))


class SilenceTest(TestWithScenarios, TestCase):
    """Guards against a server that takes requests and never answers.

    Load pattern: 24 nodes, each of which sends such a server a request in 5 s.
    """

    scenarios = [
        ("a short wait", {"waited_s": 0.9, "ejected": False}),
        ("several times as long as expected", {"waited_s": 3.1, "ejected": True}),
        (
            "another request was answered meanwhile",
            {"waited_s": 3.1, "answered_after_s": 1.0, "ejected": False},
        ),
        (
            "another request was answered before",
            {"waited_s": 3.1, "answered_after_s": -0.1, "ejected": True},
        ),
    ]
    answered_after_s = None

    def test_ejected_after_one_request(self):
        state = TrackedServer(SERVER)
        sent_at = 10.0
        if self.answered_after_s is not None:
            state.record_success(0.5, sent_at + self.answered_after_s)
        now = sent_at + self.waited_s
        state.record_silence(now, sent_at, 0.5)
        self.assertEqual(self.ejected, state.is_ejected(now))


class ReportTest(TestWithScenarios, TestCase):
    """Guards against learning of a bad server anew on each node, and against nodes that
    make all others eject a good one.
    """

    scenarios = [
        ("one node", {"nodes": ("n1",), "ejected": False}),
        ("one node twice", {"nodes": ("n1", "n1"), "ejected": False}),
        ("two nodes", {"nodes": ("n1", "n2"), "ejected": True}),
        (
            "one node and an own failure",
            {"nodes": ("n1",), "fails": 1, "ejected": True},
        ),
        (
            "two nodes, long apart",
            {"nodes": ("n1", "n2"), "gap_s": REPORT_LIFETIME_S, "ejected": False},
        ),
        (
            "two nodes, but it answers this one",
            {"nodes": ("n1", "n2"), "answers": True, "ejected": False},
        ),
    ]
    fails = 0
    gap_s = 0.1
    answers = False

    def test_ejected(self):
        state = TrackedServer(SERVER)
        now = 10.0
        for _ in range(self.fails):
            state.record_failure(now)
        for node in self.nodes:
            now += self.gap_s
            if self.answers:
                state.record_success(0.1, now)
            state.record_report(node, now)
        self.assertEqual(self.ejected, state.is_ejected(now))


class SharedEvidenceTest(TestCase):
    """Guards against reports that keep a recovered server ejected."""

    def test_reports_are_not_passed_on(self):
        table = ServerTable()
        table.update({SERVER.name: SERVER}, 0.0)
        for node in ("n1", "n2"):
            table.record_reports(node, [SERVER.name, "unknown"], 1.0)
        state = table.states[SERVER.name]
        self.assertTrue(state.is_ejected(1.0))
        self.assertEqual((), table.ejected_servers(1.0, 9))
        # After its time the server is tried, whatever the others still report.
        now = 1.0 + FIRST_EJECTION_S
        table.record_reports("n1", [SERVER.name], now)
        table.record_reports("n2", [SERVER.name], now)
        self.assertFalse(state.is_ejected(now))
        state.record_success(0.1, now)
        self.assertEqual({}, state.reports)

    def test_own_evidence_is_reported_until_an_answer(self):
        table = ServerTable()
        table.update({SERVER.name: SERVER}, 0.0)
        state = table.states[SERVER.name]
        state.record_unreachable(0.0, False)
        self.assertEqual((SERVER.name,), table.ejected_servers(1.5, 9))
        self.assertEqual((), table.ejected_servers(1.5, 0))
        state.record_success(0.1, 1.6)
        self.assertEqual((), table.ejected_servers(1.7, 9))


class LoadTest(TestWithScenarios, TestCase):
    """Guards against refusals because of requests that have finished long ago.

    Load pattern: a burst on all servers, each of which reports to one node at a time.
    """

    scenarios = [
        ("just reported", {"age_s": 0.0, "load": 9.0}),
        ("half as old", {"age_s": LOAD_LIFETIME_S / 2, "load": 5.0}),
        ("old", {"age_s": LOAD_LIFETIME_S, "load": 1.0}),
        ("long requests", {"age_s": 1.0, "service_s": 1.0, "load": 5.0}),
        ("long requests, old", {"age_s": 2.0, "service_s": 1.0, "load": 1.0}),
    ]
    service_s = None

    def test_load(self):
        state = TrackedServer(SERVER, in_flight=1, service_s=self.service_s)
        state.record_load(running=4, waiting=5, now=10.0)
        self.assertAlmostEqual(self.load, state.load(10.0 + self.age_s))


class NextProcessTest(TestWithScenarios, TestCase):
    """Guards against a process that is taken for the one before under its name."""

    scenarios = [
        ("listed as before", {"then": SERVER, "cold_until": 13.0}),
        (
            "listed as a new one",
            {"then": evolve(SERVER, started_ms=2, cold_for_s=4.0), "cold_until": 15.0},
        ),
        (
            "listed as a new one, warm by its entry",
            {"then": evolve(SERVER, started_ms=2), "cold_until": 13.0},
        ),
        ("not listed, then as before", {"then": None, "cold_until": 13.0}),
    ]

    def test_what_ends_with_a_process(self):
        ended = []
        table = ServerTable(cold_s=lambda _: 3.0, on_next_process=ended.append)
        table.update({"s1": SERVER}, 0.0)
        old = table.states["s1"]
        old.start_request()
        old.record_load(4, 2, 8.0)
        old.record_unreachable(9.0, True)
        self.assertTrue(table.record_end(SERVER.process, 9.0))
        self.assertFalse(table.record_end(SERVER.process, 9.1))
        state = table.states["s1"]
        self.assertEqual([state], table.by_service["s"])
        self.assertTrue(table.is_current(state) and not table.is_current(old))
        self.assertEqual(0, state.load(9.1))
        self.assertTrue(state.is_ejected(9.1) and state.is_cold(9.1))
        self.assertFalse(table.record_alive(SERVER.process, 9.05, 9.2))
        self.assertTrue(table.record_alive(SERVER.process, 9.9, 10.0))
        self.assertEqual(["s1"], ended)
        if self.then is None:
            table.update({}, 11.0)
        table.update({"s1": self.then or SERVER}, 11.0)
        state = table.states["s1"]
        self.assertEqual(self.cold_until, state.cold_until)
        self.assertFalse(table.record_end(ServerProcess("s1", 7), 12.0))

    def test_nothing_is_known_of_others(self):
        table = ServerTable()
        self.assertFalse(table.record_end(SERVER.process, 1.0))
        self.assertFalse(table.record_alive(SERVER.process, 1.0, 1.0))
