from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.codec import pack
from ebonybend.errors import SteeringError
from ebonybend.peers.merge import Replica, instance_version
from ebonybend.peers.records import (
    MAIN,
    DomainSummary,
    LoadRecord,
    Record,
    RecordKind,
    RecordName,
    RulesRecord,
)
from ebonybend.tests.profile import REPEATABLE


def rules(revision):
    body = RulesRecord(revision, f"c{revision}", f"text {revision}", "a", "r", 0.0)
    return Record(RecordKind.RULES, MAIN, revision, pack(body))


def load(name, incarnation, counter):
    body = LoadRecord(name, counter, 0)
    return Record(
        RecordKind.LOAD, name, instance_version(incarnation, counter), pack(body), name
    )


def domain(name, counter, writer):
    body = DomainSummary(name, writer, (), counter, (), (), 0)
    return Record(RecordKind.DOMAIN, name, counter, pack(body), writer)


RECORDS = st.one_of(
    st.builds(rules, st.integers(1, 30)),
    st.builds(load, st.sampled_from("ab"), st.integers(1, 3), st.integers(0, 5)),
    st.builds(domain, st.sampled_from("de"), st.integers(1, 5), st.sampled_from("xyz")),
)


def contents(replica):
    return {key: stored.record.body for key, stored in replica.stored.items()}


class MergeTest(TestCase):
    """Guards against replicas that differ after merging the same records."""

    @REPEATABLE
    @given(st.lists(RECORDS, max_size=30), st.randoms(use_true_random=False))
    def test_order_and_duplication_do_not_matter(self, records, random):
        first, second = Replica(ManualClock()), Replica(ManualClock())
        shuffled = records + random.choices(records, k=5) if records else []
        random.shuffle(shuffled)
        for record in records:
            first.merge_record(record)
        for record in shuffled:
            second.merge_record(record)
        self.assertEqual(contents(first), contents(second))
        self.assertEqual(first.slow_digest(), second.slow_digest())

    def test_writers_of_one_version_are_ordered(self):
        first, second = Replica(ManualClock()), Replica(ManualClock())
        records = [domain("d", 1, "x"), domain("d", 1, "y")]
        for record in records:
            first.merge_record(record)
        for record in reversed(records):
            second.merge_record(record)
        self.assertEqual(contents(first), contents(second))

    @REPEATABLE
    @given(st.lists(st.tuples(st.integers(0, 2), RECORDS), max_size=30))
    def test_replicas_converge_after_losses(self, deliveries):
        replicas = [Replica(ManualClock()) for _ in range(3)]
        for index, record in deliveries:
            replicas[index].merge_record(record)
        for source in (*replicas, *replicas):
            for target in replicas:
                for key in tuple(source.stored):
                    target.merge_record(source.record(key))
        self.assertEqual(contents(replicas[0]), contents(replicas[1]))
        self.assertEqual(contents(replicas[0]), contents(replicas[2]))

    @REPEATABLE
    @given(st.lists(RECORDS, max_size=40))
    def test_versions_never_decrease(self, records):
        replica = Replica(ManualClock())
        seen = {}
        for record in records:
            replica.merge_record(record)
            for key, stored in replica.stored.items():
                self.assertGreaterEqual(stored.record.version, seen.get(key, 0))
                seen[key] = stored.record.version

    @REPEATABLE
    @given(st.lists(RECORDS, max_size=20), st.lists(RECORDS, max_size=20))
    def test_differences_are_complete(self, ours, theirs):
        here, there = Replica(ManualClock()), Replica(ManualClock())
        for record in ours:
            here.merge_record(record)
        for record in theirs:
            there.merge_record(record)
        for kind in (RecordKind.LOAD, RecordKind.DOMAIN):
            newer = here.newer_than(kind, there.versions(kind))
            for record in here.records(newer):
                there.merge_record(record)
            self.assertEqual([], here.newer_than(kind, there.versions(kind)))


class ReplicaTest(TestCase):
    """Guards against wrong ages and malformed records that replace valid ones."""

    def test_ages_grow_and_are_passed_on(self):
        clock = ManualClock()
        first, second = Replica(clock), Replica(ManualClock(5.0))
        first.merge_record(load("a", 1, 1))
        clock.advance(2.0)
        second.merge_record(first.record(RecordName(RecordKind.LOAD, "a")))
        self.assertAlmostEqual(2.0, second.age_s(RecordKind.LOAD, "a"))

    def test_malformed_record_changes_nothing(self):
        replica = Replica(ManualClock())
        replica.merge_record(rules(3))
        bad = Record(RecordKind.RULES, MAIN, 9, b"\xc1")
        self.assertRaises(SteeringError, replica.merge_record, bad)
        self.assertEqual(3, replica.version(RecordKind.RULES))

    def test_a_lower_revision_is_ignored(self):
        replica = Replica(ManualClock())
        replica.merge_record(rules(5))
        self.assertFalse(replica.merge_record(rules(4)))
        self.assertEqual("text 5", replica.get(RecordKind.RULES).text)
