"""Soak nodes of the users' platform: load, faults from outside, and checks.

python -m bench.node_soak --seconds=30 --seed=1 prints the faults and one line with the
result; the exit status is 1 if a promise was broken.
"""

import re
import sys
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from threading import Event, Thread
from time import monotonic, sleep

from absl import flags
from attrs import define

from bench.node_callers import DEADLINE_MS, Caller, SentRequest, start_callers
from bench.node_faults import (
    CONTACT_S,
    DRAIN_LIMIT_S,
    Fault,
    FaultInjector,
    Leaving,
    Pause,
    Restart,
)
from bench.node_fleet import LONG_SERVICE_S, SERVICES, ZONES, NodeFleet
from ebonybend.steering.placement import TRIAL_PERIOD_S
from standins.command import parse_flags

CALLERS = 18
# Time without new faults at the end, in which everything has to work again.
SETTLE_S = 6.0
# Requests that a server may get from a node in a pause, and from when on.
MAX_LATE_REQUESTS = 2
REFUSAL_LIMIT_S = 0.5
# Time after a request's deadline until which it has to be answered. Of the requests
# without an answer at the deadline, fewer than this number, or up to this fraction,
# may be later.
LATE_ANSWER_S = 0.5
MIN_LATE_ANSWERS = 8
MAX_LATE_FRACTION = 0.25
# Time for a request between a node's decision and the server's record of it.
TRANSIT_S = 0.3
DEADLINE_S = DEADLINE_MS / 1000
GRACE_S = 6.0
# A new process of a server is cold for this time, and takes this rate meanwhile. The
# users allow one and a half times as much, and some more requests.
COLD_S, COLD_RATE = 3.0, 2.0
MAX_COLD_REQUESTS_PER_S = COLD_RATE * 1.5 + 5
# Requests sent up to this time after SIGTERM may be cut off in the last part of the
# grace time.
EXCUSED_S = 3.0
LAST_PART = 1 / 6
# Faults after which a node, or all of them, may not know what the others found.
DISTURBING_KINDS = (
    "pause",
    "kill",
    "stop",
    "grace_changed",
    "store_down",
    "store_cut",
    "store_frozen",
    "store_restored",
    "server_restarts",
    "stop_signals",
    "port_in_use",
    "settings_written",
)
STOP_KINDS = ("stop", "stop_signals")
# Statuses of a node that turns a request away which it takes for improper.
STATUSES_DENIED = (400, 401, 403, 404, 413, 431)
# Time to apply a change after a fault.
RECOVERED_S = 8.0
# Memory that a process may use, as in a settings file that names no limit.
MAX_MEMORY_MB = 256
MEMORY_PERIOD_S = 0.5
STATUSES_NOT_RUN = (408, 421, 429, 503)
# Errors of http.client for bytes that are no answer, apart from a closed connection.
MALFORMED_ERRORS = ("BadStatusLine", "LineTooLong", "UnknownProtocol", "HTTPException")
# Below this fraction of whole answers in the last seconds, service has not recovered.
MIN_RECOVERED_FRACTION = 0.95
MAX_SHOWN = 5
# A refusal at an idle server: its name, the time in which it is expected to answer, the
# time allowed, and the age of its last answer.
IDLE_REFUSAL = re.compile(
    r"; (\S+) 0\.0 of \d+ .*, expects ([\d.]+) s of ([\d.]+) s"
    r" \(slowness [\d.]+, last answer ([\d.]+) s ago\)"
)


@define
class SoakResult:
    """What a run sent, received and broke."""

    seed: int
    faults: list[Fault]
    statuses: Counter
    violations: list[str]

    def line(self) -> str:
        """Return a summary."""
        statuses = dict(sorted(self.statuses.items()))
        return (
            f"node soak: seed={self.seed} faults={len(self.faults)} "
            f"statuses={statuses} violations={len(self.violations)}"
        )


def count_broken(fleet: NodeFleet) -> Counter:
    """Return how many answers to each request servers broke."""
    broken: Counter = Counter()
    for server in fleet.servers.values():
        broken.update(server.endpoint.broken)
    return broken


def count_runs(fleet: NodeFleet) -> Counter:
    """Return how many times each request ran on any server."""
    runs: Counter = Counter()
    for server in fleet.servers.values():
        runs.update(server.endpoint.runs)
    return runs


