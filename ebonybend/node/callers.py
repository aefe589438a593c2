"""The callers' port: find the route of a request and forward it."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.web.http_headers import Headers

from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_server import IncomingRequest, OutgoingAnswer
from ebonybend.node.backend_connection import BackendAnswer
from ebonybend.node.caller_requests import ClientRequest
from ebonybend.node.decisions import DecisionLog
from ebonybend.node.forwarder import CONNECTION_HEADERS, Forwarder
from ebonybend.node.metrics import NodeMetrics
from ebonybend.node.routing_state import RoutingState
from ebonybend.node.wire import ClientHeaders, Wire

# Deadline of a request that states none and whose route has no time-out.
DEFAULT_DEADLINE_S = 10.0
# Time in which a starting node has usually read the store.
NOT_READY_PAUSE_MS = 300
# A suspect's content may be that of an innocent request, so its caller may come back.
SUSPECT_STATUS = 503
# Headers of an answer that the node's own server writes.
OWN_HEADERS = CONNECTION_HEADERS | {b"date", b"server"}


class ClientPort:
    """Answer the requests of callers."""

    def __init__(
        self,
        routing: RoutingState,
        forwarder: Forwarder,
        wire: Wire,
        clock: Callable[[], float],
        metrics: NodeMetrics,
        decisions: DecisionLog,
        is_complete: Callable[[], bool],
    ):
        self.routing = routing
        self.forwarder = forwarder
        self.wire = wire
        self.clock = clock
        self.metrics = metrics
        self.decisions = decisions
        self.is_complete = is_complete

    async def handle(self, incoming: IncomingRequest) -> OutgoingAnswer:
        """Answer one request."""
        arrived_at = self.clock()
        told = self.wire.read_client_headers(incoming.raw.requestHeaders)
        request: ClientRequest | None = None
        try:
            if told is None:
                raise SteeringError(
                    ErrorKind.BAD_REQUEST, "no request id, or the deadline is no number"
                )
            request = self._request(incoming, told, arrived_at)
            answer = await self.forwarder.forward(request)
        except SteeringError as error:
            self._note(told, request, _status(error), arrived_at, error)
            return self._refusal(error)
        except CancelledError:
            self._note(told, request, 0, arrived_at, None)
            raise
        self._note(told, request, answer.status, arrived_at, None)
        return self._forwarded(answer)

    def _request(
        self, incoming: IncomingRequest, told: ClientHeaders, arrived_at: float
    ) -> ClientRequest:
        routing = self.routing
        if not self.is_complete():
            raise SteeringError(
                ErrorKind.NOT_READY, "the store is not read yet", NOT_READY_PAUSE_MS
            )
        raw: Any = incoming.raw
        host = (raw.requestHeaders.getRawHeaders(b"Host") or [b""])[0]
        name = host.decode("latin-1").partition(":")[0]
        route = routing.find(name, incoming.path)
        if route is None:
            raise SteeringError(ErrorKind.UNKNOWN_PATH, "no route for host and path")
        service = routing.parts.choose(route).service
        limits = [s for s in (told.deadline_s, route.timeout_s) if s]
        return ClientRequest(
            request_id=told.request_id,
            method=raw.method,
            uri=raw.uri,
            headers=raw.requestHeaders,
            body=incoming.body,
            route=route,
            service=service,
            object_key=told.object_key,
            arrived_at=arrived_at,
            deadline=arrived_at + min(limits, default=DEFAULT_DEADLINE_S),
            urgent_route=routing.urgent_route(route, service),
            config_version=routing.version or 0,
            returned=told.deadline_s is not None
            and routing.returns.is_client_retry(route.name, told.deadline_s),
        )

    def _refusal(self, error: SteeringError) -> OutgoingAnswer:
        headers = {"Content-Type": "text/plain"}
        if error.retry_after_ms is not None:
            name, value = self.wire.retry_after_header(error.retry_after_ms / 1000)
            headers[name] = value
        text = f"{error.kind.value}: {error.message}\n"
        return OutgoingAnswer(_status(error), text.encode(), headers)

    def _forwarded(self, answer: BackendAnswer) -> OutgoingAnswer:
        headers = Headers()
        for name, values in answer.headers.getAllRawHeaders():
            if name.lower() not in OWN_HEADERS:
                headers.setRawHeaders(name, values)
        return OutgoingAnswer(answer.status, answer.body, raw_headers=headers)

    def _note(
        self,
        told: ClientHeaders | None,
        request: ClientRequest | None,
        status: int,
        arrived_at: float,
        error: SteeringError | None,
    ) -> None:
        seconds = self.clock() - arrived_at
        route = request.route.name if request else ""
        self.metrics.answered(route, status, error, seconds)
        self.decisions.answered(told, request, status, seconds, error)


def _status(error: SteeringError) -> int:
    if error.kind is ErrorKind.SUSPECT_REFUSED:
        return SUSPECT_STATUS
    return error.answer.status
