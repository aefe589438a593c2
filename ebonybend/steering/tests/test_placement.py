from heapq import heappop, heappush
from random import Random

from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.placement import (
    LOAD_LIMIT,
    URGENT_LOAD_LIMIT,
    Placement,
    PlacementQuery,
    capacity_by_region,
    rendezvous_weight,
)
from ebonybend.steering.server_state import ServerTable
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.world import BackendServer, LifeState
from ebonybend.world.route import Route, RoutePart, ServiceLimits

SLOTS = 10
SERVICE = ServiceLimits("history", 100, 3.0, 16.0)
ROUTE = Route(
    name="ride-history",
    host="h",
    prefix="/",
    idempotent=True,
    parts=(RoutePart("history", 1.0),),
    max_sends=2,
    timeout_s=0.8,
    objective_s=0.3,
    priority=2,
    sticky=True,
)
URGENT = evolve(ROUTE, name="defect-report", objective_s=0.2, priority=1)
QUERY = PlacementQuery(
    service=SERVICE, route=ROUTE, object_key=b"17", region="kingston"
)


def server(name, region="kingston", **changes):
    base = BackendServer(name, "history", f"{region}-a", "10.0.0.1:80", SLOTS)
    return evolve(base, region=region, **changes)


def placement(*servers):
    table = ServerTable()
    table.update({s.name: s for s in servers}, 0.0)
    return Placement(table, ServiceTimes())


def preference_order(chooser, names):
    """Return the states of servers in the object's order of preference."""
    ordered = sorted(
        names, key=lambda name: rendezvous_weight(b"17", name), reverse=True
    )
    return [chooser.table.states[name] for name in ordered]


class PreferredServerTest(TestCase):
    """Guards against objects that run on all servers and so are warm on none.

    Load pattern: a burst of requests for some dozens of objects, cold on all servers.
    """

    def setUp(self):
        super().setUp()
        self.placement = placement(*(server(f"s{i}") for i in range(4)))
        for state in self.placement.table.states.values():
            state.service_s = 0.05
        self.order = preference_order(self.placement, self.placement.table.states)

    def choose(self, query=QUERY):
        state = self.placement.choose(query, 0.0)
        return state and state.server.name

    def test_preferred_server_while_it_has_capacity(self):
        for load in (0, SLOTS, SLOTS + 1):
            self.order[0].in_flight = load
            self.assertEqual(self.order[0].server.name, self.choose())

    def test_refused_rather_than_sent_to_another_busy_server(self):
        self.order[0].in_flight = int(SLOTS * URGENT_LOAD_LIMIT)
        for state in self.order[1:]:
            state.in_flight = SLOTS - 1
        self.assertIsNone(self.choose())

    def test_least_loaded_server_runs_what_exceeds_the_preferred_one(self):
        self.order[0].in_flight = int(SLOTS * URGENT_LOAD_LIMIT)
        for state, load in zip(self.order[1:], (7, 5, 6), strict=True):
            state.in_flight = load
        self.assertEqual(self.order[2].server.name, self.choose())

    def test_all_nodes_agree_without_messages(self):
        other = placement(*(server(f"s{i}") for i in reversed(range(4))))
        self.assertEqual(self.choose(), other.choose(QUERY, 0.0).server.name)


