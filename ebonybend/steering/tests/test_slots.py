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

    def test_new_incarnation_owns_nothing_until_hold_and_deadline_passed(self):
        """Guards against use of slots that a previous incarnation's requests occupy."""
        self.domain.run(6.9)
        self.assertEqual(0, self.domain.total_owned())
        self.domain.run(0.5)
        self.assertEqual(60, self.domain.total_owned())

    def test_slots_of_killed_member_move_and_return_to_its_replacement(self):
        """Guards against unused slots after a kill, and an outage during a rejoin."""
        self.domain.run(8)
        share = self.domain.total_owned("a")
        self.domain.kill(self.domain.current["a"])
        self.domain.run(HOLD_S + DEADLINE_S)
        self.assertEqual(60 - share, self.domain.total_owned())
        self.domain.run(1)
        self.assertEqual(60, self.domain.total_owned())
        self.domain.start("a")
        for _ in range(13):
            self.domain.run(0.5)
            self.assertEqual(60 - share, self.domain.total_owned())
        self.domain.run(1)
        self.assertEqual(share, self.domain.total_owned("a"))
        self.assertEqual(60, self.domain.total_owned())

    def test_replacement_waits_for_requests_on_its_slots(self):
        """Guards against an acknowledgement while requests exceed the owned slots."""
        self.domain.run(8)
        self.domain.kill(self.domain.current["a"])
        self.domain.run(HOLD_S + DEADLINE_S + 1)
        ledger = self.domain.current["b"].ledger
        server = max(TWELVE_SERVERS, key=ledger.owned_slots)
        occupied = ledger.owned_slots(server)
        for _ in range(occupied):
            ledger.record_request_start(server)
        self.domain.start("a")
        self.domain.run(9)
        self.assertEqual(0, self.domain.total_owned("a"))
        for _ in range(occupied):
            ledger.record_request_end(server)
        self.domain.run(0.5)
        self.assertEqual(60, self.domain.total_owned())

    def test_silent_but_listed_member_keeps_its_slots(self):
        """Guards against a takeover because of silence alone."""
        self.domain.run(8)
        before = self.domain.total_owned("b")
        self.domain.pause(self.domain.current["a"])
        self.domain.run(30)
        self.assertEqual(before, self.domain.total_owned("b"))

    def test_paused_member_uses_nothing_until_acknowledged(self):
        """Guards against a paused process that resumes with slots it has lost."""
        self.domain.run(8)
        self.domain.pause(self.domain.current["a"])
        for name in ("b", "c"):
            self.domain.deliver_list(name, {"b", "c"})
        self.domain.run(9)
        self.assertEqual(60, self.domain.total_owned())
        process = self.domain.current["a"]
        process.paused_at = None
        self.assertEqual(0, self.domain.total_owned("a"))
        process.ledger.tick()
        self.assertEqual(0, self.domain.total_owned("a"))
        self.domain.tick(process)
        self.domain.run(0.25)
        self.assertGreater(self.domain.total_owned("a"), 0)
        self.assertEqual(60, self.domain.total_owned())

    def test_evidence_of_death_waits_for_the_longest_deadline(self):
        """Guards against a takeover while a partitioned member's requests still run."""
        self.domain.run(8)
        share = self.domain.total_owned("a")
        self.domain.cut_links = {frozenset("ab"), frozenset("ac")}
        self.domain.run(10)
        self.domain.kill(self.domain.current["a"])
        self.domain.cut_links = set()
        self.domain.run(DEADLINE_S)
        self.assertEqual(60 - share, self.domain.total_owned())
        self.domain.run(1.5)
        self.assertEqual(60, self.domain.total_owned())

    def test_starting_member_acknowledges_no_peer(self):
        """Guards against slots on which a predecessor's requests still run."""
        self.domain.run(8)
        self.domain.kill(self.domain.current["a"])
        self.domain.run(8)
        # The predecessor of "b" uses slots of "a" until it is killed.
        ledger = self.domain.current["b"].ledger
        for server in TWELVE_SERVERS:
            for _ in range(ledger.owned_slots(server)):
                ledger.record_request_start(server)
        self.domain.start("a")
        self.domain.run(6.5)
        self.domain.kill(self.domain.current["b"])
        self.domain.start("b")
        self.domain.run(6.4)
        self.assertEqual(0, self.domain.total_owned("a"))
        self.domain.run(1.0)
        self.assertEqual(60, self.domain.total_owned())

    def test_graceful_release_moves_slots_immediately(self):
        """Guards against slots that stay unused after a planned stop."""
        self.domain.run(8)
        self.domain.current["a"].ledger.release()
        self.assertEqual(0, self.domain.total_owned("a"))
        self.domain.run(0.5)
        self.assertEqual(60, self.domain.total_owned())

    def test_superseded_incarnation_owns_nothing(self):
        """Guards against a replaced process that still uses slots."""
        self.domain.run(8)
        old = self.domain.current["a"]
        self.domain.start("a")
        self.domain.run(0.5)
        self.assertTrue(old.ledger.superseded)
        self.assertEqual(0, self.domain.owned_slots(old, "server-1"))

    def test_joining_member_does_not_stop_the_others(self):
        """Guards against a new name on the roster that stops the running members."""
        self.domain.run(8)
        self.domain.names = (*NAMES, "d")
        for process in self.domain.processes:
            process.ledger.set_roster(self.domain.names)
        self.assertGreater(self.domain.total_owned(), 30)
        self.domain.start("d")
        self.domain.run(8)
        self.assertGreater(self.domain.total_owned("d"), 0)
        self.assertEqual(60, self.domain.total_owned())


