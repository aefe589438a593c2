"""Run one entry process."""

from asyncio import get_event_loop
from collections.abc import Callable
from random import Random
from signal import SIGINT, SIGTERM
from time import time_ns
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from ebonybend.clock import SystemClock
from ebonybend.entry.client_maps import ClientMaps
from ebonybend.entry.control_client import ControlClient
from ebonybend.entry.data_plane import DataPlane
from ebonybend.entry.heartbeats import HeartbeatLoop
from ebonybend.entry.hops import HOP_PREFIX, OWNER_PREFIX
from ebonybend.entry.lending import LeaseLoop
from ebonybend.entry.lookups import InstanceLookups
from ebonybend.entry.peer_server import PeerServer
from ebonybend.entry.reports import Reporter
from ebonybend.entry.requests import ServedAnswer, SteeredRequest
from ebonybend.entry.server import SERVICE_PREFIX, ClientServer
from ebonybend.entry.serving import Activity, RequestPort
from ebonybend.entry.stop import GracefulStop
from ebonybend.errors import SteeringError
from ebonybend.http_client import HttpClient
from ebonybend.http_server import HttpLimits, HttpSite
from ebonybend.listening import close_port, listen
from ebonybend.logs import get_logger
from ebonybend.settings import Settings
from ebonybend.world import LifeState

MS = 1000.0
NANOSECONDS_PER_MS = 1_000_000
# A push of outcomes must fit; its records alone reach 512 KB.
MIN_PEER_BODY_BYTES = 1 << 20
# Longest time to receive the last requests at the end of a graceful stop, and to send
# the last answers.
CLOSE_TIMEOUT_S = 1.0
CLOSE_POLL_S = 0.02