class LoadLimitTest(TestWithScenarios, TestCase):
    """Guards against late answers to requests that queued behind others.

    Load pattern: short urgent requests and long less urgent ones on one service.
    """

    scenarios = [
        ("free slot", {"load": SLOTS - 1, "accepted": True}),
        ("short wait", {"load": SLOTS + 2, "accepted": True}),
        ("late", {"load": SLOTS + 8, "mean_s": 0.3, "accepted": False}),
        ("less urgent", {"load": int(SLOTS * LOAD_LIMIT), "urgent": False}),
        ("urgent", {"load": int(SLOTS * LOAD_LIMIT), "urgent": True, "accepted": True}),
        (
            "client retry with time remaining",
            {
                "load": int(SLOTS * LOAD_LIMIT),
                "urgent": False,
                "retry_remaining_s": 0.5,
                "accepted": True,
            },
        ),
        (
            "client retry at a long queue",
            {
                "load": 2 * SLOTS,
                "urgent": False,
                "retry_remaining_s": 0.8,
                "accepted": True,
            },
        ),
        (
            "first attempt at a long queue",
            {"load": 2 * SLOTS, "urgent": False, "objective_s": 0.8},
        ),
        ("slow server", {"load": 0, "slowness": 10.0, "accepted": False}),
        (
            "remote and slow",
            {"load": 0, "slowness": 2.5, "round_trip_s": 0.1, "accepted": False},
        ),
    ]
    urgent = True
    accepted = False
    mean_s = 0.05
    slowness = 1.0
    round_trip_s = 0.0
    retry_remaining_s = None
    objective_s = ROUTE.objective_s

    def test_accepted_within_the_load_limit(self):
        chooser = placement(server("s0"))
        state = chooser.table.states["s0"]
        chooser.times.record_answer_time("ride-history", state, b"17", 0.07, False)
        state.service_s = self.mean_s
        state.in_flight = self.load
        state.slowness = self.slowness
        state.round_trip_s = self.round_trip_s
        query = evolve(
            QUERY,
            urgent_route=None if self.urgent else URGENT,
            retry_remaining_s=self.retry_remaining_s,
            route=evolve(ROUTE, objective_s=self.objective_s),
        )
        self.assertEqual(self.accepted, chooser.choose(query, 0.0) is not None)


class UnknownTimesTest(TestCase):
    """Guards against queues on servers whose service times are unknown.

    Load pattern: the first second of traffic, when every object is cold.
    """

    def test_no_queue_before_the_first_answer(self):
        chooser = placement(server("s0"))
        chooser.table.states["s0"].in_flight = SLOTS + 2
        self.assertIsNone(chooser.choose(QUERY, 0.0))
        delay_s = chooser.retry_after_s(QUERY, 0.0)
        self.assertGreaterEqual(delay_s, ROUTE.objective_s / SLOTS)


class UrgentRouteTest(TestWithScenarios, TestCase):
    """Guards against long requests that delay short urgent ones past their objective.

    Load pattern: requests of 144 ms with an objective of 150 ms, and ones of 880 ms.
    """

    scenarios = [
        (
            "short queue for urgent requests",
            {"mean_s": 0.02, "limit": SLOTS * LOAD_LIMIT},
        ),
        ("queue of some requests", {"mean_s": 0.35, "limit": SLOTS + 2}),
        ("no queue", {"mean_s": 5.0, "limit": SLOTS + 0.14}),
        ("slow server", {"mean_s": 0.35, "slowness": 3.0, "limit": SLOTS - 1}),
    ]
    slowness = 1.0

    def test_load_limit_keeps_urgent_requests_on_time(self):
        chooser = placement(server("s0"))
        state = chooser.table.states["s0"]
        chooser.times.record_answer_time("defect-report", state, b"17", 0.1, False)
        chooser.times.record_answer_time("defect-report", state, b"17", 0.1, False)
        state.service_s = self.mean_s
        state.slowness = self.slowness
        limit = chooser._load_limit(state, evolve(QUERY, urgent_route=URGENT))
        self.assertAlmostEqual(self.limit, limit, delta=0.01)


class UnusableServersTest(TestWithScenarios, TestCase):
    """Guards against requests to servers that must not get any."""

    scenarios = [
        ("leaving", {"changes": {"state": LifeState.LEAVING}}),
        ("another service", {"changes": {"service": "signoff"}}),
        ("evacuated", {"evacuated": ["kingston-a"]}),
        ("not in a home region", {"homes": ("montego",)}),
        ("cold and just sent a request", {"cold": True}),
        ("already tried", {"excluded": ["s0"]}),
    ]
    changes = {}
    evacuated = ()
    homes = ()
    excluded = ()
    cold = False

    def test_not_used(self):
        chooser = placement(server("s0", **self.changes))
        chooser.table.set_evacuated(self.evacuated, {}, 0.0)
        if self.cold:
            state = chooser.table.states["s0"]
            state.cold_until = 3.0
            state.pacer.record_send(0.0, 16.0, 7)
        route = evolve(ROUTE, home_regions=self.homes)
        query = evolve(QUERY, route=route, excluded=self.excluded)
        self.assertIsNone(chooser.choose(query, 0.0))


