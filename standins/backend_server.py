"""Serve requests in slots as a backend server does, with faults on request."""

import os
import sys
from collections import deque
from random import Random
from time import monotonic
from typing import Any

from absl import flags
from attrs import frozen
from twisted.internet.defer import CancelledError, Deferred

from ebonybend.codec import from_json
from ebonybend.http_router import Router
from ebonybend.http_server import (
    HttpLimits,
    IncomingRequest,
    OutgoingAnswer,
    json_answer,
)
from standins.command import TrackingSite, cut, listen, parse_flags, run, sleep
from standins.echo import build_answer, fingerprint
from standins.server_history import EventKind, HistoryFile, ServerEvent

CRASH_MARKER = "crash-server"
CRASH_EXIT_STATUS = 70
DEFAULT_FILLER_BYTES = 200
DEFAULT_DEADLINE_MS = 60_000
HEALTH_SAMPLES = 4096


@frozen
class ServerFaults:
    """The faults in effect; a POST to /faults replaces them all."""

    draining: bool = False
    # Refuse all new work as not run.
    shed: bool = False
    # /health reports the in-flight count of this long ago.
    health_lag_s: float = 0.0
    # /health reports this in-flight count.
    health_in_flight: int | None = None
    # /health does not answer.
    health_silent: bool = False
    # Factor on the service time.
    slow_factor: float = 1.0
    # Run this many further requests and cut the connection instead of answering.
    lose_answers: int = 0


@frozen
class ServerOptions:
    """How a backend server behaves without faults."""

    name: str
    slots: int
    connections: int = 300
    service_ms: float = 20.0
    # Largest random change of the service time, as a fraction of it.
    spread: float = 0.3
    # Time after the start in which requests take longer, by a factor.
    cold_s: float = 2.0
    cold_factor: float = 3.0


@frozen
class Health:
    """The answer to /health."""

    state: str
    in_flight: int
    slots: int


@frozen
class Work:
    """One request to run."""

    request_id: str
    key: str
    fingerprint: str
    method: str
    path: str
    body: bytes
    deadline_s: float
    service_s: float
    filler_bytes: int

    @property
    def crashes(self) -> bool:
        """Return whether running the request ends the process."""
        return CRASH_MARKER in self.path or CRASH_MARKER.encode() in self.body


