"""Run requests on backend servers of this entry's failure domain."""

from typing import Any

from attrs import frozen
from returns.result import Success

from ebonybend.clock import Clock
from ebonybend.entry.attempts import Attempt, failed_attempt, refused_attempt
from ebonybend.entry.requests import ServedAnswer, SteeredRequest
from ebonybend.entry.running import RunningRequest, RunningRequests
from ebonybend.entry.table_state import TableState
from ebonybend.errors import ErrorKind
from ebonybend.http_client import (
    AnswerLost,
    AnswerMalformed,
    AnswerMismatch,
    AnswerTimeout,
    AnswerTooLarge,
    HttpAnswer,
    HttpClient,
    NotSent,
    Reuse,
    SendTooLate,
)
from ebonybend.steering.admission import Admission, ServerResult
from ebonybend.steering.choice import ServerChooser
from ebonybend.steering.suspects import Verdict
from ebonybend.steering.table import ServerView
from ebonybend.steering.weights import EQUAL_WEIGHTS
from ebonybend.world import ServerState

MS = 1000.0
# The answer to a write is awaited this long past the deadline, so that a retry under
# the same key gets it. The client gets its own answer at the deadline.
WRITE_GRACE_S = 0.25
# A server sees a closed connection, and cancels the request, only after the one-way
# latency within a failure domain. The slot stays occupied for that time, so that no
# new request runs on it together with the cancelled one.
ABANDONED_SLOT_HOLD_S = 0.1
MAX_ANSWER_BYTES = 64 << 20
SHED_RETRY_AFTER_MS = 100
# A 504 this close to the deadline means that the server gave up at the deadline, so it
# is not an answer to the request. Covers rounding and the network delay of the answer.
DEADLINE_SLACK_S = 0.05


@frozen
class TimeLimits:
    """The remaining time of a request."""

    # Value of the Deadline-Ms header.
    deadline_ms: int
    # How long to wait for the answer.
    timeout_s: float


def time_limits(
    request: SteeredRequest, now: float, round_trip_ms: float = 0.0
) -> TimeLimits | None:
    """Return the time limits at dispatch, or None if the deadline can't be met.

    The round trip to another entry, in milliseconds, is subtracted from its deadline.
    """
    remaining_s = request.deadline - now
    deadline_ms = int(remaining_s * MS - round_trip_ms)
    if deadline_ms < 1:
        return None
    grace_s = 0.0 if request.idempotent else WRITE_GRACE_S
    return TimeLimits(deadline_ms, remaining_s + grace_s)


def request_headers(request: SteeredRequest, deadline_ms: int) -> dict[str, str]:
    """Return the headers to forward with a request."""
    headers = {"Deadline-Ms": str(deadline_ms), "Request-Id": request.request_id}
    if request.key is not None:
        headers["Idempotency-Key"] = request.key
    if request.content_type is not None:
        headers["Content-Type"] = request.content_type
    return headers


