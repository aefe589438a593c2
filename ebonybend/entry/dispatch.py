"""Run requests on backend servers of the own failure domain."""

from typing import Any

from attrs import frozen
from returns.result import Success

from ebonybend.clock import Clock
from ebonybend.entry.attempts import Attempt, failed, refused
from ebonybend.entry.requests import ServedAnswer, SteeredRequest
from ebonybend.entry.running import Running, RunningRequests
from ebonybend.entry.table_state import TableState
from ebonybend.errors import ErrorKind
from ebonybend.http_client import (
    AnswerLost,
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
# A write whose deadline has passed is listened to for this long, so that a resend
# under its key gets the answer; the caller is answered at its deadline.
WRITE_GRACE_S = 0.25
# A server sees a closed connection, and cancels, only after the one-way latency inside
# a failure domain. The slot stays in use for that time, so that a new request doesn't
# run beside the cancelled one.
ABANDONED_SLOT_S = 0.1
MAX_ANSWER_BYTES = 64 << 20
SHED_RETRY_AFTER_MS = 100
# A server's 504 this close to the deadline says that it gave up at the deadline, so it
# is no answer to the request. Covers the rounding and the way back.
DEADLINE_SLACK_S = 0.05


@frozen
class RequestBounds:
    """The time that a request may still take."""

    # Passed on in Deadline-Ms.
    deadline_ms: int
    timeout_s: float


def bounds(
    request: SteeredRequest, now: float, way_ms: float = 0.0
) -> RequestBounds | None:
    """Return the bounds at the moment of dispatch, or None if it is too late.

    The way to another entry and back, in milliseconds, is taken off its deadline.
    """
    remaining_s = request.deadline - now
    deadline_ms = int(remaining_s * MS - way_ms)
    if deadline_ms < 1:
        return None
    grace_s = 0.0 if request.idempotent else WRITE_GRACE_S
    return RequestBounds(deadline_ms, remaining_s + grace_s)


def request_headers(request: SteeredRequest, deadline_ms: int) -> dict[str, str]:
    """Return the headers that are passed on with a request."""
    headers = {"Deadline-Ms": str(deadline_ms), "Request-Id": request.request_id}
    if request.key is not None:
        headers["Idempotency-Key"] = request.key
    if request.content_type is not None:
        headers["Content-Type"] = request.content_type
    return headers


class LocalDispatcher:
    """Choose a backend server, take a slot and run a request on it."""

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

    def pick(self, request: SteeredRequest, tried: set[str]) -> ServerView | None:
        """Return a server with a free slot for a request, or None."""
        candidates = self.table_state.servers.get(request.service, ())
        if request.alone:
            candidates = self._idle(candidates)
        exclude = tried | self.running.exclusive if self.running.exclusive else tried
        weights = self.table_state.weights.get(request.service, EQUAL_WEIGHTS)
        return self.chooser.choose(candidates, exclude, weights.headroom_share)

    def _idle(self, candidates: tuple[ServerView, ...]) -> tuple[ServerView, ...]:
        """Return the servers that run nothing, as far as this entry can tell."""
        idle = tuple(v for v in candidates if self.running.idle(v.name))
        return tuple(v for v in idle if not v.reported_in_flight) or idle

    async def run(
        self, request: SteeredRequest, server: ServerView | None, tried: set[str]
    ) -> Attempt:
        """Run a request on the server that was picked for it."""
        if server is None:
            return refused(
                ErrorKind.OVERLOADED, "no free slot in the domain", SHED_RETRY_AFTER_MS
            )
        within = bounds(request, self.clock.monotonic())
        if within is None:
            return refused(ErrorKind.DEADLINE_NOT_RUN, "the deadline has passed")
        if self._too_late(server.name, within):
            return refused(ErrorKind.DEADLINE_NOT_RUN, "less time than answers take")
        tried.add(server.name)
        if not self.admission.acquire(server.name):
            return refused(
                ErrorKind.OVERLOADED, "no free slot in the domain", SHED_RETRY_AFTER_MS
            )
        return await self._run_on(server, request, within)

    def _too_late(self, server: str, within: RequestBounds) -> bool:
        """Return whether a request would waste the last free slot of a server.

        At twice the capacity, requests that were cut off at their deadlines took a
        quarter of the slots' time. With slots to spare a short request may try.
        """
        busy = self.admission.ledger.in_flight(server) > 0
        if not busy or self.admission.free_slots(server) > 1:
            return False
        return self.chooser.tail_latency_s(server) * MS > within.deadline_ms

    async def _run_on(
        self, server: ServerView, request: SteeredRequest, within: RequestBounds
    ) -> Attempt:
        running = self.running.add(server.name, request)
        if request.alone:
            self.running.exclusive.add(server.name)
        try:
            return await self._send(server, running, within)
        finally:
            self.running.remove(running)
            if request.alone:
                self.running.exclusive.discard(server.name)

    async def _send(
        self, server: ServerView, running: Running, within: RequestBounds
    ) -> Attempt:
        request = running.request
        started = self.clock.monotonic()
        try:
            answer = await self.http.request(
                request.method,
                server.address,
                request.path,
                request_headers(request, within.deadline_ms),
                request.body,
                within.timeout_s,
                MAX_ANSWER_BYTES,
                # How long a backend server keeps idle connections isn't known, so a
                # write takes a new connection.
                Reuse.ANY if request.idempotent else Reuse.NEVER,
                lambda: self.clock.monotonic() < request.deadline,
            )
        except SendTooLate as error:
            self.admission.ledger.record_request_end(server.name)
            return refused(ErrorKind.DEADLINE_NOT_RUN, str(error))
        except NotSent as error:
            self._finish(server, ServerResult.UNREACHABLE, started)
            return failed(ErrorKind.BACKEND_UNREACHABLE, str(error))
        except AnswerLost as error:
            self._abandon(server, ServerResult.LOST, started)
            await self.running.lost(running)
            return failed(ErrorKind.ANSWER_LOST, f"{server.name}: {error}")
        except AnswerTooLarge as error:
            self._abandon(server, ServerResult.TIMEOUT, started)
            return failed(ErrorKind.ANSWER_LOST, f"{server.name}: {error}")
        except AnswerTimeout as error:
            result = None if request.caller_gone else ServerResult.TIMEOUT
            self._abandon(server, result, started)
            return failed(ErrorKind.DEADLINE_EXCEEDED, f"{server.name}: {error}")
        except BaseException:
            self._abandon(server, ServerResult.TIMEOUT, started)
            raise
        return self._answered(server, request, answer, started)

    def _answered(
        self,
        server: ServerView,
        request: SteeredRequest,
        answer: HttpAnswer,
        started: float,
    ) -> Attempt:
        if answer.header("Draining") == "true":
            self.table_state.note_draining(server.name)
            self.admission.set_state(server.name, ServerState.DRAINING)
        if answer.status == 503 and answer.header("Not-Run") == "true":
            self._finish(server, ServerResult.SHED, started)
            return failed(ErrorKind.OVERLOADED, f"{server.name} shed the request")
        now = self.clock.monotonic()
        if answer.status == 504 and now >= request.deadline - DEADLINE_SLACK_S:
            self._finish(server, ServerResult.TIMEOUT, started)
            return failed(ErrorKind.DEADLINE_EXCEEDED, f"{server.name} gave up")
        self._finish(server, ServerResult.SUCCESS, started)
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
        """Give the slot back after the server has seen the end of the connection."""
        if result is None:
            # The caller has gone; that says nothing about the server.
            end = self.admission.ledger.record_request_end
            self.reactor.callLater(ABANDONED_SLOT_S, end, server.name)
            return
        self.reactor.callLater(ABANDONED_SLOT_S, self._finish, server, result, started)
