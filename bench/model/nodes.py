"""Nodes of the model: the real forwarder on simulated connections and heartbeats."""

from collections.abc import Callable
from math import inf
from random import Random
from typing import Any

from attrs import define, frozen
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from bench.model.clock import SimulatedClock
from bench.model.policies import build_policy
from bench.model.servers import Job, ModelServer, ServerAnswer
from bench.model.world import Deployment
from ebonybend.errors import SteeringError
from ebonybend.node.backend_connection import (
    AnswerNotReceived,
    BackendAnswer,
    LossReason,
)
from ebonybend.node.backend_pool import BackendUnreachable
from ebonybend.node.caller_requests import ClientRequest
from ebonybend.node.crash_watch import CrashWatch
from ebonybend.node.demand import RegionSteering
from ebonybend.node.forwarder import Forwarder
from ebonybend.node.members import (
    HEARTBEAT_PERIOD_S,
    Member,
    Members,
    NodeHeartbeat,
)
from ebonybend.node.pause_gate import PauseGate
from ebonybend.node.wire import ServerLoad
from ebonybend.steering.crashes import CrashDetector
from ebonybend.steering.returns import ClientRetryDetector
from ebonybend.steering.server_state import ServerTable
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.steering.shared_rates import RetryWindow
from ebonybend.world import BackendServer
from ebonybend.world.route import Route, ServiceLimits

RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 56.0, 10.0
COLD_RATE, COLD_S = 16.0, 3.0


@frozen
class ModelHeaders:
    """The headers of an answer, already decoded."""

    answer: ServerAnswer


class ModelWire:
    """The formats of the model."""

    def server_headers(self, server: str, remaining_s: float) -> tuple:
        """Return no headers."""
        return ()

    def states_not_run(self, status: int, headers: ModelHeaders) -> bool:
        """Return whether the server refused the request."""
        return headers.answer.not_run

    def states_leaving(self, _headers: Headers) -> bool:
        """Return that no server leaves."""
        return False

    def read_pause(self, _status: int, _headers: Headers) -> float:
        """Return that no server asks for a pause."""
        return 0.0

    def read_limit(self, headers: ModelHeaders) -> float:
        """Return that no server names a limit."""
        return inf

    def read_load(self, headers: ModelHeaders) -> ServerLoad:
        """Return the load that the answer reports."""
        return ServerLoad(headers.answer.running, headers.answer.waiting, 0)


@define
class ModelConnection:
    """A connection of a node to a server."""

    pool: "ModelPool"
    server: ModelServer
    one_way_s: float

    def close(self) -> None:
        """Do nothing; connections have no cost here."""

    def send(
        self, _method: bytes, request_id: bytes, _data: bytes, _ack_timeout_ms: int
    ) -> Deferred[BackendAnswer]:
        """Send a request; cancelling the result drops it on the server."""
        clock = self.pool.clock
        waiting: Deferred[BackendAnswer] = Deferred(lambda _: cancel())

        def cancel() -> None:
            clock.callLater(self.one_way_s, self.server.cancel, job)
            waiting.errback(AnswerNotReceived(LossReason.ABORTED))

        def deliver(answer: ServerAnswer) -> None:
            if waiting.called:
                return
            if answer.status:
                waiting.callback(
                    BackendAnswer(answer.status, ModelHeaders(answer), b"")
                )
            else:
                waiting.errback(AnswerNotReceived(LossReason.CLOSED))

        work_s, key = self.pool.work[request_id]
        job = Job(work_s, key, lambda a: clock.callLater(self.one_way_s, deliver, a))
        clock.callLater(self.one_way_s, self._arrive, job)
        return waiting

    def _arrive(self, job: Job) -> None:
        if self.server.is_up:
            self.server.receive(job)
        else:
            job.on_end(ServerAnswer(0, 0, 0))


class ModelPool:
    """The connections of a node; the first to a server takes a round trip."""

    def __init__(
        self,
        clock: SimulatedClock,
        servers: dict[str, ModelServer],
        one_way_s: Callable[[str], float],
    ):
        self.clock = clock
        self.servers = servers
        self.one_way_s = one_way_s
        self.connections: dict[str, ModelConnection] = {}
        # Work and object of each request.
        self.work: dict[bytes, tuple[float, bytes]] = {}

    def acquire(self, server: BackendServer, _non_idempotent: bool) -> Any:
        """Return a connection if the server was reached before and is up."""
        if not self.servers[server.name].is_up:
            self.connections.pop(server.name, None)
        return self.connections.get(server.name)

    async def connect(self, server: BackendServer) -> ModelConnection:
        """Open a connection; raise BackendUnreachable if the server is down."""
        target = self.servers[server.name]
        one_way_s = self.one_way_s(target.region)
        opened: Deferred[None] = Deferred()
        self.clock.callLater(2 * one_way_s, opened.callback, None)
        await opened
        if not target.is_up:
            raise BackendUnreachable("refused", True)
        connection = ModelConnection(self, target, one_way_s)
        self.connections[server.name] = connection
        return connection

    def add_idle(self, _server: BackendServer, _connection: ModelConnection) -> None:
        """Do nothing; connect has kept the connection."""


