"""Soak nodes of the users' platform: load, faults from outside, and checks.

python -m bench.node_soak --seconds=30 --seed=1 prints the faults and one line with the
result; the exit status is 1 if a promise was broken.
"""

import sys
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from threading import Event, Thread
from time import monotonic, sleep

from absl import flags
from attrs import define, field, frozen

from bench.node_callers import Caller, SentRequest, start_callers
from bench.node_fleet import SERVICES, FleetServer, NodeFleet
from standins.command import parse_flags
from standins.platform_store import StoreCopy
from standins.proxy_rules import ProxyRule

CALLERS = 9
# Mean time between the starts of two faults; several may last at the same time.
FAULT_GAP_S = 1.2
MIN_FAULT_S, MAX_FAULT_S = 0.3, 4.0
# Time without new faults at the end, in which everything has to work again.
SETTLE_S = 6.0
# Documented time until a leaving server gets no more requests, and until a node is up
# to date after an impairment.
DRAIN_LIMIT_S = 2.5
CONTACT_S = 4.0
# Planned changes; a server that asks for a pause is no impairment either.
PLANNED_KINDS = ("stop", "config", "leave", "says_leaving", "asks_for_pause")
# Faults of servers whose names don't say so.
SERVER_KINDS = ("leave", "says_leaving", "asks_for_pause")
# Time for which the store is away before it comes back from an older copy, and until
# its other writers have written again.
RESTORE_S, REWRITE_S = 0.5, 1.0
# Requests that a server may get from a node in a pause, and from when on.
MAX_LATE_REQUESTS = 2
REFUSAL_LIMIT_S = 0.5
# Time for a request between a node's decision and the server's record of it.
TRANSIT_S = 0.3
STATUSES_NOT_RUN = (408, 421, 429, 503)
# Below this fraction of whole answers in the last seconds, service has not recovered.
MIN_RECOVERED_FRACTION = 0.95
MAX_SHOWN = 5


@frozen
class Fault:
    """One fault, or one planned change."""

    kind: str
    target: str
    started_at: float
    ended_at: float

    @property
    def is_planned(self) -> bool:
        """Return whether operators or the platform made the change on purpose."""
        return self.kind in PLANNED_KINDS


@frozen
class Leaving:
    """A server that left, and when the store accepted that."""

    server: FleetServer
    at: float


@frozen
class Pause:
    """A server that asked each node to send nothing for some seconds."""

    server: FleetServer
    at: float
    seconds: float


