from random import Random

from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.task import Clock

from ebonybend.codec import to_json
from ebonybend.node.demand import RegionSteering
from ebonybend.node.kept_state import MAX_AGE_S, CheckpointManager
from ebonybend.node.members import Member, Members
from ebonybend.node.tests.beat_double import heartbeat
from ebonybend.platform.documents import PlatformDocuments
from ebonybend.steering.server_state import ServerTable
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.store.tests.memory_store import MemoryStore, StoreClient, result_of
from ebonybend.store.watcher import Backoff
from ebonybend.tasks import Tasks
from ebonybend.world import BackendServer
from ebonybend.world.route import Route, RoutePart

FIRST = Member("n1", "k-a", "k", "10.1.0.1:80", "10.1.0.1:81", 1)
SECOND = evolve(FIRST, name="n2", peer_address="10.1.0.2:81")
ROUTE = Route("r", "h", "/", True, (RoutePart("s", 1.0),), 1, 1.0, 0.3, 1)
WALL_S = 1_000_000.0
MAX_SHIFT = 0.15


class ObjectDocuments(PlatformDocuments):
    """Encode values in the form in which the platform's store returns them."""

    def encode_checkpoint(self, checkpoint):
        """Return a complete object."""
        return to_json({"Metadata": {"Name": "k"}, "Spec": checkpoint})


class Node:
    """The region steering of one node, with its checkpoint."""

    def __init__(self, store, own=FIRST, wall_s=WALL_S):
        self.clock = store.clock
        table = ServerTable()
        servers = {
            f"{region}{i}": BackendServer(f"{region}{i}", "s", region, "1:1", 5)
            for region, count in (("k", 1), ("m", 3))
            for i in range(count)
        }
        table.update({n: evolve(s, region=n[0]) for n, s in servers.items()}, 0.0)
        self.times = ServiceTimes()
        self.members = Members(own)
        self.regions = RegionSteering(
            "k",
            lambda: ("k", "m"),
            lambda: MAX_SHIFT,
            table,
            self.times,
            self.members,
            self.clock.seconds,
        )
        self.client = StoreClient(store)
        self.checkpoints = CheckpointManager(
            self.client,
            ObjectDocuments(),
            self.regions,
            self.times,
            self.members,
            lambda: wall_s,
            self.clock.seconds,
            Backoff(Random(1)),
        )

    def restore(self):
        result_of(self.clock, self.checkpoints.restore(Tasks(self.clock)))

    def share(self):
        return round(self.regions.shares["s"].shares.get("k", 0.0), 3)


class RegionCheckpointTest(TestWithScenarios, TestCase):
    """Guards against cold objects after all nodes of a region restart at once.

    The region had assigned most of its objects to another region, and restarts under
    load. Without the saved shares, objects would move back to servers on which they
    are cold.
    """

    scenarios = [
        ("a second later", {"wall_s": WALL_S + 1, "share": 0.2}),
        ("the clock stepped back", {"wall_s": WALL_S - 4, "share": 0.2}),
        ("an hour later", {"wall_s": WALL_S + 60 * MAX_AGE_S, "share": 0.5}),
    ]

    def test_shares_after_a_restart(self):
        store = MemoryStore(Clock())
        old_node = Node(store)
        old_node.restore()
        old_node.regions.restore({"s": {"k": 0.2, "m": 0.8}})
        result_of(store.clock, old_node.checkpoints.write())
        new_node = Node(store, wall_s=self.wall_s)
        new_node.restore()
        new_node.regions.update()
        self.assertEqual(self.share, new_node.share())
        new_node.regions.record_request(ROUTE, "s")
        store.clock.advance(0.7)
        new_node.regions.update()
        self.assertLess(abs(new_node.share() - self.share), MAX_SHIFT)


class WriterTest(TestWithScenarios, TestCase):
    """Guards against needless writes to the store, and writes that are not retried."""

    scenarios = [
        ("the first node of the region", {"own": FIRST, "writes": 1}),
        ("another node", {"own": SECOND, "writes": 0}),
        ("nothing changed", {"own": FIRST, "again": True, "writes": 1}),
        ("the store was not read", {"own": FIRST, "read": False, "writes": 0}),
        (
            "the store lost it",
            {"own": FIRST, "era_begins": True, "again": True, "writes": 2},
        ),
        ("the answer is lost", {"own": FIRST, "lost": 1, "again": True, "writes": 2}),
    ]
    again = False
    era_begins = False
    read = True
    lost = 0

    def test_writes(self):
        store = MemoryStore(Clock())
        node = Node(store, self.own)
        other = FIRST if self.own is SECOND else SECOND
        node.members.record_heartbeat(
            heartbeat(other),
            0.0,
        )
        if self.read:
            node.restore()
        node.regions.update()
        node.client.lose_answers = self.lost
        result_of(store.clock, node.checkpoints.write())
        if self.era_begins:
            store.objects.clear()
            node.checkpoints.begin_era()
        if self.again:
            for _ in range(2):
                result_of(store.clock, node.checkpoints.write())
        self.assertEqual(self.writes, len(store.writes))
