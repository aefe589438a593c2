"""Check what a soak run must always hold beyond the callers' records."""

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
    """Return the requests that reached servers too late after they began to leave."""
    leaving = list(leaving)
    found = []
    for event in events:
        if event.event != "received":
            continue
        for time in leaving:
            if time.server != event.server:
                continue
            if time.since + LEAVING_LIMIT_S < event.at < time.until:
                after = event.at - time.since
                found.append(f"{event.server}: {after:.1f} s after leaving")
    return found


def moved(
    operations: Iterable[Operation],
    events: Iterable[ServerEvent],
    senders: Iterable[str],
    servers: Iterable[str],
) -> list[tuple[float, float]]:
    """Return for each moved request an earliest and a latest time of its sending.

    A caller gave it to a sender at the first and it reached a server at the second.
    """
    senders, servers = frozenset(senders), frozenset(servers)
    given = {
        attempt.request_id: attempt.at
        for operation in operations
        for attempt in operation.attempts
        if attempt.instance in senders
    }
    return [
        (given[event.request_id], event.at)
        for event in events
        if event.event == "received"
        and event.server in servers
        and event.request_id in given
    ]


def most_moved(spans: Iterable[tuple[float, float]]) -> int:
    """Return the largest number of requests that surely lie in one window.

    Faults bunch arrivals, so a request counts only if its whole span is inside.
    """
    spans = sorted(spans)
    most = 0
    for index, (start, _) in enumerate(spans):
        inside = 0
        for given, received in spans[index:]:
            if given >= start + CAP_WINDOW_S:
                break
            inside += received < start + CAP_WINDOW_S
        most = max(most, inside)
    return most


def not_converged(fleet: Fleet, timeout_s: float) -> list[str]:
    """Wait until all instances are ready with one revision; return who is not."""
    deadline = monotonic() + timeout_s
    while True:
        found = {x: _revisions(fleet, x) for x in fleet.instances}
        newest = max((y for x in found.values() for y in x if y), default=0)
        behind = [
            f"{name}: {revisions}, ready {fleet.instance_ready(name)}"
            for name, revisions in found.items()
            if set(revisions) != {newest} or not fleet.instance_ready(name)
        ]
        if not behind or monotonic() > deadline:
            return behind
        sleep(CONVERGE_POLL_S)


def _revisions(fleet: Fleet, name: str) -> tuple[int | None, int | None]:
    return entry_revision(fleet, name), control_revision(fleet, name)
