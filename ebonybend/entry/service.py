"""Wire and run one entry process."""

from time import time_ns
from typing import Any

from twisted.internet.error import CannotListenError

from ebonybend.clock import SystemClock
from ebonybend.entry.control_client import ControlClient
from ebonybend.entry.forwarder import Forwarder
from ebonybend.entry.interim import Admission, ServerChooser
from ebonybend.entry.lookups import InstanceLookups
from ebonybend.entry.metrics import EntryMetrics
from ebonybend.entry.server import CallerServer
from ebonybend.entry.table_state import TableState
from ebonybend.http_client import HttpClient
from ebonybend.http_server import HttpLimits, HttpSite
from ebonybend.logs import get_logger
from ebonybend.settings import Settings, bad_setting, split_address
from ebonybend.steering.table import EntryReport, Table
from ebonybend.world import LifeState

NANOSECONDS_PER_MS = 1_000_000


def listen(reactor: Any, flag: str, address: str, site: HttpSite) -> Any:
    """Open a listening port; raise BAD_SETTING naming the flag if it is in use."""
    host, port = split_address(address)
    try:
        return reactor.listenTCP(port, site, backlog=1024, interface=host)
    except CannotListenError as error:
        raise bad_setting(
            flag, address, f"can't listen: {error.socketError}"
        ) from error


class EntryService:
    """One entry process."""

    def __init__(self, reactor: Any, settings: Settings):
        self.reactor = reactor
        self.settings = settings
        self.clock = SystemClock()
        # Wall time makes it larger than that of any earlier process of this instance.
        self.incarnation = time_ns() // NANOSECONDS_PER_MS
        self.table_state = TableState(settings.instance, self.clock)
        self.metrics = EntryMetrics()
        self.http = HttpClient(reactor, settings.source_address)
        self.admission = Admission()
        self.forwarder = Forwarder(
            self.table_state,
            self.clock,
            self.http,
            self.admission,
            ServerChooser(self.admission),
        )
        self.lookups = InstanceLookups(
            self.table_state, settings.lookup_lifetime_ms, self.key_prefix
        )
        self.caller_server = CallerServer(
            settings,
            self.clock,
            self.forwarder,
            self.lookups,
            self.metrics,
            self.not_ready_reason,
        )
        self.control = ControlClient(
            reactor, settings.control_listen, self.report, self.table_state.accept
        )
        self.table_state.listeners.append(self.apply_table)
        self.limits = HttpLimits(
            max_body_bytes=settings.max_body_bytes,
            max_connections=settings.max_connections,
            receive_timeout_s=settings.receive_timeout_ms / 1000,
        )

    def start(self) -> None:
        """Listen and start the loops."""
        site = HttpSite(self.reactor, self.caller_server.handle, self.limits)
        listen(self.reactor, "public_listen", self.settings.public_listen, site)
        self.control.start()
        get_logger().info("entry_started", incarnation=self.incarnation)

    def key_prefix(self) -> str:
        """Return the start of the keys that this incarnation owns."""
        return f"{self.settings.instance}~{self.incarnation}~0"

    def not_ready_reason(self) -> str:
        """Return why callers should not use this instance, or an empty text."""
        return "" if self.table_state.table else "no table from the control yet"

    def apply_table(self, table: Table) -> None:
        """Hand a new table's servers to the admission."""
        self.admission.slots = {view.name: view.slots for view in table.servers}

    def report(self) -> EntryReport:
        """Return this entry's report to its control."""
        table = self.table_state.table
        return EntryReport(
            instance=self.settings.instance,
            incarnation=self.incarnation,
            public_address=self.settings.public_advertise,
            peer_address=self.settings.peer_advertise,
            state=LifeState.LIVE,
            key_epoch=0,
            table_serial=table.serial if table else 0,
            table_control_incarnation=table.control_incarnation if table else 0,
            rules_revision=self.table_state.revision,
        )


def run_entry(reactor: Any, settings: Settings) -> int:
    """Run an entry process until it is stopped; return the exit status."""
    service = EntryService(reactor, settings)
    service.start()
    reactor.run()
    return 0
