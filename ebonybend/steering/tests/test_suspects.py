from attrs import evolve
from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.steering import SuspectRegistry, Verdict, fingerprint

POISON = fingerprint("rides", "GET", "/poison", b"")
READ = fingerprint("rides", "GET", "/history", b"")


class SuspectRegistryTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.registry = SuspectRegistry(self.clock)
        self.other = SuspectRegistry(self.clock)

    def test_fingerprint_separates_parts(self):
        """Guards against two requests that share a fingerprint."""
        parts = [("a", "bc", "d"), ("ab", "c", "d"), ("a", "b", "cd")]
        names = {fingerprint(*three, b"") for three in parts}
        names.add(fingerprint("a", "bc", "", b"d"))
        self.assertEqual(4, len(names))
        self.assertEqual(32, len(POISON))

    def test_crash_while_alone_refuses(self):
        """Guards against a request that crashes one server after the other."""
        self.registry.crashed([POISON, READ], alone=False)
        self.assertIs(Verdict.ALONE, self.registry.verdict(POISON))
        self.registry.crashed([POISON], alone=True)
        self.assertIs(Verdict.REFUSE, self.registry.verdict(POISON))
        self.registry.succeeded(READ)
        self.assertIs(Verdict.ALLOW, self.registry.verdict(READ))

    def test_suspicion_ends_by_time_or_pardon(self):
        """Guards against requests that are refused for good."""
        self.registry.crashed([READ], alone=False)
        self.registry.crashed([POISON], alone=True)
        self.clock.advance(61)
        self.assertIs(Verdict.ALLOW, self.registry.verdict(READ))
        self.assertIs(Verdict.REFUSE, self.registry.verdict(POISON))
        refused = self.registry.views()
        self.registry.pardon(POISON)
        self.registry.merge(*refused)
        self.assertIs(Verdict.ALLOW, self.registry.verdict(POISON))

    def test_one_crash_seen_by_two_entries_counts_once(self):
        """Guards against a common read that is refused after a single crash."""
        self.other.crashed([READ], alone=False, server="s1")
        self.registry.merge(*self.other.views())
        self.registry.crashed([READ, READ], alone=False, server="s1")
        self.registry.merge(*self.other.views())
        self.assertIs(Verdict.ALONE, self.registry.verdict(READ))

    def test_two_crashes_seen_by_two_entries_refuse(self):
        """Guards against crashes that are lost in the merge by maximum."""
        self.other.crashed([POISON], alone=False, server="s1")
        self.registry.crashed([POISON], alone=False, server="s2")
        self.registry.merge(*self.other.views())
        self.assertIs(Verdict.REFUSE, self.registry.verdict(POISON))

    def test_old_news_does_not_return_after_a_success(self):
        """Guards against a cleared request that a late message accuses again."""
        self.registry.crashed([READ], alone=False)
        old = self.registry.views()
        self.clock.advance(1)
        self.registry.succeeded(READ)
        self.assertEqual((READ,), self.registry.cleared())
        self.registry.merge(*(evolve(view, age_ms=1000) for view in old))
        self.assertIs(Verdict.ALLOW, self.registry.verdict(READ))
