"""Nodes that lose requests on servers that crash, and tell one another."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count
from random import Random

from attrs import define, field
from twisted.internet.task import Clock

from ebonybend.node.beats import HeartbeatProtocol
from ebonybend.node.crash_notices import CrashNotices
from ebonybend.node.members import HEARTBEAT_PERIOD_S, Member, Members
from ebonybend.node.server_reports import ServerReportExchange
from ebonybend.node.tests.beat_double import heartbeat
from ebonybend.steering.crashes import CrashDetector
from ebonybend.steering.server_state import ServerTable
from ebonybend.tasks import ReactorClock
from ebonybend.world.backend_server import ServerProcess

REGIONS = 3
TRAVEL_S = 0.055
# From the end of a connection until a node finds that nothing listens at the address.
CHECK_S = 0.16
STEP_S = 0.02


class SimulatedNode:
    """The part of a node that finds crashing requests."""

    def __init__(self, fleet: "CrashFleet", own: Member):
        self.fleet = fleet
        self.members = Members(own)
        clock = fleet.clock
        self.detector = CrashDetector(ReactorClock(clock))
        self.servers = ServerTable()
        self.exchange = ServerReportExchange(
            self.servers,
            self.detector,
            clock.seconds,
            lambda: self.notices.schedule(),
            lambda: self.notices.schedule(),
        )
        self.beats = HeartbeatProtocol(
            self.members,
            self.build_heartbeat,
            clock.seconds,
            self.on_heartbeat,
            lambda notice: self.notices.receive(notice),
        )
        self.notices = CrashNotices(
            own.name,
            clock,
            self.detector.untold,
            self.members.node_count,
            self.beats.send_notice,
            self.exchange.apply_evidence,
        )
        self.beats.transport = self
        self.count = 0
        self.datagrams_sent = self.bytes_sent = 0

    def build_heartbeat(self, _is_local):
        self.count += 1
        return heartbeat(
            self.members.own, count=self.count, reports=self.exchange.build()
        )

    def on_heartbeat(self, beat):
        if beat.reports is not None:
            self.exchange.apply(beat.name, beat.reports)

    def write(self, data, address):
        self.datagrams_sent += 1
        self.bytes_sent += len(data)
        self.fleet.deliver(self.members.own.region, data, address)

    def lose(self, server, name):
        self.detector.record_lost_request(server, name)
        self.fleet.clock.callLater(CHECK_S, self.find_end, server)

    def find_end(self, server):
        is_new = self.servers.record_end(server, self.fleet.clock.seconds())
        crashes = self.detector.record_end(server)
        self.exchange.on_end(server.name, crashes, "refused connection", is_new)


@define
class CrashFleet:
    """Nodes in three regions, and servers that crash under their requests."""

    node_count: int
    loss: float = 0.0
    seed: int = 1
    # Two regions between which all datagrams are lost.
    cut: frozenset[str] = frozenset()
    clock: Clock = field(factory=Clock)
    nodes: list[SimulatedNode] = field(factory=list)
    random: Random = field(init=False)
    by_address: dict[str, SimulatedNode] = field(factory=dict)
    # Datagrams by their time of arrival.
    in_flight: list[tuple] = field(factory=list)
    numbers: Iterator[int] = field(factory=count)

    def __attrs_post_init__(self):
        self.random = Random(self.seed)
        for number in range(self.node_count):
            region = f"r{number % REGIONS}"
            ip = f"10.1.{number // 250}.{number % 250 + 1}"
            member = Member(f"n{number}", region, region, f"{ip}:80", f"{ip}:81", 1)
            node = self.by_address[member.peer_address] = SimulatedNode(self, member)
            self.nodes.append(node)
        listed = {node.members.own.name: node.members.own for node in self.nodes}
        for node in self.nodes:
            node.members.update_list(listed, 0.0)
            self.clock.callLater(self.random.random() * HEARTBEAT_PERIOD_S, beat, node)
        # The first heartbeats let the nodes know one another.
        self.advance(2 * HEARTBEAT_PERIOD_S)

    def deliver(self, region, data, address):
        node = self.by_address["{}:{}".format(*address)]
        is_cut = {region, node.members.own.region} == self.cut
        if is_cut or self.random.random() < self.loss:
            return
        arrives_at = self.clock.seconds() + TRAVEL_S * self.random.random()
        heappush(self.in_flight, (arrives_at, next(self.numbers), node, data))

    def advance(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            while self.in_flight and self.in_flight[0][0] <= self.clock.seconds():
                _, _, node, data = heappop(self.in_flight)
                node.beats.datagramReceived(data, ("10.1.0.1", 81))

    def crash(self, number, culprits, crowd):
        """Crash a server under requests at one node each, and a crowd beside them."""
        server = ServerProcess(f"i-{number:010x}", 1_700_000_000_000 + number)
        names = [*culprits, *(f"beside{number}-{index}" for index in range(crowd))]
        self.random.shuffle(names)
        for name in names:
            self.random.choice(self.nodes).lose(server, name)

    def refusing(self, name):
        return sum(node.detector.is_refused(name) for node in self.nodes)


def beat(node):
    node.beats.send()
    node.fleet.clock.callLater(HEARTBEAT_PERIOD_S, beat, node)