class RunningServer:
    """A backend server: slots, health, draining and faults."""

    def __init__(self, reactor: Any, options: ServerOptions, history: HistoryFile):
        self.reactor = reactor
        self.options = options
        self.history = history
        self.random = Random(options.name)
        self.faults = ServerFaults()
        self.lose_answers = 0
        self.in_flight = 0
        # The site that serves the requests, once it listens.
        self.site: TrackingSite | None = None
        self.started_at = monotonic()
        self.samples: deque[tuple[float, int]] = deque(maxlen=HEALTH_SAMPLES)

    async def handle(self, request: IncomingRequest) -> OutgoingAnswer:
        """Answer /health, or run a request."""
        if request.path == "/health":
            return await self._health()
        work = self._work(request)
        self._record("received", work)
        if self._refuses():
            self._record("refused", work)
            return self._answer(503, b"no free slot\n", {"Not-Run": "true"})
        return await self._run(work, request.raw)

    def _refuses(self) -> bool:
        busy = self.in_flight >= self.options.slots
        return busy or self.faults.draining or self.faults.shed

    def _work(self, request: IncomingRequest) -> Work:
        path = request.raw.uri.decode("ascii", "replace")
        deadline_ms = float(request.header("Deadline-Ms") or DEFAULT_DEADLINE_MS)
        service_ms = request.argument("service_ms")
        return Work(
            request.header("Request-Id") or "",
            request.header("Idempotency-Key") or "",
            fingerprint(request.method, path, request.body),
            request.method,
            path,
            request.body,
            deadline_ms / 1000,
            float(service_ms) / 1000 if service_ms else self._service_time(),
            int(request.argument("size") or DEFAULT_FILLER_BYTES),
        )

    def _service_time(self) -> float:
        spread = self.random.uniform(-self.options.spread, self.options.spread)
        factor = self.options.cold_factor if self._cold() else 1.0
        factor *= self.faults.slow_factor
        return self.options.service_ms / 1000 * (1 + spread) * factor

    def _cold(self) -> bool:
        return monotonic() - self.started_at < self.options.cold_s

    async def _run(self, work: Work, raw: Any) -> OutgoingAnswer:
        self._change_in_flight(1)
        self._record("started", work)
        try:
            return await self._work_until_deadline(work, raw)
        except CancelledError:
            self._record("cancelled", work, -1)
            return self._answer(503, b"cancelled\n", {})
        finally:
            self._change_in_flight(-1)

    async def _work_until_deadline(self, work: Work, raw: Any) -> OutgoingAnswer:
        if work.crashes:
            await sleep(self.reactor, work.service_s / 2)
            os._exit(CRASH_EXIT_STATUS)
        in_time = work.service_s <= work.deadline_s
        running = sleep(self.reactor, min(work.service_s, work.deadline_s))
        raw.notifyFinish().addErrback(lambda _: running.cancel())
        await running
        if not in_time:
            self._record("cancelled", work, -1)
            return self._answer(504, b"deadline exceeded\n", {})
        self._record("finished", work, -1)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            cut(raw.channel)
        body = build_answer(
            self.options.name,
            work.request_id,
            work.path,
            work.body,
            work.filler_bytes,
        )
        return self._answer(200, body, {"Request-Id": work.request_id})

    def _answer(
        self, status: int, body: bytes, headers: dict[str, str]
    ) -> OutgoingAnswer:
        if self.faults.draining:
            headers = {**headers, "Draining": "true"}
        return OutgoingAnswer(status, body, headers)

    def _change_in_flight(self, change: int) -> None:
        self.in_flight += change
        self.samples.append((monotonic(), self.in_flight))

    def _record(self, event: EventKind, work: Work, change: int = 0) -> None:
        """Write an event; change is what the event will do to the in-flight count."""
        self.history.write(
            ServerEvent(
                monotonic(),
                self.options.name,
                os.getpid(),
                event,
                work.request_id,
                work.key,
                work.fingerprint,
                work.method,
                work.path,
                self.in_flight + change,
                self.options.slots,
                self.faults.draining,
                self.site.connections if self.site else 0,
            )
        )

    async def _health(self) -> OutgoingAnswer:
        if self.faults.health_silent:
            await Deferred()
        state = "cold" if self._cold() else "ready"
        if self.faults.draining:
            state = "draining"
        return json_answer(Health(state, self._reported(), self.options.slots))

    def _reported(self) -> int:
        if self.faults.health_in_flight is not None:
            return self.faults.health_in_flight
        if self.faults.health_lag_s <= 0:
            return self.in_flight
        limit = monotonic() - self.faults.health_lag_s
        older = [count for at, count in self.samples if at <= limit]
        return older[-1] if older else 0

    def set_faults(self, faults: ServerFaults) -> None:
        """Replace the faults in effect."""
        self.faults = faults
        self.lose_answers = faults.lose_answers


def admin_router(server: RunningServer) -> Router:
    """Return the handler of the admin port."""

    async def post_faults(request: IncomingRequest) -> OutgoingAnswer:
        server.set_faults(from_json(request.body, ServerFaults))
        return json_answer(server.faults)

    router = Router()
    router.add("POST", "/faults", post_faults)
    return router


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of the stand-in."""
    default = ServerOptions("server", 4)
    to = {"flag_values": values}
    flags.DEFINE_string("name", default.name, "Name of the backend server.", **to)
    flags.DEFINE_string("listen", "127.0.0.1:9000", "Address for requests.", **to)
    flags.DEFINE_string("faults", "127.0.0.1:9001", "Admin port.", **to)
    flags.DEFINE_string("history", "/dev/null", "File for the history.", **to)
    flags.DEFINE_integer("slots", default.slots, "Requests at a time.", **to)
    flags.DEFINE_integer("connections", default.connections, "Connections.", **to)
    flags.DEFINE_float("service_ms", default.service_ms, "Mean service time.", **to)
    flags.DEFINE_float("spread", default.spread, "Random part of it, 0 to 1.", **to)
    flags.DEFINE_float("cold_s", default.cold_s, "Length of the cold start.", **to)
    flags.DEFINE_float("cold_factor", default.cold_factor, "Cold slow-down.", **to)


def read_options(values: flags.FlagValues) -> ServerOptions:
    """Return the options that the flags give."""
    names = [attribute.name for attribute in ServerOptions.__attrs_attrs__]
    return ServerOptions(**{name: values[name].value for name in names})


def main(arguments: list[str]) -> None:
    """Run one backend server until the process is stopped."""
    from twisted.internet import reactor

    values = parse_flags(define_flags, arguments)
    options = read_options(values)
    history = HistoryFile(values["history"].value)

    async def start() -> None:
        server = RunningServer(reactor, options, history)
        limits = HttpLimits(max_connections=options.connections)
        server.site = TrackingSite(reactor, server.handle, limits)
        listen(reactor, values["listen"].value, server.site)
        admin = TrackingSite(reactor, admin_router(server))
        listen(reactor, values["faults"].value, admin)

    run(reactor, start)


if __name__ == "__main__":
    main(sys.argv)
