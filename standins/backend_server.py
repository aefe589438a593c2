"""Stub backend server: run requests in slots and inject faults on demand."""

import os
import sys
from collections import deque
from collections.abc import Mapping
from random import Random
from time import monotonic
from types import MappingProxyType
from typing import Any

from absl import flags
from attrs import frozen
from twisted.internet.defer import CancelledError, Deferred

from ebonybend.codec import from_json
from ebonybend.http_answers import IncomingRequest, OutgoingAnswer, json_answer
from ebonybend.http_router import Router
from ebonybend.http_server import HttpLimits
from standins.broken_answers import BROKEN_ANSWERS
from standins.command import (
    TrackingSite,
    listen,
    parse_flags,
    reset_connection,
    run,
    sleep,
)
from standins.echo import build_answer, fingerprint
from standins.server_history import EventKind, HistoryFile, ServerEvent

CRASH_MARKER = "crash-server"
CRASH_EXIT_STATUS = 70
DEFAULT_FILLER_BYTES = 200
DEFAULT_DEADLINE_MS = 60_000
MAX_IN_FLIGHT_SAMPLES = 4096


@frozen
class ServerFaults:
    """The faults to inject; a POST to /faults replaces them all."""

    # Refuse all new requests, and report draining in /health and in each answer.
    draining: bool = False
    # Refuse all new requests as not run, but report no draining.
    shed: bool = False
    # Age of the in-flight count that /health reports.
    health_lag_s: float = 0.0
    # In-flight count that /health reports instead of the real one.
    health_in_flight: int | None = None
    # /health does not answer.
    health_silent: bool = False
    # Multiplier of the service time.
    slow_factor: float = 1.0
    # Number of further requests that run but get a connection reset, not an answer.
    lose_answers: int = 0
    # Number of further requests that run but get a broken answer, and which kind of it.
    break_answers: int = 0
    breakage: str = "status b'000'"


NO_HEADERS: Mapping[str, str] = MappingProxyType({})


@frozen
class ServerOptions:
    """The behaviour of a backend server without faults."""

    name: str
    slots: int
    # Maximum number of open connections.
    connections: int = 300
    service_ms: float = 20.0
    # Largest random deviation of the service time, as a fraction of it.
    spread: float = 0.3
    # Time after the start in which the service time is multiplied by cold_factor.
    cold_s: float = 2.0
    cold_factor: float = 3.0


@frozen
class Health:
    """The answer to /health."""

    state: str
    in_flight: int
    slots: int


@frozen
class Job:
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
    def crashes_server(self) -> bool:
        """Return whether the request crashes the server process."""
        return CRASH_MARKER in self.path or CRASH_MARKER.encode() in self.body