class EntryService:
    """One entry process: its ports, periodic loops and data plane."""

    def __init__(self, reactor: Any, settings: Settings):
        self.reactor = reactor
        self.settings = settings
        self.clock = SystemClock()
        self.random = Random()
        self.exit_status = 0
        self._ended = False
        self.ports: list[Any] = []
        # Wall-clock time: larger than that of any earlier process of this instance.
        incarnation = time_ns() // NANOSECONDS_PER_MS
        self.http = HttpClient(reactor, settings.source_address)
        self.plane = DataPlane(
            reactor,
            settings,
            self.clock,
            self.http,
            incarnation,
            self.random,
            self.send_crash_notice,
        )
        self.activity = Activity(self.clock.monotonic())
        self._build_loops()
        self._build_ports()
        self.stop = GracefulStop(
            reactor,
            settings,
            self.clock,
            self.activity,
            self.count_unfinished,
            self.announce_leaving,
            self.plane.registry.close,
            lambda: Deferred.fromCoroutine(self.hand_over()),
            self.end,
        )

    def _build_loops(self) -> None:
        plane, settings = self.plane, self.settings
        self.reporter = Reporter(
            settings,
            plane.table_state,
            plane.admission,
            plane.chooser,
            plane.registry,
            plane.suspects,
            plane.budgets,
            plane.metrics,
        )
        self.control = ControlClient(
            self.reactor,
            settings.control_listen,
            self.reporter.report,
            plane.table_state.apply_reply,
        )
        self.client_maps = ClientMaps(plane.table_state, self.control.fetch_shard)
        self.heartbeats = HeartbeatLoop(
            self.reactor,
            self.clock,
            plane.table_state,
            plane.ledger,
            plane.peers,
            self.on_tick,
        )
        self.lease_loop = LeaseLoop(
            self.reactor,
            self.clock,
            plane.table_state,
            plane.budgets,
            plane.peers,
            self.random,
        )

    def _build_ports(self) -> None:
        plane, settings = self.plane, self.settings
        self.lookups = InstanceLookups(
            settings.instance,
            self.client_maps,
            settings.lookup_lifetime_ms,
            lambda: str(plane.registry.prefix()),
        )
        client_port = self._request_port(
            SERVICE_PREFIX, plane.steering.from_client, True
        )
        self.client_server = ClientServer(
            client_port,
            self.lookups,
            plane.metrics,
            self.not_ready_reason,
            self.reporter.refresh_gauges,
        )
        self.peer_server = PeerServer(
            plane.ledger,
            self.lease_loop,
            plane.outcome_store,
            plane.budgets,
            self._request_port(HOP_PREFIX, plane.steering.from_hop, False),
            self._request_port(OWNER_PREFIX, plane.steering.from_owner_hop, False),
        )
        self.sites = {
            "public_listen": HttpSite(
                self.reactor,
                self.client_server.handle,
                self._limits(settings.max_body_bytes),
            ),
            "peer_listen": HttpSite(
                self.reactor,
                self.peer_server.handle,
                self._limits(max(settings.max_body_bytes, MIN_PEER_BODY_BYTES)),
            ),
        }

    def _request_port(self, prefix: str, steer: Any, measured: bool) -> RequestPort:
        """Return a request port; metrics count only the requests of a measured one."""
        return RequestPort(
            prefix,
            self.settings,
            self.clock,
            self.activity,
            steer,
            self._record_answer if measured else lambda *_: None,
            self._record_refusal if measured else lambda _: None,
            routes_by_key=prefix != HOP_PREFIX,
        )

    def _limits(self, max_body_bytes: int) -> HttpLimits:
        return HttpLimits(
            max_body_bytes=max_body_bytes,
            max_connections=self.settings.max_connections,
            receive_timeout_s=self.settings.receive_timeout_ms / MS,
        )

    def _record_answer(
        self, request: SteeredRequest, answer: ServedAnswer, seconds: float
    ) -> None:
        self.plane.metrics.record_answer(request.service, answer.region, seconds)

    def _record_refusal(self, error: SteeringError) -> None:
        self.plane.metrics.record_refusal(error.kind)

    def start(self) -> None:
        """Listen and start the loops."""
        for flag, site in self.sites.items():
            address = getattr(self.settings, flag)
            self.ports.append(listen(self.reactor, flag, address, site))
        loop = get_event_loop()
        for number in (SIGTERM, SIGINT):
            loop.add_signal_handler(number, self.stop.request)
        self.control.start()
        self.heartbeats.start()
        self.lease_loop.start()
        get_logger().info("entry_started", incarnation=self.plane.registry.incarnation)

    def not_ready_reason(self) -> str:
        """Return why clients should not use this instance, or an empty text."""
        if self.stop.stopping:
            return "this instance stops"
        if self.plane.table_state.table is None:
            return "no table from the control yet"
        return ""

    def send_crash_notice(self) -> Deferred[Any]:
        """Send a crash notice to the control."""
        return self.control.report_now()

    def on_tick(self) -> None:
        """Remove expired rules and advance the ramps."""
        self.plane.table_state.refresh_rules()
        self.plane.budgets.advance_ramps()

    def announce_leaving(self) -> None:
        """Announce to clients and the control that this instance is leaving."""
        self.lookups.leaving = True
        self.reporter.state = LifeState.LEAVING
        for site in self.sites.values():
            site.closing = True
        self.control.report_now()

    def count_unfinished(self) -> int:
        """Return the number of keys, slots and answers still in use."""
        ledger = self.plane.ledger
        slots = sum(ledger.in_flight(server) for server in ledger.servers)
        answers = sum(site.running for site in self.sites.values())
        return self.plane.owner.running + slots + answers

    async def hand_over(self) -> None:
        """Push outcomes, release the slots, send final messages and close the ports."""
        plane = self.plane
        await plane.replicator.wait_for_push()
        sealed = await plane.replicator.seal(plane.registry.seal())
        plane.ledger.release()
        await self.heartbeats.send(force=True)
        released = plane.ledger.is_released()
        get_logger().info("handed_over", sealed=sealed, released=released)
        await self.control.report_now()
        await self._close_ports()

    async def _close_ports(self) -> None:
        """Close the ports, and the connections once their last answers are sent."""
        for port in self.ports:
            await close_port(self.reactor, port)
        sites = self.sites.values()
        for site in sites:
            site.close_idle()
        # Connections that were just accepted may carry a request.
        await self._wait_while(lambda: any(site.unfinished() for site in sites))
        for site in sites:
            site.close_connections()
        await self._wait_while(lambda: any(site.connections for site in sites))

    async def _wait_while(self, condition: Callable[[], bool]) -> None:
        """Wait for at most CLOSE_TIMEOUT_S while a condition holds."""
        until = self.clock.monotonic() + CLOSE_TIMEOUT_S
        while condition() and self.clock.monotonic() < until:
            await deferLater(self.reactor, CLOSE_POLL_S)

    def end(self, status: int) -> None:
        """End the process."""
        self.exit_status = status
        self.heartbeats.stop()
        self.lease_loop.stop()
        self.plane.replicator.stop()
        self.control.stop()
        if not self._ended:
            self._ended = True
            # One more iteration of the event loop lets the channel close.
            self.reactor.callLater(0, self.reactor.stop)


def run_entry(reactor: Any, settings: Settings) -> int:
    """Run an entry process until it is stopped; return the exit status."""
    service = EntryService(reactor, settings)
    service.start()
    reactor.run(installSignalHandlers=False)
    return service.exit_status
