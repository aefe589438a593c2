from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.peers.records import SuspectRecord
from ebonybend.peers.suspects import MAX_SUSPECTS, SuspectSet
from ebonybend.tests.profile import REPEATABLE

RECORDS = st.builds(
    SuspectRecord,
    st.sampled_from(["f", "g"]),
    st.integers(1, 4),
    st.booleans(),
    st.sampled_from([0.0, 10_000.0, 30_000.0]),
    st.none(),
    st.lists(st.sampled_from(["s1", "s2"]), unique=True, max_size=2).map(tuple),
)


class SuspectSetTest(TestCase):
    """Guards against suspects that are lost, never expire or are wrongly cleared."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.suspects = SuspectSet(self.clock)

    def make_record(self, crashes=1, refused=False, age_ms=0.0, servers=("s1",)):
        return SuspectRecord("f", crashes, refused, age_ms, servers=servers)

    @REPEATABLE
    @given(st.lists(RECORDS, max_size=12), st.randoms(use_true_random=False))
    def test_order_and_duplication_do_not_matter(self, records, random):
        first, second = SuspectSet(ManualClock()), SuspectSet(ManualClock())
        shuffled = records * 2
        random.shuffle(shuffled)
        for record in records:
            first.merge(record)
        for record in shuffled:
            second.merge(record)
        self.assertEqual(first.digest(), second.digest())

    def test_exchanges_do_not_renew_a_suspect(self):
        other = SuspectSet(ManualClock(50.0))
        self.suspects.merge(self.make_record())
        for _ in range(100):
            for source, target in (
                (self.suspects, other),
                (other, self.suspects),
            ):
                records = source.records()
                # The transfer takes 0.1 s, which the sent age omits.
                self.clock.advance(0.1)
                other.clock.advance(0.1)
                for record in records:
                    target.merge(record)
            self.clock.advance(0.5)
            other.clock.advance(0.5)
        self.suspects.expire()
        self.assertEqual((), self.suspects.views())

    def test_crashes_of_two_servers_refuse(self):
        self.suspects.merge(self.make_record(servers=("s1",)))
        self.suspects.merge(self.make_record(servers=("s2",)))
        self.assertTrue(self.suspects.views()[0].refused)

    def test_success_clears_and_a_later_crash_counts_again(self):
        self.suspects.merge(self.make_record())
        self.clock.advance(1)
        self.suspects.clear("f")
        self.assertEqual((), self.suspects.views())
        self.suspects.merge(self.make_record(age_ms=1500.0))
        self.assertEqual((), self.suspects.views())
        self.clock.advance(1)
        self.suspects.merge(self.make_record(servers=("s2",)))
        self.assertEqual([1], [view.crashes for view in self.suspects.views()])

    def test_refusal_outlives_a_success_but_not_a_pardon(self):
        self.suspects.merge(self.make_record(refused=True))
        self.suspects.clear("f")
        self.clock.advance(1800)
        self.suspects.expire()
        self.assertEqual(1, len(self.suspects.views()))
        self.suspects.pardon(["f"])
        self.suspects.merge(self.make_record(refused=True))
        self.assertEqual((), self.suspects.views())

    def test_memory_is_bounded(self):
        for number in range(MAX_SUSPECTS + 10):
            self.suspects.merge(SuspectRecord(str(number), 1, False, 0.0))
        self.assertEqual(MAX_SUSPECTS, len(self.suspects.suspects))
