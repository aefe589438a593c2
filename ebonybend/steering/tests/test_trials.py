from random import Random

from attrs import evolve
from testscenarios import TestWithScenarios, multiply_scenarios
from testtools import TestCase

from ebonybend.steering.placement import TRIAL_PERIOD_S, Placement
from ebonybend.steering.server_state import ServerTable
from ebonybend.steering.service_times import MAX_SLOWNESS, RouteTimes, ServiceTimes
from ebonybend.steering.tests.test_placement import QUERY, ROUTE, SERVICE, server

ANSWER_S = 0.1
STEP_S = 0.01
# Time in which each node gets a request.
TURN_S = 0.1
URGENT = evolve(ROUTE, name="u", priority=1)
LESS_URGENT_QUERY = evolve(QUERY, urgent_route=URGENT)
URGENT_QUERY = evolve(LESS_URGENT_QUERY, route=URGENT, urgent_route=None)
UNSAFE = evolve(URGENT, name="w", idempotent=False)
UNSAFE_QUERY = evolve(URGENT_QUERY, route=UNSAFE)


class Fleet:
    """Some nodes that send requests in turn to the servers of one service."""

    def __init__(self, nodes, answer_s, queries):
        self.now = 100.0
        self.nodes = nodes
        self.queries = queries
        # The time that an answer takes, by server.
        self.answer_s = answer_s
        # Requests: when each was sent, to which server, by which route.
        self.sent = []
        self.refused = 0
        # Answers to come: the time, the node, the server and the route.
        self.running = []
        random = Random(5)
        self.placements = []
        for _ in range(nodes):
            table = ServerTable(random.random)
            table.update({name: server(name) for name in answer_s}, self.now)
            placement = Placement(table, ServiceTimes(), lambda: nodes)
            self.placements.append(placement)
            for state in table.states.values():
                for route in (ROUTE, URGENT, UNSAFE):
                    self.record_answer(placement, state, route.name, ANSWER_S)

    def record_answer(self, placement, state, route, seconds):
        state.record_success(seconds, self.now)
        placement.times.record_answer_time(
            route, state, b"17", seconds, False, self.now
        )

    def set_slowness(self, name, slowness):
        for placement in self.placements:
            placement.table.states[name].slowness = slowness

    def run(self, seconds, per_turn):
        """Send some requests a turn, by the nodes one after the other."""
        end, number, due = self.now + seconds, 0, 0.0
        while self.now < end:
            self.now += STEP_S
            due += per_turn * STEP_S / TURN_S
            while due >= 1.0:
                due -= 1.0
                number += 1
                self.send(
                    self.placements[number % self.nodes],
                    self.queries[number // self.nodes % len(self.queries)],
                )
            self.receive()

    def send(self, placement, query):
        state = placement.choose(query, self.now)
        if state is None:
            self.refused += 1
            return
        name = state.server.name
        placement.record_send(state, SERVICE, self.now)
        state.in_flight += 1
        self.sent.append((self.now, name, query.route.name))
        seconds = self.answer_s[name]
        self.running.append((self.now + seconds, placement, state, query, seconds))

    def receive(self):
        due = [x for x in self.running if x[0] <= self.now]
        self.running = [x for x in self.running if x[0] > self.now]
        for _, placement, state, query, seconds in due:
            state.in_flight -= 1
            self.record_answer(placement, state, query.route.name, seconds)

    def times(self, name):
        return [at for at, sent_to, _ in self.sent if sent_to == name]


class WrongEstimateTest(TestWithScenarios, TestCase):
    """Guards against a wrong estimate that keeps an idle server from all requests.

    Load pattern: a steady load on servers that seem slow and are sound. Nodes take
    turns, so one of them sends a request soon, and each within the turns of all.
    """

    # Nodes choose their turns at random.
    MAX_PERIODS = 3

    scenarios = multiply_scenarios(
        [
            ("one node", {"nodes": 1}),
            ("some nodes", {"nodes": 5}),
            ("many nodes", {"nodes": 24}),
        ],
        [
            ("not idempotent only", {"queries": [UNSAFE_QUERY], "waits": 2}),
            ("urgent only", {"queries": [URGENT_QUERY], "waits": 1}),
            ("less urgent", {"queries": [LESS_URGENT_QUERY], "waits": 0}),
        ],
        [
            ("alone", {"names": ["s1"]}),
            ("all of three", {"names": ["s1", "s2", "s3"]}),
        ],
    )

    def setUp(self):
        super().setUp()
        self.fleet = Fleet(self.nodes, dict.fromkeys(self.names, 0.1), self.queries)
        for name in self.names:
            self.fleet.set_slowness(name, MAX_SLOWNESS)
        self.wait_s = self.waits * TRIAL_PERIOD_S + TURN_S

    def test_first_request(self):
        start = self.fleet.now
        limit_s = self.MAX_PERIODS * TRIAL_PERIOD_S + self.wait_s
        self.fleet.run(limit_s + 0.5, self.nodes)
        self.assertLessEqual(self.fleet.sent[0][0] - start, limit_s)

    def test_every_node_learns_the_true_time(self):
        limit_s = TRIAL_PERIOD_S * self.nodes + self.wait_s
        self.fleet.run(limit_s + 0.5, self.nodes)
        for placement in self.fleet.placements:
            lowest = min(x.slowness for x in placement.table.states.values())
            self.assertLess(lowest, 1.5)


class SlowServerTest(TestWithScenarios, TestCase):
    """Guards against trials that flood a server which is slow indeed.

    Load pattern: a steady load on three servers, one of which is slow. Late answers
    matter most to urgent requests, and to those whose outcome is unknown then.
    """

    scenarios = multiply_scenarios(
        [
            ("one node", {"nodes": 1}),
            ("some nodes", {"nodes": 5}),
            ("many nodes", {"nodes": 24}),
        ],
        [("slow", {"slow_s": 0.5}), ("very slow", {"slow_s": 3.0})],
        [
            ("others less urgent", {"query": LESS_URGENT_QUERY, "kept": URGENT_QUERY}),
            ("others idempotent", {"query": URGENT_QUERY, "kept": UNSAFE_QUERY}),
        ],
    )
    SECONDS = 20.0

    def setUp(self):
        super().setUp()
        times = {"s1": 0.1, "s2": 0.1, "s3": self.slow_s}
        queries = [
            evolve(query, object_key=b"%d" % number)
            for number in range(30)
            for query in (self.query, self.kept)
        ]
        self.fleet = Fleet(self.nodes, times, queries)
        self.fleet.set_slowness("s3", self.slow_s / ANSWER_S)
        self.fleet.run(self.SECONDS, per_turn=max(self.nodes, 10))

    def test_rate_over_all_nodes(self):
        most = self.SECONDS / TRIAL_PERIOD_S + self.nodes
        self.assertLessEqual(len(self.fleet.times("s3")), most)

    def test_others_are_tried(self):
        tried = [route for _, name, route in self.fleet.sent if name == "s3"]
        self.assertEqual({self.query.route.name}, set(tried))


class RecoveryTest(TestCase):
    """Guards against avoiding a server for good that was slow for a time."""

    def test_used_again(self):
        queries = [
            evolve(LESS_URGENT_QUERY, object_key=b"%d" % number) for number in range(30)
        ]
        fleet = Fleet(4, {"s1": 0.1, "s2": 0.1, "s3": 1.0}, queries)
        fleet.run(10.0, per_turn=10)
        slow_until = fleet.now
        fleet.answer_s["s3"] = 0.1
        fleet.run(20.0, per_turn=10)
        later = [at for at in fleet.times("s3") if at > slow_until + 10.0]
        self.assertGreater(len(later), 0.2 * 1000)


class SlownessTest(TestWithScenarios, TestCase):
    """Guards against an estimate that many answers have to correct after a while."""

    scenarios = [
        ("recent", {"age_s": 0.1, "slowness": 9.1}),
        ("old", {"age_s": 5.0, "slowness": 1.0}),
        ("old, not slow", {"age_s": 5.0, "known": 1.5, "slowness": 1.45}),
    ]
    known = 10.0

    def test_slowness_after_an_answer(self):
        fleet = Fleet(1, {"s1": 0.1}, [])
        placement = fleet.placements[0]
        state = placement.table.states["s1"]
        state.slowness, state.slowness_at = self.known, fleet.now
        fleet.now += self.age_s
        fleet.record_answer(placement, state, ROUTE.name, ANSWER_S)
        self.assertAlmostEqual(self.slowness, state.slowness, delta=0.01)


class RestoredTimesTest(TestCase):
    """Guards against restored times of a route that keep its servers from requests."""

    def test_no_request_is_refused(self):
        fleet = Fleet(1, {"s1": 0.1}, [URGENT_QUERY])
        times = ServiceTimes()
        times.restore({URGENT.name: RouteTimes(5.0, 5.0, 5.0, 5.0)})
        fleet.placements[0].times = times
        fleet.run(1.0, per_turn=4)
        self.assertEqual(0, fleet.refused)
