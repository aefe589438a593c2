"""Exchange with other nodes what this node's requests showed of servers."""

from collections.abc import Callable, Mapping
from math import isfinite

from ebonybend.logs import get_logger
from ebonybend.node.crash_watch import describe_crashes, log_crashes, log_end
from ebonybend.node.members import ServerReports
from ebonybend.steering.crash_evidence import CrashEvidence
from ebonybend.steering.crash_suspects import EndReport
from ebonybend.steering.crashes import CrashDetector
from ebonybend.steering.leaving import MAX_REPORTED_LEAVING
from ebonybend.steering.process_life import REPORT_MARGIN_S
from ebonybend.steering.server_state import ServerTable
from ebonybend.world import BackendServer, LifeState
from ebonybend.world.backend_server import ServerProcess

MS_PER_S = 1000.0
EMPTY = ServerReports()


def _do_nothing() -> None:
    """Tell nobody."""


class ServerReportExchange:
    """Build the reports for heartbeats, and apply those of other nodes."""

    def __init__(
        self,
        servers: ServerTable,
        detector: CrashDetector,
        clock: Callable[[], float],
        on_crash: Callable[[], None] = _do_nothing,
        on_refusal: Callable[[], None] = _do_nothing,
    ):
        self.servers = servers
        self.detector = detector
        self.clock = clock
        # Called when a crash was counted, and when a request is refused from now on.
        self.on_crash = on_crash
        self.on_refusal = on_refusal

    def build(self) -> ServerReports | None:
        """Return the reports for the next heartbeat; None if there is none."""
        reports = ServerReports(
            suspects=self.detector.reports(),
            ended=self.detector.end_reports(),
            leaving=self.servers.leaving_reports(self.clock(), MAX_REPORTED_LEAVING),
        )
        return None if reports == EMPTY else reports

    def apply(self, node: str, reports: ServerReports) -> None:
        """Apply the reports of another node."""
        for name in self.detector.merge(node, reports.suspects):
            self._log_refusal(name, node)
        for report in reports.ended:
            self._apply_end(report, f"told by {node}")
        for name in self.servers.merge_leaving(reports.leaving, self.clock()):
            get_logger().info("server_leaving", server=name, told_by=node)

    def _apply_end(self, report: EndReport, evidence: str) -> None:
        """Apply another node's report of a process that ended."""
        crashes = self.detector.merge_end(report)
        self.on_crashes(report.name, crashes, evidence)
        if report.age_ms is None or not isfinite(report.age_ms):
            return
        ended_at = self.clock() - max(report.age_ms, 0.0) / MS_PER_S
        process = ServerProcess(report.name, report.started_ms)
        if self.servers.record_end(process, ended_at, REPORT_MARGIN_S):
            log_end(report.name, evidence)

    def apply_evidence(self, node: str, evidence: CrashEvidence) -> None:
        """Apply another node's crashes, and the end of the process that they show."""
        for name in self.detector.merge_evidence(evidence):
            self._log_refusal(name, node)
        report = EndReport(evidence.server, evidence.started_ms, evidence.age_ms)
        self._apply_end(report, f"told by {node}")

    def on_end(
        self, server: str, crashes: Mapping[str, int], evidence: str, is_new: bool
    ) -> None:
        """Log the end of a server's process, and tell other nodes."""
        if is_new:
            log_end(server, evidence)
        self.on_crashes(server, crashes, evidence)
        if is_new and not crashes:
            self.on_crash()

    def on_crashes(
        self, server: str, crashes: Mapping[str, int], evidence: str
    ) -> None:
        """Log the crashes counted for a server's requests, and tell other nodes."""
        log_crashes(server, crashes, evidence)
        refused = [name for name in crashes if self.detector.is_refused(name)]
        for name in refused:
            self._log_refusal(name, None)
        if refused:
            self.on_refusal()
        elif crashes:
            self.on_crash()

    def _log_refusal(self, suspect: str, told_by: str | None) -> None:
        """Log that a request is refused from now on, and which crashes are known."""
        crashes = self.detector.crashes_of(suspect)
        get_logger().warning(
            "suspect_refused",
            suspect=suspect,
            count=len(crashes),
            crashes=describe_crashes(crashes),
            told_by=told_by,
        )

    def apply_list(self, servers: Mapping[str, BackendServer]) -> None:
        """Count a crash for what was lost on servers that the list no longer names."""
        for process in list(self.detector.lost):
            server = servers.get(process.name)
            is_listed = server is not None and server.process == process
            is_leaving = is_listed and server.state is not LifeState.LIVE
            if is_leaving or process in self.servers.leaving:
                self.detector.forget_losses(process)
            elif not is_listed:
                crashes = self.detector.record_end(process)
                self.on_crashes(process.name, crashes, "no longer listed")
