"""Callers whose request crashes servers, beside others with the same content.

The caller also sends requests that differ from that one by their query only.
"""

from collections.abc import Iterable
from contextlib import suppress
from random import Random
from threading import Event, Thread
from time import monotonic, sleep

from attrs import define, field

from bench.http_calls import CallAnswer, call
from bench.node_fleet import (
    CALLERS_PORT,
    HOST,
    SAFE_PREFIX,
    SERVICES,
    FleetServer,
    NodeFleet,
    server_object,
)

# Servers of the route that crash under one caller's request, and for how long each is
# down; some start again under another name.
SERVERS = 6
MIN_DOWN_S, MAX_DOWN_S = 0.5, 1.5
# Attempts that the caller makes at once, and between the bursts.
BURST_ATTEMPTS = 3
REPEAT_S = 0.3
# Others send the same content at the same time.
CROWD = 8
CROWD_PAUSE_S = 0.04
# Pause between the caller's requests with other queries.
QUERY_PAUSE_S = 0.1
# Text of an answer to a request that is refused for crashing servers.
REFUSAL = b"suspect_refused"
# How long the caller repeats its request: until some time after nodes in touch have to
# refuse it.
MIN_BURST_S = 8.0
CONFIG_PERIOD_S = 1.5
DEADLINE_MS = "4000"
ANSWER_TIMEOUT_S = 5.5
# Retries of a request that may reach servers later than the nodes have to know it.
CRASHES, MAX_LATE_RETRIES = 3, 3


