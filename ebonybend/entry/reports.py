"""Build this entry's reports to its control process, and set its gauges."""

from ebonybend.entry.budgets import RegionBudgets
from ebonybend.entry.metrics import EntryMetrics
from ebonybend.entry.table_state import TableState
from ebonybend.settings import Settings
from ebonybend.steering.admission import Admission
from ebonybend.steering.choice import ServerChooser
from ebonybend.steering.keys import KeyRegistry
from ebonybend.steering.suspects import SuspectRegistry
from ebonybend.steering.table import EntryReport, ServerLoad, ServerView, ServiceLoad
from ebonybend.world import LifeState

# Reached by about one recent failure; see Admission.failures.
FAILING_THRESHOLD = 0.5


class Reporter:
    """Report this entry's current state."""

    def __init__(
        self,
        settings: Settings,
        table_state: TableState,
        admission: Admission,
        chooser: ServerChooser,
        registry: KeyRegistry,
        suspects: SuspectRegistry,
        budgets: RegionBudgets,
        metrics: EntryMetrics,
    ):
        self.settings = settings
        self.table_state = table_state
        self.admission = admission
        self.chooser = chooser
        self.registry = registry
        self.suspects = suspects
        self.budgets = budgets
        self.metrics = metrics
        self.state = LifeState.LIVE

    def report(self) -> EntryReport:
        """Return the report for the control."""
        table = self.table_state.table
        return EntryReport(
            instance=self.settings.instance,
            incarnation=self.registry.incarnation,
            public_address=self.settings.public_advertise,
            peer_address=self.settings.peer_advertise,
            state=self.state,
            key_epoch=self.registry.epoch(),
            table_serial=table.serial if table else 0,
            table_control_incarnation=table.control_incarnation if table else 0,
            rules_revision=self.table_state.revision,
            services=self._service_loads(),
            servers=self._server_loads(),
            shifts=self.budgets.usage(),
            suspects=self.suspects.views(),
            cleared=self.suspects.cleared(),
        )

    def _service_loads(self) -> tuple[ServiceLoad, ...]:
        return tuple(
            self._service_load(name, views)
            for name, views in self.table_state.servers.items()
        )

    def _service_load(self, name: str, views: tuple[ServerView, ...]) -> ServiceLoad:
        ledger = self.admission.ledger
        latencies = [self.chooser.latency_ms(view.name) for view in views]
        measured = [latency for latency in latencies if latency]
        return ServiceLoad(
            service=name,
            slots=sum(self.admission.limit(view.name) for view in views),
            in_flight=sum(ledger.in_flight(view.name) for view in views),
            latency_ms=sum(measured) / len(measured) if measured else 0.0,
        )

    def _server_loads(self) -> tuple[ServerLoad, ...]:
        views = (v for views in self.table_state.servers.values() for v in views)
        return tuple(self._server_load(view) for view in views)

    def _server_load(self, view: ServerView) -> ServerLoad:
        return ServerLoad(
            server=view.name,
            in_flight=self.admission.ledger.in_flight(view.name),
            limit=self.admission.limit(view.name),
            latency_ms=self.chooser.latency_ms(view.name),
            failing=self.admission.failures(view.name) >= FAILING_THRESHOLD,
            draining=self.table_state.reported_draining(view.name),
        )

    def refresh_gauges(self) -> None:
        """Set the gauges to the current state."""
        for load in self._server_loads():
            self.metrics.in_flight.labels(load.server).set(load.in_flight)
            self.metrics.limit.labels(load.server).set(load.limit)
        for usage in self.budgets.usage():
            self.metrics.cap_units.labels(usage.rule_text).set(usage.units)
        self.metrics.table_age.set(self.table_state.age_ms / 1000)
        self.metrics.revision.set(self.table_state.revision)
