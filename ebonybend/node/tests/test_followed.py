from random import Random

from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.task import Clock

from ebonybend.codec import to_json
from ebonybend.node.followed import WatchedState
from ebonybend.node.members import Member, Members
from ebonybend.node.pulses import PING_TIMEOUT_S
from ebonybend.node.relayed_store import RelayedStore
from ebonybend.node.routing_state import RoutingState
from ebonybend.node.settings import NodeSettings, SharedBounds
from ebonybend.node.tests.beat_double import heartbeat
from ebonybend.platform.documents import PlatformDocuments
from ebonybend.platform.tests.server_entry import server_entry
from ebonybend.steering.lapsed import shortest_lapse_s
from ebonybend.steering.relays import PULSE_PERIOD_S, Relays
from ebonybend.steering.server_state import ServerTable
from ebonybend.store.tests.memory_store import MemoryStore, StoreClient
from ebonybend.tasks import Tasks

SETTLE_S = 4.0
OUTAGE_S = 4.0
OWN = Member("n1", "a-1", "a", "10.1.0.1:80", "10.1.0.1:81", 1)
OTHER = evolve(OWN, name="n2", peer_address="10.1.0.2:81")
SETTINGS = NodeSettings(
    name="n1",
    failure_domain="a-1",
    region="a",
    ip="10.1.0.1",
    callers_address="10.1.0.1:80",
    ready_address="10.1.0.1:82",
    directory_address="10.1.0.1:83",
    peer_port=81,
    store_address="10.2.0.1:80",
    regions={"a-1": "a"},
    bounds=SharedBounds(settle_s=SETTLE_S),
)


class WatchingNode:
    """A node without ports that watches a store."""

    def __init__(self):
        self.clock = Clock()
        self.store = MemoryStore(self.clock)
        self.client = StoreClient(self.store)
        self.servers = ServerTable()
        self.put("config", "main", {"Version": 1})
        self.put("servers", "s1", server_entry("10.3.0.1:80"))
        self.put("servers", "s2", server_entry("10.3.0.2:80"))
        self.relayed_store = RelayedStore(
            self.client,
            Relays("n1"),
            None,
            self.clock,
            0.0,
            on_return=lambda *outage: self.watched_state.renew_watches(*outage),
            shortest_outage_s=lambda: shortest_lapse_s(SETTINGS.report_period_s),
        )
        self.watched_state = WatchedState(
            self.relayed_store,
            PlatformDocuments(),
            self.clock,
            Random(1),
            RoutingState(),
            self.servers,
            Members(OWN),
            lambda: SETTINGS,
            lambda: None,
            lambda servers: None,
        )
        self.watched_state.start()
        self.tasks = Tasks(self.clock)
        self.tasks.repeat(PULSE_PERIOD_S, self.ping)
        self.run(1.0)

    async def ping(self):
        await self.relayed_store.ping("nodes", "n1", PING_TIMEOUT_S)

    def put(self, kind, name, spec, deleted=False):
        value = to_json({"Metadata": {"Name": name}, "Spec": spec})
        self.store.write(kind, name, value, deleted)

    def run(self, seconds):
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self.clock.advance(0.01)

    def disconnect(self, seconds):
        """Disconnect the node from the store for a time; its open watches fail."""
        self.client.down = True
        self.run(seconds)
        self.client.down = False

    def wait_for_store(self):
        while not self.watched_state.store_contact_s():
            self.run(0.01)

    def heartbeat(self, followed_s):
        self.watched_state.apply_heartbeat(heartbeat(OTHER, followed_s=followed_s))


class CountedDocuments(PlatformDocuments):
    """Count the server entries that are decoded."""

    def __init__(self):
        self.decoded = 0

    def decode_server(self, stored, regions):
        """Count and decode an entry."""
        self.decoded += 1
        return super().decode_server(stored, regions)


class ManyServersTest(TestCase):
    """Guards against work for each change that grows with the number of servers."""

    def test_only_changed_entries_are_decoded(self):
        node = WatchingNode()
        documents = node.watched_state.documents = CountedDocuments()
        node.put("servers", "s2", server_entry("10.3.0.9:80"))
        node.run(2.0)
        self.assertEqual(1, documents.decoded)
        self.assertEqual("10.3.0.9:80", node.servers.states["s2"].server.address)

    def test_changed_regions_apply_to_all_servers(self):
        node = WatchingNode()
        documents = node.watched_state.documents = CountedDocuments()
        node.watched_state.redecode_servers()
        self.assertEqual(2, documents.decoded)


class MissingServerTest(TestWithScenarios, TestCase):
    """Guards against requests to a server removed while the node was disconnected."""

    scenarios = [
        ("no other node", {"contact_s": None, "retained": True}),
        (
            "another node was connected throughout",
            {"contact_s": 9.0, "retained": False},
        ),
        ("another node reconnected as late", {"contact_s": 0.1, "retained": True}),
        ("another node can't reach the store", {"contact_s": 0.0, "retained": True}),
    ]

    def test_missing_server_after_recovery(self):
        node = WatchingNode()
        node.client.down = True
        node.put("servers", "s1", server_entry("10.3.0.1:80"), deleted=True)
        node.disconnect(8.0)
        node.wait_for_store()
        self.assertIn("s1", node.servers.states)
        if self.contact_s is not None:
            node.heartbeat(self.contact_s)
        self.assertEqual(self.retained, "s1" in node.servers.states)
        node.run(SETTLE_S)
        self.assertEqual(["s2"], list(node.servers.states))

    def test_no_missing_server_is_used_after_the_settle_time(self):
        node = WatchingNode()
        node.client.down = True
        node.put("servers", "s1", server_entry("10.3.0.1:80"), deleted=True)
        node.disconnect(8.0)
        node.run(SETTLE_S)
        self.assertEqual(["s2"], list(node.servers.states))


