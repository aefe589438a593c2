"""Serve service requests on the client port and the peer port."""

from collections.abc import Awaitable, Callable
from typing import Any

from attrs import define
from returns.pipeline import is_successful
from twisted.internet.defer import CancelledError

from ebonybend.clock import Clock
from ebonybend.entry.answers import outgoing_answer
from ebonybend.entry.attempts import Attempt
from ebonybend.entry.parsing import parse_request, parse_request_id
from ebonybend.entry.requests import ServedAnswer, SteeredRequest
from ebonybend.errors import ErrorKind, Outcome, SteeringError
from ebonybend.http_answers import IncomingRequest, OutgoingAnswer, Pacer, error_answer
from ebonybend.settings import Settings


@define
class Activity:
    """The activity on both ports, which a graceful stop waits for."""

    last_request_at: float
    in_flight: int = 0
    # Set in the last phase of a graceful stop, when new requests are refused.
    refusing: bool = False

    def begin(self, now: float, refusable: bool) -> None:
        """Count a request; raise DRAINING in the last phase of a stop.

        Keyed requests are not refusable here: a copy may have run, so only the owner
        of the key may answer that the request did not run.
        """
        if self.refusing and refusable:
            raise SteeringError(ErrorKind.DRAINING, "this instance stops")
        self.last_request_at = now
        self.in_flight += 1


class RequestPort:
    """Serve the requests below one path prefix."""

    def __init__(
        self,
        prefix: str,
        settings: Settings,
        clock: Clock,
        activity: Activity,
        steer: Callable[[SteeredRequest, IncomingRequest], Awaitable[Attempt]],
        record_answer: Callable[[SteeredRequest, ServedAnswer, float], None],
        record_refusal: Callable[[SteeringError], None],
        routes_by_key: bool,
    ):
        self.prefix = prefix
        self.settings = settings
        self.clock = clock
        self.activity = activity
        self.steer = steer
        self.record_answer = record_answer
        self.record_refusal = record_refusal
        # Whether the owner of the key handles keyed requests.
        self.routes_by_key = routes_by_key

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
            keyed = self.routes_by_key and request.key is not None
            self.activity.begin(started, refusable=not keyed)
        except SteeringError as error:
            self.record_refusal(error)
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
            # The client has disconnected, so this answer is discarded.
            return OutgoingAnswer()
        if request.client_disconnected and request.idempotent:
            return OutgoingAnswer()
        if not is_successful(attempt):
            return self._refuse(request, attempt.failure().error)
        answer = attempt.unwrap()
        self.record_answer(request, answer, self.clock.monotonic() - started)
        if not request.idempotent:
            request.log.info("answered", status=answer.status, server=answer.served_by)
        return outgoing_answer(answer, request.request_id, pacer)

    def _refuse(self, request: SteeredRequest, error: SteeringError) -> OutgoingAnswer:
        self.record_refusal(error)
        unknown = error.answer.outcome is Outcome.UNKNOWN
        # Refusals are frequent under overload, and the metrics count them by kind.
        write = request.log.warning if unknown else request.log.debug
        write("refused", kind=error.kind.value, message=error.message)
        return error_answer(error, request.request_id)


def watch_client(raw: Any, request: SteeredRequest) -> None:
    """Cancel a read when its client disconnects; a write continues to its outcome."""

    def on_disconnect() -> None:
        request.client_disconnected = True
        if request.idempotent:
            raw.handler_task.cancel()

    raw.on_client_disconnect = on_disconnect
