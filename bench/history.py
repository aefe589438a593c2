"""Check the records of clients against the histories of backend servers."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

from attrs import define, field
from msgspec import DecodeError, json

from bench.load import Operation
from standins.server_history import ServerEvent

# Time after a backend server began to leave from which it must receive no requests.
LEAVING_LIMIT_S = 3.0
EXAMPLES_PER_FAULT = 5


@define
class Report:
    """Counts and faults from the records of clients and backend servers."""

    # Operations of all clients. The next five counts divide them by result.
    sent: int = 0
    # Operations with a complete, correct answer.
    whole: int = 0
    not_run: int = 0
    unknown: int = 0
    bad_request: int = 0
    # Answers that are incomplete or belong to another request.
    wrong: int = 0
    # Writes that ran more than once.
    duplicates: int = 0
    # Operations or attempts that were reported as not run but did run.
    untruthful: int = 0
    # Writes answered with success that no backend server ran.
    invented: int = 0
    # Events with more requests in flight than slots.
    over_slots: int = 0
    # Requests that reached a backend server more than 3 s after it began to leave.
    late_work: int = 0
    # Requests that a backend server refused for another reason than draining.
    sheds: int = 0
    # Requests that a backend server began to run.
    started: int = 0
    # Maxima per backend server.
    highest_in_flight: dict[str, int] = field(factory=dict)
    highest_connections: dict[str, int] = field(factory=dict)
    # First examples of each kind of fault, by the name of its count.
    examples: dict[str, list[str]] = field(factory=dict)

    @property
    def ok(self) -> bool:
        """Return whether all invariants hold."""
        broken = (
            self.wrong,
            self.duplicates,
            self.untruthful,
            self.invented,
            self.over_slots,
            self.late_work,
        )
        return not any(broken)

    def line(self) -> str:
        """Return the result line."""
        return (
            f"result: sent={self.sent} whole={self.whole} not_run={self.not_run} "
            f"unknown={self.unknown} wrong={self.wrong} duplicates={self.duplicates}"
        )

    def fault(self, name: str, example: str) -> None:
        """Count a fault and keep the first examples of its kind."""
        setattr(self, name, getattr(self, name) + 1)
        examples = self.examples.setdefault(name, [])
        if len(examples) < EXAMPLES_PER_FAULT:
            examples.append(example)


def read_server_events(paths: Iterable[Path]) -> list[ServerEvent]:
    """Return the events of server histories, sorted by time."""
    events = []
    for path in paths:
        if path.exists():
            events += _read_lines(path)
    return sorted(events, key=lambda event: event.at)


def _read_lines(path: Path) -> list[ServerEvent]:
    lines = path.read_bytes().splitlines()
    events = []
    for number, line in enumerate(lines):
        try:
            events.append(json.decode(line, type=ServerEvent))
        except DecodeError:
            # Only the last line can be truncated, when the process was killed.
            if number != len(lines) - 1:
                raise
    return events


def operation_name(event: ServerEvent) -> str:
    """Return the name of the operation that a request belongs to, or ""."""
    values = parse_qs(urlsplit(event.path).query).get("op")
    return values[0] if values else ""


def check(
    operations: Iterable[Operation],
    events: Iterable[ServerEvent],
    leaving_since: Mapping[str, float] | None = None,
) -> Report:
    """Return the counts and faults of a run.

    leaving_since maps a backend server to the time at which it began to leave.
    """
    report = Report()
    events = list(events)
    starts: dict[str, list[ServerEvent]] = defaultdict(list)
    for event in events:
        if event.event == "started":
            starts[operation_name(event)].append(event)
    broken = Counter(operation_name(x) for x in events if x.event == "broken")
    started_requests = {x.request_id for x in events if x.event == "started"}
    started_keys = {x.key for x in events if x.event == "started"}
    for operation in operations:
        runs = starts[operation.name]
        _check_operation(report, operation, runs)
        if operation.result == "whole" and 0 < len(runs) <= broken[operation.name]:
            report.fault("wrong", f"{operation.path}: each answer was broken")
        _check_attempts(report, operation, started_requests)
        _check_keys(report, operation, started_keys)
    _check_servers(report, events, leaving_since or {})
    return report


def _check_operation(
    report: Report, operation: Operation, starts: list[ServerEvent]
) -> None:
    report.sent += 1
    text = f"{operation.method} {operation.service}{operation.path}"
    if operation.result == "wrong":
        report.fault("wrong", f"{text}: {operation.fault}")
    else:
        setattr(report, operation.result, getattr(report, operation.result) + 1)
    servers = ", ".join(event.server for event in starts)
    if operation.method == "POST" and len(starts) > 1:
        report.fault("duplicates", f"{text} ran on {servers}")
    if operation.result == "not_run" and _refusal_covers_all(operation) and starts:
        report.fault("untruthful", f"{text} was refused and ran on {servers}")
    if operation.method == "POST" and operation.result == "whole" and not starts:
        report.fault("invented", f"{text} was answered and did not run")


def _refusal_covers_all(operation: Operation) -> bool:
    """Return whether the refusal implies that no attempt of the operation ran.

    The refusal of a write covers all attempts under its key. That of a read covers one
    attempt only, and an earlier attempt with an unknown outcome may have run.
    """
    if operation.method == "POST":
        return True
    return all(x.result in ("not_run", "not_sent") for x in operation.attempts)


def _check_attempts(
    report: Report, operation: Operation, started_requests: set[str]
) -> None:
    for attempt in operation.attempts:
        if attempt.result not in ("not_run", "not_sent"):
            continue
        if attempt.request_id in started_requests and operation.result != "not_run":
            text = f"attempt {attempt.request_id}: {attempt.result} {attempt.error}"
            report.fault("untruthful", f"{text}, but it ran")


def _check_keys(report: Report, operation: Operation, started_keys: set[str]) -> None:
    """Record a fault if a write ran, at any time, under a key that was refused."""
    for attempt in operation.attempts:
        if attempt.covers_key and attempt.key in started_keys:
            text = f"attempt {attempt.request_id}: {attempt.error}"
            report.fault("untruthful", f"{text}, but {attempt.key} ran")
            return


def _check_servers(
    report: Report, events: list[ServerEvent], leaving_since: Mapping[str, float]
) -> None:
    max_in_flight: Counter[str] = Counter()
    connections: Counter[str] = Counter()
    for event in events:
        max_in_flight[event.server] = max(max_in_flight[event.server], event.in_flight)
        connections[event.server] = max(connections[event.server], event.connections)
        if event.in_flight > event.slots:
            report.fault("over_slots", f"{event.server}: {event.in_flight}")
        if event.event == "started":
            report.started += 1
        if event.event == "refused" and not event.draining:
            report.sheds += 1
        _check_leaving(report, event, leaving_since.get(event.server))
    report.highest_in_flight = dict(max_in_flight)
    report.highest_connections = dict(connections)


def _check_leaving(report: Report, event: ServerEvent, since: float | None) -> None:
    if since is None or event.event != "received":
        return
    delay_s = event.at - since
    if delay_s > LEAVING_LIMIT_S:
        report.fault("late_work", f"{event.server}: {delay_s:.1f} s after leaving")
