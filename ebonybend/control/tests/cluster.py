"""Simulate controls with entries, peers and a platform on one simulated clock."""

from random import Random

from attrs import define
from twisted.internet.task import Clock, deferLater

from ebonybend.codec import pack, to_json, unpack
from ebonybend.control.core import ControlCore
from ebonybend.control.health_client import Health, ProbeFailed
from ebonybend.peers.records import ExchangeReply, ExchangeRequest
from ebonybend.settings import parse_settings
from ebonybend.steering.suspects import SuspectView
from ebonybend.steering.table import EntryReport
from ebonybend.store.tests.memory_store import MemoryStore, StoreClient
from ebonybend.tasks import Tasks
from ebonybend.world import (
    BackendServer,
    Deployment,
    FailureDomain,
    Instance,
    LifeState,
    Region,
    Service,
)

STEP_S = 0.01
LOCAL_DELAY_S = 0.001
REMOTE_DELAY_S = 0.055
TIMEOUT_S = 1.0
REPORT_PERIOD_S = 0.25
DOMAINS = {
    "k1": ("k1-a", "k1-b"),
    "k2": ("k2-a",),
    "m1": ("m1-a", "m1-b"),
    "v1": ("v1-a",),
}


def deployment(domains):
    failure_domains = tuple(
        FailureDomain(name, name[0], names) for name, names in domains.items()
    )
    regions = tuple(
        Region(name) for name in sorted({d.region for d in failure_domains})
    )
    return Deployment(regions, failure_domains, (), (Service("rides", "bm"),), ())


@define
class HealthDouble:
    """A health client of a backend server; with state None its probes fail."""

    state: str | None = "ready"

    async def get_health(self, timeout_s):
        if self.state is None:
            raise ProbeFailed("no answer")
        return Health(self.state, 1, 4)


@define
class EntryDouble:
    """An entry process that sends reports and receives tables."""

    node: "Node"
    incarnation: int = 1
    table: object = None
    state: LifeState = LifeState.LIVE
    suspects: tuple[SuspectView, ...] = ()
    servers: tuple = ()
    # Neither reports nor receives tables, like a paused process.
    paused: bool = False

    def report(self):
        table = self.table
        return EntryReport(
            self.node.name,
            self.incarnation,
            "127.0.0.1:1",
            "127.0.0.1:2",
            self.state,
            0,
            table.serial if table else 0,
            table.control_incarnation if table else 0,
            table.rules_revision if table else 0,
            servers=self.servers,
            suspects=self.suspects,
        )

    async def exchange(self):
        core = self.node.core
        if core is None or self.paused:
            return
        reply = await core.handle_entry_report(unpack(pack(self.report()), EntryReport))
        if reply.table is None:
            return
        if self.table is not None:
            old, new = self.table.rules_revision, reply.table.rules_revision
            assert new >= old, f"{self.node.name}: revision {old} became {new}"
        self.table = reply.table


@define
class Node:
    """One instance with its control, entry and store client."""

    cluster: "Cluster"
    name: str
    domain: str
    address: str
    store: StoreClient
    core: ControlCore | None = None
    entry: EntryDouble | None = None
    revision: int = 0
    # Time at which the control had synchronised.
    ready_at: float | None = None


@define
class Transport:
    """Deliver exchanges between nodes that are not partitioned from each other."""

    cluster: "Cluster"
    node: Node
    sent: int = 0

    async def send(self, address, request):
        data = pack(request)
        self.sent += len(data)
        target = self.cluster.node_at(address)
        delay = LOCAL_DELAY_S if target.domain == self.node.domain else REMOTE_DELAY_S
        await deferLater(self.cluster.clock, delay)
        if target.core is None:
            return None
        if not self.cluster.connected(self.node.name, target.name):
            await deferLater(self.cluster.clock, TIMEOUT_S)
            return None
        reply = pack(target.core.exchange.answer(unpack(data, ExchangeRequest)))
        await deferLater(self.cluster.clock, delay)
        return unpack(reply, ExchangeReply)

    async def fetch_shard(self, address, shard):
        target = self.cluster.node_at(address)
        await deferLater(self.cluster.clock, LOCAL_DELAY_S)
        connected = self.cluster.connected(self.node.name, target.name)
        if target.core is None or not connected:
            return None
        return target.core.shards.body(shard.name, shard.version)


