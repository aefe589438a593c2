"""Nodes of one region, relays and the store, in simulated time."""

from random import Random

from returns.result import Failure, Success
from twisted.internet.defer import CancelledError
from twisted.internet.task import Clock, deferLater

from ebonybend.node.followed import MAX_BACKOFF_S
from ebonybend.node.members import Member, Members
from ebonybend.node.pulses import PING_TIMEOUT_S, PulseProtocol
from ebonybend.node.relayed_store import (
    RelayedStore,
)
from ebonybend.steering.relays import (
    PULSE_PERIOD_S,
    Relays,
)
from ebonybend.store.client import StoreFailure, StoreFailureKind
from ebonybend.store.tests.memory_store import (
    CALL_S,
    MemoryStore,
    StoreClient,
    cancelled,
)
from ebonybend.store.watcher import Watcher
from ebonybend.tasks import Tasks

KIND = "servers"
KINDS = (KIND, "config", "evacuations", "nodes")
NODES = 12
BATCH_DELAY_S = 0.4
# Time in which a busy relay serves one request; those for several kinds take turns.
FETCH_S = 0.012
DATAGRAM_S = 0.001
# The bound on a change to be in force, with room for the calls themselves.
IN_FORCE_S = 2.5
STEP_S = 0.01
OUTAGE_S = 10.0
# The bound on a node to be up to date after an outage.
CONTACT_S = 3.0


class Datagrams:
    """The datagrams of one node; they arrive after the delay of the network."""

    def __init__(self, region, sender):
        self.region = region
        self.sender = sender

    def write(self, data, address):
        receiver = self.region.nodes[address[0]]
        if not self.sender.silent and not receiver.silent:
            self.region.clock.callLater(
                DATAGRAM_S, receiver.pulses.datagramReceived, data, address
            )


class Node:
    """A node that follows one kind of object."""

    def __init__(self, region, name, kinds):
        self.region = region
        self.client = StoreClient(region.memory)
        self.client.eras.on_change = lambda: region.clock.callLater(0, self.begin_era)
        self.relays = Relays(name)
        self.store = RelayedStore(
            self.client,
            self.relays,
            region.fetch,
            region.clock,
            BATCH_DELAY_S,
            lambda: self.relays.is_candidate(region.live_names()),
            self.renew_watches,
        )
        self.members = Members(region.member(name))
        self.pulses = PulseProtocol(
            self.members,
            self.relays,
            f"{name}:82",
            self.versions,
            lambda: self.watcher.era,
            self.ping,
            region.clock.seconds,
            self.store.wake,
        )
        self.pulses.transport = Datagrams(region, self)
        self.watchers = {
            kind: Watcher(
                self.store,
                kind,
                region.clock,
                Random(f"{name} {kind}"),
                lambda *_: self.pulses.send(),
                max_backoff_s=MAX_BACKOFF_S,
                watch_timeout_ms=16_000,
            )
            for kind in kinds
        }
        self.watcher = self.watchers[KIND]
        self.tasks = Tasks(region.clock)
        # Whether the process is killed or cut off from the other nodes.
        self.silent = False
        # Whether its changes can't be read, though it sends pulses.
        self.refuses = False

    def start(self):
        members = {name: self.region.member(name) for name in self.region.nodes}
        self.members.update_list(members, 0.0)
        for watcher in self.watchers.values():
            watcher.start()
        self.tasks.repeat(PULSE_PERIOD_S, self.pulses.send_if_in_contact)

    def versions(self):
        if any(w.failing or w.version is None for w in self.watchers.values()):
            return None
        if self.store.is_following():
            return None
        return {kind: watcher.version for kind, watcher in self.watchers.items()}

    async def ping(self):
        return await self.store.ping(KIND, "own", PING_TIMEOUT_S)

    def begin_era(self):
        for watcher in self.watchers.values():
            if watcher.era != self.client.eras.current:
                watcher.begin_era()

    def renew_watches(self, lost_at, answered_kind):
        for kind, watcher in self.watchers.items():
            if kind != answered_kind:
                watcher.renew(lost_at)


class Region:
    """Nodes of one region and the store, in simulated time."""

    def __init__(self, kinds=(KIND,), down=False, nodes=NODES):
        self.clock = Clock()
        self.memory = MemoryStore(self.clock, era=1)
        for kind in kinds:
            self.memory.write(kind, "first", b"1")
        names = [f"10.0.0.{number}" for number in range(nodes)]
        self.nodes = {name: Node(self, name, kinds) for name in names}
        for node in self.nodes.values():
            node.client.down = down
            node.start()
        self.run(5.0)

    def restart(self, name, down=False):
        """Replace a node by one that has read nothing yet."""
        previous = self.nodes[name]
        for watcher in previous.watchers.values():
            watcher.stop()
        previous.tasks.stop()
        node = self.nodes[name] = Node(self, name, tuple(previous.watchers))
        node.client.down = down
        node.start()
        return node

    def live_names(self):
        return [name for name, node in self.nodes.items() if not node.silent]

    def set_down(self, down, answer_s=CALL_S):
        for node in self.nodes.values():
            node.client.down = down
            node.client.down_s = answer_s

    def member(self, name):
        return Member(name, "a-1", "a", f"{name}:80", f"{name}:81", 1)

    async def fetch(self, address, kind, since, era):
        try:
            await deferLater(self.clock, FETCH_S * (1 + KINDS.index(kind)))
        except CancelledError:
            return Failure(cancelled())
        node = self.nodes[address.partition(":")[0]]
        watcher = node.watchers[kind]
        changes = None if node.silent else watcher.changes_since(since, era)
        if changes is None or node.refuses:
            return Failure(StoreFailure(StoreFailureKind.UNAVAILABLE, "no answer"))
        return Success(changes)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def relays(self):
        return [node for node in self.nodes.values() if not node.store.is_following()]

    def calls(self):
        return sum(node.client.calls for node in self.nodes.values())

    def change(self, name, deleted=False):
        return self.memory.write(KIND, name, b"2", deleted)

    def all_have(self, version):
        return all(
            node.watcher.version >= version
            for node in self.nodes.values()
            if not node.silent and not node.client.down
        )
