"""Receive requests for services on either port and send their answers."""

from collections.abc import Awaitable, Callable
from typing import Any

from attrs import define
from returns.pipeline import is_successful
from twisted.internet.defer import CancelledError

from ebonybend.clock import Clock
from ebonybend.entry.answers import outgoing
from ebonybend.entry.attempts import Attempt
from ebonybend.entry.parsing import parse_request, parse_request_id
from ebonybend.entry.requests import ServedAnswer, SteeredRequest
from ebonybend.errors import ErrorKind, Outcome, SteeringError
from ebonybend.http_server import (
    IncomingRequest,
    OutgoingAnswer,
    Pacer,
    error_answer,
)
from ebonybend.settings import Settings


@define
class Activity:
    """The requests of both ports, which a graceful stop waits for."""

    last_request_at: float
    in_flight: int = 0
    # Set in the last phase of a stop: new requests are refused.
    refusing: bool = False

    def begin(self, now: float, refusable: bool) -> None:
        """Count a request; raise DRAINING in the last phase of a stop.

        A keyed request may have run before, so only the owner of its key may say that
        it did not run.
        """
        if self.refusing and refusable:
            raise SteeringError(ErrorKind.DRAINING, "this instance stops")
        self.last_request_at = now
        self.in_flight += 1


class RequestPort:
    """Serve the requests under one path prefix."""

    def __init__(
        self,
        prefix: str,
        settings: Settings,
        clock: Clock,
        activity: Activity,
        steer: Callable[[SteeredRequest, IncomingRequest], Awaitable[Attempt]],
        note_answer: Callable[[SteeredRequest, ServedAnswer, float], None],
        note_refusal: Callable[[SteeringError], None],
        asks_owner: bool,
    ):
        self.prefix = prefix
        self.settings = settings
        self.clock = clock
        self.activity = activity
        self.steer = steer
        self.note_answer = note_answer
        self.note_refusal = note_refusal
        # Keyed requests go to the owner of their key.
        self.asks_owner = asks_owner

    async def serve(
        self, incoming: IncomingRequest, pacer: Pacer | None = None
    ) -> OutgoingAnswer:
        """Answer one request."""
        started = self.clock.monotonic()
        request_id = None
        try:
            request_id = parse_request_id(incoming.header("Request-Id"))
            request = parse_request(
                incoming, self.prefix, self.settings, started, request_id
            )
            keyed = self.asks_owner and request.key is not None
            self.activity.begin(started, refusable=not keyed)
        except SteeringError as error:
            self.note_refusal(error)
            return error_answer(error, request_id)
        try:
            return await self._answer(incoming, request, started, pacer)
        finally:
            self.activity.in_flight -= 1

    async def _answer(
        self,
        incoming: IncomingRequest,
        request: SteeredRequest,
        started: float,
        pacer: Pacer | None,
    ) -> OutgoingAnswer:
        watch_client(incoming.raw, request)
        try:
            attempt = await self.steer(request, incoming)
        except SteeringError as error:
            return self._refuse(request, error)
        except CancelledError:
            # The caller has gone, so nobody gets this answer.
            return OutgoingAnswer()
        if request.caller_gone and request.idempotent:
            return OutgoingAnswer()
        if not is_successful(attempt):
            return self._refuse(request, attempt.failure().error)
        answer = attempt.unwrap()
        self.note_answer(request, answer, self.clock.monotonic() - started)
        if not request.idempotent:
            request.log.info("answered", status=answer.status, server=answer.served_by)
        return outgoing(answer, request.request_id, pacer)

    def _refuse(self, request: SteeredRequest, error: SteeringError) -> OutgoingAnswer:
        self.note_refusal(error)
        unknown = error.answer.outcome is Outcome.UNKNOWN
        # Refusals are frequent under overload and are counted by kind anyway.
        write = request.log.warning if unknown else request.log.debug
        write("refused", kind=error.kind.value, message=error.message)
        return error_answer(error, request.request_id)


def watch_client(raw: Any, request: SteeredRequest) -> None:
    """End a read when its caller disappears; a write goes on to its outcome."""

    def gone() -> None:
        request.caller_gone = True
        if request.idempotent:
            raw.running.cancel()

    raw.on_gone = gone