class Cluster:
    """All nodes; the simulated time advances only in run."""

    def __init__(self, seed=1):
        self.domains = dict(DOMAINS)
        self.random = Random(seed)
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.nodes: dict[str, Node] = {}
        self.partitions: set[frozenset] = set()
        self.servers: dict[str, HealthDouble] = {}
        self.server_addresses: dict[str, str] = {}
        self.memory = MemoryStore(self.clock)
        self.tasks = Tasks(self.clock)
        self.write_platform()
        for domain, names in self.domains.items():
            for name in names:
                port = 2000 + len(self.nodes)
                self.nodes[name] = Node(
                    self, name, domain, f"127.0.0.1:{port}", StoreClient(self.memory)
                )
        for node in self.nodes.values():
            self.list_instance(node)

    def write_platform(self):
        self.write("deployment", "main", deployment(self.domains))
        for domain in self.domains:
            for number in range(3):
                self.list_server(f"rides-{domain}-{number}", domain)

    def write(self, kind, name, value):
        self.memory.write(kind, name, to_json(value))

    def list_server(self, name, domain, state=LifeState.LIVE):
        self.servers.setdefault(name, HealthDouble())
        port = 3000 + list(self.servers).index(name)
        address = f"127.0.0.1:{port}"
        self.server_addresses[address] = name
        server = BackendServer(name, "rides", domain, address, 4, state=state)
        self.write("server", name, server)

    def list_instance(self, node, state=LifeState.LIVE):
        self.write(
            "instance", node.name, Instance(node.name, node.domain, node.address, state)
        )

    def node_at(self, address):
        return next(x for x in self.nodes.values() if x.address == address)

    def connected(self, first, second):
        return frozenset((first, second)) not in self.partitions

    def partition(self, names):
        """Partition nodes from all others."""
        for name in names:
            for other in self.nodes:
                if other not in names:
                    self.partitions.add(frozenset((name, other)))

    def start(self, name):
        node = self.nodes[name]
        seeds = [x.address for x in self.nodes.values() if x is not node]
        settings = parse_settings(
            [
                "ebonybendd",
                "--role=control",
                f"--instance={name}",
                f"--failure_domain={node.domain}",
                f"--exchange_listen={node.address}",
                f"--seeds={','.join(seeds)}",
            ],
            {},
        )
        node.core = ControlCore(
            settings,
            self.clock.seconds(),
            self.clock,
            Random(self.random.random()),
            node.store,
            Transport(self, node),
            lambda address: self.servers[self.server_addresses[address]],
        )
        node.ready_at = None
        if node.entry is None:
            node.entry = EntryDouble(node)
            self.tasks.repeat(REPORT_PERIOD_S, node.entry.exchange)
        self.tasks.start(self._run(node, node.core))

    async def _run(self, node, core):
        await core.synchronise()
        if node.core is core and core.synchronised:
            node.ready_at = self.clock.seconds()
            core.start()

    def kill(self, name):
        node = self.nodes[name]
        node.core.stop()
        node.core = None
        node.revision = 0

    def start_all(self):
        for name in self.nodes:
            self.start(name)
        self.run(3.0)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self.check()

    def check(self):
        for node in self.nodes.values():
            if node.core is None:
                continue
            revision = node.core.rules.revision
            assert revision >= node.revision, f"{node.name}: revision went down"
            node.revision = revision

    def run_until(self, condition, seconds):
        """Return the time until a condition is true; fail after some seconds."""
        started = self.clock.seconds()
        while not condition():
            if self.clock.seconds() - started > seconds:
                raise AssertionError(f"not within {seconds} s")
            self.run(STEP_S)
        return self.clock.seconds() - started

    def tables(self):
        return [node.entry.table for node in self.nodes.values()]

    def in_force(self, revision, names=None):
        """Return whether the entries of the nodes have a revision in force."""
        chosen = names or self.nodes
        entries = (self.nodes[name].entry for name in chosen)
        return all(
            entry.table is not None and entry.table.rules_revision >= revision
            for entry in entries
        )
