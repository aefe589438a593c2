from random import Random
from typing import ClassVar

from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.steering import (
    Admission,
    DomainChooser,
    DomainOption,
    DomainQuery,
    ServerChooser,
    ServerResult,
)
from ebonybend.steering.choice import UNANSWERED_S
from ebonybend.steering.table import ServerView
from ebonybend.steering.tests.test_admission import sole_member_ledger
from ebonybend.world import ServerState

SERVERS = tuple(
    ServerView(f"s{number}", "rides", f"127.0.0.1:{number}", 4, 300, ServerState.READY)
    for number in range(1, 4)
)


class ServerChooserTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.ledger = sole_member_ledger(self.clock, {s.name: s.slots for s in SERVERS})
        self.admission = Admission(self.ledger, self.clock)
        self.chooser = ServerChooser(self.admission, self.clock, Random(1))
        for server in SERVERS:
            self.admission.limit(server.name)
            self.chooser.record_latency(server.name, 0.02)
        self.clock.advance(1.0)
        self.ledger.tick()

    def picks(self, candidates=SERVERS, count=60):
        return {self.chooser.choose(candidates).name for _ in range(count)}

    def test_equal_servers_are_all_used(self):
        """Guards against entries that all choose the same server."""
        self.assertEqual({"s1", "s2", "s3"}, self.picks())

    def test_slow_server_is_avoided(self):
        """Guards against a choice that ignores latency."""
        for _ in range(10):
            self.chooser.record_latency("s1", 0.2)
        self.assertEqual({"s2", "s3"}, self.picks())

    def test_busy_server_is_avoided(self):
        """Guards against a choice that ignores requests in flight."""
        self.admission.acquire("s2")
        self.assertEqual({"s1", "s3"}, self.picks())

    def test_weights_decide_between_a_fast_and_an_idle_server(self):
        """Guards against a choice that ignores the contract's weights."""
        for server in SERVERS[1:]:
            for _ in range(20):
                self.chooser.record_latency(server.name, 0.04)
        self.admission.acquire("s1")
        chosen = [self.chooser.choose(SERVERS, (), x).name for x in (0.2, 0.8)]
        self.assertEqual("s1", chosen[0])
        self.assertIn(chosen[1], ("s2", "s3"))

    def test_failing_server_is_avoided_then_retried(self):
        """Guards against preferring a server that fails fast, or never retrying it."""
        self.admission.acquire("s1")
        self.admission.release("s1", ServerResult.TIMEOUT, 0.001)
        self.assertEqual({"s2", "s3"}, self.picks())
        for _ in range(90):
            self.clock.advance(0.25)
            self.ledger.tick()
        self.assertEqual({"s1", "s2", "s3"}, self.picks())

    def test_reported_load_counts_less_with_age(self):
        """Guards against a stale load report that excludes an idle server."""
        loaded = evolve(SERVERS[0], reported_in_flight=4)
        self.assertNotIn("s1", self.picks((loaded, *SERVERS[1:])))
        fresh, stale = (
            self.chooser.explain((evolve(loaded, reported_age_ms=age_ms),))[0].score
            for age_ms in (0, 30_000)
        )
        self.assertLess(stale, fresh)

    def test_stale_measurements_reduce_a_servers_weight(self):
        """Guards against full weight for a server whose measurements stopped."""
        old = evolve(SERVERS[0], reported_age_ms=9000)
        for _ in range(9):
            self.clock.advance(1)
            self.ledger.tick()
        self.assertEqual({"s2", "s3"}, self.picks((old, *SERVERS[1:])))

    def test_all_measurements_stale_keeps_equal_weights(self):
        """Guards against a fault of the entry that is attributed to the servers."""
        for _ in range(9):
            self.clock.advance(1)
            self.ledger.tick()
        ages = zip(SERVERS, (6000, 9000, 30_000), strict=True)
        old = tuple(evolve(server, reported_age_ms=age) for server, age in ages)
        self.assertEqual({"s1", "s2", "s3"}, self.picks(old))

    def test_excluded_and_full_servers_are_not_chosen(self):
        """Guards against a retry on the same server."""
        for _ in range(4):
            self.admission.acquire("s3")
        self.assertEqual("s2", self.chooser.choose(SERVERS, {"s1"}).name)
        self.assertIsNone(self.chooser.choose(SERVERS, {"s1", "s2"}))


class OldLatencyTest(TestWithScenarios, TestCase):
    """Guards against avoiding a server for good that was slow once.

    Load pattern: a server was slow, or its entry paused; the others get all requests.
    """

    scenarios = [
        ("just measured", {"age_s": 0.0, "recent_ms": 300.0, "picked": False}),
        ("still fresh", {"age_s": 3.0, "recent_ms": 300.0, "picked": False}),
        ("a while ago", {"age_s": 9.0, "recent_ms": 75.0, "picked": False}),
        ("long ago", {"age_s": 30.0, "recent_ms": 300.0 / 64, "picked": True}),
    ]

    def test_latency_fades(self):
        clock = ManualClock()
        ledger = sole_member_ledger(clock, {s.name: s.slots for s in SERVERS})
        admission = Admission(ledger, clock)
        chooser = ServerChooser(admission, clock, Random(1))
        # Ends the slow start of the servers.
        for _ in range(2):
            for server in SERVERS:
                admission.limit(server.name)
            clock.advance(1.0)
            ledger.tick()
        chooser.record_latency("s1", 0.3)
        for _ in range(round(self.age_s / 0.25)):
            clock.advance(0.25)
            ledger.tick()
        for server in SERVERS[1:]:
            chooser.record_latency(server.name, 0.02)
            admission.acquire(server.name)
        self.assertAlmostEqual(self.recent_ms, chooser.recent_latency_ms("s1"))
        chosen = {chooser.choose(SERVERS).name for _ in range(60)}
        self.assertEqual(self.picked, "s1" in chosen)


