from random import Random

from returns.result import Success
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import Clock

from ebonybend.codec import from_json, to_json
from ebonybend.store.audit_log import MAX_CHUNK_ENTRIES, AuditEntry, AuditLog
from ebonybend.store.rules_store import (
    RECENT_CHANGES,
    ApplyFailureKind,
    ProposedChange,
    RulesObject,
    RulesStore,
)
from ebonybend.store.tests.memory_store import MemoryStore, StoreClient, result_of

TEXT = "# Ana (audit): busy\nweights service={} latency=0.8 headroom=0.2\n"


def proposed(base, change_id="c1", author="Ana"):
    return ProposedChange(change_id, base, TEXT.format(change_id), author, "test")


class StoreCase(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.memory = MemoryStore(self.clock)
        self.rules_in_force = RulesObject()
        self.client = StoreClient(self.memory)
        self.store = self.rules_store(self.client)

    def rules_store(self, client):
        audit = AuditLog(client)
        return RulesStore(
            client,
            audit,
            self.clock,
            Random(1),
            lambda: self.rules_in_force,
            lambda: 5.0,
        )

    def apply(self, change, store=None):
        return result_of(self.clock, (store or self.store).apply(change))

    def stored(self):
        return from_json(bytes(self.memory.objects["rules", "main"].value), RulesObject)

    def count_writes(self):
        return self.memory.writes.count(("rules", "main"))


class LostAnswerTest(TestWithScenarios, StoreCase):
    """Guards against a change that is lost, or written twice, when a call fails."""

    scenarios = [
        ("answer lost", {"faults": {"lose_answers": 1}}),
        ("answers lost", {"faults": {"lose_answers": 3}}),
        ("request lost", {"faults": {"lose_requests": 1}}),
        ("both", {"faults": {"lose_requests": 1, "lose_answers": 1}}),
        ("late write", {"faults": {"delay_writes_s": 0.15}}),
        ("very late write", {"faults": {"delay_writes_s": 2.0}}),
    ]

    def test_writes_once(self):
        self.apply(proposed(0, "c0"))
        for name, value in self.faults.items():
            setattr(self.client, name, value)
        applied = self.apply(proposed(1))
        self.clock.advance(5)
        self.assertIsInstance(applied, Success)
        self.assertEqual(2, self.stored().revision)
        self.assertEqual(["c0", "c1"], [x.change_id for x in self.stored().recent])
        self.assertEqual(2, self.count_writes())

    def test_resend_after_later_change(self):
        for name, value in self.faults.items():
            setattr(self.client, name, value)
        self.apply(proposed(0))
        self.apply(proposed(1, "c2"))
        again = self.apply(proposed(0))
        self.assertEqual(1, again.unwrap().accepted_revision("c1"))
        self.assertEqual(2, self.stored().revision)


class ConflictTest(StoreCase):
    """Guards against two simultaneous edits that are both accepted, or both refused."""

    def test_exactly_one_wins(self):
        other = self.rules_store(StoreClient(self.memory))
        both = gatherResults(
            [
                Deferred.fromCoroutine(self.store.apply(proposed(0, "c1", "Ana"))),
                Deferred.fromCoroutine(other.apply(proposed(0, "c2", "Ben"))),
            ]
        )
        while not both.called:
            self.clock.advance(0.005)
        results = self.successResultOf(both)
        won = [x for x in results if isinstance(x, Success)]
        lost = [x.failure() for x in results if not isinstance(x, Success)]
        self.assertEqual((1, 1), (len(won), len(lost)))
        self.assertIs(ApplyFailureKind.CONFLICT, lost[0].kind)
        self.assertEqual(won[0].unwrap().author, lost[0].current.author)
        self.assertEqual(1, self.stored().revision)

    def successResultOf(self, deferred):
        found = []
        deferred.addCallback(found.append)
        return found[0]

    def test_lost_answer_of_the_loser_is_a_conflict(self):
        other = self.rules_store(StoreClient(self.memory))
        self.client.lose_requests = 1
        self.clock.callLater(
            0.02,
            lambda: Deferred.fromCoroutine(other.apply(proposed(0, "c2", "Ben"))),
        )
        failure = self.apply(proposed(0)).failure()
        self.assertIs(ApplyFailureKind.CONFLICT, failure.kind)
        self.assertEqual("Ben", failure.current.author)


class OutageTest(StoreCase):
    """Guards against a wrong report of whether a change was written in an outage."""

    def test_down_from_the_start_wrote_nothing(self):
        self.client.down = True
        failure = self.apply(proposed(0)).failure()
        self.assertIs(ApplyFailureKind.UNAVAILABLE, failure.kind)

    def test_down_after_the_write_is_unresolved(self):
        self.client.lose_answers = 1
        self.clock.callLater(0.012, setattr, self.client, "down", True)
        failure = self.apply(proposed(0)).failure()
        self.assertIs(ApplyFailureKind.UNRESOLVED, failure.kind)
        self.client.down = False
        self.assertEqual(1, self.apply(proposed(0)).unwrap().revision)
        self.assertEqual(1, self.count_writes())


class RevisionTest(StoreCase):
    """Guards against a revision that goes down or is used twice."""

    def test_continues_from_the_revision_in_force(self):
        self.memory.write("rules", "main", to_json(RulesObject(3, "old", "")))
        self.rules_in_force = RulesObject(7, "newest", "", "Eva")
        conflict = self.apply(proposed(3)).failure()
        self.assertEqual(7, conflict.current.revision)
        self.assertEqual(8, self.apply(proposed(7)).unwrap().revision)


class AuditTest(StoreCase):
    """Guards against a change that leaves the rules object but isn't in the log."""

    def changes(self):
        logged = result_of(self.clock, self.store.audit.newest(1000)).unwrap()
        return [entry.change_id for entry in logged]

    def test_changes_are_archived_once(self):
        total = 3 * RECENT_CHANGES
        for revision in range(total):
            self.client.lose_answers = revision % 3
            self.apply(proposed(revision, f"c{revision}"))
        recent = [x.change_id for x in self.stored().recent]
        archived = self.changes()
        self.assertEqual(RECENT_CHANGES, len(recent))
        self.assertEqual(len(archived), len(set(archived)))
        self.assertEqual({f"c{n}" for n in range(total)}, {*recent, *archived})

    def test_chunks_are_bounded(self):
        log = self.store.audit
        for batch in range(5):
            entries = [
                AuditEntry(float(n), "Ana", f"event {batch}/{n}") for n in range(250)
            ]
            self.client.lose_answers = 1
            result_of(self.clock, log.append(entries)).unwrap()
        sizes = [
            len(from_json(bytes(x.value), dict)["entries"])
            for key, x in self.memory.objects.items()
            if key[0] == "audit"
        ]
        self.assertEqual([MAX_CHUNK_ENTRIES, MAX_CHUNK_ENTRIES, 250], sizes)
        fresh = AuditLog(self.client)
        newest = result_of(self.clock, fresh.newest(600)).unwrap()
        self.assertEqual("event 4/249", newest[0].event)
        self.assertEqual(600, len(set(newest)))

    def test_two_logs_lose_no_entry(self):
        logs = [AuditLog(StoreClient(self.memory)) for _ in range(4)]
        runs = gatherResults(
            [
                Deferred.fromCoroutine(log.append([AuditEntry(0.0, "a", str(n))]))
                for n, log in enumerate(logs)
            ]
        )
        while not runs.called:
            self.clock.advance(0.005)
        newest = result_of(self.clock, logs[0].newest(10)).unwrap()
        self.assertEqual({"0", "1", "2", "3"}, {x.event for x in newest})


class ChangeAuditTest(StoreCase):
    """Guards against an accepted change without its audit entry."""

    def test_one_write_holds_both(self):
        rules = self.apply(proposed(0)).unwrap()
        self.assertEqual([("rules", "main")], self.memory.writes)
        self.assertEqual("c1", rules.recent[-1].change_id)
        self.assertIn("weights", rules.recent[-1].difference[0])