@define
class FaultInjector:
    """Inject faults at random times, each in a thread of its own."""

    fleet: NodeFleet
    random: Random
    faults: list[Fault] = field(factory=list)
    leavings: list[Leaving] = field(factory=list)
    pauses: list[Pause] = field(factory=list)
    # Servers whose entries were removed.
    removed: set[str] = field(factory=set)
    busy: set[str] = field(factory=set)
    threads: list[Thread] = field(factory=list)
    problems: list[str] = field(factory=list)

    def run(self, seconds: float) -> None:
        """Inject faults for some seconds, and wait until all have ended."""
        until = monotonic() + seconds
        kinds = sorted(self._kinds())
        next_at = monotonic() + self._gap_s()
        while next_at < until:
            sleep(max(next_at - monotonic(), 0.0))
            self._start(self.random.choice(kinds))
            next_at += self._gap_s()
        for thread in self.threads:
            thread.join()

    def _gap_s(self) -> float:
        return self.random.expovariate(1 / FAULT_GAP_S)

    def _kinds(self) -> dict[str, Callable[[str, float, str], None]]:
        return {
            "pause": self._pause,
            "kill": self._kill,
            "stop": self._stop,
            "store_down": self._store_down,
            "store_cut": self._store_cut,
            "store_frozen": self._store_cut,
            "history_lost": self._history_lost,
            "config": self._config,
            "leave": self._leave,
            "server_cut": self._server_rule,
            "server_frozen": self._server_rule,
            "server_slow": self._server_rule,
            "store_restored": self._store_restored,
            "says_leaving": self._say_leaving,
            "asks_for_pause": self._ask_for_pause,
            "answers_lost": self._answers,
            "answers_repeated": self._answers,
        }

    def _start(self, kind: str) -> None:
        is_node = kind in ("pause", "kill", "stop", "store_cut", "store_frozen")
        is_server = kind.startswith(("server", "answers")) or kind in SERVER_KINDS
        names = sorted(self.fleet.nodes) if is_node else ["store"]
        if is_server:
            gone = {leaving.server.name for leaving in self.leavings}
            names = sorted(set(self.fleet.servers) - gone)
        target = self.random.choice(names)
        if target in self.busy:
            return
        self.busy.add(target)
        seconds = self.random.uniform(MIN_FAULT_S, MAX_FAULT_S)
        thread = Thread(target=self._inject, args=(kind, target, seconds))
        self.threads.append(thread)
        thread.start()

    def _inject(self, kind: str, target: str, seconds: float) -> None:
        started_at = monotonic()
        try:
            self._kinds()[kind](target, seconds, kind)
        except Exception as error:
            self.problems.append(f"{kind} of {target}: {error!r}")
        self.faults.append(Fault(kind, target, started_at, monotonic()))
        self.busy.discard(target)

    def _pause(self, node: str, seconds: float, _kind: str) -> None:
        self.fleet.pause(node)
        sleep(seconds)
        self.fleet.resume(node)

    def _kill(self, node: str, seconds: float, _kind: str) -> None:
        self.fleet.processes.kill(node)
        sleep(seconds)
        self._restart(node)

    def _stop(self, node: str, _seconds: float, _kind: str) -> None:
        self.fleet.processes.terminate(node)
        status = self.fleet.processes.wait(node, self.fleet.grace_s + 2.0)
        if status != 0:
            self.problems.append(f"{node} stopped with {status}")
        self._restart(node)

    def _restart(self, node: str) -> None:
        self.fleet.processes.restart(node)
        self.fleet.wait_until(lambda: self.fleet.is_ready(node), 15.0)

    def _store_down(self, _target: str, seconds: float, _kind: str) -> None:
        self.fleet.store.state.error_status = 503
        sleep(seconds)
        self.fleet.store.state.error_status = None

    def _store_cut(self, node: str, seconds: float, kind: str) -> None:
        action = "cut" if kind == "store_cut" else "freeze"
        store = self.fleet.nodes[node].store
        self._apply_rule(ProxyRule(name=node, target=store, action=action), seconds)

    def _history_lost(self, _target: str, _seconds: float, _kind: str) -> None:
        self.fleet.store.state.drop_history()

    def _config(self, _target: str, _seconds: float, _kind: str) -> None:
        self.fleet.set_config(self.random.choice(SERVICES))

    def _leave(self, name: str, _seconds: float, _kind: str) -> None:
        server = self.fleet.servers[name]
        self.fleet.add_server(server.service, server.zone)
        self.fleet.set_state(server, "draining")
        self.leavings.append(Leaving(server, monotonic()))
        sleep(DRAIN_LIMIT_S)
        self._remove(name)

    def _store_restored(self, _target: str, seconds: float, _kind: str) -> None:
        """Come back from an older copy; its other writers write again afterwards."""
        state = self.fleet.store.state
        copy = state.copy()
        sleep(seconds)
        state.error_status = 503
        sleep(RESTORE_S)
        with state.changed:
            newest = state.copy()
            state.restore(copy)
        for number in range(self.random.choice((0, 40))):
            state.put("other", f"o{number}", {})
        state.error_status = None
        sleep(REWRITE_S)
        with state.changed:
            for kind in ("config", "servers"):
                self._write_again(kind, copy, newest)

    def _write_again(self, kind: str, copy: StoreCopy, newest: StoreCopy) -> None:
        """Write the objects again that nobody has written since the store's return."""
        state = self.fleet.store.state
        objects = state.kinds[kind]
        for name, written in newest.kinds[kind].items():
            current = objects.get(name, {}).get("Metadata", {}).get("Rev")
            known = copy.kinds[kind].get(name, {}).get("Metadata", {}).get("Rev")
            is_lost = written["Metadata"]["Rev"] != known
            if is_lost and current == known and name not in self.removed:
                state.put(kind, name, written["Spec"])
        for name in objects.keys() - newest.kinds[kind].keys():
            if name in copy.kinds[kind]:
                state.remove(kind, name)

    def _remove(self, name: str) -> None:
        """Remove a server's entry, which a restored store may not have."""
        state = self.fleet.store.state
        with state.changed:
            self.removed.add(name)
            if name in state.kinds["servers"]:
                state.remove("servers", name)

    def _say_leaving(self, name: str, _seconds: float, _kind: str) -> None:
        """Say in answers only that a server leaves, and remove it much later."""
        server = self.fleet.servers[name]
        self.fleet.add_server(server.service, server.zone)
        # Each node is bound from its own answers on, so the limit counts from the
        # time at which all nodes know it.
        server.endpoint.answer_headers = {"Server-Leaving": "1"}
        sleep(CONTACT_S)
        self.leavings.append(Leaving(server, monotonic()))
        sleep(DRAIN_LIMIT_S)
        self._remove(name)

    def _ask_for_pause(self, name: str, seconds: float, _kind: str) -> None:
        """Turn requests away for some seconds, with a Retry-After."""
        server = self.fleet.servers[name]
        server.endpoint.retry_after = f"{seconds:.2f}"
        self.pauses.append(Pause(server, monotonic(), seconds))
        sleep(seconds / 2)
        server.endpoint.retry_after = None
        sleep(seconds / 2)

    def _server_rule(self, name: str, seconds: float, kind: str) -> None:
        action = {"server_cut": "cut", "server_frozen": "freeze"}.get(kind, "none")
        rule = ProxyRule(
            name=name,
            target=self.fleet.servers[name].address,
            action=action,
            delay_ms=150.0 if kind == "server_slow" else 0.0,
        )
        self._apply_rule(rule, seconds)

    def _apply_rule(self, rule: ProxyRule, seconds: float) -> None:
        self.fleet.add_rule(rule)
        sleep(seconds)
        self.fleet.remove_rule(rule.name)

    def _answers(self, name: str, _seconds: float, kind: str) -> None:
        endpoint = self.fleet.servers[name].endpoint
        if kind == "answers_lost":
            endpoint.answers_to_lose = 3
        else:
            endpoint.answers_to_repeat = 3


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


