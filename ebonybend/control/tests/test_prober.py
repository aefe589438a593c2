from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred

from ebonybend.clock import ManualClock
from ebonybend.control.health_client import Health, ProbeFailed
from ebonybend.control.prober import MAX_CONCURRENT_PROBES, Prober
from ebonybend.world import BackendServer, ServerState


class HealthDouble:
    """The health of one server; counts the probes that run concurrently."""

    running = 0
    max_running = 0

    def __init__(self):
        self.answer = Health("ready", 2, 4)
        self.gate = None

    async def get_health(self, _timeout_s):
        HealthDouble.running += 1
        HealthDouble.max_running = max(HealthDouble.max_running, HealthDouble.running)
        try:
            if self.gate is not None:
                await self.gate
        finally:
            HealthDouble.running -= 1
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class ProberCase(TestCase):
    def setUp(self):
        super().setUp()
        HealthDouble.running = HealthDouble.max_running = 0
        self.clock = ManualClock()
        self.sources = {str(number): HealthDouble() for number in range(8)}
        self.changes = []
        self.prober = Prober(
            self.clock,
            self.sources.__getitem__,
            lambda name, state: self.changes.append((name, state)),
        )
        self.prober.set_servers(
            BackendServer(name, "rides", "k1", name, 4) for name in self.sources
        )
        self.run_round()
        self.changes.clear()

    def run_round(self):
        self.clock.advance(0.5)
        return Deferred.fromCoroutine(self.prober.run_round())

    def fail(self, names, refused=False):
        for name in names:
            self.sources[name].answer = ProbeFailed("no answer", refused)


class ProberTest(ProberCase):
    """Guards against marking servers down after one failed probe or a local fault."""

    def test_all_failing_at_once_keeps_the_last_state(self):
        self.fail(self.sources)
        for _ in range(6):
            self.run_round()
        self.assertEqual([], self.changes)
        self.assertTrue(self.prober.frozen)
        view = self.prober.view("0")
        self.assertIs(ServerState.READY, view.state)
        self.assertAlmostEqual(3.0, view.age_s)
        self.assertAlmostEqual(3.0, self.prober.last_answer_age_s())

    def test_one_failed_probe_does_not_mark_a_server_down(self):
        self.fail("3")
        self.run_round()
        self.assertEqual([], self.changes)
        self.run_round()
        self.assertEqual([("3", ServerState.DOWN)], self.changes)

    def test_last_servers_up_can_go_down(self):
        self.fail([name for name in self.sources if name != "7"], refused=True)
        self.run_round()
        self.fail("7", refused=True)
        self.run_round()
        self.assertIs(ServerState.DOWN, self.prober.view("7").state)

    def test_concurrent_probes_are_limited(self):
        gate = Deferred()
        for source in self.sources.values():
            source.gate = gate
        done = self.run_round()
        self.assertEqual(MAX_CONCURRENT_PROBES, HealthDouble.max_running)
        self.assertFalse(done.called)
        gate.callback(None)
        self.assertTrue(done.called)

    def test_removed_server_is_forgotten(self):
        self.prober.set_servers([BackendServer("9", "rides", "k1", "0", 4)])
        self.assertIs(ServerState.COLD, self.prober.view("0").state)


class HealthStateTest(TestWithScenarios, ProberCase):
    """Guards against a wrong mapping of health answers to server states."""

    scenarios = [
        ("draining", {"text": "draining", "state": ServerState.DRAINING}),
        ("cold", {"text": "cold", "state": ServerState.COLD}),
        ("unknown", {"text": "odd", "state": ServerState.COLD}),
    ]

    def test_state(self):
        self.sources["2"].answer = Health(self.text)
        self.run_round()
        self.assertEqual([("2", self.state)], self.changes)


class RefusedConnectionTest(ProberCase):
    """Guards against new requests to a server whose process has ended."""

    def test_refused_connection_is_down_at_once(self):
        self.fail("1", refused=True)
        self.run_round()
        self.assertEqual([("1", ServerState.DOWN)], self.changes)