@define
class CrashBurst:
    """One caller's crashing request, and what its servers saw of it."""

    fleet: NodeFleet
    number: int
    random: Random
    servers: list[FleetServer] = field(factory=list)
    # Node and time of sending of each attempt, by its id.
    attempts: dict[str, tuple[str, float]] = field(factory=dict)
    # Statuses that others received for the same content, with the times of sending.
    others: list[tuple[float, int]] = field(factory=list)
    # Ids of the caller's requests with other queries that were refused for crashes.
    condemned: list[str] = field(factory=list)
    ended: Event = field(factory=Event)

    @property
    def path(self) -> str:
        """Return the path that the caller shares with others."""
        return f"{SAFE_PREFIX}shared-{self.number}"

    @property
    def sender(self) -> str:
        """Return the name that tells the servers which caller's request crashes."""
        return f"crasher-{self.number}"

    def run(self, seconds: float) -> None:
        """Send the request and the others' for some seconds."""
        zones = sorted({plan.zone for plan in self.fleet.nodes.values()})
        for index in range(SERVERS):
            zone = zones[index % len(zones)]
            server = self.fleet.add_server(SERVICES[0], zone, proxied=False)
            server.endpoint.crash_sender = self.sender
            self.servers.append(server)
        targets = [self._crowd, self._configure, self._restart_servers, self._query]
        targets += [self._crowd] * (CROWD - 1)
        threads = [Thread(target=target, daemon=True) for target in targets]
        for thread in threads:
            thread.start()
        until = monotonic() + max(seconds, MIN_BURST_S)
        while monotonic() < until:
            burst = [Thread(target=self._send_crashing) for _ in range(BURST_ATTEMPTS)]
            for thread in burst:
                thread.start()
            for thread in burst:
                thread.join()
            sleep(REPEAT_S)
        self.ended.set()
        for thread in threads:
            thread.join()
        for server in self.servers:
            server.endpoint.crash_sender = ""

    @property
    def caller_ip(self) -> str:
        """Return the address of the caller whose request crashes."""
        return self.fleet.ip(150, self.number % 250 + 1)

    def _send(
        self, request_id: str, source_ip: str, sender: str, query: str = ""
    ) -> CallAnswer:
        node = self.random.choice(sorted(self.fleet.nodes))
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Deadline-Ms": DEADLINE_MS,
            "User-Agent": sender,
        }
        sent_at = monotonic()
        self.attempts[request_id] = node, sent_at
        address = f"{self.fleet.nodes[node].ip}:{CALLERS_PORT}"
        return call(
            "GET",
            address,
            self.path + query,
            headers=headers,
            timeout=ANSWER_TIMEOUT_S,
            source_ip=source_ip,
        )

    def _send_crashing(self) -> None:
        request_id = f"{self.sender}-{len(self.attempts)}-{self.random.random()}"
        self._send(request_id, self.caller_ip, self.sender)

    def _query(self) -> None:
        """Send requests of the same caller, each with a query of its own."""
        number = 0
        while not self.ended.wait(QUERY_PAUSE_S):
            number += 1
            request_id = f"query-{self.number}-{self.random.random()}"
            query = f"?parish={number}"
            answer = self._send(request_id, self.caller_ip, "query", query)
            if REFUSAL in answer.body:
                self.condemned.append(request_id)

    def _crowd(self) -> None:
        ip = self.fleet.ip(151, self.random.randrange(1, 250))
        while not self.ended.is_set():
            sent_at = monotonic()
            request_id = f"crowd-{self.number}-{self.random.random()}"
            answer = self._send(request_id, ip, "crowd")
            self.others.append((sent_at, answer.status))
            self.ended.wait(self.random.expovariate(1 / CROWD_PAUSE_S))

    def _configure(self) -> None:
        """Move the route of writes, as operators do meanwhile."""
        while not self.ended.wait(CONFIG_PERIOD_S):
            self.fleet.set_config(self.random.choice(SERVICES))

    def _restart_servers(self) -> None:
        """Start crashed servers again, each as another process."""
        down: dict[str, float] = {}
        starts = 0
        while not (self.ended.is_set() and not down):
            sleep(0.05)
            for server in self.servers:
                endpoint = server.endpoint
                if server.name not in down and not endpoint.is_listening():
                    down_s = self.random.uniform(MIN_DOWN_S, MAX_DOWN_S)
                    down[server.name] = monotonic() + down_s
                elif monotonic() > down.get(server.name, float("inf")):
                    # A connection of another process may use the port for a moment.
                    with suppress(OSError):
                        self._start_again(server, starts + 1)
                        del down[server.name]
                        starts += 1

    def _start_again(self, server: FleetServer, starts: int) -> None:
        endpoint, state = server.endpoint, self.fleet.store.state
        former = endpoint.instance
        is_renamed = self.random.random() < 0.5
        name = f"{server.name}-{starts}" if is_renamed else former
        endpoint.restart(name)
        entry = server_object(server.service, server.zone, server.address, "ready", 1)
        entry["born"] = starts + 1
        with state.changed:
            if is_renamed and former in state.kinds["servers"]:
                state.remove("servers", former)
            state.put("servers", name, entry)

    def violations(
        self, disturbed: Iterable[tuple[str, float, float]], contact_s: float
    ) -> list[str]:
        """Return lines if the request reached servers too often once it was known.

        Not counted: attempts at nodes that were disturbed in the time before. Another
        line says that requests with other queries were refused for its crashes.
        """
        condemned = []
        if self.condemned:
            condemned = [
                f"{len(self.condemned)} requests that differ from that of {self.sender}"
                f" by their query were refused for crashes: {self.condemned[:3]}"
            ]
        return condemned + self._late_retries(disturbed, contact_s)

    def _late_retries(
        self, disturbed: Iterable[tuple[str, float, float]], contact_s: float
    ) -> list[str]:
        disturbed = list(disturbed)
        crashed = sorted(at for s in self.servers for at in s.endpoint.crashed)
        if len(crashed) < CRASHES:
            return []
        known_at = crashed[CRASHES - 1] + contact_s
        late = [
            request_id
            for server in self.servers
            for _, request_id in server.endpoint.arrived
            if request_id.startswith(self.sender)
            and (sent := self.attempts[request_id])[1] > known_at
            and not _is_disturbed(disturbed, *sent, contact_s)
        ]
        if len(late) <= MAX_LATE_RETRIES:
            return []
        return [
            f"{self.sender} reached servers {len(late)} times later than {contact_s} s"
            f" after it had crashed the third; {len(crashed)} crashed in all"
        ]


def _is_disturbed(
    disturbed: Iterable[tuple[str, float, float]], node: str, at: float, span_s: float
) -> bool:
    return any(
        start < at and end > at - span_s
        for name, start, end in disturbed
        if name in (node, "store")
    )
