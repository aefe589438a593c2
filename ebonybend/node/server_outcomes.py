"""Record what the answers of servers, and their absence, show of them."""

from collections.abc import Callable
from math import inf

from ebonybend.logs import get_logger
from ebonybend.node.backend_connection import BackendAnswer
from ebonybend.node.caller_requests import ClientRequest
from ebonybend.node.crash_watch import CrashWatch
from ebonybend.node.decisions import LineBudget
from ebonybend.node.wire import WireFormat
from ebonybend.steering.server_state import ServerTable, TrackedServer
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.world import BackendServer

# Lines per second about pauses that servers ask for.
MAX_PAUSE_LINES_PER_S = 50
# From this status on, an answer counts as a failure of the server.
MIN_FAILURE_STATUS = 500
# Another server has the address; what its answer states is not about this one.
MISDIRECTED_STATUS = 421


class ServerOutcomes:
    """Update the state of servers after each request that was sent to them."""

    def __init__(
        self,
        clock: Callable[[], float],
        wire: WireFormat,
        table: ServerTable,
        times: ServiceTimes,
        crash_watch: CrashWatch,
        has_paused_since: Callable[[float], bool],
    ):
        self.clock = clock
        self.wire = wire
        self.table = table
        self.times = times
        self.crash_watch = crash_watch
        # Returns whether a pause of this process ended after a time.
        self.has_paused_since = has_paused_since
        self.pause_lines = LineBudget(MAX_PAUSE_LINES_PER_S)

    def record(
        self,
        request: ClientRequest,
        tracked: TrackedServer,
        server: BackendServer,
        answer: BackendAnswer,
        started: float,
    ) -> None:
        """Record an answer to a request that was sent to a server at a time."""
        if answer.status == MISDIRECTED_STATUS:
            self.crash_watch.record_end(server, "another server at its address")
        else:
            self.crash_watch.record_alive(server, started)
            self._record_leaving(server, answer)
            self._record_answer(request, tracked, answer, started)

    def record_failure(self, tracked: TrackedServer, reason: str) -> None:
        """Record a request that failed on a server."""
        previous_ejected_until = tracked.ejected_until
        tracked.record_failure(self.clock())
        self._log_ejection(tracked, previous_ejected_until, reason)

    def record_silence(
        self, request: ClientRequest, tracked: TrackedServer, sent_at: float
    ) -> None:
        """Record a request that was sent at a time and not answered in time.

        Nothing is known of the server if this process was paused meanwhile.
        """
        if self.has_paused_since(sent_at):
            return
        expected_s = self.times.expected(
            request.route.name, tracked, request.object_key
        )
        previous_ejected_until = tracked.ejected_until
        tracked.record_silence(
            self.clock(), sent_at, max(expected_s, request.route.objective_s)
        )
        self._log_ejection(tracked, previous_ejected_until, "no answer in time")

    def record_unreachable(
        self, tracked: TrackedServer, refused: bool, reason: str
    ) -> None:
        """Record that a server could not be reached."""
        previous_ejected_until = tracked.ejected_until
        tracked.record_unreachable(self.clock(), refused)
        self._log_ejection(tracked, previous_ejected_until, reason)

    def _log_ejection(
        self, tracked: TrackedServer, previous_ejected_until: float, reason: str
    ) -> None:
        if tracked.ejected_until != previous_ejected_until:
            get_logger().info(
                "server_left_out",
                server=tracked.server.name,
                seconds=round(tracked.ejected_until - self.clock(), 2),
                reason=reason,
            )

    def _record_leaving(self, server: BackendServer, answer: BackendAnswer) -> None:
        if self.wire.states_leaving(answer.headers) and self.table.record_leaving(
            server.process, self.clock()
        ):
            get_logger().info("server_leaving", server=server.name, told_by=None)

    def _record_answer(
        self,
        request: ClientRequest,
        tracked: TrackedServer,
        answer: BackendAnswer,
        started: float,
    ) -> None:
        now = self.clock()
        load = self.wire.read_load(answer.headers)
        if load is not None:
            tracked.record_load(load.running, load.waiting, now)
        self._record_limit(tracked, answer, now)
        self._record_pause(tracked, answer, now)
        if self.wire.states_not_run(answer.status, answer.headers):
            return
        self.crash_watch.record_answered(request)
        if answer.status >= MIN_FAILURE_STATUS:
            self.record_failure(tracked, f"answered {answer.status}")
        else:
            seconds = self._service_time_s(tracked, started, now)
            tracked.record_success(seconds, now)
            self.crash_watch.record_success(request)
            waited = request.load >= tracked.server.slots
            self.times.record_answer_time(
                request.route.name, tracked, request.object_key, seconds, waited, now
            )

    def _service_time_s(
        self, tracked: TrackedServer, started: float, now: float
    ) -> float | None:
        """Return the time that an answer took on the server; None if unknown.

        An answer that arrives while this process is paused is read later.
        """
        if self.has_paused_since(started):
            return None
        return max(now - started - (tracked.round_trip_s or 0.0), 0.001)

    def _record_limit(
        self, tracked: TrackedServer, answer: BackendAnswer, now: float
    ) -> None:
        limit = self.wire.read_limit(answer.headers)
        if limit is not None and tracked.limit.record_answer(limit, now):
            get_logger().info(
                "server_limit",
                server=tracked.server.name,
                limit=limit if limit < inf else None,
            )

    def _record_pause(
        self, tracked: TrackedServer, answer: BackendAnswer, now: float
    ) -> None:
        seconds = self.wire.read_pause(answer.status, answer.headers)
        if tracked.record_pause(seconds, now) and self.pause_lines.allow(now):
            get_logger().info(
                "server_paused", server=tracked.server.name, seconds=seconds
            )
