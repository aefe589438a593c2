"""Track the reports of this instance's entry process."""

from ebonybend.clock import Clock
from ebonybend.steering.table import EntryReport
from ebonybend.world import LifeState

# The time of four missed reports.
ENTRY_TIMEOUT_S = 1.5


class EntryMonitor:
    """Keep the last report of the entry process and derive its readiness."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.report: EntryReport | None = None
        self.received_at = 0.0

    def record_report(self, report: EntryReport) -> bool:
        """Record a report; return whether the instance's records must be written."""
        if self.report is not None and report.incarnation < self.report.incarnation:
            return False
        before = self._published_state()
        self.report = report
        self.received_at = self.clock.monotonic()
        return before != self._published_state()

    @property
    def age_s(self) -> float:
        """Return the time since the last report, infinite if there was none."""
        if self.report is None:
            return float("inf")
        return self.clock.monotonic() - self.received_at

    @property
    def ready(self) -> bool:
        """Return whether the entry process runs, has a table and accepts clients."""
        if self.report is None or self.age_s > ENTRY_TIMEOUT_S:
            return False
        return self.report.table_serial > 0 and self.report.state is LifeState.LIVE

    @property
    def rules_revision(self) -> int:
        """Return the revision in force on the entry process, 0 without a report."""
        return self.report.rules_revision if self.report else 0

    def _published_state(self) -> tuple[int, LifeState, int, bool] | None:
        if self.report is None:
            return None
        report = self.report
        ready = self.ready
        return report.incarnation, report.state, report.rules_revision, ready