def count_runs(fleet: NodeFleet) -> Counter:
    """Return how many times each request ran on any server."""
    runs: Counter = Counter()
    for server in fleet.servers.values():
        runs.update(server.endpoint.runs)
    return runs


def broken_answers(sent: Iterable[SentRequest], runs: Counter) -> list[str]:
    """Return the answers that belong to another request, or are not true."""
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
    return violations


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
    unplanned = [x for x in faults if not x.is_planned or x.kind == "stop"]
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
    """Return the requests that ran and got no answer around a planned stop alone."""
    faults = list(faults)
    stops = [x for x in faults if x.kind == "stop"]
    unplanned = [x for x in faults if not x.is_planned]
    return [
        f"cut off by a planned stop: {request}"
        for request in sent
        if not request.status
        and runs[request.request_id]
        and any(
            x.target == request.node and x.started_at < request.ended_at < x.ended_at
            for x in stops
        )
        and not _overlaps(unplanned, request.sent_at - CONTACT_S, request.ended_at)
    ]


def _overlaps(faults: Iterable[Fault], start: float, end: float) -> bool:
    return any(x.started_at < end and x.ended_at > start for x in faults)


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


def run_soak(seconds: float, seed: int, directory: Path) -> SoakResult:
    """Run a fleet under load and faults, then check the promises."""
    ended = Event()
    try:
        with NodeFleet(directory) as fleet:
            callers = start_callers(fleet, CALLERS, seed, ended)
            return _soak(fleet, callers, seconds, seed, ended)
    finally:
        # Callers of a run that was broken off would use the next fleet's addresses.
        ended.set()


def _soak(
    fleet: NodeFleet, callers: list[Caller], seconds: float, seed: int, ended: Event
) -> SoakResult:
    injector = FaultInjector(fleet, Random(seed))
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
    violations += broken_answers(sent, runs)
    violations += late_work(injector.leavings, injector.faults)
    violations += work_in_pauses(injector.pauses, injector.faults, len(fleet.nodes))
    violations += cut_off_requests(sent, injector.faults, runs)
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
            result = run_soak(values["seconds"].value, seed, Path(name))
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
