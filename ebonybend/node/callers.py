"""The port for clients: find the route of a request and forward it."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.web.http_headers import Headers

from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_answers import IncomingRequest, OutgoingAnswer
from ebonybend.node.backend_connection import BackendAnswer
from ebonybend.node.caller_requests import ClientRequest
from ebonybend.node.decisions import RequestLog
from ebonybend.node.forwarder import Forwarder
from ebonybend.node.metrics import NodeMetrics
from ebonybend.node.request_encoding import NOT_FORWARDED_HEADERS
from ebonybend.node.routing_state import RoutingState
from ebonybend.node.wire import ClientHeaders, WireFormat

# Deadline of a request that states none and whose route has no timeout.
DEFAULT_DEADLINE_S = 10.0
# Retry delay sent while the node starts; it usually has read the store by then.
NOT_READY_RETRY_MS = 300
# A status that allows a retry, because a harmless request may match a suspect one.
SUSPECT_STATUS = 503
# Answer headers that the node's own HTTP server writes.
NODE_HEADERS = NOT_FORWARDED_HEADERS | {b"date", b"server"}


class ClientPort:
    """Handle client requests."""

    def __init__(
        self,
        routing: RoutingState,
        forwarder: Forwarder,
        wire: WireFormat,
        clock: Callable[[], float],
        metrics: NodeMetrics,
        request_log: RequestLog,
        is_synchronised: Callable[[], bool],
    ):
        self.routing = routing
        self.forwarder = forwarder
        self.wire = wire
        self.clock = clock
        self.metrics = metrics
        self.request_log = request_log
        self.is_synchronised = is_synchronised

    async def handle(self, incoming: IncomingRequest) -> OutgoingAnswer:
        """Answer one request."""
        received_at = incoming.received_at
        arrived_at = self.clock() if received_at is None else received_at
        client_headers = self.wire.read_client_headers(incoming.raw.requestHeaders)
        request: ClientRequest | None = None
        try:
            if client_headers is None:
                raise SteeringError(
                    ErrorKind.BAD_REQUEST, "no request id, or the deadline is no number"
                )
            request = self._build_request(incoming, client_headers, arrived_at)
            answer = await self.forwarder.forward(request)
        except SteeringError as error:
            self._record_outcome(
                client_headers, request, _http_status(error), arrived_at, error
            )
            return self._error_answer(error)
        except CancelledError:
            self._record_outcome(client_headers, request, 0, arrived_at, None)
            raise
        self._record_outcome(client_headers, request, answer.status, arrived_at, None)
        return self._client_answer(answer)

    def _build_request(
        self,
        incoming: IncomingRequest,
        client_headers: ClientHeaders,
        arrived_at: float,
    ) -> ClientRequest:
        routing = self.routing
        if not self.is_synchronised():
            raise SteeringError(
                ErrorKind.NOT_READY, "the store is not read yet", NOT_READY_RETRY_MS
            )
        raw: Any = incoming.raw
        host = (raw.requestHeaders.getRawHeaders(b"Host") or [b""])[0]
        name = host.decode("latin-1").partition(":")[0]
        route = routing.find(name, incoming.path)
        if route is None:
            raise SteeringError(ErrorKind.UNKNOWN_PATH, "no route for host and path")
        service = routing.part_chooser.choose(route).service
        time_limits = [s for s in (client_headers.deadline_s, route.timeout_s) if s]
        return ClientRequest(
            request_id=client_headers.request_id,
            method=raw.method,
            uri=raw.uri,
            headers=raw.requestHeaders,
            body=incoming.body,
            route=route,
            service=service,
            object_key=client_headers.object_key,
            arrived_at=arrived_at,
            deadline=arrived_at + min(time_limits, default=DEFAULT_DEADLINE_S),
            urgent_route=routing.urgent_route(route, service),
            caller=raw.getClientAddress().host,
            config_version=routing.version or 0,
            is_client_retry=client_headers.deadline_s is not None
            and routing.client_retry_detector.is_client_retry(
                route.name, client_headers.deadline_s
            ),
        )

    def _error_answer(self, error: SteeringError) -> OutgoingAnswer:
        headers = {"Content-Type": "text/plain"}
        if error.retry_after_ms is not None:
            name, value = self.wire.retry_after_header(error.retry_after_ms / 1000)
            headers[name] = value
        text = f"{error.kind.value}: {error.message}\n"
        return OutgoingAnswer(_http_status(error), text.encode(), headers)

    def _client_answer(self, answer: BackendAnswer) -> OutgoingAnswer:
        headers = Headers()
        for name, values in answer.headers.getAllRawHeaders():
            if name.lower() not in NODE_HEADERS:
                headers.setRawHeaders(name, values)
        return OutgoingAnswer(answer.status, answer.body, raw_headers=headers)

    def _record_outcome(
        self,
        client_headers: ClientHeaders | None,
        request: ClientRequest | None,
        status: int,
        arrived_at: float,
        error: SteeringError | None,
    ) -> None:
        seconds = self.clock() - arrived_at
        route = request.route.name if request else ""
        self.metrics.record_outcome(route, status, error, seconds)
        self.request_log.record_outcome(client_headers, request, status, seconds, error)


def _http_status(error: SteeringError) -> int:
    if error.kind is ErrorKind.SUSPECT_REFUSED:
        return SUSPECT_STATUS
    return error.answer.status