# Servers on which each of the three members owns two slots.
SHARED_SERVERS = {"s18": 6, "s23": 6}
OUTAGES = sampled_from([0.3, 1.9, 2.6, 4.5, 7.2, 7.9, 12.0])
# Long enough that most faults occur alone or with one other: a domain that never
# recovers uses no slots.
WAITS = sampled_from([0.0, 0.4, 2.2, 5.2, 8.0, 9.0, 15.0, 20.0])


class SlotMachine(RuleBasedStateMachine):
    """Guards against a slot that two members use at the same time."""

    @initialize(seed=integers(0, 2**32))
    def begin(self, seed):
        self.domain = SimulatedDomain(NAMES, SHARED_SERVERS, seed)
        self.domain.saturated = True
        self.domain.schedule(0.0, self.domain.refresh_lists)
        self.domain.run(9)

    @rule(name=sampled_from(NAMES), outage=OUTAGES, wait=WAITS)
    def kill(self, name, outage, wait):
        process = self.domain.current[name]
        self.domain.kill(process)
        self.domain.schedule(outage, self.domain.replace, process)
        self.domain.run(wait)

    @rule(name=sampled_from(NAMES), outage=OUTAGES, listed=booleans(), wait=WAITS)
    def pause(self, name, outage, listed, wait):
        process = self.domain.current[name]
        process.listed = listed
        self.domain.pause(process)
        self.domain.schedule(outage, self.domain.resume, process)
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
        self.domain.schedule(DEADLINE_S + 1, self.domain.kill, process)
        self.domain.schedule(DEADLINE_S + 1 + outage, self.domain.replace, process)
        self.domain.run(wait)

    @rule(pair=sampled_from(["ab", "ac", "bc"]), outage=OUTAGES, wait=WAITS)
    def cut(self, pair, outage, wait):
        if not self.domain.lacks_live_member(*pair, both=True):
            self.domain.cut_links.add(frozenset(pair))
            self.domain.schedule(outage, self.domain.cut_links.discard, frozenset(pair))
        self.domain.run(wait)

    @invariant()
    def slots_are_used_once(self):
        if hasattr(self, "domain"):
            assert not self.domain.violations, self.domain.violations[0]


class SlotMachineTest(SlotMachine.TestCase):
    settings = MACHINE
