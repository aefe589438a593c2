"""Forward a request to a backend server; retry on another where that is safe."""

from collections.abc import Callable
from math import ceil
from random import Random
from typing import Any

from attrs import define, field
from twisted.internet.defer import CancelledError, Deferred

from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.node.backend_connection import (
    ACK_TIMEOUT_MS,
    AnswerNotReceived,
    BackendAnswer,
    BackendConnection,
    LossReason,
)
from ebonybend.node.backend_pool import BackendPool, BackendUnreachable
from ebonybend.node.caller_requests import ClientRequest
from ebonybend.node.crash_watch import CrashWatch
from ebonybend.node.demand import RegionSteering
from ebonybend.node.pause_gate import PauseGate
from ebonybend.node.request_encoding import encode_request
from ebonybend.node.server_outcomes import MIN_FAILURE_STATUS, ServerOutcomes
from ebonybend.node.wire import WireFormat
from ebonybend.steering.placement import Placement, PlacementQuery, limits_of
from ebonybend.steering.server_state import TrackedServer
from ebonybend.steering.shared_rates import RetryWindow
from ebonybend.timeouts import Timeout
from ebonybend.world.route import ServiceLimits

# Failed connection attempts after which a request is refused.
MAX_CONNECT_FAILURES = 3
# With less time than this until the deadline, an answer can no longer arrive.
MIN_REMAINING_S = 0.02
MS_PER_S = 1000
# Retry delay sent while the node stops; other nodes can take the request at once.
STOPPING_RETRY_MS = 0

# Returns whether a request can end before this node does, by its arrival, its deadline
# and the time within which it is likely answered.
MaySend = Callable[[float, float, float], bool]


def always_send(_arrived_at: float, _deadline: float, _likely_s: float) -> bool:
    """Return True, for a node that doesn't stop."""
    return True


@define
class _Progress:
    """The attempts made so far for one request."""

    excluded: set[str] = field(factory=set)
    connect_failures: int = 0
    # A server's failure status, passed on if no other server answers.
    answer: BackendAnswer | None = None
    error: SteeringError = field(
        factory=lambda: SteeringError(ErrorKind.OVERLOADED, "no server has room")
    )


