"""Remember the servers whose own answers state that they leave.

The list of servers lags behind what a server says of itself, and its entry may expire
and return meanwhile. So the statement belongs to a process of a server, not to its
entry, and ends with that process: a later one has another start time. Each node keeps
what its own answers stated, and tells the others while the list still names the server
as live. A restarted node learns it from them, a node that is cut off keeps its own.
"""

from collections.abc import Container, Iterable

from attrs import frozen

from ebonybend.world.backend_server import ServerProcess

# A process that leaves has ended by then.
LIFETIME_S = 3600.0
# Longest time between the ends of one statement on two nodes.
FORGETTING_S = 5.0
# Bounds the memory; the oldest statements are dropped.
MAX_PROCESSES = 10_000
# Leaving servers in a heartbeat.
MAX_REPORTED_LEAVING = 4
MS_PER_S = 1000.0


@frozen
class LeavingReport:
    """A leaving server process, as a node reports it to others."""

    name: str
    started_ms: int
    # Time since the last answer that stated it, in milliseconds.
    age_ms: float = 0.0


class LeavingServers:
    """The processes of servers that stated that they leave."""

    def __init__(self) -> None:
        # Time of the last statement, oldest first.
        self.stated_at: dict[ServerProcess, float] = {}
        # Reports sent so far, so that the next ones follow by round-robin.
        self.reports_sent = 0

    def __contains__(self, process: ServerProcess) -> bool:
        return process in self.stated_at

    def record(self, process: ServerProcess, now: float) -> bool:
        """Record that a process leaves; return whether that is new."""
        known = self.stated_at.pop(process, None)
        self.stated_at[process] = now
        for oldest in list(self.stated_at):
            is_excess = len(self.stated_at) > MAX_PROCESSES
            if not is_excess and now - self.stated_at[oldest] <= LIFETIME_S:
                break
            del self.stated_at[oldest]
        return known is None

    def reports(
        self, live: Container[ServerProcess], now: float, max_count: int
    ) -> tuple[LeavingReport, ...]:
        """Return the next reports, of processes that the list names as live."""
        found = [process for process in self.stated_at if process in live]
        count = min(max_count, len(found))
        start = self.reports_sent
        self.reports_sent += count
        chosen = (found[(start + step) % len(found)] for step in range(count))
        return tuple(
            LeavingReport(
                process.name,
                process.started_ms,
                (now - self.stated_at[process]) * MS_PER_S,
            )
            for process in chosen
        )

    def merge(self, reports: Iterable[LeavingReport], now: float) -> list[str]:
        """Record another node's reports; return the names of newly leaving servers."""
        found = []
        for report in reports:
            age_s = max(report.age_ms, 0.0) / MS_PER_S
            process = ServerProcess(report.name, report.started_ms)
            # A report doesn't renew what is known, since its age lacks the time that it
            # travelled.
            if age_s <= LIFETIME_S - FORGETTING_S and process not in self.stated_at:
                self.record(process, now - age_s)
                found.append(report.name)
        return found
