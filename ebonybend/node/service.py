"""Run one node: ports, watches, beats and forwarding in one process."""

from asyncio import get_event_loop
from collections.abc import Callable, Mapping
from random import Random
from signal import SIGHUP, SIGINT, SIGTERM
from time import time
from typing import Any

from ebonybend.addresses import split_address
from ebonybend.errors import SteeringError
from ebonybend.http_server import HttpLimits, HttpSite
from ebonybend.listening import listen
from ebonybend.logs import LossyFile, get_logger
from ebonybend.node.backend_pool import BackendPool
from ebonybend.node.beats import BeatPort
from ebonybend.node.callers import ClientPort
from ebonybend.node.decisions import DecisionLog
from ebonybend.node.demand import RegionSteering
from ebonybend.node.followed import FollowedState
from ebonybend.node.forwarder import Forwarder
from ebonybend.node.kept_state import WRITE_PERIOD_S, StateKeeper
from ebonybend.node.members import BEAT_PERIOD_S, Beat, Member, Members
from ebonybend.node.membership import OwnEntry
from ebonybend.node.metrics import NodeMetrics
from ebonybend.node.ports import Directory, metrics_router, readiness_router
from ebonybend.node.routing_state import RoutingState
from ebonybend.node.settings import NodeSettings
from ebonybend.node.stop import NodeStop
from ebonybend.node.wire import Documents, Wire
from ebonybend.steering.crashes import CrashDetector
from ebonybend.steering.placement import Placement
from ebonybend.steering.server_state import ServerTable
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.steering.shared_rates import RetryWindow
from ebonybend.store.client import ObjectStore
from ebonybend.store.watcher import Backoff
from ebonybend.tasks import ReactorClock, Tasks
from ebonybend.world import BackendServer

MS_PER_S = 1000
SWEEP_PERIOD_S = 1.0
# The settings file may change without a signal.
RELOAD_PERIOD_S = 2.0
# Descriptors kept for the store, other nodes, files and backend servers.
RESERVED_DESCRIPTORS = 600
# Connections of callers that a node takes however few descriptors it has.
LEAST_CONNECTIONS = 100


