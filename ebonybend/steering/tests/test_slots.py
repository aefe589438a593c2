from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from hypothesis.strategies import booleans, integers, sampled_from
from testtools import TestCase

from ebonybend.steering.tests.simulated_domain import (
    DEADLINE_S,
    HOLD_S,
    SimulatedDomain,
)
from ebonybend.tests.profile import MACHINE

NAMES = ("a", "b", "c")
TWELVE_SERVERS = {f"server-{number}": 5 for number in range(12)}


class SlotLedgerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.domain = SimulatedDomain(NAMES, TWELVE_SERVERS)

    def test_start_owns_nothing_until_hold_and_deadline_have_passed(self):
        """Guards against a new incarnation that adds to its predecessor's requests."""
        self.domain.run(6.9)
        self.assertEqual(0, self.domain.total())
        self.domain.run(0.5)
        self.assertEqual(60, self.domain.total())

    def test_killed_member_is_taken_over_and_gets_its_slots_back(self):
        """Guards against unused slots after a kill, and an outage while one joins."""
        self.domain.run(8)
        share = self.domain.total("a")
        self.domain.kill(self.domain.current["a"])
        self.domain.run(HOLD_S + DEADLINE_S)
        self.assertEqual(60 - share, self.domain.total())
        self.domain.run(1)
        self.assertEqual(60, self.domain.total())
        self.domain.start("a")
        for _ in range(13):
            self.domain.run(0.5)
            self.assertEqual(60 - share, self.domain.total())
        self.domain.run(1)
        self.assertEqual(share, self.domain.total("a"))
        self.assertEqual(60, self.domain.total())

    def test_replacement_waits_for_requests_on_its_slots(self):
        """Guards against an acknowledgement before the share fits."""
        self.domain.run(8)
        self.domain.kill(self.domain.current["a"])
        self.domain.run(HOLD_S + DEADLINE_S + 1)
        ledger = self.domain.current["b"].ledger
        server = max(TWELVE_SERVERS, key=ledger.owned)
        busy = ledger.owned(server)
        for _ in range(busy):
            ledger.record_request_start(server)
        self.domain.start("a")
        self.domain.run(9)
        self.assertEqual(0, self.domain.total("a"))
        for _ in range(busy):
            ledger.record_request_end(server)
        self.domain.run(0.5)
        self.assertEqual(60, self.domain.total())

    def test_silent_but_listed_member_keeps_its_slots(self):
        """Guards against takeover on silence alone."""
        self.domain.run(8)
        before = self.domain.total("b")
        self.domain.pause(self.domain.current["a"])
        self.domain.run(30)
        self.assertEqual(before, self.domain.total("b"))

    def test_paused_member_uses_nothing_until_acknowledged(self):
        """Guards against a paused process that resumes with slots it has lost."""
        self.domain.run(8)
        self.domain.pause(self.domain.current["a"])
        for name in ("b", "c"):
            self.domain.deliver_list(name, {"b", "c"})
        self.domain.run(9)
        self.assertEqual(60, self.domain.total())
        process = self.domain.current["a"]
        process.paused_at = None
        self.assertEqual(0, self.domain.total("a"))
        process.ledger.tick()
        self.assertEqual(0, self.domain.total("a"))
        self.domain.tick(process)
        self.domain.run(0.25)
        self.assertGreater(self.domain.total("a"), 0)
        self.assertEqual(60, self.domain.total())

    def test_evidence_of_death_waits_for_the_longest_deadline(self):
        """Guards against takeover while requests of a member that was cut off run."""
        self.domain.run(8)
        share = self.domain.total("a")
        self.domain.cuts = {frozenset("ab"), frozenset("ac")}
        self.domain.run(10)
        self.domain.kill(self.domain.current["a"])
        self.domain.cuts = set()
        self.domain.run(DEADLINE_S)
        self.assertEqual(60 - share, self.domain.total())
        self.domain.run(1.5)
        self.assertEqual(60, self.domain.total())

    def test_starting_member_acknowledges_nobody(self):
        """Guards against slots on which a predecessor's requests still run."""
        self.domain.run(8)
        self.domain.kill(self.domain.current["a"])
        self.domain.run(8)
        # The predecessor of "b" uses slots of "a" until it dies.
        ledger = self.domain.current["b"].ledger
        for server in TWELVE_SERVERS:
            for _ in range(ledger.owned(server)):
                ledger.record_request_start(server)
        self.domain.start("a")
        self.domain.run(6.5)
        self.domain.kill(self.domain.current["b"])
        self.domain.start("b")
        self.domain.run(6.4)
        self.assertEqual(0, self.domain.total("a"))
        self.domain.run(1.0)
        self.assertEqual(60, self.domain.total())

    def test_graceful_release_moves_slots_at_once(self):
        """Guards against headroom lost to a planned stop."""
        self.domain.run(8)
        self.domain.current["a"].ledger.release()
        self.assertEqual(0, self.domain.total("a"))
        self.domain.run(0.5)
        self.assertEqual(60, self.domain.total())

    def test_superseded_incarnation_owns_nothing(self):
        """Guards against a replaced process that runs on beside its replacement."""
        self.domain.run(8)
        old = self.domain.current["a"]
        self.domain.start("a")
        self.domain.run(0.5)
        self.assertTrue(old.ledger.superseded)
        self.assertEqual(0, self.domain.owned(old, "server-1"))

    def test_joining_member_does_not_stop_the_others(self):
        """Guards against a planned name that stops the running members."""
        self.domain.run(8)
        self.domain.names = (*NAMES, "d")
        for process in self.domain.processes:
            process.ledger.set_roster(self.domain.names)
        self.assertGreater(self.domain.total(), 30)
        self.domain.start("d")
        self.domain.run(8)
        self.assertGreater(self.domain.total("d"), 0)
        self.assertEqual(60, self.domain.total())