class Forwarder:
    """Forward requests within the limits that all nodes share."""

    def __init__(
        self,
        reactor: Any,
        pool: BackendPool,
        placement: Placement,
        regions: RegionSteering,
        wire: WireFormat,
        new_retry_window: Callable[[], RetryWindow],
        node_count: Callable[[], int],
        random: Random,
        crash_watch: CrashWatch,
        pause_gate: PauseGate,
        may_send: MaySend = always_send,
    ):
        self.reactor = reactor
        self.pool = pool
        self.placement = placement
        self.regions = regions
        self.times = placement.times
        self.wire = wire
        self.new_retry_window = new_retry_window
        self.node_count = node_count
        self.random = random
        self.crash_watch = crash_watch
        self.pause_gate = pause_gate
        self.may_send = may_send
        self.outcomes = ServerOutcomes(
            reactor.seconds,
            wire,
            placement.table,
            placement.times,
            crash_watch,
            pause_gate.has_paused_since,
        )
        self.retry_windows: dict[str, RetryWindow] = {}
        self.services: dict[str, ServiceLimits] = {}

    def _retry_window(self, service: str) -> RetryWindow:
        window = self.retry_windows.get(service)
        if window is None:
            window = self.retry_windows[service] = self.new_retry_window()
        return window

    async def forward(self, request: ClientRequest) -> BackendAnswer:
        """Return the server's answer.

        Raises a SteeringError whose kind states whether the request may have run.
        """
        try:
            return await self._forward(request)
        finally:
            if request.is_trial and not request.may_have_run:
                self.crash_watch.end_unsent_trial(request)

    async def _forward(self, request: ClientRequest) -> BackendAnswer:
        self.regions.record_request(request.route, request.service)
        progress = _Progress()
        while True:
            if self.pause_gate.is_holding():
                await self.pause_gate.wait()
            self._refuse_unfinishable(request)
            # Others may have found out meanwhile that it crashes servers.
            if self.crash_watch.is_refused(request):
                await self._refuse_suspect(request)
            tracked = self._select_server(request, progress)
            if tracked is None:
                return self._final_answer(request, progress)
            progress.excluded.add(tracked.server.name)
            try:
                answer = await self._send(request, tracked)
            except BackendUnreachable as failure:
                progress.connect_failures += 1
                if failure.counts_as_failure:
                    self.outcomes.record_unreachable(
                        tracked, failure.refused, str(failure)
                    )
                if failure.refused:
                    self.crash_watch.record_end(tracked.server, "refused connection")
                progress.error = SteeringError(
                    ErrorKind.BACKEND_UNREACHABLE, str(failure)
                )
                continue
            except AnswerNotReceived as failure:
                if failure.loss is LossReason.UNACKNOWLEDGED:
                    self.outcomes.record_unreachable(tracked, False, str(failure))
                else:
                    self.outcomes.record_failure(tracked, str(failure))
                self.crash_watch.record_lost(request, tracked, failure.loss)
                if request.route.idempotent:
                    await self.crash_watch.wait_for_check(request, tracked.server)
                progress.error = SteeringError(
                    ErrorKind.ANSWER_LOST, f"no whole answer: {failure}"
                )
                continue
            if self.wire.states_not_run(answer.status, answer.headers):
                progress.error = SteeringError(
                    ErrorKind.OVERLOADED, f"the server answered {answer.status}"
                )
                continue
            progress.answer = answer
            if answer.status < MIN_FAILURE_STATUS or not request.route.idempotent:
                return answer

    def _refuse_unfinishable(self, request: ClientRequest) -> None:
        """Raise DRAINING for a request that did not run and may outlive this node."""
        if not request.may_have_run and not self._may_send(request):
            message = "this node stops before an answer is certain"
            raise SteeringError(ErrorKind.DRAINING, message, STOPPING_RETRY_MS)

    def _may_send(self, request: ClientRequest) -> bool:
        """Return whether a request that is sent now can end before this node does."""
        likely_s = self.times.likely_time_s(request.route)
        return self.may_send(request.arrived_at, request.deadline, likely_s)

    async def _refuse_suspect(self, request: ClientRequest) -> None:
        """Raise SUSPECT_REFUSED for a request that crashed several servers.

        Raises ANSWER_LOST if it may have run. Returns if it may be tried.
        """
        if await self.crash_watch.may_try(request):
            return
        kind = ErrorKind.SUSPECT_REFUSED
        if request.may_have_run:
            kind = ErrorKind.ANSWER_LOST
        raise SteeringError(kind, self.crash_watch.explain_refusal(request))

    def _select_server(
        self, request: ClientRequest, progress: "_Progress"
    ) -> TrackedServer | None:
        """Return the server to send to next; None if the request can't be sent."""
        now = self.reactor.seconds()
        if request.deadline - now < MIN_REMAINING_S:
            return None
        if progress.connect_failures >= MAX_CONNECT_FAILURES:
            return None
        if request.may_have_run and not request.route.idempotent:
            return None
        if not self._may_send(request):
            return None
        if request.sends >= request.route.max_sends:
            return None
        tracked = self._choose_server(request, progress.excluded, now)
        if tracked is None or not request.sends:
            return tracked
        retry_window = self._retry_window(request.service)
        return tracked if retry_window.try_acquire(now, self.node_count()) else None

    def _final_answer(
        self, request: ClientRequest, progress: "_Progress"
    ) -> BackendAnswer:
        """Return the last failure answer, or raise OVERLOADED or ANSWER_LOST."""
        if progress.answer is not None:
            return progress.answer
        if not request.may_have_run:
            query = self._placement_query(request, set())
            delay_s = self.placement.retry_after_s(query, self._now())
            # Jitter, so that clients refused at the same moment don't retry together.
            delay_s *= 1.0 + self.random.random() / 2
            loads = self.placement.describe(query, self._now())
            raise SteeringError(
                ErrorKind.OVERLOADED,
                f"{progress.error.message}: {loads}",
                int(delay_s * 1000),
            )
        raise SteeringError(ErrorKind.ANSWER_LOST, progress.error.message)

    def _now(self) -> float:
        return self.reactor.seconds()

    def _choose_server(
        self, request: ClientRequest, excluded: set[str], now: float
    ) -> TrackedServer | None:
        return self.placement.choose(self._placement_query(request, excluded), now)

    def _placement_query(
        self, request: ClientRequest, excluded: set[str]
    ) -> PlacementQuery:
        remaining_s = request.deadline - self.reactor.seconds()
        request.region = self.regions.region_of(request.service, request.object_key)
        return PlacementQuery(
            service=limits_of(self.services, request.service),
            route=request.route,
            object_key=request.object_key,
            region=request.region,
            urgent_route=request.urgent_route,
            retry_remaining_s=remaining_s if request.is_client_retry else None,
            excluded=excluded,
        )

    def _obstacle(
        self, request: ClientRequest, tracked: TrackedServer, selected_at: float
    ) -> str | None:
        """Return why a request may no longer be sent to a server that was selected.

        A connection may have taken some time to open meanwhile.
        """
        now = self._now()
        if request.deadline - now < MIN_REMAINING_S:
            return "connected too late to be answered"
        if self.pause_gate.has_paused_since(selected_at):
            return "paused while connecting"
        if not self.placement.table.is_current(tracked):
            return "the server's process ended while connecting"
        if tracked.states_leaving:
            return "the server began to leave while connecting"
        if tracked.is_paused(now):
            return "the server asked for a pause while connecting"
        if not request.is_trial and self.crash_watch.is_refused(request):
            return "the request crashed servers meanwhile"
        if not self._may_send(request):
            return "this node began to stop while connecting"
        return None

    async def _send(
        self, request: ClientRequest, tracked: TrackedServer
    ) -> BackendAnswer:
        """Send a request to a server and wait for its answer until the deadline."""
        # The list may name a later process of this server before the answer arrives.
        server = tracked.server
        limits = limits_of(self.services, request.service)
        self.placement.record_send(tracked, limits, self.reactor.seconds())
        is_trial = tracked.start_request()
        selected_at = self.reactor.seconds()
        is_sent = False
        try:
            connection = self.pool.acquire(server, not request.route.idempotent)
            if connection is None:
                connection = await self._connect(tracked)
            started = self.reactor.seconds()
            obstacle = self._obstacle(request, tracked, selected_at)
            if obstacle is not None:
                connection.close()
                raise BackendUnreachable(obstacle, False, False)
            if request.sends == 0:
                self._retry_window(request.service).record_first_send(started)
            request.sends += 1
            request.server = server.name
            request.load = round(tracked.load(started) - 1, 1)
            may_have_run_before = request.may_have_run
            request.may_have_run = True
            added = self.wire.server_headers(server.name, request.deadline - started)
            data = encode_request(request, added)
            waiting = connection.send(
                request.method,
                request.request_id,
                data,
                _ack_timeout_ms(request, started),
            )
            is_sent = True
            answer = await self._await_answer(waiting, request, started)
        except SteeringError:
            self.outcomes.record_silence(request, tracked, started)
            self.crash_watch.record_lost(request, tracked)
            raise
        except CancelledError:
            # The client left, and its server may end in spite of that.
            if is_sent:
                self.crash_watch.record_lost(request, tracked, LossReason.ABORTED)
            raise
        finally:
            tracked.end_request(is_trial)
        if self.wire.states_not_run(answer.status, answer.headers):
            request.may_have_run = may_have_run_before
        self.outcomes.record(request, tracked, server, answer, started)
        return answer

    async def _connect(self, tracked: TrackedServer) -> BackendConnection:
        """Open a connection and record how long that took.

        A time-out across a pause of this process doesn't count against the server.
        """
        started = self.reactor.seconds()
        try:
            connection = await self.pool.connect(tracked.server)
        except BackendUnreachable as failure:
            if failure.refused or not self.pause_gate.has_paused_since(started):
                raise
            raise BackendUnreachable(str(failure), False, False) from failure
        if not self.pause_gate.has_paused_since(started):
            tracked.record_connect_time(self.reactor.seconds() - started)
        return connection

    async def _await_answer(
        self, waiting: Deferred[BackendAnswer], request: ClientRequest, sent_at: float
    ) -> BackendAnswer:
        remaining_s = max(request.deadline - self.reactor.seconds(), 0.0)
        expired = []

        def expire() -> None:
            expired.append(True)
            waiting.cancel()

        timeout = Timeout(self.reactor, remaining_s, expire)
        try:
            return await waiting
        except AnswerNotReceived as error:
            if error.loss is LossReason.ABORTED and not expired:
                # The client disconnected, so the request isn't retried.
                raise CancelledError from error
            if expired:
                raise SteeringError(
                    ErrorKind.DEADLINE_EXCEEDED, "no answer in time"
                ) from error
            if (
                error.loss is LossReason.UNACKNOWLEDGED
                and self.pause_gate.has_paused_since(sent_at)
            ):
                # The time since the request was sent doesn't tell this from a reset.
                raise AnswerNotReceived(LossReason.CLOSED) from error
            raise
        finally:
            timeout.stop()


def _ack_timeout_ms(request: ClientRequest, now: float) -> int:
    """Return for how long a server may acknowledge nothing.

    A request that isn't idempotent can't be sent to another server. Its server may only
    be cut off for some time, so its answer is awaited until the deadline.
    """
    if request.route.idempotent:
        return ACK_TIMEOUT_MS
    return max(ACK_TIMEOUT_MS, ceil((request.deadline - now) * MS_PER_S))