def broken_answers(
    sent: Iterable[SentRequest], runs: Counter, broken: Counter
) -> list[str]:
    """Return the answers that belong to another request, or are not true.

    Counted by request: how often it ran, and how many of the answers were broken.
    """
    violations = []
    for request in sent:
        times = runs[request.request_id]
        if not request.is_own_answer:
            violations.append(f"not its own answer: {request}")
        if request.is_write and times > 1:
            violations.append(f"ran {times} times: {request}")
        if request.is_write and times and request.status in STATUSES_NOT_RUN:
            violations.append(f"ran, but was refused as not run: {request}")
        if request.status == 200 and not times:
            violations.append(f"answered, but did not run: {request}")
        elif request.status == 200 and times <= broken[request.request_id]:
            violations.append(f"answered, but each answer was broken: {request}")
        if request.error in MALFORMED_ERRORS:
            violations.append(f"got bytes that are no answer: {request}")
    return violations


def work_on_cold_servers(restarts: Iterable[Restart], cold_s: float) -> list[str]:
    """Return the servers that got too many requests in a second while they were cold.

    Nothing excuses this.
    """
    violations = []
    for restart in restarts:
        times = [
            at
            for at, _ in list(restart.server.endpoint.arrived)
            if restart.at <= at < restart.at + cold_s
        ]
        most = max((sum(x <= y < x + 1.0 for y in times) for x in times), default=0)
        if most > MAX_COLD_REQUESTS_PER_S:
            violations.append(
                f"{restart.server.name} got {most} requests in a second while cold"
            )
    return violations


def late_answers(sent: Iterable[SentRequest], faults: Iterable[Fault]) -> list[str]:
    """Return a line if many requests had no answer some time after their deadline.

    Not counted: those near a fault of a node, of the store or of a server, and those
    whose node did not accept them.
    """
    unplanned = [x for x in faults if not x.is_planned or x.kind in STOP_KINDS]
    waited_s = [
        request.ended_at - request.sent_at
        for request in sent
        if request.ended_at - request.sent_at >= DEADLINE_S
        and not _overlaps(unplanned, request.sent_at - CONTACT_S, request.ended_at)
    ]
    late = [x for x in waited_s if x >= DEADLINE_S + LATE_ANSWER_S]
    if len(late) < MIN_LATE_ANSWERS or len(late) <= MAX_LATE_FRACTION * len(waited_s):
        return []
    return [
        f"{len(late)} of {len(waited_s)} requests without an answer at their deadline"
        f" had none {LATE_ANSWER_S} s later"
    ]


def late_work(leavings: Iterable[Leaving], faults: Iterable[Fault]) -> list[str]:
    """Return the requests that reached servers too long after they left.

    Not counted: those near a fault of a node or of the store, which may delay the news.
    """
    unplanned = [x for x in faults if not x.is_planned]
    violations = []
    for leaving in leavings:
        for at, request_id in list(leaving.server.endpoint.started):
            limit = leaving.at + DRAIN_LIMIT_S + TRANSIT_S
            if at > limit and not _overlaps(unplanned, leaving.at - CONTACT_S, at):
                late_s = at - leaving.at
                violations.append(
                    f"{leaving.server.name} ran {request_id} {late_s:.1f} s after it"
                    " began to leave"
                )
    return violations


def work_in_pauses(
    pauses: Iterable[Pause], faults: Iterable[Fault], nodes: int
) -> list[str]:
    """Return the servers that got too many requests while they asked for a pause.

    Each node may learn it from one request, and send two more. Not counted: pauses near
    a fault of a node, which may forget them.
    """
    unplanned = [x for x in faults if not x.is_planned or x.kind in STOP_KINDS]
    violations = []
    for pause in pauses:
        refused = [at for at in pause.server.endpoint.turned_away if at > pause.at]
        if not refused:
            continue
        start, end = refused[0] + REFUSAL_LIMIT_S, refused[0] + pause.seconds
        arrived = [x for x, _ in list(pause.server.endpoint.arrived) if start < x < end]
        is_near = _overlaps(unplanned, pause.at - CONTACT_S, end)
        if len(arrived) > (1 + MAX_LATE_REQUESTS) * nodes and not is_near:
            violations.append(
                f"{pause.server.name} got {len(arrived)} requests in a pause"
            )
    return violations