# Servers on which each of the three members owns two slots.
SHARED_SERVERS = {"s18": 6, "s23": 6}
OUTAGES = sampled_from([0.3, 1.9, 2.6, 4.5, 7.2, 7.9, 12.0])
# Most faults come alone or with one other; a domain that never settles uses no slots.
WAITS = sampled_from([0.0, 0.4, 2.2, 5.2, 8.0, 9.0, 15.0, 20.0])


class SlotMachine(RuleBasedStateMachine):
    """Guards against a slot that two members use at the same time."""

    @initialize(seed=integers(0, 2**32))
    def begin(self, seed):
        self.domain = SimulatedDomain(NAMES, SHARED_SERVERS, seed)
        self.domain.greedy = True
        self.domain.at(0.0, self.domain.refresh_lists)
        self.domain.run(9)

    @rule(name=sampled_from(NAMES), outage=OUTAGES, wait=WAITS)
    def kill(self, name, outage, wait):
        process = self.domain.current[name]
        self.domain.kill(process)
        self.domain.at(outage, self.domain.replace, process)
        self.domain.run(wait)

    @rule(name=sampled_from(NAMES), outage=OUTAGES, listed=booleans(), wait=WAITS)
    def pause(self, name, outage, listed, wait):
        process = self.domain.current[name]
        process.listed = listed
        self.domain.pause(process)
        self.domain.at(outage, self.domain.resume, process)
        self.domain.run(wait)

    @rule(name=sampled_from(NAMES), wait=WAITS)
    def replace_paused(self, name, wait):
        process = self.domain.current[name]
        paused = process.paused_at is not None
        if paused and self.domain.now - process.paused_at > HOLD_S:
            self.domain.start(name)
        self.domain.run(wait)

    @rule(name=sampled_from(NAMES), outage=OUTAGES, wait=WAITS)
    def stop(self, name, outage, wait):
        """Stop gracefully, exit when requests have ended, start a replacement."""
        process = self.domain.current[name]
        process.ledger.release()
        self.domain.at(DEADLINE_S + 1, self.domain.kill, process)
        self.domain.at(DEADLINE_S + 1 + outage, self.domain.replace, process)
        self.domain.run(wait)

    @rule(pair=sampled_from(["ab", "ac", "bc"]), outage=OUTAGES, wait=WAITS)
    def cut(self, pair, outage, wait):
        if not self.domain.misjudges(*pair, both=True):
            self.domain.cuts.add(frozenset(pair))
            self.domain.at(outage, self.domain.cuts.discard, frozenset(pair))
        self.domain.run(wait)

    @invariant()
    def slots_are_used_once(self):
        if hasattr(self, "domain"):
            assert not self.domain.excess, self.domain.excess[0]


class SlotMachineTest(SlotMachine.TestCase):
    settings = MACHINE
