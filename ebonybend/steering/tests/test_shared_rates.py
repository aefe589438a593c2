from random import Random

from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.returns import ClientRetryDetector
from ebonybend.steering.routes import PartChooser, RouteTable
from ebonybend.steering.shared_rates import ColdPacer, RetryWindow
from ebonybend.world.route import Route, RoutePart

NODES = 7


class RetryWindowTest(TestWithScenarios, TestCase):
    """Guards against more retries than all nodes together may send."""

    scenarios = [
        ("no load", {"firsts_per_s": 0}),
        ("usual load", {"firsts_per_s": 15}),
        ("heavy load", {"firsts_per_s": 60}),
    ]

    def test_every_window_is_within_the_limit(self):
        ratio, slack, window_s = 0.2, 56, 10.0
        windows = [RetryWindow(ratio, slack, window_s) for _ in range(NODES)]
        retried_at = []
        for step in range(600):
            now = step * 0.05
            for window in windows:
                if (
                    step * self.firsts_per_s // 20
                    > (step - 1) * self.firsts_per_s // 20
                ):
                    window.record_first_send(now)
                while window.try_acquire(now, NODES):
                    retried_at.append(now)
        largest = max(
            sum(start <= at < start + window_s for at in retried_at)
            for start in retried_at
        )
        first_sends = self.firsts_per_s * window_s * NODES
        self.assertLessEqual(largest, ratio * first_sends + slack)
        self.assertGreater(largest, 0)


class RestartTest(TestCase):
    """Guards against a restarted process that uses its node's part a second time."""

    def test_restarted_nodes_stay_within_the_limit(self):
        ratio, slack, window_s = 0.2, 56, 10.0
        retried = 0
        for start in (0.0, 1.0, 2.0, 3.0):
            slack_from = start + window_s if start else float("-inf")
            windows = [
                RetryWindow(ratio, slack, window_s, slack_from) for _ in range(NODES)
            ]
            for window in windows:
                while window.try_acquire(start, NODES):
                    retried += 1
        self.assertLessEqual(retried, slack)
        self.assertTrue(windows[0].try_acquire(3.0 + window_s, NODES))


class ColdPacerTest(TestWithScenarios, TestCase):
    """Guards against a cold server that gets a higher rate than it can handle.

    Load pattern: a server that joins at the peak, when all nodes want to use it.
    """

    scenarios = [("few nodes", {"nodes": 7}), ("many nodes", {"nodes": 300})]

    def test_rate_of_all_nodes(self):
        rate, factor, slack = 16.0, 1.5, 5.0
        random = Random(1)
        pacers = [ColdPacer(random.random()) for _ in range(self.nodes)]
        sent = []
        for step in range(1500):
            now = step * 0.002
            for pacer in pacers:
                if pacer.ready(now, rate, self.nodes):
                    pacer.record_send(now, rate, self.nodes)
                    sent.append(now)
        largest = max(sum(start <= at < start + 1.0 for at in sent) for start in sent)
        self.assertLessEqual(largest, rate * factor + slack)
        self.assertGreater(len(sent), rate * 3.0 / 2)


def route(name, prefix, **parts):
    weights = tuple(RoutePart(service, weight) for service, weight in parts.items())
    return Route(name, "h.example", prefix, True, weights, 2, 1.0, 0.3, 1)


class RouteTableTest(TestWithScenarios, TestCase):
    """Guards against a request that is matched to the wrong route."""

    scenarios = [
        ("exact", {"path": "/a/", "found": "a"}),
        ("below", {"path": "/a/x", "found": "a"}),
        ("longest", {"path": "/a/b/x", "found": "ab"}),
        ("prefix ends inside a name", {"path": "/ab/x", "found": None}),
        ("no slash at the end", {"path": "/a", "found": None}),
        ("another host", {"path": "/a/", "host": "x.example", "found": None}),
        ("host in capitals", {"path": "/a/", "host": "H.Example", "found": "a"}),
    ]
    host = "h.example"

    def test_find(self):
        table = RouteTable([route("a", "/a/", s=1), route("ab", "/a/b/", s=1)])
        found = table.find(self.host, self.path)
        self.assertEqual(self.found, found and found.name)


class PartChooserTest(TestCase):
    """Guards against parts whose traffic differs from their weight."""

    def test_shares(self):
        chooser = PartChooser()
        split = route("r", "/", first=90.0, second=10.0)
        chosen = [chooser.choose(split).service for _ in range(100)]
        self.assertEqual(90, chosen.count("first"))


class ClientRetryDetectorTest(TestWithScenarios, TestCase):
    """Guards against refusing clients that already waited rather than new ones.

    Load pattern: most clients wait for 1.2 s, a few for longer, and some retry.
    """

    scenarios = [
        ("usual", {"deadline_s": 1.2, "is_retry": False}),
        ("patient", {"deadline_s": 3.0, "is_retry": False}),
        ("another common time", {"deadline_s": 0.6, "is_retry": False}),
        ("client retry", {"deadline_s": 0.937, "is_retry": True}),
    ]

    def test_is_client_retry(self):
        detector = ClientRetryDetector()
        for number in range(1000):
            detector.is_client_retry("r", 1.2)
            if number % 10 == 0:
                detector.is_client_retry("r", 3.0)
                detector.is_client_retry("r", 0.6)
                detector.is_client_retry("r", 0.8 + number / 10000)
        self.assertEqual(self.is_retry, detector.is_client_retry("r", self.deadline_s))