def cut_off_requests(
    sent: Iterable[SentRequest], faults: Iterable[Fault], runs: Counter
) -> list[str]:
    """Return the requests that ran and got no answer around a planned stop alone.

    Not counted: those that were sent early in it and were still running near the end of
    the grace time.
    """
    faults = list(faults)
    stops = [x for x in faults if x.kind in STOP_KINDS]
    unplanned = [x for x in faults if not x.is_planned]
    return [
        f"cut off by a planned stop: {request}"
        for request in sent
        if not request.status
        and runs[request.request_id]
        and any(_cuts_off(stop, request) for stop in stops)
        and not _overlaps(unplanned, request.sent_at - CONTACT_S, request.ended_at)
    ]


def denied_requests(sent: Iterable[SentRequest], faults: Iterable[Fault]) -> list[str]:
    """Return the proper requests that were turned away for what they are.

    Not counted: those near a fault of a node or of the store, which may delay a change.
    """
    unplanned = [x for x in faults if not x.is_planned or x.kind in STOP_KINDS]
    return [
        f"denied: {request}"
        for request in sent
        if request.status in STATUSES_DENIED
        and not _overlaps(unplanned, request.sent_at - RECOVERED_S, request.ended_at)
    ]


class MemoryWatch:
    """The most memory that each node's process has used."""

    def __init__(self, fleet: NodeFleet, ended: Event):
        self.fleet = fleet
        self.ended = ended
        self.most_mb: dict[str, float] = {}
        Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while not self.ended.wait(MEMORY_PERIOD_S):
            for name in self.fleet.nodes:
                used_mb = self.fleet.processes.peak_memory_mb(name)
                self.most_mb[name] = max(self.most_mb.get(name, 0.0), used_mb)

    def violations(self) -> list[str]:
        """Return the nodes that used too much."""
        return [
            f"{name} used {used_mb:.0f} MB of memory"
            for name, used_mb in sorted(self.most_mb.items())
            if used_mb > MAX_MEMORY_MB
        ]


def _cuts_off(stop: Fault, request: SentRequest) -> bool:
    if stop.target != request.node:
        return False
    sent_s, ended_s = request.sent_at - stop.started_at, request.ended_at
    is_excused = sent_s <= EXCUSED_S and ended_s >= stop.started_at + GRACE_S * (
        1 - LAST_PART
    )
    return stop.started_at < ended_s < stop.ended_at and not is_excused


def _overlaps(faults: Iterable[Fault], start: float, end: float) -> bool:
    return any(x.started_at < end and x.ended_at > start for x in faults)


def max_avoided_s(nodes: int) -> float:
    """Return for how long a node may send nothing to an idle server.

    Its turn comes once in those of all nodes, other requests precede urgent and unsafe
    ones for a period each, the first trial may be lost, and the second may be long.
    """
    return 2 * (nodes + 2) * TRIAL_PERIOD_S + LONG_SERVICE_S + TRANSIT_S


def avoided_servers(refusals: Iterable[str], nodes: int) -> list[str]:
    """Return the idle servers that nodes avoided for too long, from their log lines."""
    longest: dict[str, float] = {}
    for line in refusals:
        found = IDLE_REFUSAL.search(line)
        if found and float(found[2]) > float(found[3]):
            name = f"{line.partition(':')[0]} avoided idle {found[1]}"
            longest[name] = max(longest.get(name, 0.0), float(found[4]))
    return [
        f"{name} for {seconds:.1f} s"
        for name, seconds in sorted(longest.items())
        if seconds > max_avoided_s(nodes)
    ]


def not_recovered(fleet: NodeFleet, sent: list[SentRequest], since: float) -> list[str]:
    """Return what does not work again after the faults have ended."""
    violations = [f"{x} is not ready" for x in fleet.nodes if not fleet.is_ready(x)]
    for name in fleet.nodes:
        version = fleet.config_in_force(name)
        if version != fleet.config_version:
            violations.append(
                f"{name} has configuration {version} of {fleet.config_version}"
            )
    late = [request for request in sent if request.sent_at > since]
    whole = sum(request.status == 200 for request in late)
    if whole < MIN_RECOVERED_FRACTION * len(late):
        statuses = Counter((request.status, request.error) for request in late)
        violations.append(f"answered {whole} of {len(late)} at the end: {statuses}")
    return violations