class AvailableStoreTest(TestWithScenarios, TestCase):
    """Guards against requests to a removed server while watches end again and again.

    Load pattern: a server's entry is removed at the time 0 while the store answers.
    """

    scenarios = [
        ("watches are cut off twice", {"cuts": (-0.4, 1.6)}),
        ("watches are cut off again and again", {"cuts": (-2.0, -0.2, 0.1, 0.8, 2.0)}),
        ("the node asks again after a pause", {"resyncs": (-0.4, 1.6)}),
        ("calls are refused for short times", {"refusals": (-0.4, 1.6)}),
        ("all of these", {"cuts": (-0.6,), "resyncs": (0.5,), "refusals": (1.2, 1.9)}),
        ("an outage before it", {"outage_ended": -2.3, "cuts": (-0.4, 1.6)}),
    ]
    DRAIN_S = 2.5
    REFUSAL_S = 0.3
    cuts = ()
    resyncs = ()
    refusals = ()
    outage_ended = None

    def test_removed_server_leaves_use(self):
        node = WatchingNode()
        removed_at = 12.0

        def at(seconds, function, *arguments):
            delay_s = removed_at + seconds - node.clock.seconds()
            node.clock.callLater(delay_s, function, *arguments)

        def set_down(down):
            node.client.down, node.client.down_s = down, 0.01

        for seconds in self.cuts:
            at(seconds, node.store.cut_watches)
        for seconds in self.resyncs:
            at(seconds, node.watched_state.resync)
        for seconds in self.refusals:
            at(seconds, set_down, True)
            at(seconds + self.REFUSAL_S, set_down, False)
        if self.outage_ended is not None:
            at(self.outage_ended - OUTAGE_S, set_down, True)
            at(self.outage_ended, set_down, False)
        entry = server_entry("10.3.0.1:80")
        at(0.0, lambda: node.put("servers", "s1", entry, deleted=True))
        node.run(removed_at + self.DRAIN_S - node.clock.seconds())
        self.assertEqual(["s2"], list(node.servers.states))


class SilentOutageTest(TestCase):
    """Guards against dropping servers whose entries expired in a silent outage.

    The watch on servers waited during the outage, which only other calls showed.
    """

    def test_expired_entries_are_retained_as_after_a_failed_watch(self):
        node = WatchingNode()
        node.client.silent = True
        node.run(OUTAGE_S)
        node.client.silent = False
        node.put("servers", "s1", server_entry("10.3.0.1:80"), deleted=True)
        node.wait_for_store()
        node.run(0.1)
        self.assertIn("s1", node.servers.states)
        node.run(SETTLE_S)
        self.assertEqual(["s2"], list(node.servers.states))


class RestoredStoreTest(TestWithScenarios, TestCase):
    """Guards against dropping servers that an older copy of the store lacks.

    Another node has reached the store for long, by what it knows of the time before.
    """

    scenarios = [
        ("told from before the return", {"era": 1}),
        ("told from after the return", {"era": 2, "contact_s": 0.1}),
    ]
    contact_s = 9.0

    def test_servers_are_held(self):
        node = WatchingNode()
        node.store.era = 1
        node.run(0.5)
        node.put("servers", "s3", server_entry("10.3.0.3:80"))
        node.run(0.5)
        copy = node.store.copy()
        node.put("servers", "s1", server_entry("10.3.0.1:80"))
        node.run(6.0)
        self.assertGreater(node.watched_state.store_contact_s(), 6.0)
        version, objects = copy
        objects = {key: x for key, x in objects.items() if key[1] != "s1"}
        node.store.restore((version, objects))
        node.run(0.7)
        self.assertLess(node.watched_state.store_contact_s(), 1.0)
        node.watched_state.apply_heartbeat(
            heartbeat(OTHER, followed_s=self.contact_s, era=self.era)
        )
        self.assertIn("s1", node.servers.states)
        node.run(SETTLE_S)
        self.assertEqual(["s2", "s3"], sorted(node.servers.states))


class DeletedNewestTest(TestCase):
    """Guards against endless lists on a node that listed after the last deletion.

    Other nodes saw the deletion itself, so they report its version as the newest.
    """

    def test_a_complete_list_is_not_behind(self):
        node = WatchingNode()
        node.put("servers", "s1", server_entry("10.3.0.1:80"), deleted=True)
        deleted_at = node.store.version
        node.watched_state.watchers_by_kind["servers"].version = None
        node.watched_state.watchers_by_kind["servers"].resync()
        node.watched_state.watchers_by_kind["servers"].newest_version = 0
        node.run(1.0)
        calls = node.client.calls
        for _ in range(10):
            node.watched_state.apply_heartbeat(
                heartbeat(OTHER, newest={"servers": deleted_at})
            )
            node.run(0.7)
        self.assertEqual(calls, node.client.calls)
