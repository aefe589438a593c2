from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.server_state import TrackedServer
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.world import BackendServer
from ebonybend.world.route import Route, RoutePart

ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    idempotent=True,
    parts=(RoutePart("s", 1.0),),
    max_sends=2,
    timeout_s=4.0,
    objective_s=0.6,
    priority=1,
)


class LikelyTimeTest(TestWithScenarios, TestCase):
    """Guards against a mean that hides how long some requests of a route take."""

    scenarios = [
        ("no answer yet", {"answers": [], "likely_s": 0.6}),
        ("like requests", {"answers": [0.2] * 50, "likely_s": 0.8}),
        ("a long one", {"answers": [0.2] * 50 + [2.5], "likely_s": 2.5}),
        (
            "a long one some time ago",
            {"answers": [2.5] + [0.2] * 500, "likely_s": 1.5},
        ),
        ("another route", {"answers": [2.5], "asked": "q", "likely_s": 0.6}),
    ]
    asked = "r"

    def test_time(self):
        times = ServiceTimes()
        server = TrackedServer(BackendServer("s1", "s", "a-1", "10.0.0.1:80", 4))
        for number, seconds in enumerate(self.answers):
            key = str(number % 7).encode()
            times.record_answer_time("r", server, key, seconds, False)
        likely_s = times.likely_time_s(evolve(ROUTE, name=self.asked))
        self.assertAlmostEqual(self.likely_s, likely_s, delta=0.2)
