"""Run one node: ports, watches, heartbeats and forwarding in one process."""

from asyncio import get_event_loop
from collections.abc import Callable, Mapping
from random import Random
from signal import SIGHUP, SIGINT, SIGTERM
from time import time
from typing import Any

from ebonybend.errors import SteeringError
from ebonybend.http_client import HttpClient
from ebonybend.http_server import HttpLimits, HttpSite
from ebonybend.listening import close_port
from ebonybend.logs import NonBlockingLogFile, get_logger
from ebonybend.node.answer_memory import AnswerMemory, answer_memory_bytes
from ebonybend.node.backend_pool import BackendPool
from ebonybend.node.beats import HeartbeatProtocol
from ebonybend.node.callers import ClientPort
from ebonybend.node.crash_notices import CrashNotices
from ebonybend.node.crash_watch import CrashWatch
from ebonybend.node.decisions import RequestLog
from ebonybend.node.demand import RegionSteering
from ebonybend.node.followed import WatchedState
from ebonybend.node.forwarder import Forwarder
from ebonybend.node.kept_state import WRITE_PERIOD_S, CheckpointManager
from ebonybend.node.members import (
    HEARTBEAT_PERIOD_S,
    Member,
    Members,
    NodeHeartbeat,
)
from ebonybend.node.membership import OwnEntryWriter
from ebonybend.node.metrics import NodeMetrics
from ebonybend.node.pause_gate import TICK_PERIOD_S, PauseGate
from ebonybend.node.port_opener import PortOpener
from ebonybend.node.ports import (
    Directory,
    client_port_limits,
    metrics_router,
    readiness_router,
)
from ebonybend.node.pulses import PING_TIMEOUT_S, PulseProtocol, relay_address
from ebonybend.node.refusal_trials import StoredTrialClaims
from ebonybend.node.refused_requests import RefusedRequestStore
from ebonybend.node.relay_changes import RelayClient, relay_router
from ebonybend.node.relayed_store import NodeStore, RelayedStore
from ebonybend.node.routing_state import RoutingState
from ebonybend.node.server_reports import ServerReportExchange
from ebonybend.node.settings import NodeSettings, changed_at_start
from ebonybend.node.stop import NodeStop
from ebonybend.node.wire import Documents, WireFormat
from ebonybend.steering.crashes import CrashDetector
from ebonybend.steering.lapsed import shortest_lapse_s
from ebonybend.steering.placement import Placement, limits_of
from ebonybend.steering.relays import PULSE_PERIOD_S, Relays
from ebonybend.steering.server_limits import LimitDivision
from ebonybend.steering.server_state import ServerTable
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.steering.shared_rates import RetryWindow
from ebonybend.store.watcher import Backoff
from ebonybend.tasks import ReactorClock, Tasks
from ebonybend.world import BackendServer

MS_PER_S = 1000
CLEANUP_PERIOD_S = 1.0
# Changes within this time of one another are read from the store in one call.
BATCH_DELAY_S = 0.4
# Bounds the size of a heartbeat.
MAX_REPORTED_SERVERS = 16
# The settings file may change without a signal.
RELOAD_PERIOD_S = 2.0


