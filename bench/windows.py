"""Count what arrived, ended or was moved in windows of time."""

from collections import deque
from collections.abc import Iterable

from attrs import frozen

from bench.load import Operation
from standins.server_history import ServerEvent

# Arrivals vary by some milliseconds against the sends that a cap bounds, so a cap on
# sends in any window of 1 s is checked on arrivals in any window of this length.
CAP_WINDOW_S = 0.95
# A run is whole again from the start of the first window of this length that holds.
RECOVERY_WINDOW_S = 1.0
WHOLE_SHARE = 0.99


@frozen
class Peak:
    """The largest number of events in any window."""

    count: int = 0
    # Time of the last event of that window.
    at: float = 0.0


def most_in_window(times: Iterable[float], window_s: float = CAP_WINDOW_S) -> Peak:
    """Return the largest number of times in any half-open window of a length."""
    inside: deque[float] = deque()
    peak = Peak()
    for at in sorted(times):
        inside.append(at)
        while inside[0] <= at - window_s:
            inside.popleft()
        if len(inside) > peak.count:
            peak = Peak(len(inside), at)
    return peak


def moved_at(
    operations: Iterable[Operation],
    events: Iterable[ServerEvent],
    senders: Iterable[str],
    target_servers: Iterable[str],
) -> list[float]:
    """Return when requests that callers gave to the senders reached the servers.

    A request that a caller itself takes to another region was not moved by a sender.
    """
    senders = frozenset(senders)
    attempts = (a for x in operations for a in x.attempts if a.instance in senders)
    requests = {a.request_id for a in attempts}
    servers = frozenset(target_servers)
    return [
        event.at
        for event in events
        if event.event == "received"
        and event.server in servers
        and event.request_id in requests
    ]


def between(times: Iterable[float], start: float, end: float) -> list[float]:
    """Return the times from a start up to an end."""
    return [at for at in times if start <= at < end]


def useful_share(
    operations: Iterable[Operation],
    start: float,
    end: float,
    slots: int,
    service_s: float,
) -> float:
    """Return the whole answers in a time, as a part of what the slots can answer."""
    whole = [x for x in operations if x.result == "whole" and start <= x.ended_at < end]
    return len(whole) * service_s / (slots * (end - start))


@frozen
class Recovery:
    """What a fault cost its callers."""

    # Time from the fault until WHOLE_SHARE of the requests were whole again.
    seconds: float
    # Callers with a request that was not whole, and the number of such requests.
    callers: int
    failed: int
    sent: int


def recovery(operations: Iterable[Operation], fault_at: float) -> Recovery:
    """Return what became of the requests that began after a fault or ran then."""
    after = sorted(
        (x for x in operations if x.ended_at >= fault_at), key=lambda x: x.started_at
    )
    failed = [x for x in after if x.result != "whole"]
    callers = {x.caller for x in failed}
    seconds = _whole_again(after, fault_at)
    return Recovery(seconds, len(callers), len(failed), len(after))


def _whole_again(after: list[Operation], fault_at: float) -> float:
    """Return the seconds to the last window that was not whole; 0 if all were."""
    inside: deque[Operation] = deque()
    failures = 0
    last = fault_at
    for operation in after:
        inside.append(operation)
        failures += operation.result != "whole"
        while inside[0].started_at <= operation.started_at - RECOVERY_WINDOW_S:
            failures -= inside.popleft().result != "whole"
        if failures > (1 - WHOLE_SHARE) * len(inside):
            last = max(x.started_at for x in inside if x.result != "whole")
    return max(last - fault_at, 0.0)
