from attrs import evolve
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeReactor

from ebonybend.codec import pack, unpack
from ebonybend.entry.messages import FindOutcome, OutcomeFound, OutcomesPush
from ebonybend.entry.peer_client import PeerClient
from ebonybend.entry.replication import (
    FIND_PATH,
    OutcomeFinder,
    Replicator,
    answer_push,
)
from ebonybend.entry.table_state import TableState
from ebonybend.entry.tests.harness import OWN, ReactorClock, table
from ebonybend.http_client import HttpAnswer, NotSent
from ebonybend.steering.keys import KeyRegistry, StoredAnswer
from ebonybend.steering.outcomes import KnownOutcomeState, OutcomeStore
from ebonybend.steering.table import TableReply


class PeerPorts:
    """The peer ports of some instances, each with its own store."""

    def __init__(self, clock, names):
        self.stores = {f"{name}:2": OutcomeStore(clock) for name in names}

    async def request(self, method, address, path, body=b"", timeout=0.0):
        store = self.stores.get(address)
        if store is None:
            raise NotSent("refused", True)
        if path == FIND_PATH:
            ask = unpack(body, FindOutcome)
            reply = OutcomeFound(store.find(ask.key, ask.fingerprint))
        else:
            reply = answer_push(store, unpack(body, OutcomesPush))
        return HttpAnswer(200, {}, pack(reply))


class ReplicationTest(TestCase):
    """Guards against outcomes that are lost with their owner."""

    def setUp(self):
        super().setUp()
        self.reactor = FakeReactor()
        self.clock = ReactorClock(self.reactor)
        self.state = TableState(OWN, self.clock)
        self.state.accept(TableReply(table()))
        self.registry = KeyRegistry(OWN, 7, self.clock)
        self.ports = PeerPorts(self.clock, ["m1a", "m1b"])
        peers = PeerClient(self.ports)
        self.replicator = Replicator(self.reactor, self.state, self.registry, peers)
        finder_state = TableState("m1b", self.clock)
        finder_state.accept(TableReply(table()))
        self.finder = OutcomeFinder(finder_state, self.ports.stores["m1b:2"], peers)

    def finish(self, name):
        key = f"{OWN}~7~0~{name}"
        self.registry.reserve(key, "f")
        self.registry.begin_dispatch(key)
        self.registry.record_answer(
            key, StoredAnswer("f", 200, None, b"x" * 60_000, "s")
        )
        self.replicator.changed()
        return key

    def find(self, key):
        results = []
        finding = self.finder.find(key, "f", OWN, 1.0)
        Deferred.fromCoroutine(finding).addBoth(results.append)
        return results[0]

    def test_peer_is_found_and_gets_every_outcome(self):
        keys = [self.finish(str(number)) for number in range(30)]
        for key in keys:
            self.assertIs(KnownOutcomeState.FINISHED, self.find(key).state)
        self.assertIsNone(self.find(f"{OWN}~7~0~never"))

    def test_another_peer_gets_all_outcomes_again(self):
        first = self.finish("1")
        del self.ports.stores["m1a:2"]
        self.finish("2")
        instances = tuple(
            evolve(view, ready=view.name != "m1a") for view in table().instances
        )
        self.state.accept(TableReply(evolve(table(serial=2), instances=instances)))
        self.reactor.advance(0.3)
        self.assertIs(KnownOutcomeState.FINISHED, self.find(first).state)

    def test_seal_lets_a_peer_say_not_run(self):
        key = self.finish("1")
        results = []
        sealing = self.replicator.seal(self.registry.seal())
        Deferred.fromCoroutine(sealing).addBoth(results.append)
        self.assertEqual([True], results)
        self.assertIs(KnownOutcomeState.NOT_RUN, self.find(f"{OWN}~7~0~never").state)
        self.assertIs(KnownOutcomeState.FINISHED, self.find(key).state)
