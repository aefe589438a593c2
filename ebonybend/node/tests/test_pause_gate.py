from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from ebonybend.node.pause_gate import CONFIRM_TIMEOUT_S, PAUSE_S, PauseGate

STEP_S = 0.01


class PauseGateTest(TestWithScenarios, TestCase):
    """Guards against requests that are sent by what was true before a pause.

    Load pattern: requests that arrived while the process was stopped for some seconds.
    """

    scenarios = [
        ("no pause", {"pause_s": 0.1, "held_s": 0.0, "confirms": 0}),
        ("a busy process", {"pause_s": PAUSE_S - 0.1, "held_s": 0.0, "confirms": 0}),
        ("a pause", {"pause_s": 3.0, "confirmed_after_s": 0.1, "held_s": 0.1}),
        ("the store is away", {"pause_s": 3.0, "held_s": CONFIRM_TIMEOUT_S}),
        (
            "confirmed before the pause only",
            {"pause_s": 3.0, "confirmed_after_s": -3.0, "held_s": CONFIRM_TIMEOUT_S},
        ),
    ]
    confirmed_after_s = None
    confirms = 1

    def test_held_until_confirmed(self):
        clock, asked = Clock(), []
        gate = PauseGate(
            clock, lambda: asked.append(clock.seconds()), self.is_confirmed_since
        )
        clock.advance(0.2)
        gate.detect()
        clock.advance(self.pause_s)
        self.clock, self.resumed_at = clock, clock.seconds()
        waiting = Deferred.fromCoroutine(gate.wait())
        held_s = 0.0
        while not waiting.called:
            clock.advance(STEP_S)
            held_s += STEP_S
        self.assertAlmostEqual(self.held_s, held_s, delta=0.03)
        self.assertEqual(self.confirms, len(asked))
        self.assertEqual(bool(self.confirms), gate.has_paused_since(0.2))

    def is_confirmed_since(self, time):
        if self.confirmed_after_s is None:
            return False
        confirmed_at = self.resumed_at + self.confirmed_after_s
        return time <= confirmed_at <= self.clock.seconds()
