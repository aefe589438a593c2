"""Count requests in time windows and measure recovery from faults."""

from collections import deque
from collections.abc import Iterable

from attrs import frozen

from bench.load import Operation
from standins.server_history import ServerEvent

# Delays between sends and arrivals vary by some milliseconds, so a cap on sends in any
# window of 1 s is checked against arrivals in any window of this length.
CAP_WINDOW_S = 0.95
# A run has recovered once no later window of this length exceeds the failure limit.
RECOVERY_WINDOW_S = 1.0
WHOLE_SHARE = 0.99


@frozen
class Peak:
    """The largest number of times in any window."""

    count: int = 0
    # Last time in that window.
    at: float = 0.0


def max_in_window(times: Iterable[float], window_s: float = CAP_WINDOW_S) -> Peak:
    """Return the largest number of times in any half-open window."""
    window: deque[float] = deque()
    peak = Peak()
    for at in sorted(times):
        window.append(at)
        while window[0] <= at - window_s:
            window.popleft()
        if len(window) > peak.count:
            peak = Peak(len(window), at)
    return peak


def moved_at(
    operations: Iterable[Operation],
    events: Iterable[ServerEvent],
    senders: Iterable[str],
    target_servers: Iterable[str],
) -> list[float]:
    """Return when the target servers received requests that the senders moved.

    A request that a client itself sends to another region was not moved by a sender.
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
    """Return the times from start up to, but not including, end."""
    return [at for at in times if start <= at < end]


def useful_share(
    operations: Iterable[Operation],
    start: float,
    end: float,
    slots: int,
    service_s: float,
) -> float:
    """Return the whole answers in a period as a fraction of the slots' capacity."""
    whole = [x for x in operations if x.result == "whole" and start <= x.ended_at < end]
    return len(whole) * service_s / (slots * (end - start))


@frozen
class Recovery:
    """The effect of a fault on clients."""

    # Time from the fault until WHOLE_SHARE of the requests get whole answers again.
    seconds: float
    # Clients with a request without a whole answer, and the number of such requests.
    callers: int
    failed: int
    sent: int


def recovery(operations: Iterable[Operation], fault_at: float) -> Recovery:
    """Return the effect of a fault on the requests that ended after it."""
    after = sorted(
        (x for x in operations if x.ended_at >= fault_at), key=lambda x: x.started_at
    )
    failed = [x for x in after if x.result != "whole"]
    callers = {x.caller for x in failed}
    seconds = _recovery_s(after, fault_at)
    return Recovery(seconds, len(callers), len(failed), len(after))


def _recovery_s(after: list[Operation], fault_at: float) -> float:
    """Return the seconds to the last failure in a window over the limit, or 0."""
    window: deque[Operation] = deque()
    failures = 0
    last_failure_at = fault_at
    for operation in after:
        window.append(operation)
        failures += operation.result != "whole"
        while window[0].started_at <= operation.started_at - RECOVERY_WINDOW_S:
            failures -= window.popleft().result != "whole"
        if failures > (1 - WHOLE_SHARE) * len(window):
            last_failure_at = max(x.started_at for x in window if x.result != "whole")
    return max(last_failure_at - fault_at, 0.0)