LOCAL = DomainOption("kingston-1", 0.0, 20.0, slots=16, in_flight=14)
REMOTE = DomainOption("montego-1", 55.0, 20.0, slots=16, in_flight=2)
QUERY = DomainQuery("rides", "kingston-1", (LOCAL, REMOTE), 0.8, 0.2)


class DomainWeightTest(TestWithScenarios, TestCase):
    """Guards against weights that do not change the choice."""

    scenarios = [
        ("latency", {"latency": 0.8, "headroom": 0.2, "expected": "kingston-1"}),
        ("headroom", {"latency": 0.2, "headroom": 0.8, "expected": "montego-1"}),
    ]

    def test_weights(self):
        chooser = DomainChooser(ManualClock(), Random(1))
        query = evolve(
            QUERY, latency_weight=self.latency, headroom_weight=self.headroom
        )
        self.assertEqual(self.expected, chooser.choose(query).domain)


class UnansweredDomainTest(TestWithScenarios, TestCase):
    """Guards against sending a request that can't be repeated where others were lost.

    Load pattern: writes in a domain that is cut off while another one looks faster.
    """

    scenarios = [
        ("a write with no loss", {"steps": "", "expected": "montego-1"}),
        ("a write after a loss", {"steps": "lost", "expected": "kingston-1"}),
        (
            "a read after a loss",
            {"steps": "lost", "idempotent": True, "expected": "montego-1"},
        ),
        (
            "a write after an answer",
            {"steps": "lost answered", "expected": "montego-1"},
        ),
        (
            "a write after an answer and a loss",
            {"steps": "answered lost", "expected": "kingston-1"},
        ),
        ("a write some time later", {"steps": "lost wait", "expected": "montego-1"}),
        (
            "a write that no other domain can take",
            {"steps": "lost", "local": {"slots": 0}, "expected": "montego-1"},
        ),
    ]
    idempotent = False
    local: ClassVar[dict] = {}

    def test_chosen_domain(self):
        clock = ManualClock()
        chooser = DomainChooser(clock, Random(1))
        for step in self.steps.split():
            match step:
                case "lost":
                    chooser.record_unanswered("montego-1")
                case "answered":
                    chooser.record_answer("montego-1")
                case "wait":
                    clock.advance(UNANSWERED_S)
        options = (evolve(LOCAL, service_latency_ms=200.0, **self.local), REMOTE)
        score = chooser.choose(evolve(QUERY, options=options), self.idempotent)
        self.assertEqual(self.expected, score.domain)


class DomainChooserTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.chooser = DomainChooser(self.clock, Random(1))

    def choose(self, *options, **changes):
        score = self.chooser.choose(evolve(QUERY, options=options, **changes))
        return score and score.domain

    def test_tie_goes_to_the_own_domain(self):
        """Guards against needless hops between equal domains."""
        equal_options = (evolve(LOCAL, domain="other"), LOCAL)
        for _ in range(20):
            self.assertEqual("kingston-1", self.choose(*equal_options))

    def test_loaded_link_is_avoided(self):
        """Guards against a choice that ignores the link."""
        other = evolve(REMOTE, domain="mandeville-1")
        full = evolve(REMOTE, link_utilisation=0.9)
        for _ in range(20):
            self.assertEqual("mandeville-1", self.choose(full, other))

    def test_stale_view_loses_weight_and_is_the_last_resort(self):
        """Guards against full weight for a domain that no longer reports."""
        other = evolve(REMOTE, domain="mandeville-1", one_way_latency_ms=70.0)
        self.assertEqual("montego-1", self.choose(REMOTE, other))
        self.assertEqual(
            "mandeville-1", self.choose(evolve(REMOTE, age_ms=9000), other)
        )
        old_view = evolve(REMOTE, in_flight=0, age_ms=16_000)
        self.assertEqual("mandeville-1", self.choose(old_view, other))
        self.assertEqual("montego-1", self.choose(old_view))

    def test_full_domain_is_not_chosen(self):
        """Guards against overloading a remote domain."""
        self.assertIsNone(self.choose(evolve(REMOTE, in_flight=16)))
        self.assertIsNone(self.choose(evolve(REMOTE, slots=0)))

    def test_window_bounds_requests_in_flight(self):
        """Guards against more requests than another domain admits."""
        for _ in range(4):
            self.assertEqual("montego-1", self.choose(REMOTE))
            self.chooser.record_request_start("montego-1", "rides")
        self.assertIsNone(self.choose(REMOTE))
        self.chooser.record_request_end("montego-1", "rides")
        self.assertEqual("montego-1", self.choose(REMOTE))

    def test_window_grows_by_steps_and_shrinks_by_half(self):
        """Guards against a window that does not adapt to refusals."""
        for _ in range(30):
            self.chooser.record_admission("montego-1", "rides")
        grown = self.chooser.window("montego-1", "rides")
        self.assertGreater(grown, 6)
        for _ in range(5):
            self.chooser.record_refusal("montego-1", "rides")
        self.assertEqual(grown // 2, self.chooser.window("montego-1", "rides"))
        self.assertEqual(1, self.chooser.window("montego-1", "rides", 60_000))

    def test_explain_gives_the_reason(self):
        """Guards against a choice that operators can't explain."""
        scores = self.chooser.explain(evolve(QUERY, exclude=frozenset(["kingston-1"])))
        self.assertEqual(["montego-1", "kingston-1"], [s.domain for s in scores])
        self.assertEqual("excluded", scores[1].reason)