class NodeService:
    """One node of the system."""

    def __init__(
        self,
        reactor: Any,
        settings: NodeSettings,
        store: ObjectStore,
        wire: Wire,
        documents: Documents,
        metrics_port: int,
        reload: Callable[[], NodeSettings],
        log_file: LossyFile,
    ):
        self.reactor = reactor
        self.settings = settings
        self.store = store
        self.wire = wire
        self.documents = documents
        self.metrics_port = metrics_port
        self.reload = reload
        self.random = Random()
        self.tasks = Tasks(reactor)
        self.metrics = NodeMetrics()
        self.routing = RoutingState()
        self.servers = ServerTable()
        self.pool = BackendPool(reactor, wire.request_id_header)
        self.decisions = DecisionLog(reactor.seconds, log_file)
        self.own = Member(
            settings.name,
            settings.failure_domain,
            settings.region,
            settings.callers_address,
            f"{settings.ip}:{settings.peer_port}",
            int(time() * MS_PER_S),
        )
        self.members = Members(self.own)
        self.beat_count = 0
        self.crashes = CrashDetector(ReactorClock(reactor))
        self.forwarder = self._build_forwarder()
        self.followed = FollowedState(
            store,
            documents,
            reactor,
            self.random,
            self.routing,
            self.servers,
            self.members,
            lambda: self.settings,
            self.on_routing,
            self.on_servers,
        )
        self.keeper = StateKeeper(
            store,
            documents,
            self.regions,
            self.times,
            self.members,
            time,
            reactor.seconds,
            Backoff(self.random),
        )
        self._build_sites()
        self.beats = BeatPort(
            self.members, self.own_beat, reactor.seconds, self.on_beat
        )
        self.stop = NodeStop(
            reactor,
            settings.bounds.grace_s,
            self.announce_stop,
            self.close_ports,
            lambda: self.client_site.running,
            self.end,
        )

    def _build_forwarder(self) -> Forwarder:
        self.times = ServiceTimes()
        self.regions = RegionSteering(
            self.settings.region,
            lambda: set(self.settings.regions.values()),
            lambda: self.settings.bounds.max_shift,
            self.servers,
            self.times,
            self.members,
            self.reactor.seconds,
        )
        return Forwarder(
            self.reactor,
            self.pool,
            Placement(self.servers, self.times),
            self.regions,
            self.wire,
            self.new_window,
            self.members.count,
            self.random,
            self.crashes,
        )

    def new_window(self) -> RetryWindow:
        """Return the bound on repeated sends to one service."""
        bounds = self.settings.bounds
        return RetryWindow(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
        )

    def _build_sites(self) -> None:
        settings = self.settings
        callers = ClientPort(
            self.routing,
            self.forwarder,
            self.wire,
            self.reactor.seconds,
            self.metrics,
            self.decisions,
            self.followed.is_complete,
        )
        directory = Directory(
            self.members,
            self.wire,
            self.is_ready,
            self.reactor.seconds,
            settings.bounds.max_lookup_s,
        )
        self.client_site = HttpSite(self.reactor, callers.handle, self._limits())
        self.client_site.cancels_abandoned = True
        self.sites = {
            settings.callers_address: self.client_site,
            settings.ready_address: self._site(
                readiness_router(self.wire, self.is_ready)
            ),
            settings.directory_address: self._site(directory.router),
            f"{settings.ip}:{self.metrics_port}": self._site(
                metrics_router(self.metrics, self.refresh_metrics)
            ),
        }
        self.ports: dict[str, Any] = {}

    def _site(self, handler: Any) -> HttpSite:
        return HttpSite(self.reactor, handler, HttpLimits(max_connections=500))

    def _limits(self) -> HttpLimits:
        limits = self.routing.limits
        return HttpLimits(
            max_body_bytes=limits.max_body_bytes,
            max_header_bytes=limits.max_header_bytes,
            max_connections=max(
                self.settings.max_descriptors - RESERVED_DESCRIPTORS, 100
            ),
            receive_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            times_headers_only=True,
        )

    def is_ready(self) -> bool:
        """Tell whether callers should use this node."""
        return self.followed.is_complete() and not self.stop.stopping

    def own_beat(self, is_near: bool) -> Beat:
        """Return what this node tells nodes of its region, or of others, now."""
        regions = self.regions
        demand = regions.own_demand() if is_near else regions.region_demand()
        self.beat_count += 1
        return Beat(
            name=self.own.name,
            incarnation=self.own.incarnation,
            count=self.beat_count,
            ready=self.is_ready(),
            demand={name: round(slots * 100) for name, slots in demand.items()},
            suspects=self.crashes.suspects_to_report(),
            newest=self.followed.newest(),
            followed_s=self.followed.followed_s(),
            member=self.own,
        )

    def on_beat(self, beat: Beat) -> None:
        """Take in suspects and newer versions that another node tells."""
        if beat.suspects:
            self.crashes.registry.merge(*beat.suspects)
        self.followed.compare(beat)

    def on_routing(self) -> None:
        """Use the services and limits of a new configuration."""
        self.forwarder.services = self.routing.services
        self.client_site.limits = self._limits()

    def on_servers(self, servers: Mapping[str, BackendServer]) -> None:
        """Forget what is known of servers and routes that no longer exist."""
        self.pool.retain(servers.values())
        if self.routing.version is None:
            return
        routes = {route.name for route in self.routing.routes}
        self.times.retain(set(servers), routes)

    def refresh_metrics(self) -> None:
        """Set the gauges that are read when the metrics are served."""
        self.metrics.store_calls.set(getattr(self.store, "platform_calls", 0))
        self.metrics.opened.set(self.pool.opened)
        self.metrics.config_version.set(self.routing.version or 0)
        self.metrics.nodes.set(self.members.alive_count(self.reactor.seconds()))

    def start(self) -> None:
        """Listen, follow the store and tell the others."""
        for address, site in self.sites.items():
            self.ports[address] = listen(self.reactor, "listen", address, site)
        host, port = split_address(self.own.peer_address)
        self.ports[self.own.peer_address] = self.reactor.listenUDP(
            port, self.beats, interface=host
        )
        loop = get_event_loop()
        for number in (SIGTERM, SIGINT):
            loop.add_signal_handler(number, self.stop.request)
        loop.add_signal_handler(SIGHUP, self.on_reload)
        self.followed.start()
        entry = OwnEntry(self.store, self.documents, self.own, self.random)
        self.tasks.start(entry.write(self.tasks))
        self.tasks.start(self.keeper.restore(self.tasks))
        self.tasks.repeat(BEAT_PERIOD_S, self._beat)
        self.tasks.repeat(WRITE_PERIOD_S, self.keeper.write)
        self.tasks.repeat(SWEEP_PERIOD_S, self._sweep)
        self.tasks.repeat(RELOAD_PERIOD_S, self._reload)
        get_logger().info("node_started", incarnation=self.own.incarnation)

    async def _beat(self) -> None:
        self.regions.update()
        self.beats.send()

    async def _sweep(self) -> None:
        self.pool.sweep()
        self.decisions.report_dropped()

    async def _reload(self) -> None:
        self.on_reload()

    def on_reload(self) -> None:
        """Take in changed bounds and regions; addresses stay until a restart."""
        try:
            settings = self.reload()
        except SteeringError as error:
            get_logger().error("settings_refused", error=error.message)
            return
        if settings == self.settings:
            return
        if settings.bounds != self.settings.bounds:
            self.forwarder.windows.clear()
        self.settings = settings
        self.followed.forget_decoded()
        get_logger().info("settings_reloaded")

    def announce_stop(self) -> None:
        """Tell callers and the other nodes that this node stops."""
        self.client_site.closing = True
        self.beats.send_to_all()

    def close_ports(self) -> None:
        """Accept no more connections, and close those that carry no request."""
        for address in (self.settings.callers_address, self.settings.directory_address):
            self.ports[address].stopListening()
        self.client_site.close_idle()

    def end(self) -> None:
        """End the process."""
        self.tasks.stop()
        self.followed.stop()
        self.reactor.callLater(0, self.reactor.stop)