class BackendServerStub:
    """A backend server with slots, health reports, draining and faults."""

    def __init__(self, reactor: Any, options: ServerOptions, history: HistoryFile):
        self.reactor = reactor
        self.options = options
        self.history = history
        self.random = Random(options.name)
        self.faults = ServerFaults()
        # Remaining numbers of answers to lose and to break.
        self.lose_answers = 0
        self.break_answers = 0
        self.in_flight = 0
        # The site that serves the requests; None until it listens.
        self.site: TrackingSite | None = None
        self.started_at = monotonic()
        self.in_flight_samples: deque[tuple[float, int]] = deque(
            maxlen=MAX_IN_FLIGHT_SAMPLES
        )

    async def handle(self, request: IncomingRequest) -> OutgoingAnswer:
        """Answer /health, or run a request."""
        if request.path == "/health":
            return await self._health()
        job = self._parse_job(request)
        self._record_event("received", job)
        if self._must_refuse():
            self._record_event("refused", job)
            return self._answer(job, 503, b"no free slot\n", {"Not-Run": "true"})
        return await self._run(job, request.raw)

    def _must_refuse(self) -> bool:
        full = self.in_flight >= self.options.slots
        return full or self.faults.draining or self.faults.shed

    def _parse_job(self, request: IncomingRequest) -> Job:
        path = request.raw.uri.decode("ascii", "replace")
        deadline_ms = float(request.header("Deadline-Ms") or DEFAULT_DEADLINE_MS)
        service_ms = request.argument("service_ms")
        return Job(
            request.header("Request-Id") or "",
            request.header("Idempotency-Key") or "",
            fingerprint(request.method, path, request.body),
            request.method,
            path,
            request.body,
            deadline_ms / 1000,
            float(service_ms) / 1000 if service_ms else self._random_service_s(),
            int(request.argument("size") or DEFAULT_FILLER_BYTES),
        )

    def _random_service_s(self) -> float:
        deviation = self.random.uniform(-self.options.spread, self.options.spread)
        factor = self.options.cold_factor if self._is_cold() else 1.0
        factor *= self.faults.slow_factor
        return self.options.service_ms / 1000 * (1 + deviation) * factor

    def _is_cold(self) -> bool:
        return monotonic() - self.started_at < self.options.cold_s

    async def _run(self, job: Job, raw: Any) -> OutgoingAnswer:
        self._change_in_flight(1)
        self._record_event("started", job)
        try:
            return await self._run_until_deadline(job, raw)
        except CancelledError:
            self._record_event("cancelled", job, -1)
            return self._answer(job, 503, b"cancelled\n")
        finally:
            self._change_in_flight(-1)

    async def _run_until_deadline(self, job: Job, raw: Any) -> OutgoingAnswer:
        if job.crashes_server:
            await sleep(self.reactor, job.service_s / 2)
            os._exit(CRASH_EXIT_STATUS)
        meets_deadline = job.service_s <= job.deadline_s
        timer = sleep(self.reactor, min(job.service_s, job.deadline_s))
        raw.notifyFinish().addErrback(lambda _: timer.cancel())
        await timer
        if not meets_deadline:
            self._record_event("cancelled", job, -1)
            return self._answer(job, 504, b"deadline exceeded\n")
        self._record_event("finished", job, -1)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            reset_connection(raw.channel)
        body = build_answer(
            self.options.name,
            job.request_id,
            job.path,
            job.body,
            job.filler_bytes,
        )
        answer = self._answer(job, 200, body)
        if self.break_answers > 0:
            self.break_answers -= 1
            self._record_event("broken", job, -1)
            await self._send_broken(answer, raw)
        return answer

    async def _send_broken(self, answer: OutgoingAnswer, raw: Any) -> None:
        """Send a broken answer, and wait until the connection has ended."""
        change = BROKEN_ANSWERS[self.faults.breakage]
        lines = [f"HTTP/1.1 {answer.status} OK"]
        lines += [f"{name}: {value}" for name, value in answer.headers.items()]
        lines += [f"Content-Length: {len(answer.body)}", "", ""]
        ended: Deferred[None] = Deferred()
        raw.notifyFinish().addErrback(lambda _: ended.callback(None))
        raw.channel.transport.write(change("\r\n".join(lines).encode() + answer.body))
        raw.channel.transport.loseConnection()
        await ended

    def _answer(
        self,
        job: Job,
        status: int,
        body: bytes,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> OutgoingAnswer:
        answer_headers = {**headers, "Request-Id": job.request_id}
        if self.faults.draining:
            answer_headers["Draining"] = "true"
        return OutgoingAnswer(status, body, answer_headers)

    def _change_in_flight(self, delta: int) -> None:
        self.in_flight += delta
        self.in_flight_samples.append((monotonic(), self.in_flight))

    def _record_event(self, event: EventKind, job: Job, delta: int = 0) -> None:
        """Write an event with the in-flight count that results from adding delta."""
        self.history.write(
            ServerEvent(
                monotonic(),
                self.options.name,
                os.getpid(),
                event,
                job.request_id,
                job.key,
                job.fingerprint,
                job.method,
                job.path,
                self.in_flight + delta,
                self.options.slots,
                self.faults.draining,
                self.site.connections if self.site else 0,
            )
        )

    async def _health(self) -> OutgoingAnswer:
        if self.faults.health_silent:
            # This never fires.
            await Deferred()
        state = "cold" if self._is_cold() else "ready"
        if self.faults.draining:
            state = "draining"
        return json_answer(
            Health(state, self._reported_in_flight(), self.options.slots)
        )

    def _reported_in_flight(self) -> int:
        if self.faults.health_in_flight is not None:
            return self.faults.health_in_flight
        if self.faults.health_lag_s <= 0:
            return self.in_flight
        cutoff = monotonic() - self.faults.health_lag_s
        counts = [count for at, count in self.in_flight_samples if at <= cutoff]
        return counts[-1] if counts else 0

    def set_faults(self, faults: ServerFaults) -> None:
        """Replace all faults."""
        self.faults = faults
        self.lose_answers = faults.lose_answers
        self.break_answers = faults.break_answers


def admin_router(server: BackendServerStub) -> Router:
    """Return the router of the admin port."""

    async def post_faults(request: IncomingRequest) -> OutgoingAnswer:
        server.set_faults(from_json(request.body, ServerFaults))
        return json_answer(server.faults)

    router = Router()
    router.add("POST", "/faults", post_faults)
    return router


def define_flags(values: flags.FlagValues) -> None:
    """Define the command-line flags."""
    default = ServerOptions("server", 4)
    target = {"flag_values": values}
    flags.DEFINE_string("name", default.name, "Name of the backend server.", **target)
    flags.DEFINE_string("listen", "127.0.0.1:9000", "Address for requests.", **target)
    flags.DEFINE_string("faults", "127.0.0.1:9001", "Admin port.", **target)
    flags.DEFINE_string("history", "/dev/null", "File for the history.", **target)
    flags.DEFINE_integer("slots", default.slots, "Concurrent requests.", **target)
    flags.DEFINE_integer("connections", default.connections, "Connections.", **target)
    flags.DEFINE_float("service_ms", default.service_ms, "Mean service time.", **target)
    flags.DEFINE_float(
        "spread", default.spread, "Deviation of service_ms, 0 to 1.", **target
    )
    flags.DEFINE_float("cold_s", default.cold_s, "Length of the cold start.", **target)
    flags.DEFINE_float(
        "cold_factor", default.cold_factor, "Factor while cold.", **target
    )


def read_options(values: flags.FlagValues) -> ServerOptions:
    """Return the server options from the parsed flags."""
    names = [attribute.name for attribute in ServerOptions.__attrs_attrs__]
    return ServerOptions(**{name: values[name].value for name in names})


def main(arguments: list[str]) -> None:
    """Run one stub backend server until the process is stopped."""
    from twisted.internet import reactor

    values = parse_flags(define_flags, arguments)
    options = read_options(values)
    history = HistoryFile(values["history"].value)

    async def start() -> None:
        server = BackendServerStub(reactor, options, history)
        limits = HttpLimits(max_connections=options.connections)
        server.site = TrackingSite(reactor, server.handle, limits)
        listen(reactor, values["listen"].value, server.site)
        admin = TrackingSite(reactor, admin_router(server))
        listen(reactor, values["faults"].value, admin)

    run(reactor, start)


if __name__ == "__main__":
    main(sys.argv)
