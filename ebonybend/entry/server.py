"""The caller port: look-up, requests for services, health and metrics."""

from ipaddress import AddressValueError, IPv4Address
from typing import Any, Protocol

from attrs import frozen
from twisted.internet.defer import Deferred

from ebonybend.clock import Clock
from ebonybend.entry.answers import outgoing
from ebonybend.entry.lookups import LookupAnswer
from ebonybend.entry.metrics import EntryMetrics
from ebonybend.entry.parsing import parse_request, parse_request_id
from ebonybend.entry.requests import ServedAnswer, SteeredRequest
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_server import (
    IncomingRequest,
    OutgoingAnswer,
    Router,
    error_answer,
    json_answer,
)
from ebonybend.settings import Settings

SERVICE_PREFIX = "/s/"


class Steering(Protocol):
    """What the caller port asks of the data plane."""

    async def steer(self, request: SteeredRequest) -> ServedAnswer:
        """Return the answer, or raise the error that says what is known."""
        ...


class Lookups(Protocol):
    """What the caller port asks about instances."""

    def answer(self, client: IPv4Address) -> LookupAnswer:
        """Return the instances for a client, best first."""
        ...


@frozen
class Readiness:
    """The body of /readyz."""

    ready: bool
    reason: str = ""


class CallerServer:
    """Answer callers."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        steering: Steering,
        lookups: Lookups,
        metrics: EntryMetrics,
        readiness: Any,
    ):
        self.settings = settings
        self.clock = clock
        self.steering = steering
        self.lookups = lookups
        self.metrics = metrics
        self.readiness = readiness
        self.in_flight = 0
        self.last_request_at = clock.monotonic()
        self.router = Router()
        self.router.add("GET", "/v1/lookup", self.lookup)
        self.router.add("GET", "/livez", self.livez)
        self.router.add("GET", "/readyz", self.readyz)
        self.router.add("GET", "/metrics", self.serve_metrics)

    async def handle(self, incoming: IncomingRequest) -> OutgoingAnswer:
        """Answer one request of the caller port."""
        if incoming.path.startswith(SERVICE_PREFIX):
            return await self.serve(incoming)
        return await self.router(incoming)

    async def serve(self, incoming: IncomingRequest) -> OutgoingAnswer:
        """Answer a request for a service."""
        started = self.clock.monotonic()
        self.last_request_at = started
        self.in_flight += 1
        request_id = None
        try:
            request_id = parse_request_id(incoming.header("Request-Id"))
            request = parse_request(
                incoming, SERVICE_PREFIX, self.settings, started, request_id
            )
            answer = await self._steer(incoming, request)
        except SteeringError as error:
            self.metrics.refused(error.kind)
            return error_answer(error, request_id)
        finally:
            self.in_flight -= 1
        self.metrics.answered(
            request.service, answer.region, self.clock.monotonic() - started
        )
        return outgoing(answer, request_id)

    async def _steer(
        self, incoming: IncomingRequest, request: SteeredRequest
    ) -> ServedAnswer:
        """Steer a request; a read ends when its caller disappears."""
        running = Deferred.fromCoroutine(self.steering.steer(request))

        def caller_gone(_reason: Any) -> None:
            request.caller_gone = True
            if request.idempotent:
                running.cancel()

        incoming.raw.notifyFinish().addErrback(caller_gone)
        return await running

    async def lookup(self, incoming: IncomingRequest) -> OutgoingAnswer:
        """Answer which instances a client should use."""
        text = incoming.argument("client")
        try:
            client = IPv4Address(text or incoming.raw.getClientAddress().host)
        except AddressValueError as error:
            raise SteeringError(
                ErrorKind.BAD_REQUEST, f"client is no IPv4 address: {error}"
            ) from error
        self.metrics.lookups.inc()
        return json_answer(self.lookups.answer(client))

    async def livez(self, _incoming: IncomingRequest) -> OutgoingAnswer:
        """Answer that the process runs."""
        return OutgoingAnswer(200, b"ok\n", {"Content-Type": "text/plain"})

    async def readyz(self, _incoming: IncomingRequest) -> OutgoingAnswer:
        """Answer whether callers should use this instance."""
        reason = self.readiness()
        status = 503 if reason else 200
        return json_answer(Readiness(not reason, reason), status)

    async def serve_metrics(self, _incoming: IncomingRequest) -> OutgoingAnswer:
        """Answer with the Prometheus metrics."""
        body, content_type = self.metrics.render()
        return OutgoingAnswer(200, body, {"Content-Type": content_type})
