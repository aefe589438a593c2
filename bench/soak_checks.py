"""Check invariants of a soak run beyond those of the clients' records."""

from collections.abc import Iterable
from time import monotonic, sleep

from bench.fleet import Fleet
from bench.history import LEAVING_LIMIT_S
from bench.load import Operation
from bench.revisions import control_revision, entry_revision
from bench.soak_faults import Leaving
from standins.server_history import ServerEvent

CAP_WINDOW_S = 1.0
CONVERGE_POLL_S = 0.25


def late_work(events: Iterable[ServerEvent], leaving: Iterable[Leaving]) -> list[str]:
    """Return the requests that reached servers too long after they began to leave."""
    leaving = list(leaving)
    violations = []
    for event in events:
        if event.event != "received":
            continue
        for period in leaving:
            if period.server != event.server:
                continue
            if period.since + LEAVING_LIMIT_S < event.at < period.until:
                delay_s = event.at - period.since
                violations.append(f"{event.server}: {delay_s:.1f} s after leaving")
    return violations


def moved_request_spans(
    operations: Iterable[Operation],
    events: Iterable[ServerEvent],
    senders: Iterable[str],
    servers: Iterable[str],
) -> list[tuple[float, float]]:
    """Return the earliest and latest time at which each moved request was forwarded.

    A client sent it to a sender at the first and a server received it at the second.
    """
    senders, servers = frozenset(senders), frozenset(servers)
    sent_at = {
        attempt.request_id: attempt.at
        for operation in operations
        for attempt in operation.attempts
        if attempt.instance in senders
    }
    return [
        (sent_at[event.request_id], event.at)
        for event in events
        if event.event == "received"
        and event.server in servers
        and event.request_id in sent_at
    ]


def max_moved(spans: Iterable[tuple[float, float]]) -> int:
    """Return the largest number of requests certainly forwarded in one window.

    Faults cause bursts of arrivals, so a request counts only if the window contains
    its whole span.
    """
    spans = sorted(spans)
    most = 0
    for index, (start, _) in enumerate(spans):
        inside = 0
        for sent_at, received in spans[index:]:
            if sent_at >= start + CAP_WINDOW_S:
                break
            inside += received < start + CAP_WINDOW_S
        most = max(most, inside)
    return most


def not_converged(fleet: Fleet, timeout_s: float) -> list[str]:
    """Wait until all instances are ready with one revision; return the others."""
    deadline = monotonic() + timeout_s
    while True:
        revisions_by_name = {x: _revisions(fleet, x) for x in fleet.instances}
        newest = max((y for x in revisions_by_name.values() for y in x if y), default=0)
        behind = [
            f"{name}: {revisions}, ready {fleet.instance_ready(name)}"
            for name, revisions in revisions_by_name.items()
            if set(revisions) != {newest} or not fleet.instance_ready(name)
        ]
        if not behind or monotonic() > deadline:
            return behind
        sleep(CONVERGE_POLL_S)


def _revisions(fleet: Fleet, name: str) -> tuple[int | None, int | None]:
    return entry_revision(fleet, name), control_revision(fleet, name)
