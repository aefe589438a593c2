from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.server_state import (
    FAILURES_TO_EJECT,
    FIRST_EJECTION_S,
    LOAD_LIFETIME_S,
    TrackedServer,
)
from ebonybend.world import BackendServer

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
    ]

    def test_ejected(self):
        state = TrackedServer(SERVER)
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
                    state.in_flight += 1
                case "end":
                    state.in_flight -= 1
                case "answered":
                    state.record_success(0.1)
        self.assertEqual(self.ejected, state.is_ejected(now))


class LoadTest(TestWithScenarios, TestCase):
    """Guards against refusals because of requests that have finished long ago.

    Load pattern: a burst on all servers, each of which reports to one node at a time.
    """

    scenarios = [
        ("just reported", {"age_s": 0.0, "load": 9.0}),
        ("half as old", {"age_s": LOAD_LIFETIME_S / 2, "load": 5.0}),
        ("old", {"age_s": LOAD_LIFETIME_S, "load": 1.0}),
    ]

    def test_load(self):
        state = TrackedServer(SERVER, in_flight=1)
        state.record_load(running=4, waiting=5, now=10.0)
        self.assertAlmostEqual(self.load, state.load(10.0 + self.age_s))
