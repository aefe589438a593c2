from collections import Counter

from attrs import evolve
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import integers, sampled_from
from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.steering import SuspectRegistry, Verdict, fingerprint
from ebonybend.steering.suspects import SUSPECT_LIFETIME_S
from ebonybend.tests.profile import MACHINE

POISON = fingerprint("rides", "GET", "/poison", b"")
POISONS = [POISON, *(fingerprint("rides", "GET", f"/{n}", b"") for n in range(3))]
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

    def test_crash_while_isolated_refuses(self):
        """Guards against a request that crashes one server after the other."""
        self.registry.record_crash([POISON, READ], isolated=False)
        self.assertIs(Verdict.ISOLATED, self.registry.verdict(POISON))
        self.registry.record_crash([POISON], isolated=True)
        self.assertIs(Verdict.REFUSE, self.registry.verdict(POISON))
        self.registry.record_success(READ)
        self.assertIs(Verdict.ALLOW, self.registry.verdict(READ))

    def test_suspicion_ends_by_time_or_pardon(self):
        """Guards against requests that are refused permanently."""
        self.registry.record_crash([READ], isolated=False)
        self.registry.record_crash([POISON], isolated=True)
        self.clock.advance(61)
        self.assertIs(Verdict.ALLOW, self.registry.verdict(READ))
        self.assertIs(Verdict.REFUSE, self.registry.verdict(POISON))
        refused = self.registry.views()
        self.registry.pardon(POISON)
        self.registry.merge(*refused)
        self.assertIs(Verdict.ALLOW, self.registry.verdict(POISON))

    def test_one_crash_seen_by_two_entries_counts_once(self):
        """Guards against a common read that is refused after a single crash."""
        self.other.record_crash([READ], isolated=False, server="s1")
        self.registry.merge(*self.other.views())
        self.registry.record_crash([READ, READ], isolated=False, server="s1")
        self.registry.merge(*self.other.views())
        self.assertIs(Verdict.ISOLATED, self.registry.verdict(READ))

    def test_two_crashes_seen_by_two_entries_refuse(self):
        """Guards against a merge that takes the larger count and so loses a crash."""
        self.other.record_crash([POISON], isolated=False, server="s1")
        self.registry.record_crash([POISON], isolated=False, server="s2")
        self.registry.merge(*self.other.views())
        self.assertIs(Verdict.REFUSE, self.registry.verdict(POISON))

    def test_views_that_go_round_do_not_renew_a_suspicion(self):
        """Guards against instances that keep a suspicion alive for one another."""
        self.registry.record_crash([READ], isolated=False, server="s1")
        until = self.clock.monotonic() + SUSPECT_LIFETIME_S + 1.0
        while self.clock.monotonic() < until:
            for sender, receiver in (
                (self.registry, self.other),
                (self.other, self.registry),
            ):
                views = sender.views()
                self.clock.advance(0.055)
                receiver.merge(*views)
        for registry in (self.registry, self.other):
            self.assertIs(Verdict.ALLOW, registry.verdict(READ))

    def test_late_notice_is_ignored_after_a_success(self):
        """Guards against a cleared request that a late message makes suspect again."""
        self.registry.record_crash([READ], isolated=False)
        old = self.registry.views()
        self.clock.advance(1)
        self.registry.record_success(READ)
        self.assertEqual((READ,), self.registry.cleared())
        self.registry.merge(*(evolve(view, age_ms=1000) for view in old))
        self.assertIs(Verdict.ALLOW, self.registry.verdict(READ))


class SuspectMachine(RuleBasedStateMachine):
    """Guards against a third crash, and refusal of a request that succeeded."""

    def __init__(self):
        super().__init__()
        # Each registry has its own clock and its own servers.
        self.clocks = [ManualClock(1000.0 * number) for number in range(1, 4)]
        self.registries = [SuspectRegistry(clock) for clock in self.clocks]
        self.notices = []
        self.crashes = Counter()
        self.read_is_clear = True

    @rule(
        registry_index=integers(0, 2),
        poison=sampled_from(POISONS),
        repeats=integers(0, 2),
    )
    def send_poison(self, registry_index, poison, repeats):
        registry = self.registries[registry_index]
        verdict = registry.verdict(poison)
        if verdict is Verdict.REFUSE:
            return
        self.crashes[poison] += 1
        isolated = verdict is Verdict.ISOLATED
        neighbours = []
        if not isolated and registry.verdict(READ) is Verdict.ALLOW:
            neighbours = [READ]
            self.read_is_clear = False
        registry.record_crash(
            [poison, *neighbours], isolated, f"server of {registry_index}"
        )
        # The notice reaches every domain before the client can retry the request.
        for other in self.registries:
            for _ in range(1 + repeats):
                other.merge(*registry.views())
        self.notices.append((registry.views(), self.clocks[0].now))

    @rule(registry_index=integers(0, 2))
    def send_read(self, registry_index):
        """Record a successful read, and announce it as a report's `cleared` does."""
        self.read_is_clear = True
        self.registries[registry_index].record_success(READ)
        for name in self.registries[registry_index].cleared():
            for other in self.registries:
                other.record_success(name)

    @rule(registry_index=integers(0, 2), index=integers(0, 5))
    def receive_late(self, registry_index, index):
        if index < len(self.notices):
            views, sent_at = self.notices[index]
            age_ms = (self.clocks[0].now - sent_at) * 1000
            late = (evolve(view, age_ms=view.age_ms + age_ms) for view in views)
            self.registries[registry_index].merge(*late)

    @rule(seconds=sampled_from([0.1, 0.5, 2.0]))
    def wait(self, seconds):
        for clock in self.clocks:
            clock.advance(seconds)

    @invariant()
    def two_crashes_refuse(self):
        assert max(self.crashes.values(), default=0) <= 2, self.crashes

    @invariant()
    def success_clears(self):
        verdicts = {registry.verdict(READ) for registry in self.registries}
        assert Verdict.REFUSE not in verdicts
        if self.read_is_clear:
            assert verdicts == {Verdict.ALLOW}, verdicts


class SuspectMachineTest(SuspectMachine.TestCase):
    settings = MACHINE
