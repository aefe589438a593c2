from random import Random

from attrs import evolve
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeReactor

from ebonybend.entry.budgets import RegionBudgets
from ebonybend.entry.rules_state import RulesInForce
from ebonybend.entry.table_state import TableState
from ebonybend.entry.tests.harness import OWN, SERVICE, ReactorClock, table
from ebonybend.errors import ErrorKind
from ebonybend.rules.model import CapRule, Rule, ShiftRule
from ebonybend.steering.table import TableReply


def rule(body):
    return Rule(line=1, author="Ben", reason="test", text=repr(body), body=body)


def cap(cap_per_second, service=None):
    return rule(
        CapRule(
            source="kingston",
            target="montego",
            service=service,
            cap_per_second=cap_per_second,
        )
    )


def shift(share, cap_per_second):
    return rule(
        ShiftRule(
            service=SERVICE,
            source="kingston",
            target="montego",
            share=share,
            cap_per_second=cap_per_second,
        )
    )


class BudgetTest(TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = FakeReactor()
        clock = ReactorClock(self.reactor)
        self.state = TableState(OWN, clock)
        self.budgets = RegionBudgets(self.reactor, clock, self.state, Random(1), 2.0)
        self.serial = 0

    def apply(self, *rules, **overrides):
        self.serial += 1
        self.state.apply_reply(TableReply(table(self.serial, **overrides)))
        self.state.rules = RulesInForce(rules)
        self.budgets._apply_table(self.state.table)

    def count_admitted(self, tries=100, size=0):
        errors = [self.budgets.admit(SERVICE, "montego", size) for _ in range(tries)]
        return errors.count(None), [e.kind for e in errors if e is not None]

    def test_no_request_over_the_lowest_bound_in_any_window(self):
        """Guards against traffic over a cap when several bounds apply."""
        self.apply(cap(8), shift(0.5, 5), cap(1000, "other service"))
        self.assertEqual(0, self.count_admitted()[0])
        self.reactor.advance(20.0)
        self.budgets.advance_ramps()
        for _ in range(5):
            admitted, kinds = self.count_admitted()
            self.assertEqual(5, admitted)
            self.assertEqual({ErrorKind.CAP_REACHED}, set(kinds))
            self.reactor.advance(1.01)

    def test_a_changed_cap_counts_earlier_sends(self):
        """Guards against a new window, and so double traffic, after a cap change."""
        self.apply(cap(8))
        self.reactor.advance(20.0)
        self.assertEqual(8, self.count_admitted()[0])
        self.apply(cap(4))
        self.assertEqual(0, self.count_admitted()[0])
        self.reactor.advance(1.01)
        self.assertEqual(4, self.count_admitted()[0])

    def test_link_budget_bounds_the_bytes(self):
        """Guards against requests that exceed a link's bandwidth."""
        self.apply()
        self.reactor.advance(5.0)
        admitted, kinds = self.count_admitted(size=100_000)
        self.assertEqual(9, admitted)
        self.assertEqual({ErrorKind.LINK_FULL}, set(kinds))

    def test_only_the_share_of_the_requests_is_shifted(self):
        """Guards against shifting all requests or those of other services."""
        self.apply(shift(0.3, 1000))
        targets = [self.budgets.shift_target(SERVICE) for _ in range(2000)]
        self.assertAlmostEqual(600, targets.count("montego"), delta=80)
        self.assertIsNone(self.budgets.shift_target("other service"))

    def test_paced_answer_stays_within_the_budget(self):
        """Guards against an answer that exceeds the link's bandwidth in a burst."""
        self.apply()
        self.reactor.advance(5.0)
        pacer = self.budgets.pacer("montego")
        self.assertIsNone(self.budgets.pacer("kingston"))
        sent = []

        async def send():
            for _ in range(25):
                await pacer.admit(pacer.chunk_bytes)
                sent.append(self.reactor.seconds())

        Deferred.fromCoroutine(send())
        for _ in range(400):
            self.reactor.advance(0.01)
        self.assertEqual(25, len(sent))
        for start in sent:
            within = [at for at in sent if start <= at < start + 1.0]
            self.assertLessEqual(len(within) * pacer.chunk_bytes, 1_000_000)

    def test_rules_of_other_regions_do_not_apply(self):
        """Guards against applying a cap to senders of another region."""
        other_region_cap = cap(1)
        other_region_cap = evolve(
            other_region_cap, body=evolve(other_region_cap.body, source="montego")
        )
        self.apply(other_region_cap)
        self.assertEqual({}, self.budgets.bounds)