class RegionTest(TestCase):
    """Guards against refusing all requests of a region without usable servers."""

    def test_another_region_takes_over(self):
        chooser = placement(server("far", region="montego"))
        self.assertEqual("far", chooser.choose(QUERY, 0.0).server.name)

    def test_unreachable_region_gets_no_requests(self):
        """Load pattern: a region is cut off, and its servers fail one by one."""
        local = [f"s{i}" for i in range(4)]
        chooser = placement(*map(server, local), server("far", region="montego"))
        for name in local:
            chooser.table.states[name].record_unreachable(0.0, False)
        self.assertEqual("far", chooser.choose(QUERY, 0.1).server.name)
        self.assertEqual(
            {"montego": SLOTS}, capacity_by_region(chooser.table, "history", 0.1)
        )

    def test_all_servers_unreachable(self):
        """Load pattern: the node itself is cut off, while the servers are healthy."""
        chooser = placement(server("s0"), server("s1"))
        for state in chooser.table.states.values():
            state.record_unreachable(0.0, False)
        self.assertIsNotNone(chooser.choose(QUERY, 0.1))

    def test_idle_remote_server_helps_a_full_region(self):
        chooser = placement(server("near"), server("far", region="montego"))
        chooser.table.states["near"].in_flight = SLOTS * 3
        self.assertEqual("far", chooser.choose(QUERY, 0.0).server.name)
        chooser.table.states["far"].in_flight = SLOTS - 1
        self.assertIsNone(chooser.choose(QUERY, 0.0))


class OverloadTest(TestWithScenarios, TestCase):
    """Guards against overload that spreads objects, so that they cool on all servers.

    Load pattern: for some seconds more requests than slots, for some hundreds of
    objects, from callers that all have the same patience.
    """

    scenarios = [
        ("at the capacity", {"rate": 1.0}),
        ("slightly over the capacity", {"rate": 1.2}),
        ("far over the capacity", {"rate": 1.6}),
    ]
    objects = 240
    answer_s = 0.1
    settled_s = 1.0
    seconds = 4.0
    min_preferred_fraction = 0.9

    def test_objects_stay_on_their_preferred_server(self):
        random = Random(3)
        names = [f"s{number}" for number in range(6)]
        chooser = placement(*map(server, names))
        arrivals_per_s = self.rate * len(names) * SLOTS / self.answer_s
        now, running, preferred = 0.0, [], []
        while now < self.seconds:
            now += random.expovariate(arrivals_per_s)
            while running and running[0][0] <= now:
                ended_at, _, state, key, queued = heappop(running)
                state.in_flight -= 1
                state.record_success(self.answer_s, ended_at)
                chooser.times.record_answer_time(
                    ROUTE.name, state, key, self.answer_s, queued
                )
            key = b"%d" % random.randrange(self.objects)
            state = chooser.choose(evolve(QUERY, object_key=key), now)
            if state is None:
                continue
            waiting = max(state.in_flight + 1 - SLOTS, 0)
            ends_at = now + self.answer_s * (1 + waiting / SLOTS)
            state.in_flight += 1
            heappush(running, (ends_at, random.random(), state, key, waiting > 0))
            if now >= self.settled_s:
                best = max(names, key=lambda name: rendezvous_weight(key, name))
                preferred.append(state.server.name == best)
        fraction = sum(preferred) / len(preferred)
        self.assertGreaterEqual(fraction, self.min_preferred_fraction)


