"""Send a request to a backend server, again where that is safe, and answer it."""

from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field
from twisted.internet.defer import CancelledError, Deferred

from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.logs import get_logger
from ebonybend.node.backend_connection import (
    AnswerNotReceived,
    BackendAnswer,
    Loss,
)
from ebonybend.node.backend_pool import BackendPool, Unreachable
from ebonybend.node.caller_requests import ClientRequest
from ebonybend.node.demand import RegionSteering
from ebonybend.node.wire import Wire
from ebonybend.steering.crashes import CrashDetector
from ebonybend.steering.placement import Placement, PlacementQuery, limits_of
from ebonybend.steering.server_state import TrackedServer
from ebonybend.steering.shared_rates import RetryWindow
from ebonybend.steering.suspects import fingerprint
from ebonybend.timeouts import Timeout
from ebonybend.world.route import ServiceLimits

# Headers that concern one connection only, or that the node sets itself.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Connections that may fail for one request before it is refused.
MOST_UNREACHABLE = 3
# Least time in which another send can still be answered.
LEAST_LEFT_S = 0.02
# Answers from this status on are the server's own failures.
FAILURE_STATUS = 500


@define
class _Search:
    """What was tried for one request."""

    excluded: set[str] = field(factory=set)
    unreachable: int = 0
    # The server's own failure, which is passed on if no other server answers.
    answer: BackendAnswer | None = None
    error: SteeringError = field(
        factory=lambda: SteeringError(ErrorKind.OVERLOADED, "no server has room")
    )