class ModelNode:
    """One node: the forwarder and what it believes of servers and other nodes."""

    def __init__(
        self,
        name: str,
        region: str,
        deployment: Deployment,
        clock: SimulatedClock,
        servers: dict[str, ModelServer],
        policy: str,
        random: Random,
    ):
        self.name = name
        self.region = region
        self.deployment = deployment
        self.clock = clock
        self.random = random
        self.table = ServerTable(random.random)
        self.times = ServiceTimes()
        self.own = Member(name, f"{region}-a", region, f"{name}:1", f"{name}:2", 1)
        self.members = Members(self.own)
        self.heartbeat_count = 0
        self.pool = ModelPool(clock, servers, self.one_way_s)
        self.regions = RegionSteering(
            region,
            lambda: deployment.regions,
            lambda: deployment.max_shift,
            self.table,
            self.times,
            self.members,
            clock.seconds,
        )
        placement = build_policy(
            policy, self.table, self.times, self.members.node_count, random
        )
        self.retry_detector = ClientRetryDetector()
        self.forwarder = Forwarder(
            clock,
            self.pool,
            placement,
            self.regions,
            ModelWire(),
            lambda: RetryWindow(RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S),
            self.members.node_count,
            random,
            CrashWatch(clock, self.pool, CrashDetector(clock), self.table),
            PauseGate(clock, lambda: None, lambda time: True),
        )
        self.forwarder.services = {
            name: ServiceLimits(name, 300, COLD_S, COLD_RATE)
            for name in deployment.servers
        }

    def one_way_s(self, region: str) -> float:
        """Return the time to a region."""
        if region == self.region:
            return self.deployment.within_region_s
        return self.deployment.between_regions_s

    def apply_servers(self, listed: dict[str, BackendServer]) -> None:
        """Apply the list of servers that are up."""
        self.table.update(listed, self.clock.seconds())

    def heartbeat(self, is_local: bool) -> NodeHeartbeat:
        """Return the next heartbeat."""
        regions = self.regions
        demand = regions.own_demand() if is_local else regions.region_demand()
        self.heartbeat_count += 1
        return NodeHeartbeat(
            name=self.name,
            incarnation=1,
            count=self.heartbeat_count,
            ready=True,
            newest={},
            followed_s=0.0,
            demand={name: round(slots * 100) for name, slots in demand.items()},
            member=self.own,
            ejected=self.table.ejected_servers(self.clock.seconds(), 16),
        )

    def receive_heartbeat(self, heartbeat: NodeHeartbeat) -> None:
        """Apply another node's heartbeat."""
        now = self.clock.seconds()
        if self.members.record_heartbeat(heartbeat, now):
            self.table.record_reports(heartbeat.name, heartbeat.ejected, now)

    async def handle(
        self,
        request_id: bytes,
        route: Route,
        urgent_route: Route | None,
        object_key: bytes,
        work_s: float,
        deadline_s: float,
    ) -> tuple[int, float | None]:
        """Return the status for the caller, and when it may come back."""
        self.pool.work[request_id] = work_s, object_key
        now = self.clock.seconds()
        request = ClientRequest(
            request_id=request_id,
            method=b"GET",
            uri=request_id,
            headers=Headers(),
            body=b"",
            route=route,
            service=route.parts[0].service,
            object_key=object_key,
            arrived_at=now,
            deadline=now + deadline_s,
            urgent_route=urgent_route,
            is_client_retry=self.retry_detector.is_client_retry(route.name, deadline_s),
        )
        try:
            answer = await self.forwarder.forward(request)
        except SteeringError as error:
            delay_s = None
            if error.retry_after_ms is not None:
                delay_s = error.retry_after_ms / 1000
            return error.answer.status, delay_s
        finally:
            del self.pool.work[request_id]
        return answer.status, None


def exchange_heartbeats(nodes: list[ModelNode], clock: SimulatedClock) -> None:
    """Update the traffic shares and send heartbeats, now and each period."""
    for sender in nodes:
        sender.regions.update()
        heartbeats = {local: sender.heartbeat(local) for local in (True, False)}
        for receiver in nodes:
            if receiver is not sender:
                clock.callLater(
                    sender.one_way_s(receiver.region),
                    receiver.receive_heartbeat,
                    heartbeats[receiver.region == sender.region],
                )
    clock.callLater(HEARTBEAT_PERIOD_S, exchange_heartbeats, nodes, clock)
