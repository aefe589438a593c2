"""Run a control process with its ports and signal handlers."""

from random import Random
from signal import SIGINT, SIGTERM
from time import time
from typing import Any

from twisted.internet.defer import Deferred

from ebonybend.control.admin import Admin
from ebonybend.control.core import ControlCore
from ebonybend.control.entry_server import EntryServer
from ebonybend.control.health_client import HealthClient
from ebonybend.control.ports import listen
from ebonybend.errors import SteeringError
from ebonybend.http_client import HttpClient
from ebonybend.http_router import Router
from ebonybend.http_server import HttpLimits, HttpSite
from ebonybend.logs import get_logger
from ebonybend.peers.http_transport import (
    MAX_EXCHANGE_BYTES,
    ExchangeServer,
    HttpPeerTransport,
)
from ebonybend.settings import Settings
from ebonybend.steering.table import ClientMapRequest, ClientMapShard
from ebonybend.store.client import PlatformClient
from ebonybend.tasks import pause_between_steps
from ebonybend.world import LifeState

EXIT_FAILED = 2
EXIT_FORCED = 1
# Interval at which a stopping control checks whether its entry process has stopped.
STOP_CHECK_PERIOD_S = 0.1
# Time that a stopping control waits beyond the maximum time that the entry needs.
STOP_MARGIN_S = 2.0
MS_PER_S = 1000


class ControlService:
    """One control process with its ports."""

    def __init__(self, reactor: Any, settings: Settings):
        self.reactor = reactor
        self.settings = settings
        self.exit_status = 0
        self.stopping = False
        self.http = HttpClient(reactor, settings.source_address)
        self.platform = PlatformClient(
            self.http, settings.platform_address, pause_between_steps(reactor)
        )
        self.transport = HttpPeerTransport(self.http)
        self.core = ControlCore(
            settings,
            time(),
            reactor,
            Random(),
            self.platform,
            self.transport,
            lambda address: HealthClient(self.http, address),
        )
        self.admin = Admin(self.core)
        self.entry_server = EntryServer(
            settings.control_listen,
            self.core.handle_entry_report,
            self.core.wait_for_notice,
            self.client_map,
        )
        self.sites: list[HttpSite] = []
        self.ports: list[Any] = []

    async def start(self) -> None:
        """Open the ports, synchronise and start the periodic tasks."""
        peers = ExchangeServer(
            self.core.exchange,
            self.core.shards.body,
            self.core.wait_until_entry_informed,
        )
        self._listen("exchange_listen", self.settings.exchange_listen, peers.router)
        self._listen("admin_listen", self.settings.admin_listen, self.admin.router)
        await self.entry_server.start()
        get_logger().info("control_started")
        await self.core.synchronise()
        if not self.stopping:
            self.core.start()

    def _listen(self, flag: str, address: str, router: Router) -> None:
        limits = HttpLimits(
            max_body_bytes=MAX_EXCHANGE_BYTES,
            max_connections=self.settings.max_connections,
            receive_timeout_s=self.settings.receive_timeout_ms / MS_PER_S,
        )
        site = HttpSite(self.reactor, router, limits)
        self.sites.append(site)
        self.ports.append(listen(self.reactor, flag, address, site))

    async def client_map(self, request: ClientMapRequest) -> ClientMapShard:
        """Return one shard of the client map."""
        return self.core.shards.answer(request)

    def handle_signal(self) -> None:
        """Stop gracefully at the first signal and at once at the second."""
        if self.stopping:
            get_logger().warning("stop_forced")
            self.exit_status = EXIT_FORCED
            self.reactor.stop()
            return
        self.stopping = True
        self.core.stopping = True
        get_logger().info("stopping")
        Deferred.fromCoroutine(self._stop()).addErrback(self._handle_stop_failure)

    async def _stop(self) -> None:
        """Serve the entry until it has stopped, write the instance record and stop."""
        settings = self.settings
        max_stop_ms = settings.lookup_lifetime_ms + settings.longest_deadline_ms
        deadline = self.reactor.seconds() + max_stop_ms / MS_PER_S + STOP_MARGIN_S
        while self._entry_is_leaving() and self.reactor.seconds() < deadline:
            await self.core.tasks.sleep(STOP_CHECK_PERIOD_S)
        self.core.own_records.write_instance()
        self.core.stop()
        for site in self.sites:
            site.closing = True
        for port in self.ports:
            await port.stopListening()
        await self.entry_server.stop()
        await self.http.close()
        get_logger().info("stopped")
        self.reactor.stop()

    def _entry_is_leaving(self) -> bool:
        """Return whether the entry process runs and is leaving.

        An entry that isn't leaving outlives its control process, so the stop doesn't
        wait for it.
        """
        entry = self.core.entry
        if entry.report is None or entry.age_s > 1.0:
            return False
        return entry.report.state is LifeState.LEAVING

    def _handle_stop_failure(self, failure: Any) -> None:
        get_logger().error("stop_failed", error=failure.getTraceback())
        self.exit_status = EXIT_FORCED
        self.reactor.stop()

    def handle_start_failure(self, failure: Any) -> None:
        """Log why the process can't start, and stop it."""
        if failure.check(SteeringError):
            get_logger().error("start_failed", error=failure.value.message)
        else:
            get_logger().error("start_failed", error=failure.getTraceback())
        self.exit_status = EXIT_FAILED
        self.reactor.stop()


def run_control(settings: Settings) -> int:
    """Run a control process until it is stopped; return its exit status."""
    from asyncio import get_event_loop

    from twisted.internet import reactor

    service = ControlService(reactor, settings)

    def start_service() -> None:
        loop = get_event_loop()
        for signal in (SIGTERM, SIGINT):
            loop.add_signal_handler(signal, service.handle_signal)
        Deferred.fromCoroutine(service.start()).addErrback(service.handle_start_failure)

    reactor.callWhenRunning(start_service)
    reactor.run(installSignalHandlers=False)
    return service.exit_status
