from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred

from ebonybend.clock import ManualClock
from ebonybend.control.health_client import Health, ProbeFailed
from ebonybend.control.prober import PROBES_AT_ONCE, Prober
from ebonybend.world import BackendServer, ServerState


class Source:
    """The health of one server; counts the probes that run concurrently."""

    running = 0
    most = 0

    def __init__(self):
        self.answer = Health("ready", 2, 4)
        self.gate = None

    async def ask(self, _timeout_s):
        Source.running += 1
        Source.most = max(Source.most, Source.running)
        try:
            if self.gate is not None:
                await self.gate
        finally:
            Source.running -= 1
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class ProberCase(TestCase):
    def setUp(self):
        super().setUp()
        Source.running = Source.most = 0
        self.clock = ManualClock()
        self.sources = {str(number): Source() for number in range(8)}
        self.changes = []
        self.prober = Prober(
            self.clock,
            self.sources.__getitem__,
            lambda name, state: self.changes.append((name, state)),
        )
        self.prober.set_servers(
            BackendServer(name, "rides", "k1", name, 4) for name in self.sources
        )
        self.round()
        self.changes.clear()

    def round(self):
        self.clock.advance(0.5)
        return Deferred.fromCoroutine(self.prober.round())

    def fail(self, names, refused=False):
        for name in names:
            self.sources[name].answer = ProbeFailed("no answer", refused)


class ProberTest(ProberCase):
    """Guards against marking servers down after one failed probe or a local fault."""

    def test_all_failing_at_once_keeps_the_last_state(self):
        self.fail(self.sources)
        for _ in range(6):
            self.round()
        self.assertEqual([], self.changes)
        self.assertTrue(self.prober.frozen)
        view = self.prober.view("0")
        self.assertIs(ServerState.READY, view.state)
        self.assertAlmostEqual(3.0, view.age_s)
        self.assertAlmostEqual(3.0, self.prober.newest_age_s())

    def test_one_lost_probe_is_not_a_lost_server(self):
        self.fail("3")
        self.round()
        self.assertEqual([], self.changes)
        self.round()
        self.assertEqual([("3", ServerState.DOWN)], self.changes)

    def test_last_servers_up_can_be_lost(self):
        self.fail([name for name in self.sources if name != "7"], refused=True)
        self.round()
        self.fail("7", refused=True)
        self.round()
        self.assertIs(ServerState.DOWN, self.prober.view("7").state)

    def test_few_probes_run_at_once(self):
        gate = Deferred()
        for source in self.sources.values():
            source.gate = gate
        done = self.round()
        self.assertEqual(PROBES_AT_ONCE, Source.most)
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
        self.round()
        self.assertEqual([("2", self.state)], self.changes)


class RefusedTest(ProberCase):
    """Guards against new requests to a server whose process has ended."""

    def test_refused_connection_is_down_at_once(self):
        self.fail("1", refused=True)
        self.round()
        self.assertEqual([("1", ServerState.DOWN)], self.changes)