def run_soak(
    seconds: float, seed: int, directory: Path, kinds: tuple[str, ...] = ()
) -> SoakResult:
    """Run a fleet under load and faults of some kinds, then check the promises."""
    ended = Event()
    try:
        fleet = NodeFleet(
            directory,
            grace_s=GRACE_S,
            timeout_ms=DEADLINE_MS,
            cold_rate=COLD_RATE,
            cold_s=COLD_S,
        )
        with fleet:
            for service in SERVICES:
                server = fleet.add_server(service, min(ZONES), proxied=False)
                fleet.stack.callback(server.endpoint.stop)
            callers = start_callers(fleet, CALLERS, seed, ended)
            injector = FaultInjector(fleet, Random(seed), kinds)
            return _soak(fleet, callers, seconds, seed, ended, injector)
    finally:
        # Callers of a run that was broken off would use the next fleet's addresses.
        ended.set()


def _soak(
    fleet: NodeFleet,
    callers: list[Caller],
    seconds: float,
    seed: int,
    ended: Event,
    injector: FaultInjector,
) -> SoakResult:
    memory = MemoryWatch(fleet, ended)
    injector.run(max(seconds - SETTLE_S, 0.0))
    sleep(SETTLE_S)
    settled_at = monotonic() - SETTLE_S + CONTACT_S
    sent = [request for caller in callers for request in list(caller.sent)]
    violations = not_recovered(fleet, sent, settled_at)
    ended.set()
    for caller in callers:
        caller.thread.join()
    sent = [request for caller in callers for request in caller.sent]
    runs = count_runs(fleet)
    violations += broken_answers(sent, runs, count_broken(fleet))
    violations += late_work(injector.leavings, injector.faults)
    violations += work_in_pauses(injector.pauses, injector.faults, len(fleet.nodes))
    violations += cut_off_requests(sent, injector.faults, runs)
    violations += denied_requests(sent, injector.faults)
    violations += memory.violations()
    violations += late_answers(sent, injector.faults)
    violations += work_on_cold_servers(injector.restarts, COLD_S)
    refusals = fleet.log_lines(fleet.nodes, "no server has room")
    violations += avoided_servers(refusals, len(fleet.nodes))
    disturbed = [
        (fault.target, fault.started_at, fault.ended_at)
        for fault in injector.faults
        if fault.kind in DISTURBING_KINDS
    ]
    for burst in injector.crash_bursts:
        violations += burst.violations(disturbed, CONTACT_S)
    violations += injector.problems
    violations += [f"{name} ended" for _, name in fleet.processes.crashes]
    violations += fleet.log_lines(fleet.nodes, "Traceback")
    statuses = Counter(request.status for request in sent)
    return SoakResult(seed, injector.faults, statuses, violations)


def define_flags(values: flags.FlagValues) -> None:
    """Define the command-line flags."""
    target = {"flag_values": values}
    flags.DEFINE_float("seconds", 30.0, "Length of a run.", **target)
    flags.DEFINE_integer("seed", 1, "Seed of the first run.", **target)
    flags.DEFINE_integer("runs", 1, "Runs with following seeds.", **target)
    flags.DEFINE_list(
        "kinds",
        [],
        "Kinds of faults, such as those of planned work only; all by default.",
        **target,
    )
    flags.DEFINE_string(
        "directory", "", "Folder for the logs of failed runs.", **target
    )


def main(arguments: list[str]) -> int:
    """Run the soak and return the exit status."""
    values = parse_flags(define_flags, arguments)
    failed = 0
    for seed in range(
        values["seed"].value, values["seed"].value + values["runs"].value
    ):
        with TemporaryDirectory(prefix="ebonybend-soak-") as name:
            kinds = tuple(values["kinds"].value)
            result = run_soak(values["seconds"].value, seed, Path(name), kinds)
            print(result.line(), flush=True)
            for violation in result.violations[:MAX_SHOWN]:
                print(f"  {violation}", flush=True)
            if result.violations:
                failed += 1
                _keep_logs(Path(name), values["directory"].value, result)
    return 1 if failed else 0


def _keep_logs(logs: Path, directory: str, result: SoakResult) -> None:
    """Copy the logs and the faults of a failed run."""
    if not directory:
        return
    kept = Path(directory) / f"seed-{result.seed}"
    kept.mkdir(parents=True, exist_ok=True)
    for path in logs.iterdir():
        if path.is_file():
            (kept / path.name).write_bytes(path.read_bytes())
    lines = [*map(str, result.faults), *result.violations]
    (kept / "result.txt").write_text("\n".join([result.line(), *lines]))


if __name__ == "__main__":
    sys.exit(main(sys.argv))
