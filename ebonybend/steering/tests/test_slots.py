from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.steering import SlotLedger

HOLD_S = 2.0
DEADLINE_S = 5.0
SERVERS = {f"server-{number}": 5 for number in range(12)}


class Domain:
    """Entries of one domain whose messages all arrive at once."""

    def __init__(self, names):
        self.clock = ManualClock()
        self.names = names
        self.incarnations = 0
        self.up = {}
        self.listed = set(names)
        for name in names:
            self.start(name)

    def start(self, name):
        self.incarnations += 1
        ledger = SlotLedger(name, self.incarnations, self.clock, HOLD_S, DEADLINE_S)
        ledger.set_roster(self.names)
        ledger.set_servers(SERVERS)
        self.up[name] = ledger

    def run(self, seconds, paused=()):
        for _ in range(int(seconds / 0.25)):
            self.clock.advance(0.25)
            awake = [x for x in self.up.values() if x.own not in paused]
            for ledger in awake:
                ledger.set_listed(self.listed)
                ledger.tick()
            for ledger in awake:
                self.beat(ledger, paused)

    def beat(self, ledger, paused):
        message = ledger.heartbeat()
        for name in self.names:
            if name == ledger.own or name in paused:
                continue
            if name in self.up:
                answer = self.up[name].receive(message)
                ledger.acknowledged(answer, self.clock.monotonic())
            else:
                ledger.refused(name)

    def owned(self, name):
        return sum(self.up[name].owned(server) for server in SERVERS)


class SlotLedgerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.domain = Domain(["a", "b", "c"])

    def total(self):
        return sum(self.domain.owned(name) for name in self.domain.up)

    def test_start_owns_nothing_until_hold_and_deadline_have_passed(self):
        """Guards against a new incarnation that adds to its predecessor's requests."""
        self.domain.run(HOLD_S + DEADLINE_S - 0.25)
        self.assertEqual(0, self.total())
        self.domain.run(0.5)
        self.assertEqual(60, self.total())

    def test_killed_member_is_taken_over(self):
        """Guards against slots that stay unused after a kill."""
        self.domain.run(8)
        del self.domain.up["a"]
        self.domain.run(HOLD_S + DEADLINE_S)
        self.assertLess(self.total(), 60)
        self.domain.run(1)
        self.assertEqual(60, self.total())

    def test_replacement_gets_its_slots_back(self):
        """Guards against an outage of the others while a replacement joins."""
        self.domain.run(8)
        share = self.domain.owned("a")
        del self.domain.up["a"]
        self.domain.run(8)
        self.domain.start("a")
        for _ in range(26):
            self.domain.run(0.25)
            self.assertEqual(60 - share, self.total())
        self.domain.run(1)
        self.assertEqual(share, self.domain.owned("a"))
        self.assertEqual(60, self.total())

    def test_replacement_waits_for_requests_on_its_slots(self):
        """Guards against an acknowledgement before the share fits."""
        self.domain.run(8)
        del self.domain.up["a"]
        self.domain.run(8)
        server = next(
            s for s in SERVERS if self.domain.up["b"].owned(s) == max_owned(self.domain)
        )
        busy = self.domain.up["b"]
        for _ in range(busy.owned(server)):
            busy.started(server)
        self.domain.start("a")
        self.domain.run(9)
        self.assertEqual(0, self.domain.owned("a"))
        for _ in range(busy.in_flight(server)):
            busy.finished(server)
        self.domain.run(0.5)
        self.assertEqual(60, self.total())

    def test_silent_but_listed_member_keeps_its_slots(self):
        """Guards against takeover on silence alone."""
        self.domain.run(8)
        before = self.domain.owned("b")
        self.domain.run(30, paused=("a",))
        self.assertEqual(before, self.domain.owned("b"))

    def test_paused_member_uses_nothing_until_acknowledged(self):
        """Guards against a paused process that resumes with slots it has lost."""
        self.domain.run(8)
        self.domain.listed.discard("a")
        self.domain.run(9, paused=("a",))
        self.assertEqual(60, self.total())
        self.assertEqual(0, self.domain.owned("a"))
        self.domain.up["a"].tick()
        self.assertEqual(0, self.domain.owned("a"))
        self.domain.run(0.25)
        self.assertGreater(self.domain.owned("a"), 0)
        self.assertEqual(60, self.total())

    def test_graceful_release_moves_slots_at_once(self):
        """Guards against headroom lost to a planned stop."""
        self.domain.run(8)
        self.domain.up["a"].release()
        self.assertEqual(0, self.domain.owned("a"))
        self.domain.run(0.25)
        self.assertEqual(60, self.total())

    def test_superseded_incarnation_owns_nothing(self):
        """Guards against a replaced process that runs on beside its replacement."""
        self.domain.run(8)
        old = self.domain.up["a"]
        self.domain.start("a")
        self.domain.run(0.25)
        old.tick()
        answer = self.domain.up["b"].receive(old.heartbeat())
        old.acknowledged(answer, self.domain.clock.monotonic())
        self.assertTrue(old.superseded)
        self.assertEqual(0, sum(old.owned(server) for server in SERVERS))

    def test_roster_change_moves_slots_only_between_acknowledged_members(self):
        """Guards against a planned name that stops the running members."""
        self.domain.run(8)
        self.domain.names = ["a", "b", "c", "d"]
        for ledger in self.domain.up.values():
            ledger.set_roster(self.domain.names)
        self.assertGreater(self.total(), 30)
        self.domain.start("d")
        self.domain.listed.add("d")
        self.domain.run(8)
        self.assertGreater(self.domain.owned("d"), 0)
        self.assertEqual(60, self.total())


def max_owned(domain):
    return max(domain.up["b"].owned(server) for server in SERVERS)