class Forwarder:
    """Forward requests within the shared bounds."""

    def __init__(
        self,
        reactor: Any,
        pool: BackendPool,
        placement: Placement,
        regions: RegionSteering,
        wire: Wire,
        new_window: Callable[[], RetryWindow],
        nodes: Callable[[], int],
        random: Random,
        crashes: CrashDetector,
    ):
        self.reactor = reactor
        self.pool = pool
        self.placement = placement
        self.regions = regions
        self.times = placement.times
        self.wire = wire
        self.new_window = new_window
        self.nodes = nodes
        self.random = random
        self.crashes = crashes
        self.windows: dict[str, RetryWindow] = {}
        self.services: dict[str, ServiceLimits] = {}

    def _window(self, service: str) -> RetryWindow:
        window = self.windows.get(service)
        if window is None:
            window = self.windows[service] = self.new_window()
        return window

    async def forward(self, request: ClientRequest) -> BackendAnswer:
        """Return the server's answer; raise a SteeringError that says what is known."""
        self.regions.arrived(request.route, request.service)
        self._refuse_suspect(request)
        search = _Search()
        while True:
            state = self._next_server(request, search)
            if state is None:
                return self._conclude(request, search)
            search.excluded.add(state.server.name)
            try:
                answer = await self._send(request, state)
            except Unreachable as failure:
                search.unreachable += 1
                if failure.at_fault:
                    self._unreachable(state, failure.refused, str(failure))
                if failure.refused:
                    self.crashes.record_refused_connection(state.server.name)
                search.error = SteeringError(
                    ErrorKind.BACKEND_UNREACHABLE, str(failure)
                )
                continue
            except AnswerNotReceived as failure:
                if failure.loss is Loss.SILENT:
                    self._unreachable(state, False, str(failure))
                else:
                    self._failed(state, str(failure))
                if failure.loss in (Loss.CLOSED, Loss.SILENT):
                    self.crashes.record_lost_request(
                        state.server.name, _fingerprint(request)
                    )
                search.error = SteeringError(
                    ErrorKind.ANSWER_LOST, f"no whole answer: {failure}"
                )
                continue
            if self.wire.states_not_run(answer.status, answer.headers):
                search.error = SteeringError(
                    ErrorKind.OVERLOADED, f"the server answered {answer.status}"
                )
                continue
            search.answer = answer
            if answer.status < FAILURE_STATUS or not request.route.idempotent:
                return answer

    def _failed(self, state: TrackedServer, reason: str) -> None:
        before = state.ejected_until
        state.record_failure(self._now())
        self._log_ejection(state, before, reason)

    def _unreachable(self, state: TrackedServer, refused: bool, reason: str) -> None:
        before = state.ejected_until
        state.record_unreachable(self._now(), refused)
        self._log_ejection(state, before, reason)

    def _log_ejection(self, state: TrackedServer, before: float, reason: str) -> None:
        if state.ejected_until != before:
            get_logger().info(
                "server_left_out",
                server=state.server.name,
                seconds=round(state.ejected_until - self._now(), 2),
                reason=reason,
            )

    def _refuse_suspect(self, request: ClientRequest) -> None:
        """Refuse a request that crashed several servers."""
        if not self.crashes.has_suspects():
            return
        name = _fingerprint(request)
        if self.crashes.is_refused(name):
            raise SteeringError(ErrorKind.SUSPECT_REFUSED, f"suspect {name}")

    def _next_server(
        self, request: ClientRequest, search: "_Search"
    ) -> TrackedServer | None:
        """Return the server to send to next, or None if there is none or no time."""
        now = self.reactor.seconds()
        if request.deadline - now < LEAST_LEFT_S:
            return None
        if search.unreachable >= MOST_UNREACHABLE:
            return None
        if request.may_have_run and not request.route.idempotent:
            return None
        if request.sends >= request.route.max_sends:
            return None
        state = self._choose(request, search.excluded, now)
        if state is None or not request.sends:
            return state
        repeats = self._window(request.service)
        return state if repeats.try_acquire(now, self.nodes()) else None

    def _conclude(self, request: ClientRequest, search: "_Search") -> BackendAnswer:
        """Return the failure that a server answered, or raise what is known."""
        if search.answer is not None:
            return search.answer
        if not request.may_have_run:
            query = self._query(request, set())
            pause = self.placement.retry_after_s(query, self._now())
            # Spreads the callers that were refused at the same moment.
            pause *= 1.0 + self.random.random() / 2
            loads = self.placement.describe(query, self._now())
            raise SteeringError(
                ErrorKind.OVERLOADED,
                f"{search.error.message}: {loads}",
                int(pause * 1000),
            )
        raise SteeringError(ErrorKind.ANSWER_LOST, search.error.message)

    def _now(self) -> float:
        return self.reactor.seconds()

    def _choose(
        self, request: ClientRequest, excluded: set[str], now: float
    ) -> TrackedServer | None:
        return self.placement.choose(self._query(request, excluded), now)

    def _query(self, request: ClientRequest, excluded: set[str]) -> PlacementQuery:
        left = request.deadline - self.reactor.seconds()
        request.region = self.regions.region_of(request.service, request.object_key)
        return PlacementQuery(
            service=limits_of(self.services, request.service),
            route=request.route,
            object_key=request.object_key,
            region=request.region,
            urgent_route=request.urgent_route,
            retry_remaining_s=left if request.returned else None,
            excluded=excluded,
        )

    async def _send(
        self, request: ClientRequest, state: TrackedServer
    ) -> BackendAnswer:
        """Send a request to a server and wait for its answer until the deadline."""
        server = state.server
        if state.is_cold(self.reactor.seconds()):
            service = limits_of(self.services, request.service)
            state.pacer.record_send(
                self.reactor.seconds(), service.cold_rate, self.nodes()
            )
        state.in_flight += 1
        try:
            connection = self.pool.take(server, not request.route.idempotent)
            if connection is None:
                opening = self.reactor.seconds()
                connection = await self.pool.connect(server)
                state.record_connect_time(self.reactor.seconds() - opening)
            started = self.reactor.seconds()
            if request.deadline - started < LEAST_LEFT_S:
                connection.close()
                raise Unreachable("connected too late to be answered", False, False)
            if request.sends == 0:
                self._window(request.service).record_first_send(started)
            request.sends += 1
            request.server = server.name
            request.load = round(state.load(started) - 1, 1)
            ran_before = request.may_have_run
            request.may_have_run = True
            data = self._encode(request, server.name, started)
            answer = await self._await_answer(
                connection.send(request.method, request.request_id, data), request
            )
        except SteeringError as error:
            self._failed(state, error.message)
            raise
        finally:
            state.in_flight -= 1
        if self.wire.states_not_run(answer.status, answer.headers):
            request.may_have_run = ran_before
        self._learn(request, state, answer, started)
        return answer

    def _learn(
        self,
        request: ClientRequest,
        state: TrackedServer,
        answer: BackendAnswer,
        started: float,
    ) -> None:
        now = self.reactor.seconds()
        load = self.wire.read_load(answer.headers)
        if load is not None:
            state.record_load(load.running, load.waiting, now)
        if self.wire.states_not_run(answer.status, answer.headers):
            return
        if answer.status >= FAILURE_STATUS:
            self._failed(state, f"answered {answer.status}")
        else:
            seconds = max(now - started - (state.round_trip_s or 0.0), 0.001)
            state.record_success(seconds)
            if self.crashes.has_suspects():
                self.crashes.registry.record_success(_fingerprint(request))
            waited = request.load >= state.server.slots
            self.times.record_answer_time(
                request.route.name, state, request.object_key, seconds, waited
            )

    async def _await_answer(
        self, waiting: Deferred[BackendAnswer], request: ClientRequest
    ) -> BackendAnswer:
        left = max(request.deadline - self.reactor.seconds(), 0.0)
        expired = []

        def expire() -> None:
            expired.append(True)
            waiting.cancel()

        timeout = Timeout(self.reactor, left, expire)
        try:
            return await waiting
        except AnswerNotReceived as error:
            if error.loss is Loss.ABORTED and not expired:
                # The caller has gone, so nothing is sent again.
                raise CancelledError from error
            if expired:
                raise SteeringError(
                    ErrorKind.DEADLINE_EXCEEDED, "no answer in time"
                ) from error
            raise
        finally:
            timeout.stop()

    def _encode(self, request: ClientRequest, server: str, now: float) -> bytes:
        own = self.wire.server_headers(server, request.deadline - now)
        replaced = {name.lower() for name, _ in own}
        lines = [b"%s %s HTTP/1.1" % (request.method, request.uri)]
        for name, values in request.headers.getAllRawHeaders():
            lowered = name.lower()
            if lowered in CONNECTION_HEADERS or lowered in replaced:
                continue
            lines += [b"%s: %s" % (name, value) for value in values]
        lines += [b"%s: %s" % pair for pair in own]
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            lines.append(b"Content-Length: %d" % len(request.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def _fingerprint(request: ClientRequest) -> str:
    method, uri = request.method.decode("latin-1"), request.uri.decode("latin-1")
    return fingerprint(request.service, method, uri, request.body)