class LimitedServersTest(TestCase):
    """Guards against using a limited server beyond this node's part of its limit.

    Load pattern: most servers of a service name a limit below what they get.
    """

    def setUp(self):
        super().setUp()
        self.placement = placement(*(server(f"s{i}") for i in range(3)))
        self.order = preference_order(self.placement, self.placement.table.states)
        for state in self.order:
            state.service_s = 0.05

    def limit(self, state, limit, sent):
        state.limit.record_answer(limit, 0.0)
        for _ in range(sent):
            self.placement.record_send(state, SERVICE, 0.0)

    def test_next_server_takes_what_exceeds_the_limit(self):
        self.limit(self.order[0], 4.0, sent=1)
        self.assertIs(self.order[1], self.placement.choose(QUERY, 0.0))
        self.assertIs(self.order[0], self.placement.choose(QUERY, 1.0))

    def test_refused_with_the_time_until_a_limit_has_room(self):
        for state, limit in zip(self.order, (4.0, 2.0, 1.0), strict=True):
            self.limit(state, limit, sent=1)
        self.assertIsNone(self.placement.choose(QUERY, 0.0))
        self.assertEqual(0.25, self.placement.retry_after_s(QUERY, 0.0))
        self.assertIs(self.order[0], self.placement.choose(QUERY, 0.25))

    def test_urgent_requests_get_the_last_of_a_burst(self):
        for state in self.order:
            self.limit(state, 4.0, sent=0)
        less_urgent = evolve(QUERY, urgent_route=URGENT)
        # A burst has built up, and all but one request of it is used.
        for state in self.order:
            for now in (0.0, 10.0):
                state.limit.share.available(now, 4.0, 4.0)
            for _ in range(3):
                self.placement.record_send(state, SERVICE, 10.0)
        self.assertIsNone(self.placement.choose(less_urgent, 10.0))
        self.assertIs(self.order[0], self.placement.choose(QUERY, 10.0))

    def test_capacity_of_a_region_counts_the_limit(self):
        self.limit(self.order[0], 4.0, sent=0)
        found = capacity_by_region(self.placement.table, "history", 0.0)
        self.assertAlmostEqual(2 * SLOTS + 4.0 * 0.05, found["kingston"])


class LongRequestTest(TestWithScenarios, TestCase):
    """Guards against idle servers that are avoided for good after long requests.

    Load pattern: a few requests of a route take far longer than the others.
    """

    scenarios = [("one of many", {"long": 1}), ("several in a row", {"long": 5})]
    SHORT_S, LONG_S, LATER_S = 0.04, 2.6, 60.0

    def test_an_idle_server_is_used_again(self):
        chooser = placement(server("s1"))
        state = chooser.table.states["s1"]
        for seconds in [self.SHORT_S] * 50 + [self.LONG_S] * self.long:
            chooser.times.record_answer_time(ROUTE.name, state, b"17", seconds, False)
            state.record_success(seconds)
        self.assertIs(state, chooser.choose(QUERY, self.LATER_S))


class RefusalReasonTest(TestWithScenarios, TestCase):
    """Guards against a log line that hides whether a server is full or seems slow.

    Load pattern: a server that is full, and one that is idle but expected to be late.
    """

    scenarios = [
        (
            "full",
            {
                "load": 3 * SLOTS,
                "reason": "s0 30.0 of 10 (report inf s old), expects 0.07 s of 0.26 s"
                " (slowness 1.0, last answer 5.0 s ago)",
            },
        ),
        (
            "expected to be late",
            {
                "slowness": 10.0,
                "reason": "s0 0.0 of 10 (report inf s old), expects 0.70 s of 0.26 s"
                " (slowness 10.0, last answer 5.0 s ago)",
            },
        ),
    ]
    load = 0
    slowness = 1.0

    def test_reason(self):
        chooser = placement(server("s0"))
        state = chooser.table.states["s0"]
        chooser.times.record_answer_time("ride-history", state, b"17", 0.07, False)
        state.record_success(0.07, 0.0)
        state.in_flight, state.slowness = self.load, self.slowness
        self.assertEqual(f"1 usable; {self.reason}", chooser.describe(QUERY, 5.0))
