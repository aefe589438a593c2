from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from ebonybend.codec import to_json
from ebonybend.node.refusal_trials import (
    FAILED_CLAIM_PERIOD_S,
    OBJECT_NAME,
    StoredTrialClaims,
)
from ebonybend.platform.documents import REFUSED_KIND, PlatformDocuments
from ebonybend.store.tests.memory_store import MemoryStore, StoreClient, result_of

WALL_S = 1_000_000.0
SINCE_CRASH_S = 30.0


class ObjectDocuments(PlatformDocuments):
    """Encode values in the form in which the platform's store returns them."""

    def encode_trials(self, trials):
        """Return a complete object."""
        return to_json({"Metadata": {"Name": OBJECT_NAME}, "Spec": trials})


class Node:
    """The claims of one node."""

    def __init__(self, store):
        self.clock = store.clock
        self.client = StoreClient(store)
        self.claims = StoredTrialClaims(
            self.client,
            ObjectDocuments(),
            lambda: WALL_S + self.clock.seconds(),
            self.clock.seconds,
        )

    def claim(self, name="bad-1", since_crash_s=SINCE_CRASH_S):
        return result_of(self.clock, self.claims.claim(name, since_crash_s))


class OneTrialTest(TestWithScenarios, TestCase):
    """Guards against several trials of one culprit, and a trial that nobody makes."""

    scenarios = [
        ("the store answers", {}),
        ("the write's answer is lost", {"lose_answers": 1}),
        ("the write is lost", {"lose_requests": 1}),
        ("the store is down for a while", {"down": True}),
        ("the object can't be read", {"odd": True}),
    ]
    lose_answers = 0
    lose_requests = 0
    down = False
    odd = False

    def test_one_permit_in_all(self):
        store = MemoryStore(Clock())
        nodes = [Node(store) for _ in range(3)]
        if self.odd:
            store.write(REFUSED_KIND, OBJECT_NAME, b"{}")
        nodes[0].client.lose_answers = self.lose_answers
        nodes[0].client.lose_requests = self.lose_requests
        for node in nodes:
            node.client.down = self.down
        permits = 0
        for _ in range(5):
            permits += sum(node.claim() for node in nodes)
            store.clock.advance(FAILED_CLAIM_PERIOD_S)
            for node in nodes:
                node.client.down = False
        self.assertEqual(1, permits)

    def test_at_the_same_time(self):
        store = MemoryStore(Clock())
        nodes = [Node(store) for _ in range(3)]
        found = []
        for node in nodes:
            claim = Deferred.fromCoroutine(node.claims.claim("bad-1", SINCE_CRASH_S))
            claim.addCallback(found.append)
        for _ in range(100):
            store.clock.advance(0.01)
        self.assertEqual([False, False, True], sorted(found))


class PermitTest(TestCase):
    """Guards against a permit that is lost, or used twice."""

    def test_unused_permit_is_kept(self):
        node = Node(MemoryStore(Clock()))
        self.assertTrue(node.claim())
        node.claims.give_back("bad-1")
        self.assertTrue(node.claim())
        self.assertFalse(node.claim())

    def test_unused_permit_is_of_no_use_right_after_another_crash(self):
        node = Node(MemoryStore(Clock()))
        node.claims.give_back("bad-1")
        self.assertFalse(node.claim(since_crash_s=1.0))
        self.assertTrue(node.claim())

    def test_calls_to_the_store_are_limited(self):
        node = Node(MemoryStore(Clock()))
        self.assertTrue(node.claim())
        calls = node.client.calls
        for number in range(100):
            node.claim(f"bad{number}-1")
        self.assertEqual(calls, node.client.calls)

    def test_no_call_before_it_is_due(self):
        node = Node(MemoryStore(Clock()))
        self.assertFalse(node.claim(since_crash_s=1.0))
        self.assertEqual(0, node.client.calls)

    def test_trials_are_known_after_the_store_came_back_from_a_copy(self):
        store = MemoryStore(Clock())
        node = Node(store)
        copy = store.copy()
        self.assertTrue(node.claim())
        store.restore(copy)
        store.clock.advance(5.0)
        self.assertTrue(node.claim("other-1"))
        store.clock.advance(5.0)
        self.assertFalse(Node(store).claim())
