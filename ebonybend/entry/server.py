"""The client port: lookups, service requests, health checks and metrics."""

from collections.abc import Callable
from ipaddress import AddressValueError, IPv4Address

from attrs import frozen

from ebonybend.entry.lookups import InstanceLookups
from ebonybend.entry.metrics import EntryMetrics
from ebonybend.entry.serving import RequestPort
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_answers import IncomingRequest, OutgoingAnswer, json_answer
from ebonybend.http_router import Router

SERVICE_PREFIX = "/s/"


@frozen
class Readiness:
    """The body of /readyz."""

    ready: bool
    # Why the instance is not ready, or an empty text.
    reason: str = ""


class ClientServer:
    """Answer the requests of clients."""

    def __init__(
        self,
        requests: RequestPort,
        lookups: InstanceLookups,
        metrics: EntryMetrics,
        not_ready_reason: Callable[[], str],
        refresh_gauges: Callable[[], None],
    ):
        self.requests = requests
        self.lookups = lookups
        self.metrics = metrics
        self.not_ready_reason = not_ready_reason
        self.refresh_gauges = refresh_gauges
        self.router = Router()
        self.router.add("GET", "/v1/lookup", self.lookup)
        self.router.add("GET", "/livez", self.livez)
        self.router.add("GET", "/readyz", self.readyz)
        self.router.add("GET", "/metrics", self.serve_metrics)

    async def handle(self, incoming: IncomingRequest) -> OutgoingAnswer:
        """Answer one request of the client port."""
        if incoming.path.startswith(SERVICE_PREFIX):
            return await self.requests.serve(incoming)
        return await self.router(incoming)

    async def lookup(self, incoming: IncomingRequest) -> OutgoingAnswer:
        """Answer with the instances that a client should use."""
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
        """Answer the liveness probe."""
        return OutgoingAnswer(200, b"ok\n", {"Content-Type": "text/plain"})

    async def readyz(self, _incoming: IncomingRequest) -> OutgoingAnswer:
        """Answer the readiness probe: 503 if clients should use another instance."""
        reason = self.not_ready_reason()
        status = 503 if reason else 200
        return json_answer(Readiness(not reason, reason), status)

    async def serve_metrics(self, _incoming: IncomingRequest) -> OutgoingAnswer:
        """Answer with the Prometheus metrics."""
        self.refresh_gauges()
        body, content_type = self.metrics.render()
        return OutgoingAnswer(200, body, {"Content-Type": content_type})