class NodeService:
    """One node of the system."""

    def __init__(
        self,
        reactor: Any,
        settings: NodeSettings,
        store: NodeStore,
        wire: WireFormat,
        documents: Documents,
        metrics_port: int,
        reload: Callable[[], NodeSettings],
        log_file: NonBlockingLogFile,
    ):
        self.reactor = reactor
        self.settings = settings
        self.store = store
        self.wire = wire
        self.documents = documents
        self.metrics_port = metrics_port
        self.reload = reload
        self.random = Random()
        self.started_at = reactor.seconds()
        self.tasks = Tasks(reactor)
        self.metrics = NodeMetrics()
        self.routing = RoutingState()
        self.servers = ServerTable(
            self.random.random,
            lambda service: limits_of(self.routing.services, service).cold_s,
            lambda server: self.times.forget_server(server),
        )
        self.pool = BackendPool(
            reactor,
            wire.request_id_header,
            AnswerMemory(answer_memory_bytes(settings.memory_mb)),
        )
        self.request_log = RequestLog(reactor.seconds, log_file)
        self.own = Member(
            settings.name,
            settings.failure_domain,
            settings.region,
            settings.callers_address,
            f"{settings.ip}:{settings.peer_port}",
            int(time() * MS_PER_S),
            settings.link_mbps,
        )
        self.members = Members(self.own)
        self.heartbeat_count = 0
        self.crash_detector = CrashDetector(ReactorClock(reactor))
        self.server_reports = ServerReportExchange(
            self.servers,
            self.crash_detector,
            reactor.seconds,
            lambda: self.crash_notices.schedule(),
            self.on_refusal,
        )
        self.pause_gate = PauseGate(
            reactor,
            lambda: self.watched_state.resync(),
            lambda time: self.watched_state.is_current_since(time),
        )
        self.forwarder = self._build_forwarder()
        self._watch_connections()
        self.relays = Relays(settings.name)
        self.relayed_store = RelayedStore(
            store,
            self.relays,
            RelayClient(HttpClient(reactor, detect_dead_peers=True)).fetch,
            reactor,
            BATCH_DELAY_S,
            self.is_relay_candidate,
            lambda lost_at, kind: self.watched_state.renew_watches(lost_at, kind),
            lambda: shortest_lapse_s(self.settings.report_period_s),
        )
        self.watched_state = WatchedState(
            self.relayed_store,
            documents,
            reactor,
            self.random,
            self.routing,
            self.servers,
            self.members,
            lambda: self.settings,
            self.on_routing,
            self.on_servers,
            lambda: self.pulses.send(),
            self.relayed_store.is_following,
            self.on_new_era,
        )
        self.pulses = PulseProtocol(
            self.members,
            self.relays,
            relay_address(self.own.peer_address),
            self.versions_to_relay,
            lambda: self.watched_state.era,
            self.ping_store,
            reactor.seconds,
            self.relayed_store.on_pulse,
        )
        self.checkpoints = CheckpointManager(
            store,
            documents,
            self.regions,
            self.times,
            self.members,
            time,
            reactor.seconds,
            Backoff(self.random),
        )
        self.refused_requests = RefusedRequestStore(
            store,
            documents,
            self.crash_detector,
            self.members,
            time,
            reactor.seconds,
            Backoff(self.random),
        )
        self.entry_writer = OwnEntryWriter(store, documents, self.own, self.random)
        self._build_sites()
        self.heartbeats = HeartbeatProtocol(
            self.members,
            self.build_heartbeat,
            reactor.seconds,
            self.on_heartbeat,
            lambda notice: self.crash_notices.receive(notice),
        )
        self.crash_notices = CrashNotices(
            settings.name,
            reactor,
            self.crash_detector.untold,
            self.members.node_count,
            self.heartbeats.send_notice,
            self.server_reports.apply_evidence,
        )
        self.stop = NodeStop(
            reactor,
            lambda: self.settings.bounds.grace_s,
            self.announce_stop,
            self.close_ports,
            lambda: self.client_site.unfinished(),
            self.shut_down,
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
            Placement(
                self.servers,
                self.times,
                self.members.node_count,
                LimitDivision(self.own.name, self.members.regions_by_name),
            ),
            self.regions,
            self.wire,
            self.new_retry_window,
            self.members.node_count,
            self.random,
            CrashWatch(
                self.reactor,
                self.pool,
                self.crash_detector,
                self.servers,
                self.server_reports.on_end,
                StoredTrialClaims(
                    self.store, self.documents, time, self.reactor.seconds
                ),
                lambda: self.tasks.start(self.refused_requests.write()),
            ),
            self.pause_gate,
            lambda *request: self.stop.may_send(*request),
        )

    def _watch_connections(self) -> None:
        """Let the crash watch find out which closed connections show an end."""
        self.pool.on_lost = self.forwarder.crash_watch.record_connection_lost

    def new_retry_window(self) -> RetryWindow:
        """Return a new retry budget for one service."""
        bounds = self.settings.bounds
        return RetryWindow(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
            self.started_at + bounds.retry_window_s,
        )

    def _build_sites(self) -> None:
        settings = self.settings
        client_port = ClientPort(
            self.routing,
            self.forwarder,
            self.wire,
            self.reactor.seconds,
            self.metrics,
            self.request_log,
            self.watched_state.is_synchronised,
        )
        self.directory = Directory(
            self.members,
            self.wire,
            self.is_ready,
            self.reactor.seconds,
            lambda: self.settings.bounds.max_lookup_s,
            self.random,
        )
        self.client_site = HttpSite(
            self.reactor, client_port.handle, self._http_limits()
        )
        self.client_site.cancel_on_disconnect = True
        self.sites = {
            settings.callers_address: self.client_site,
            settings.ready_address: self._site(
                readiness_router(self.wire, self.is_ready)
            ),
            settings.directory_address: self._site(self.directory.router),
        }
        # Addresses at which a stop refuses connections; the settings may name others by
        # then.
        self.stopping_addresses = (settings.directory_address, settings.callers_address)
        relay_handler = relay_router(lambda: self.watched_state.watchers_by_kind)
        self.sites[self.pulses.address] = self._site(relay_handler)
        self.metrics_site = self._site(
            metrics_router(self.metrics, self.refresh_metrics)
        )
        self.ports = PortOpener(self.reactor, self.reactor)

    async def ping_store(self) -> bool:
        """Return whether the store answers at once."""
        kind = self.documents.members_kind
        return await self.relayed_store.ping(kind, self.own.name, PING_TIMEOUT_S)

    def is_relay_candidate(self) -> bool:
        """Return whether this node would be a relay if the store answered."""
        live = self.members.live_heartbeats(self.own.region, self.reactor.seconds())
        return self.relays.is_candidate(heartbeat.name for heartbeat in live)

    def versions_to_relay(self) -> dict[str, int] | None:
        """Return the versions for a pulse; None if this node is no relay."""
        if self.stop.stopping:
            return None
        return self.watched_state.versions_to_relay()

    def _site(self, handler: Any) -> HttpSite:
        return HttpSite(self.reactor, handler, HttpLimits(max_connections=500))

    def _http_limits(self) -> HttpLimits:
        return client_port_limits(self.routing.limits, self.settings.max_descriptors)

    def is_ready(self) -> bool:
        """Return whether clients may use this node."""
        is_open = self.ports.is_complete() and not self.stop.stopping
        return is_open and self.watched_state.is_synchronised()

    def build_heartbeat(self, is_local: bool) -> NodeHeartbeat:
        """Return the next heartbeat for nodes of the own region or of other regions."""
        regions = self.regions
        demand = regions.own_demand() if is_local else regions.region_demand()
        self.heartbeat_count += 1
        return NodeHeartbeat(
            name=self.own.name,
            incarnation=self.own.incarnation,
            count=self.heartbeat_count,
            ready=self.is_ready(),
            demand={name: round(slots * 100) for name, slots in demand.items()},
            era=self.watched_state.era,
            newest=self.watched_state.newest_versions(),
            followed_s=self.watched_state.store_contact_s(),
            member=self.own,
            ejected=self.servers.ejected_servers(
                self.reactor.seconds(), MAX_REPORTED_SERVERS
            ),
            reports=self.server_reports.build(),
        )

    def on_heartbeat(self, heartbeat: NodeHeartbeat) -> None:
        """Apply the suspects, servers and versions that another node reports."""
        if heartbeat.reports is not None:
            self.server_reports.apply(heartbeat.name, heartbeat.reports)
        self.servers.record_reports(
            heartbeat.name, heartbeat.ejected, self.reactor.seconds()
        )
        self.watched_state.apply_heartbeat(heartbeat)

    def on_refusal(self) -> None:
        """Tell all nodes of the crash, and those to come what is refused."""
        self.crash_notices.schedule()
        self.tasks.start(self.refused_requests.write())

    def on_new_era(self) -> None:
        """Write again what the store may have lost of this node's objects."""
        self.checkpoints.begin_era()
        self.refused_requests.begin_era()
        self.tasks.start(self.entry_writer.write_again(self.tasks))

    def on_routing(self) -> None:
        """Apply the services and limits of a new configuration."""
        self.forwarder.services = self.routing.services
        self.client_site.limits = self._http_limits()

    def on_servers(self, servers: Mapping[str, BackendServer]) -> None:
        """Drop connections and statistics of removed servers and routes."""
        self.server_reports.apply_list(servers)
        self.pool.retain(servers.values())
        if self.routing.version is None:
            return
        routes = {route.name for route in self.routing.routes}
        self.times.retain(set(servers), routes)

    def refresh_metrics(self) -> None:
        """Update the gauges before the metrics are served."""
        self.metrics.store_calls.set(getattr(self.store, "platform_calls", 0))
        self.metrics.connections_opened.set(self.pool.connections_opened)
        self.metrics.config_version.set(self.routing.version or 0)
        self.metrics.nodes_alive.set(self.members.alive_count(self.reactor.seconds()))
        self.metrics.record_suspects(self.crash_detector.suspects.values())

    def start(self) -> None:
        """Open the ports, watch the store and start the periodic tasks."""
        # Before the ports are open, since a stop has to answer what they accept.
        loop = get_event_loop()
        loop.add_signal_handler(SIGTERM, self.on_terminate)
        loop.add_signal_handler(SIGINT, self.stop.begin_or_abort)
        loop.add_signal_handler(SIGHUP, self.on_reload)
        for address, site in self.sites.items():
            self.ports.add_tcp(address, site)
        self.ports.add_udp(self.own.peer_address, self.heartbeats)
        self.ports.add_udp(self.pulses.address, self.pulses)
        metrics_address = f"{self.settings.ip}:{self.metrics_port}"
        if metrics_address in self.sites:
            get_logger().warning("metrics_not_served", address=metrics_address)
        else:
            self.ports.add_tcp(metrics_address, self.metrics_site, is_required=False)
        self.ports.open()
        self.watched_state.start()
        self.tasks.start(self.entry_writer.write(self.tasks))
        self.tasks.start(self.checkpoints.restore(self.tasks))
        self.tasks.start(self.refused_requests.restore(self.tasks))
        self.tasks.repeat(HEARTBEAT_PERIOD_S, self._send_heartbeat)
        self.tasks.repeat(PULSE_PERIOD_S, self.pulses.send_if_in_contact)
        self.tasks.repeat(WRITE_PERIOD_S, self.checkpoints.write)
        self.tasks.repeat(WRITE_PERIOD_S, self.refused_requests.exchange_if_first)
        self.tasks.repeat(TICK_PERIOD_S, self.pause_gate.tick)
        self.tasks.repeat(CLEANUP_PERIOD_S, self._clean_up)
        self.tasks.repeat(RELOAD_PERIOD_S, self._reload)
        get_logger().info("node_started", incarnation=self.own.incarnation)

    async def _send_heartbeat(self) -> None:
        self.regions.update()
        self.heartbeats.send()

    async def _clean_up(self) -> None:
        self.pool.close_expired()
        self.request_log.report_dropped()

    async def _reload(self) -> None:
        self.on_reload()

    def on_reload(self) -> None:
        """Reload the settings file; changed addresses need a restart."""
        try:
            settings = self.reload()
        except SteeringError as error:
            get_logger().error("settings_refused", error=error.message)
            return
        if settings == self.settings:
            return
        before, self.settings = self.settings, settings
        bounds = settings.bounds
        for window in self.forwarder.retry_windows.values():
            window.change(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
                self.reactor.seconds(),
            )
        self.client_site.limits = self._http_limits()
        self.pool.memory.max_bytes = answer_memory_bytes(settings.memory_mb)
        self.watched_state.apply_settings()
        get_logger().info(
            "settings_reloaded", need_restart=changed_at_start(before, settings)
        )

    def on_terminate(self) -> None:
        """Stop by the settings in force, whose change needs no signal."""
        try:
            self.on_reload()
        finally:
            self.stop.begin()

    def announce_stop(self) -> None:
        """Announce to clients and other nodes that this node stops."""
        self.client_site.closing = True
        self.heartbeats.send_to_all()

    async def close_ports(self) -> None:
        """Close the client and directory ports, and the idle client connections."""
        self.ports.stop()
        for address in self.stopping_addresses:
            port = self.ports.tcp_ports.get(address)
            if port is not None:
                await close_port(self.reactor, port)
        self.client_site.close_idle()

    def shut_down(self) -> None:
        """Stop all tasks and the process."""
        self.tasks.stop()
        self.watched_state.stop()
        self.reactor.callLater(0, self.reactor.stop)
