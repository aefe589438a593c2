"""Carry exchanges over HTTP with MessagePack bodies."""

from ebonybend.codec import pack, unpack
from ebonybend.errors import SteeringError
from ebonybend.http_client import HttpClient, RequestFailed
from ebonybend.http_server import IncomingRequest, OutgoingAnswer
from ebonybend.peers.exchange import PeerExchange
from ebonybend.peers.records import ExchangeReply, ExchangeRequest

EXCHANGE_PATH = "/peer/exchange"
# Three round trips between the most distant regions, and some load.
EXCHANGE_TIMEOUT_S = 1.0
MAX_EXCHANGE_BYTES = 8 << 20
HEADERS = {"Content-Type": "application/msgpack"}


class HttpPeers:
    """Send exchanges to the peer port of other controls."""

    def __init__(self, http: HttpClient):
        self.http = http
        # Bytes of bodies since the start, for metrics.
        self.sent_bytes = 0
        self.received_bytes = 0

    async def send(
        self, address: str, request: ExchangeRequest
    ) -> ExchangeReply | None:
        """Return the reply, or None when there was none."""
        body = pack(request)
        self.sent_bytes += len(body)
        try:
            answer = await self.http.request(
                "POST",
                address,
                EXCHANGE_PATH,
                HEADERS,
                body,
                EXCHANGE_TIMEOUT_S,
                MAX_EXCHANGE_BYTES,
            )
            self.received_bytes += len(answer.body)
            return unpack(answer.body, ExchangeReply) if answer.status == 200 else None
        except (RequestFailed, SteeringError):
            return None


class ExchangeServer:
    """Answer the exchanges of other controls."""

    def __init__(self, exchange: PeerExchange):
        self.exchange = exchange

    async def handle(self, request: IncomingRequest) -> OutgoingAnswer:
        """Answer POST /peer/exchange."""
        reply = self.exchange.answer(unpack(request.body, ExchangeRequest))
        return OutgoingAnswer(200, pack(reply), HEADERS)
