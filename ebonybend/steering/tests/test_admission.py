from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.steering import Admission, ServerResult, SlotLedger
from ebonybend.world import ServerState


def only_member(clock, slots):
    """Return the ledger of a domain's only entry, which owns all slots."""
    ledger = SlotLedger("a", 1, clock, 2.0, 5.0)
    ledger.set_roster(["a"])
    ledger.set_servers(slots)
    clock.advance(7.5)
    ledger.tick()
    clock.advance(0.25)
    ledger.tick()
    return ledger


class AdmissionTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.ledger = only_member(self.clock, {"s": 4})
        self.admission = Admission(self.ledger, self.clock)
        self.admission.limit("s")

    def settle(self, seconds=1.0):
        for _ in range(int(seconds / 0.25)):
            self.clock.advance(0.25)
            self.ledger.tick()
            self.admission.limit("s")

    def finish(self, result, count=1):
        for _ in range(count):
            self.assertTrue(self.admission.acquire("s"))
            self.admission.release("s", result, 0.01)

    def test_slow_start_by_time(self):
        """Guards against a full load on a server with cold caches."""
        limits = []
        for _ in range(4):
            limits.append(self.admission.limit("s"))
            self.settle(0.25)
        self.assertEqual([1, 2, 3, 4], limits)

    def test_slow_start_by_successes(self):
        """Guards against a slow start that ignores fast answers."""
        self.finish(ServerResult.SUCCESS, 4)
        self.assertEqual(2, self.admission.limit("s"))

    def test_limit_is_never_exceeded(self):
        """Guards against more requests than slots."""
        self.settle()
        started = [self.admission.acquire("s") for _ in range(6)]
        self.assertEqual([True] * 4 + [False] * 2, started)
        self.assertEqual(0, self.admission.free_slots("s"))

    def test_shed_halves_then_recovers_one_per_second(self):
        """Guards against a server that is pushed while it sheds load."""
        self.settle()
        self.finish(ServerResult.SHED)
        self.assertEqual(2, self.admission.limit("s"))
        self.settle()
        self.assertEqual(3, self.admission.limit("s"))
        self.settle()
        self.assertEqual(4, self.admission.limit("s"))

    def test_repeated_sheds_keep_one_slot(self):
        """Guards against a server that is never tried again."""
        self.settle()
        self.finish(ServerResult.SHED, 5)
        self.assertEqual(1, self.admission.limit("s"))

    def test_leaving_server_gets_nothing(self):
        """Guards against new work on a server that drains or is down."""
        self.settle()
        for state, limit in [
            (ServerState.DRAINING, 0),
            (ServerState.DOWN, 0),
            (ServerState.COLD, 1),
        ]:
            self.admission.set_state("s", state)
            self.assertEqual(limit, self.admission.limit("s"))
        self.admission.set_state("s", ServerState.READY)
        self.assertEqual(1, self.admission.limit("s"))
        self.admission.set_drained(["s"])
        self.assertEqual(0, self.admission.limit("s"))

    def test_lost_server_starts_slowly(self):
        """Guards against a full load on a server that has just restarted."""
        self.settle()
        self.finish(ServerResult.LOST)
        self.assertEqual(1, self.admission.limit("s"))
        self.assertEqual(1, self.admission.failures("s"))

    def test_paused_process_starts_nothing(self):
        """Guards against a slot that is used after its owner was paused."""
        self.settle()
        self.clock.advance(2.0)
        self.assertFalse(self.admission.acquire("s"))
