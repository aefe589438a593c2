"""Faults and planned changes that the soak of nodes injects from outside."""

from collections.abc import Callable
from functools import partial
from random import Random
from signal import SIGHUP, SIGTERM
from socket import (
    AF_INET,
    SO_REUSEADDR,
    SOCK_DGRAM,
    SOCK_STREAM,
    SOL_SOCKET,
    socket,
)
from threading import Thread
from time import monotonic, sleep

from attrs import define, field, frozen

from bench.crash_bursts import CrashBurst
from bench.node_fleet import PORTS, SERVICES, FleetServer, NodeFleet, server_object
from bench.odd_texts import odd_texts
from standins.broken_answers import BROKEN_ANSWERS
from standins.platform_store import StoreCopy
from standins.proxy_rules import ProxyRule

# Mean time between the starts of two faults; several may last at the same time.
FAULT_GAP_S = 1.2
MIN_FAULT_S, MAX_FAULT_S = 0.3, 4.0
# Documented time until a leaving server gets no more requests, and until a node is up
# to date after an impairment.
DRAIN_LIMIT_S = 2.5
CONTACT_S = 4.0
# Planned changes. A server that asks for a pause, an odd entry of another writer and a
# watch that is cut off are no impairments either.
PLANNED_KINDS = (
    "stop",
    "config",
    "leave",
    "says_leaving",
    "asks_for_pause",
    "odd_entry",
    "watches_cut",
    "vanish",
    "grace_changed",
    "hang_up",
    "limits_changed",
    "stop_signals",
)
# Faults of nodes.
NODE_KINDS = (
    "pause",
    "kill",
    "stop",
    "store_cut",
    "store_frozen",
    "grace_changed",
    "hang_up",
    "stop_signals",
    "port_in_use",
    "settings_written",
)
# Faults of servers whose names don't say so.
SERVER_KINDS = ("leave", "says_leaving", "asks_for_pause", "vanish")
# Time for which the store is away before it comes back from an older copy, and until
# its other writers have written again.
RESTORE_S, REWRITE_S = 0.5, 1.0
# Time for which a server is down that starts again.
MIN_DOWN_S, MAX_DOWN_S = 0.1, 1.5
MS_PER_S = 1000
# Grace time in place of the longer one.
SHORT_GRACE_S = 4.0
# Limits on headers that configurations have in turn.
HEADER_LIMITS = (8192, 16384, 40_000)
# Ports that another process may have when a node starts.
HELD_PORTS = (
    (PORTS.callers, SOCK_STREAM),
    (PORTS.ready, SOCK_STREAM),
    (PORTS.directory, SOCK_STREAM),
    (PORTS.metrics, SOCK_STREAM),
    (PORTS.internal[0], SOCK_DGRAM),
    (PORTS.internal[0] + 1, SOCK_DGRAM),
)
# A library that a starting node loads early.
IMPORTED_LIBRARY = "msgspec"
# Sizes of odd entries, and the time between two writes of one.
ODD_ENTRY_BYTES = (100, 10_000, 100_000, 1_000_000)
ODD_ENTRY_PERIOD_S = 1.5
# Times between two cuts of the waiting watches.
MIN_CUT_GAP_S, MAX_CUT_GAP_S = 0.2, 2.2
ODD_ENTRY_KINDS = ("servers", "evacuations", "ebonybend-nodes", "ebonybend-kept")


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
class Restart:
    """A server that started again under its name, and when."""

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
    # The kinds of faults to inject; all if empty.
    chosen: tuple[str, ...] = ()
    faults: list[Fault] = field(factory=list)
    leavings: list[Leaving] = field(factory=list)
    pauses: list[Pause] = field(factory=list)
    restarts: list[Restart] = field(factory=list)
    crash_bursts: list[CrashBurst] = field(factory=list)
    # Servers whose entries were removed.
    removed: set[str] = field(factory=set)
    busy: set[str] = field(factory=set)
    threads: list[Thread] = field(factory=list)
    problems: list[str] = field(factory=list)

    def run(self, seconds: float) -> None:
        """Inject faults for some seconds, and wait until all have ended."""
        until = monotonic() + seconds
        kinds = sorted(self.chosen or self._kinds())
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
            "answers_broken": self._answers,
            "odd_entry": self._odd_entry,
            "watches_cut": self._watches_cut,
            "vanish": self._vanish,
            "grace_changed": self._grace_changed,
            "hang_up": self._hang_up,
            "limits_changed": self._limits_changed,
            "stop_signals": self._stop,
            "port_in_use": self._port_in_use,
            "settings_written": self._settings_written,
            "server_restarts": self._server_restarts,
            "crash_burst": self._crash_burst,
        }

    def _start(self, kind: str) -> None:
        is_node = kind in NODE_KINDS
        is_server = kind.startswith(("server", "answers")) or kind in SERVER_KINDS
        names = sorted(self.fleet.nodes) if is_node else ["store"]
        if kind == "crash_burst":
            names = ["crash_burst"]
        if is_server:
            gone = {leaving.server.name for leaving in self.leavings}
            # Those of a burst crash and start again by themselves.
            crashing = {
                server.name for burst in self.crash_bursts for server in burst.servers
            }
            names = sorted(set(self.fleet.servers) - gone - crashing)
        if kind == "server_restarts":
            # The proxy would accept connections to a server that isn't there.
            names = [x for x in names if not self.fleet.servers[x].is_proxied]
        if not names:
            # All servers of the kind have left or crash.
            return
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

    def _stop(self, node: str, _seconds: float, kind: str) -> None:
        self.fleet.stopping[node] = monotonic()
        self.fleet.processes.terminate(node)
        until = monotonic() + self.fleet.grace_s + 2.0
        while (
            kind == "stop_signals"
            and self.fleet.processes.alive(node)
            and monotonic() < until
        ):
            self.fleet.processes.signal(node, self.random.choice((SIGHUP, SIGTERM)))
            sleep(self.random.choice((0.001, 0.1)))
        status = self.fleet.processes.wait(node, max(until - monotonic(), 0.1))
        del self.fleet.stopping[node]
        if status != 0:
            self.problems.append(f"{node} stopped with {status}")
        self._restart(node)

    def _grace_changed(self, node: str, seconds: float, _kind: str) -> None:
        """Shorten the grace time, with a signal or without, and stop the node."""
        self.fleet.write_settings(node, SHORT_GRACE_S)
        if self.random.random() < 0.5:
            self.fleet.processes.signal(node, SIGHUP)
        sleep(seconds)
        self.fleet.processes.terminate(node)
        status = self.fleet.processes.wait(node, SHORT_GRACE_S)
        if status != 0:
            self.problems.append(f"{node} stopped with {status}")
        self.fleet.write_settings(node, self.fleet.grace_s)
        self._restart(node)

    def _hang_up(self, node: str, seconds: float, _kind: str) -> None:
        """Send SIGHUP again and again."""
        until = monotonic() + seconds
        while monotonic() < until:
            self.fleet.processes.signal(node, SIGHUP)
            sleep(self.random.uniform(0.0, 0.5))

    def _limits_changed(self, _target: str, _seconds: float, _kind: str) -> None:
        """Change the limit on headers."""
        self.fleet.set_header_limit(self.random.choice(HEADER_LIMITS))

    def _port_in_use(self, node: str, seconds: float, _kind: str) -> None:
        """Kill a node, and let another process hold one of its ports for a time."""
        self.fleet.processes.kill(node)
        number, kind = self.random.choice(HELD_PORTS)
        with socket(AF_INET, kind) as holder:
            holder.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
            holder.bind((self.fleet.nodes[node].ip, number))
            if kind == SOCK_STREAM:
                holder.listen()
            self.fleet.processes.restart(node)
            sleep(seconds)
        self.fleet.wait_until(lambda: self.fleet.is_ready(node), 15.0)

    def _settings_written(self, node: str, seconds: float, _kind: str) -> None:
        """Cut the settings file in half, and kill the node or send SIGHUP."""
        path = self.fleet.write_settings(node, self.fleet.grace_s)
        whole = path.read_text()
        path.write_text(whole[: self.random.randrange(len(whole))])
        if self.random.random() < 0.5:
            self.fleet.processes.kill(node)
            self.fleet.processes.restart(node)
        else:
            self.fleet.processes.signal(node, SIGHUP)
        sleep(seconds)
        path.write_text(whole)
        self.fleet.wait_until(lambda: self.fleet.is_ready(node), 15.0)

    def _restart(self, node: str) -> None:
        self.fleet.processes.restart(node)
        if self.random.random() < 0.5:
            # The interpreter itself can't handle a signal before it runs the node.
            is_importing = partial(self.fleet.processes.maps, node, IMPORTED_LIBRARY)
            self.fleet.wait_until(is_importing, 15.0, 0.002)
            self.fleet.processes.signal(node, SIGHUP)
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

    def _vanish(self, name: str, _seconds: float, _kind: str) -> None:
        """Remove a server that says nothing of its leaving, while watches are cut."""
        server = self.fleet.servers[name]
        self.fleet.add_server(server.service, server.zone)
        self.fleet.store.state.cut_watches()
        sleep(self.random.uniform(0.0, MAX_CUT_GAP_S))
        self._remove(name)
        self.leavings.append(Leaving(server, monotonic()))
        self._watches_cut(name, DRAIN_LIMIT_S, "watches_cut")

    def _watches_cut(self, _target: str, seconds: float, _kind: str) -> None:
        """Cut the waiting watches off again and again."""
        until = monotonic() + seconds
        while monotonic() < until:
            self.fleet.store.state.cut_watches()
            sleep(self.random.uniform(MIN_CUT_GAP_S, MAX_CUT_GAP_S))

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

    def _odd_entry(self, _target: str, seconds: float, _kind: str) -> None:
        """Write an odd entry again and again, as another writer may, and remove it."""
        size = self.random.choice(ODD_ENTRY_BYTES)
        text = self.random.choice(odd_texts(size))
        kind = self.random.choice(ODD_ENTRY_KINDS)
        state, until = self.fleet.store.state, monotonic() + seconds
        while True:
            state.put_raw(kind, "odd", text)
            sleep(ODD_ENTRY_PERIOD_S)
            if monotonic() > until:
                break
        with state.changed:
            if "odd" in state.kinds[kind]:
                state.remove(kind, "odd")

    def _server_restarts(self, name: str, seconds: float, _kind: str) -> None:
        """Start a server again under its name, cold, while the store is down."""
        server, state = self.fleet.servers[name], self.fleet.store.state
        state.error_status = 503
        server.endpoint.crash()
        sleep(self.random.uniform(MIN_DOWN_S, MAX_DOWN_S))
        restart = Restart(server, monotonic())
        server.endpoint.restart(name)
        self.restarts.append(restart)
        sleep(seconds)
        state.error_status = None
        cold_s = max(restart.at + self.fleet.cold_s - monotonic(), 0.0)
        entry = server_object(
            server.service,
            server.zone,
            server.address,
            born=1 + len(self.restarts),
            cold_ms=int(cold_s * MS_PER_S),
        )
        state.put("servers", name, entry)

    def _crash_burst(self, _target: str, seconds: float, _kind: str) -> None:
        """Let a caller's request crash servers, beside others with the same content."""
        number = len(self.crash_bursts) + 1
        burst = CrashBurst(self.fleet, number, Random(self.random.random()))
        self.crash_bursts.append(burst)
        burst.run(seconds)

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
        elif kind == "answers_repeated":
            endpoint.answers_to_repeat = 3
        else:
            endpoint.break_answer = self.random.choice([*BROKEN_ANSWERS.values()])
            endpoint.answers_to_break = 3
