"""One log line for each request, limited in lines per second."""

from collections.abc import Callable

from ebonybend.errors import SteeringError
from ebonybend.logs import NonBlockingLogFile, get_logger
from ebonybend.node.caller_requests import ClientRequest
from ebonybend.node.wire import ClientHeaders

# Lines per second for successful answers, and for refusals and failures. A line costs
# about 20 us, so both together stay below 1% of a core.
MAX_ANSWER_LINES_PER_S = 50
MAX_FAILURE_LINES_PER_S = 200
MIN_FAILURE_STATUS = 500


class LineBudget:
    """Limit the lines in each second and count those over the limit."""

    def __init__(self, per_s: int):
        self.per_s = per_s
        self.second = -1
        # Lines requested in the current second, dropped ones included.
        self.requested = 0
        self.dropped = 0

    def allow(self, now: float) -> bool:
        """Return whether a line may be written."""
        if int(now) != self.second:
            self.second = int(now)
            self.requested = 0
        self.requested += 1
        if self.requested > self.per_s:
            self.dropped += 1
            return False
        return True

    def pop_dropped_count(self) -> int:
        """Return the number of lines dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped


class RequestLog:
    """Log the outcome of requests, with a larger limit for failures."""

    def __init__(self, clock: Callable[[], float], file: NonBlockingLogFile):
        self.clock = clock
        self.file = file
        self.answers = LineBudget(MAX_ANSWER_LINES_PER_S)
        self.failures = LineBudget(MAX_FAILURE_LINES_PER_S)

    def record_outcome(
        self,
        client_headers: ClientHeaders | None,
        request: ClientRequest | None,
        status: int,
        seconds: float,
        error: SteeringError | None,
    ) -> None:
        """Log the outcome of a request; status 0 means that the client disconnected."""
        failed = error is not None or status >= MIN_FAILURE_STATUS or status == 0
        budget = self.failures if failed else self.answers
        if not budget.allow(self.clock()):
            return
        fields = {}
        if request is not None:
            fields = {
                "route": request.route.name,
                "config": request.config_version,
                "service": request.service,
                "region": request.region,
                "returned": request.is_client_retry,
                "object": request.object_key.decode("latin-1"),
                "server": request.server,
                "sends": request.sends,
                "load": request.load,
                "may_have_run": request.may_have_run,
            }
        if error is not None:
            fields |= {"error": error.kind.value, "reason": error.message}
        get_logger().info(
            "request_ended",
            request_id=client_headers.request_id.decode("latin-1")
            if client_headers
            else None,
            status=status,
            seconds=round(seconds, 4),
            **fields,
        )

    def report_dropped(self) -> None:
        """Log how many lines were dropped since the last report."""
        answers, failures = (
            self.answers.pop_dropped_count(),
            self.failures.pop_dropped_count(),
        )
        # Lines dropped because the reader of the log is too slow or has stopped.
        unread, self.file.dropped = self.file.dropped, 0
        if answers or failures or unread:
            get_logger().info(
                "lines_dropped", answers=answers, failures=failures, unread=unread
            )