class LocalDispatcher:
    """Choose a backend server, acquire a slot and run a request on it."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        http: HttpClient,
        table_state: TableState,
        admission: Admission,
        chooser: ServerChooser,
        running: RunningRequests,
    ):
        self.reactor = reactor
        self.clock = clock
        self.http = http
        self.table_state = table_state
        self.admission = admission
        self.chooser = chooser
        self.running = running

    def pick_server(
        self, request: SteeredRequest, tried: set[str]
    ) -> ServerView | None:
        """Return a server with a free slot that may run a request, or None."""
        candidates = self.table_state.servers.get(request.service, ())
        if request.isolated:
            candidates = self._idle_servers(candidates)
        exclude = tried | self.running.exclusive if self.running.exclusive else tried
        weights = self.table_state.weights.get(request.service, EQUAL_WEIGHTS)
        return self.chooser.choose(candidates, exclude, weights.headroom_share)

    def _idle_servers(
        self, candidates: tuple[ServerView, ...]
    ) -> tuple[ServerView, ...]:
        """Return the servers on which this entry has no request in flight.

        If some of them also report no requests in flight, return only those.
        """
        idle = tuple(v for v in candidates if self.running.is_idle(v.name))
        return tuple(v for v in idle if not v.reported_in_flight) or idle

    async def run(
        self, request: SteeredRequest, server: ServerView | None, tried: set[str]
    ) -> Attempt:
        """Run a request on the chosen server."""
        if server is None:
            return refused_attempt(
                ErrorKind.OVERLOADED, "no free slot in the domain", SHED_RETRY_AFTER_MS
            )
        limits = time_limits(request, self.clock.monotonic())
        if limits is None:
            return refused_attempt(
                ErrorKind.DEADLINE_NOT_RUN, "the deadline has passed"
            )
        if self._would_time_out(server.name, limits):
            return refused_attempt(
                ErrorKind.DEADLINE_NOT_RUN, "less time than answers take"
            )
        tried.add(server.name)
        if not self.admission.acquire(server.name):
            return refused_attempt(
                ErrorKind.OVERLOADED, "no free slot in the domain", SHED_RETRY_AFTER_MS
            )
        return await self._run_on(server, request, limits)

    def _would_time_out(self, server: str, limits: TimeLimits) -> bool:
        """Return whether a request would likely time out on a server's last free slot.

        At a load of twice the capacity, requests cancelled at their deadlines took a
        quarter of the slots' time. While more slots are free, a short request may run.
        """
        busy = self.admission.ledger.in_flight(server) > 0
        if not busy or self.admission.free_slots(server) > 1:
            return False
        return self.chooser.tail_latency_s(server) * MS > limits.deadline_ms

    async def _run_on(
        self, server: ServerView, request: SteeredRequest, limits: TimeLimits
    ) -> Attempt:
        running = self.running.add(server.name, request)
        if request.isolated:
            self.running.exclusive.add(server.name)
        try:
            return await self._send(server, running, limits)
        finally:
            self.running.remove(running)
            if request.isolated:
                self.running.exclusive.discard(server.name)

    async def _send(
        self, server: ServerView, running: RunningRequest, limits: TimeLimits
    ) -> Attempt:
        request = running.request
        started = self.clock.monotonic()
        try:
            answer = await self.http.request(
                request.method,
                server.address,
                request.path,
                request_headers(request, limits.deadline_ms),
                request.body,
                limits.timeout_s,
                MAX_ANSWER_BYTES,
                # A backend server may close an idle connection at any time, so a write
                # opens a new one.
                Reuse.ANY if request.idempotent else Reuse.NEVER,
                lambda: self.clock.monotonic() < request.deadline,
            )
        except SendTooLate as error:
            self.admission.ledger.record_request_end(server.name)
            return refused_attempt(ErrorKind.DEADLINE_NOT_RUN, str(error))
        except NotSent as error:
            self._finish(server, ServerResult.UNREACHABLE, started)
            return failed_attempt(ErrorKind.BACKEND_UNREACHABLE, str(error))
        except AnswerLost as error:
            self._abandon(server, ServerResult.LOST, started)
            await self.running.report_crash(running)
            return failed_attempt(ErrorKind.ANSWER_LOST, f"{server.name}: {error}")
        except (AnswerMalformed, AnswerMismatch, AnswerTooLarge) as error:
            # The server still runs, so this isn't a crash.
            self._abandon(server, ServerResult.TIMEOUT, started)
            return failed_attempt(ErrorKind.ANSWER_LOST, f"{server.name}: {error}")
        except AnswerTimeout as error:
            result = None if request.client_disconnected else ServerResult.TIMEOUT
            self._abandon(server, result, started)
            return failed_attempt(
                ErrorKind.DEADLINE_EXCEEDED, f"{server.name}: {error}"
            )
        except BaseException:
            self._abandon(server, ServerResult.TIMEOUT, started)
            raise
        return self._handle_answer(server, request, answer, started)

    def _handle_answer(
        self,
        server: ServerView,
        request: SteeredRequest,
        answer: HttpAnswer,
        started: float,
    ) -> Attempt:
        if answer.header("Draining") == "true":
            self.table_state.record_draining(server.name)
            self.admission.set_state(server.name, ServerState.DRAINING)
        if answer.status == 503 and answer.header("Not-Run") == "true":
            self._finish(server, ServerResult.SHED, started)
            return failed_attempt(
                ErrorKind.OVERLOADED, f"{server.name} shed the request"
            )
        now = self.clock.monotonic()
        if answer.status == 504 and now >= request.deadline - DEADLINE_SLACK_S:
            self._finish(server, ServerResult.TIMEOUT, started)
            return failed_attempt(ErrorKind.DEADLINE_EXCEEDED, f"{server.name} gave up")
        self._finish(server, ServerResult.SUCCESS, started)
        # A pause of this process would count as latency of the server.
        if self.admission.ledger.has_run_since(started):
            self.chooser.record_latency(server.name, now - started)
        if request.verdict is not Verdict.ALLOW:
            self.running.suspects.record_success(request.fingerprint)
        return Success(
            ServedAnswer(
                answer.status,
                answer.header("Content-Type"),
                answer.body,
                server.name,
                self.table_state.region,
            )
        )

    def _finish(self, server: ServerView, result: ServerResult, started: float) -> None:
        latency_s = self.clock.monotonic() - started
        self.admission.release(server.name, result, latency_s)

    def _abandon(
        self, server: ServerView, result: ServerResult | None, started: float
    ) -> None:
        """Release the slot once the server has seen that the connection is closed."""
        if result is None:
            # The client disconnected; that is no failure of the server.
            release_slot = self.admission.ledger.record_request_end
            self.reactor.callLater(ABANDONED_SLOT_HOLD_S, release_slot, server.name)
            return
        self.reactor.callLater(
            ABANDONED_SLOT_HOLD_S, self._finish, server, result, started
        )
