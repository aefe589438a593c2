"""Run one entry process."""

from asyncio import get_event_loop
from random import Random
from signal import SIGINT, SIGTERM
from time import time_ns
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.task import deferLater

from ebonybend.clock import SystemClock
from ebonybend.entry.client_maps import ClientMaps
from ebonybend.entry.control_client import ControlClient
from ebonybend.entry.data_plane import DataPlane
from ebonybend.entry.heartbeats import HeartbeatLoop
from ebonybend.entry.hops import HOP_PREFIX, OWNER_PREFIX
from ebonybend.entry.lending import LendingLoop
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
from ebonybend.listening import listen
from ebonybend.logs import get_logger
from ebonybend.settings import Settings
from ebonybend.world import LifeState

MS = 1000.0
NANOSECONDS_PER_MS = 1_000_000
# Room for a push of outcomes, whose records alone reach 512 KB.
MIN_PEER_BODY_BYTES = 1 << 20
# Longest time to send the last answers after everything else has ended.
CLOSE_TIMEOUT_S = 1.0
CLOSE_POLL_S = 0.02


class EntryService:
    """One entry process: ports, loops and the data plane."""

    def __init__(self, reactor: Any, settings: Settings):
        self.reactor = reactor
        self.settings = settings
        self.clock = SystemClock()
        self.random = Random()
        self.exit_status = 0
        self._ended = False
        self.ports: list[Any] = []
        # Wall time makes it larger than that of any earlier process of this instance.
        incarnation = time_ns() // NANOSECONDS_PER_MS
        self.http = HttpClient(reactor, settings.source_address)
        self.plane = DataPlane(
            reactor,
            settings,
            self.clock,
            self.http,
            incarnation,
            self.random,
            self.push_notice,
        )
        self.activity = Activity(self.clock.monotonic())
        self._build_loops()
        self._build_ports()
        self.stop = GracefulStop(
            reactor,
            settings,
            self.clock,
            self.activity,
            self.unfinished,
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
            plane.table_state.accept,
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
        self.lending = LendingLoop(
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
        callers = self._port(SERVICE_PREFIX, plane.steering.from_client, True)
        self.caller_server = ClientServer(
            callers,
            self.lookups,
            plane.metrics,
            self.not_ready_reason,
            self.reporter.refresh_gauges,
        )
        self.peer_server = PeerServer(
            plane.ledger,
            self.lending,
            plane.store,
            plane.budgets,
            self._port(HOP_PREFIX, plane.steering.from_hop, False),
            self._port(OWNER_PREFIX, plane.steering.from_owner_hop, False),
        )
        self.sites = {
            "public_listen": HttpSite(
                self.reactor,
                self.caller_server.handle,
                self._limits(settings.max_body_bytes),
            ),
            "peer_listen": HttpSite(
                self.reactor,
                self.peer_server.handle,
                self._limits(max(settings.max_body_bytes, MIN_PEER_BODY_BYTES)),
            ),
        }

    def _port(self, prefix: str, steer: Any, measured: bool) -> RequestPort:
        """Return a request port; only callers' requests are measured."""
        return RequestPort(
            prefix,
            self.settings,
            self.clock,
            self.activity,
            steer,
            self._note_answer if measured else lambda *_: None,
            self._note_refusal if measured else lambda _: None,
            asks_owner=prefix != HOP_PREFIX,
        )

    def _limits(self, max_body_bytes: int) -> HttpLimits:
        return HttpLimits(
            max_body_bytes=max_body_bytes,
            max_connections=self.settings.max_connections,
            receive_timeout_s=self.settings.receive_timeout_ms / MS,
        )

    def _note_answer(
        self, request: SteeredRequest, answer: ServedAnswer, seconds: float
    ) -> None:
        self.plane.metrics.answered(request.service, answer.region, seconds)

    def _note_refusal(self, error: SteeringError) -> None:
        self.plane.metrics.refused(error.kind)

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
        self.lending.start()
        get_logger().info("entry_started", incarnation=self.plane.registry.incarnation)

    def not_ready_reason(self) -> str:
        """Return why callers should not use this instance, or an empty text."""
        if self.stop.stopping:
            return "this instance stops"
        if self.plane.table_state.table is None:
            return "no table from the control yet"
        return ""

    def push_notice(self) -> Deferred[Any]:
        """Send a crash notice to the control."""
        return self.control.report_now()

    def on_tick(self) -> None:
        """Do the periodic work that needs no message."""
        self.plane.table_state.refresh_rules()
        self.plane.budgets.tick()

    def announce_leaving(self) -> None:
        """Tell callers and the control to use other instances from now on."""
        self.lookups.leaving = True
        self.reporter.state = LifeState.LEAVING
        for site in self.sites.values():
            site.closing = True
        self.control.report_now()

    def unfinished(self) -> int:
        """Return the keys, slots and answers that are still in use."""
        ledger = self.plane.ledger
        slots = sum(ledger.in_flight(server) for server in ledger.servers)
        answers = sum(site.running for site in self.sites.values())
        return self.plane.owner.running + slots + answers

    async def hand_over(self) -> None:
        """Hand outcomes to a peer, release the slots and tell the other members."""
        plane = self.plane
        await plane.replicator.settled()
        sealed = await plane.replicator.seal(plane.registry.seal())
        plane.ledger.release()
        await self.heartbeats.send(again=True)
        released = plane.ledger.is_released()
        get_logger().info("handed_over", sealed=sealed, released=released)
        await self.control.report_now()
        await self._close_ports()

    async def _close_ports(self) -> None:
        """Close the connections once their last answers are sent."""
        for port in self.ports:
            await maybeDeferred(port.stopListening)
        until = self.clock.monotonic() + CLOSE_TIMEOUT_S
        for site in self.sites.values():
            site.close_connections()
        while any(site.connections for site in self.sites.values()):
            if self.clock.monotonic() >= until:
                return
            await deferLater(self.reactor, CLOSE_POLL_S)

    def end(self, status: int) -> None:
        """End the process."""
        self.exit_status = status
        self.heartbeats.stop()
        self.lending.stop()
        self.plane.replicator.stop()
        self.control.stop()
        if not self._ended:
            self._ended = True
            # One more turn of the loop lets the channel close.
            self.reactor.callLater(0, self.reactor.stop)


def run_entry(reactor: Any, settings: Settings) -> int:
    """Run an entry process until it is stopped; return the exit status."""
    service = EntryService(reactor, settings)
    service.start()
    reactor.run(installSignalHandlers=False)
    return service.exit_status
