from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.steering import CapShare, LinkBudget, Ramp, WindowLimiter, split_units
from ebonybend.steering.shares import LEASE_HOLD_S

NAMES = [f"entry-{number}" for number in range(7)]


class SplitTest(TestCase):
    def test_shares_sum_to_the_cap(self):
        """Guards against shares that exceed the cap by rounding."""
        for cap in (0, 1, 6, 7, 20, 1000):
            shares = split_units(cap, NAMES)
            self.assertEqual(cap, sum(shares.values()))
            self.assertLessEqual(max(shares.values()) - min(shares.values()), 1)


class WindowLimiterTest(TestCase):
    def test_window_slides(self):
        """Guards against twice the load at the boundary of fixed windows."""
        clock = ManualClock()
        limiter = WindowLimiter(clock, 1.0)
        clock.advance(0.9)
        self.assertEqual(
            [True, True, False], [limiter.try_acquire(2) for _ in range(3)]
        )
        clock.advance(0.95)
        self.assertFalse(limiter.try_acquire(2))
        clock.advance(0.1)
        self.assertTrue(limiter.try_acquire(2))


class CapShareTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.lender, self.borrower = (
            CapShare(140, name, NAMES, self.clock, 2.0) for name in NAMES[:2]
        )
        self.clock.advance(LEASE_HOLD_S)

    def test_lease_moves_units(self):
        """Guards against units that both the lender and the borrower use."""
        lease = self.lender.grant_lease(50, "entry-1")
        self.assertEqual(18, lease.units)
        self.borrower.use_lease(lease, self.clock.monotonic())
        self.assertEqual((2, 38), (self.lender.units(), self.borrower.units()))
        self.clock.advance(2.0)
        self.assertEqual((2, 20), (self.lender.units(), self.borrower.units()))
        self.clock.advance(1.25)
        self.assertEqual(20, self.lender.units())

    def test_lease_ends_with_a_lowered_cap(self):
        """Guards against 38 + 2 units in use when a lowered cap allows 10 to each."""
        requested_at = self.clock.monotonic()
        lease = self.lender.grant_lease(50, "entry-1")
        self.borrower.use_lease(lease, requested_at)
        self.clock.advance(0.1)
        for share in (self.lender, self.borrower):
            share.configure(70, NAMES)
        self.borrower.use_lease(lease, requested_at)
        self.assertEqual((0, 10), (self.lender.units(), self.borrower.units()))
        self.assertEqual(10, self.lender.grant_lease(50, "entry-1").units)

    def test_lease_is_renewed_until_the_lender_needs_it(self):
        """Guards against a gap between leases, and a lender without units."""
        for _ in range(20):
            lease = self.lender.grant_lease(18, "entry-1")
            self.assertEqual(18, lease.units)
            self.clock.advance(1.0)
        while self.lender.try_acquire():
            pass
        self.assertEqual(0, self.lender.grant_lease(18, "entry-1").units)

    def test_new_incarnation_waits_for_its_predecessors_leases(self):
        """Guards against using units that an earlier incarnation has leased out."""
        lease = self.lender.grant_lease(18, "entry-1")
        self.borrower.use_lease(lease, self.clock.monotonic())
        successor = CapShare(140, "entry-0", NAMES, self.clock, 2.0)
        self.clock.advance(1.99)
        self.assertEqual(38, sum(self.borrower.try_acquire() for _ in range(50)))
        self.clock.advance(0.02)
        self.assertFalse(successor.try_acquire())
        self.clock.advance(1.25)
        self.assertTrue(successor.try_acquire())

    def test_late_and_repeated_answers_add_nothing(self):
        """Guards against a lease that is used twice or after its end."""
        sent_at = self.clock.monotonic()
        lease = self.lender.grant_lease(10, "entry-1")
        self.borrower.use_lease(lease, sent_at)
        self.borrower.use_lease(lease, sent_at)
        self.assertEqual(30, self.borrower.units())
        self.clock.advance(2.0)
        self.borrower.use_lease(lease, sent_at)
        self.assertEqual(20, self.borrower.units())

    def test_changed_cap_is_lowered_first(self):
        """Guards against old and new shares whose sum exceeds both caps."""
        self.lender.configure(70, NAMES)
        self.assertEqual(10, self.lender.units())
        self.lender.configure(140, NAMES)
        self.assertEqual(10, self.lender.units())
        self.clock.advance(5.0)
        self.assertEqual(20, self.lender.units())
        self.lender.throttle(14, NAMES)
        self.assertEqual(2, self.lender.units())


class RampTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.ramp = Ramp(100, self.clock)

    def run_to(self, seconds, latency_ms=20.0, refusal_rate=0.0):
        for _ in range(seconds):
            self.clock.advance(1.0)
            self.ramp.adjust(latency_ms, refusal_rate)

    def test_ramp_reaches_the_cap(self):
        """Guards against a shift that sends all its traffic to cold caches at once."""
        self.assertEqual(10, self.ramp.current())
        self.run_to(4)
        self.assertEqual(50, self.ramp.current())
        self.run_to(20)
        self.assertEqual(100, self.ramp.current())

    def test_cut_and_resume(self):
        """Guards against a ramp that ignores an overload or cuts the cap to 0."""
        for trouble in [{"latency_ms": 31.0}, {"refusal_rate": 0.06}]:
            self.ramp = Ramp(100, self.clock)
            self.run_to(4)
            self.ramp.adjust(**{"latency_ms": 20.0, "refusal_rate": 0.0, **trouble})
            self.assertEqual(25, self.ramp.current())
            self.run_to(4, **trouble)
            self.assertEqual(25, self.ramp.current())
            self.run_to(1)
            self.assertEqual(35, self.ramp.current())


class LinkBudgetTest(TestCase):
    def test_delay_is_long_enough(self):
        """Guards against delayed answers that are refused after their delay."""
        clock = ManualClock()
        budget = LinkBudget(7000, 7, clock)
        self.assertFalse(budget.charge(1))
        for size in (400, 400, 300, 900, 1000, 50):
            clock.advance(budget.delay_for(size) + 1e-6)
            self.assertTrue(budget.charge(size))
        self.assertEqual(float("inf"), budget.delay_for(1001))
        self.assertEqual(0.05, budget.utilisation())
