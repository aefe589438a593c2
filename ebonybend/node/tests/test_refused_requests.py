from random import Random

from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.task import Clock

from ebonybend.codec import to_json
from ebonybend.node.members import Member, Members
from ebonybend.node.refused_requests import (
    LIFTED_NAME,
    LIFTED_PERIOD_S,
    RefusedRequestStore,
)
from ebonybend.node.tests.beat_double import heartbeat
from ebonybend.platform.documents import REFUSED_KIND, PlatformDocuments
from ebonybend.steering.crash_evidence import CrashEvidence
from ebonybend.steering.crash_suspects import REFUSED_LIFETIME_S
from ebonybend.steering.crashes import CrashDetector
from ebonybend.store.tests.memory_store import MemoryStore, StoreClient, result_of
from ebonybend.store.watcher import Backoff
from ebonybend.tasks import ReactorClock, Tasks

FIRST = Member("n1", "k-a", "k", "10.1.0.1:80", "10.1.0.1:81", 1)
SECOND = evolve(FIRST, name="n2", peer_address="10.1.0.2:81")
WALL_S = 1_000_000.0


class ObjectDocuments(PlatformDocuments):
    """Encode values in the form in which the platform's store returns them."""

    def encode_refused(self, refused):
        """Return a complete object."""
        return to_json({"Metadata": {"Name": "all"}, "Spec": refused})


class Node:
    """The refused requests of one node."""

    def __init__(self, store, own=FIRST, wall_s=WALL_S):
        self.clock = store.clock
        self.detector = CrashDetector(ReactorClock(self.clock))
        self.members = Members(own)
        self.client = StoreClient(store)
        self.refused = RefusedRequestStore(
            self.client,
            ObjectDocuments(),
            self.detector,
            self.members,
            lambda: wall_s + self.clock.seconds(),
            self.clock.seconds,
            Backoff(Random(1)),
        )

    def restore(self):
        result_of(self.clock, self.refused.restore(Tasks(self.clock)))

    def write(self):
        result_of(self.clock, self.refused.write())


class RefusedRequestTest(TestWithScenarios, TestCase):
    """Guards against crashing requests that are forgotten when all nodes restart."""

    scenarios = [
        ("written", {"refused": True}),
        ("the write's answer is lost", {"lose_answers": 1, "refused": True}),
        ("the write is lost", {"lose_requests": 1, "refused": True}),
        ("long ago", {"wall_s": WALL_S + REFUSED_LIFETIME_S + 9.0, "refused": False}),
        ("the clock was set back", {"wall_s": WALL_S - 9.0, "refused": True}),
    ]
    lose_answers = 0
    lose_requests = 0
    wall_s = WALL_S

    def test_restored(self):
        store = MemoryStore(Clock())
        before = Node(store)
        before.restore()
        before.client.lose_answers = self.lose_answers
        before.client.lose_requests = self.lose_requests
        before.detector.restore_refused("bad", 0.0)
        before.write()
        before.write()
        after = Node(store, wall_s=self.wall_s)
        after.restore()
        self.assertEqual(self.refused, after.detector.is_refused("bad"))


class SharedObjectTest(TestCase):
    """Guards against nodes that overwrite what others refuse, or all write it."""

    def test_two_writers(self):
        store = MemoryStore(Clock())
        nodes = [Node(store), Node(store, SECOND)]
        for node in nodes:
            node.restore()
            node.detector.restore_refused(f"bad of {node.members.own.name}", 0.0)
        for node in nodes:
            node.write()
        after = Node(store)
        after.restore()
        self.assertEqual(2, len(after.detector.suspects))

    def test_one_node_of_a_region_writes_what_others_refuse(self):
        store = MemoryStore(Clock())
        second = Node(store, SECOND)
        second.restore()
        second.members.record_heartbeat(heartbeat(FIRST), 0.0)
        second.detector.restore_refused("bad", 0.0)
        result_of(second.clock, second.refused.exchange_if_first())
        self.assertEqual([], store.writes)
        first = Node(store)
        first.restore()
        first.detector.restore_refused("bad", 0.0)
        for _ in range(3):
            result_of(first.clock, first.refused.exchange_if_first())
        self.assertEqual([(REFUSED_KIND, "all")], store.writes)

    def test_object_that_the_store_lost_is_written_again(self):
        store = MemoryStore(Clock())
        node = Node(store)
        node.restore()
        copy = store.copy()
        node.detector.restore_refused("bad", 0.0)
        node.write()
        store.restore(copy)
        node.refused.begin_era()
        node.write()
        after = Node(store)
        after.restore()
        self.assertTrue(after.detector.is_refused("bad"))

    def test_cleared_request_is_removed(self):
        store = MemoryStore(Clock())
        node = Node(store)
        node.restore()
        node.detector.restore_refused("good-1", 0.0)
        node.write()
        for number in range(4):
            names = ["bad-1", "good-1"] if number < 3 else ["bad-1"]
            evidence = CrashEvidence("s", number, requests=tuple(names))
            node.detector.merge_evidence(evidence)
        node.write()
        after = Node(store)
        after.restore()
        self.assertTrue(after.detector.is_refused("bad-1"))
        self.assertFalse(after.detector.is_refused("good-1"))

    def test_odd_object_is_replaced(self):
        store = MemoryStore(Clock())
        store.write(REFUSED_KIND, "all", b"{}")
        node = Node(store)
        node.restore()
        node.detector.restore_refused("bad", 0.0)
        node.write()
        after = Node(store)
        after.restore()
        self.assertTrue(after.detector.is_refused("bad"))


class LiftedTest(TestWithScenarios, TestCase):
    """Guards against an operator who can't end a refusal."""

    scenarios = [
        ("lifted", {"lifted": {"bad-1": 1_000_005_000}, "refused": False}),
        ("before its last crash", {"lifted": {"bad-1": 999_990_000}}),
        ("another one", {"lifted": {"bad-2": 1_000_005_000}}),
        ("not readable", {"lifted": {"bad-1": "now"}}),
    ]
    refused = True

    def test_lifted(self):
        store = MemoryStore(Clock())
        node = Node(store)
        node.restore()
        node.detector.restore_refused("bad-1", 0.0)
        result_of(node.clock, node.refused.exchange_if_first())
        spec = {"Spec": {"lifted_ms": self.lifted}}
        store.write(REFUSED_KIND, LIFTED_NAME, to_json(spec))
        node.clock.advance(LIFTED_PERIOD_S)
        result_of(node.clock, node.refused.exchange_if_first())
        self.assertEqual(self.refused, node.detector.is_refused("bad-1"))
        after = Node(store)
        after.restore()
        self.assertEqual(self.refused, after.detector.is_refused("bad-1"))

    def test_store_is_not_asked_without_refusals(self):
        store = MemoryStore(Clock())
        node = Node(store)
        node.clock.advance(LIFTED_PERIOD_S)
        result_of(node.clock, node.refused.exchange_if_first())
        self.assertEqual(0, node.client.calls)
