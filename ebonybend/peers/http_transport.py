"""Send and answer exchanges over HTTP with MessagePack bodies."""

from collections.abc import Awaitable, Callable
from urllib.parse import quote

from ebonybend.codec import pack, unpack
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_answers import IncomingRequest, OutgoingAnswer
from ebonybend.http_client import HttpClient, RequestFailed
from ebonybend.http_router import Router
from ebonybend.peers.exchange import PeerExchange
from ebonybend.peers.records import ExchangeReply, ExchangeRequest, ShardVersion

EXCHANGE_PATH = "/peer/exchange"
SHARD_PATH = "/peer/clientmap"
# Enough for three round trips between the most distant regions under some load.
EXCHANGE_TIMEOUT_S = 1.0
MAX_EXCHANGE_BYTES = 8 << 20
# A shard is below 1 MB; another region sends it at a few MB/s.
SHARD_TIMEOUT_S = 5.0
CONTENT_TYPE = "application/msgpack"
MSGPACK_HEADERS = {"Content-Type": CONTENT_TYPE}


class HttpPeerTransport:
    """Send exchanges to the peer ports of other controls."""

    def __init__(self, http: HttpClient):
        self.http = http
        # Bytes of bodies since the start, for metrics.
        self.peer_bytes_sent = 0
        self.peer_bytes_received = 0

    async def send(
        self, address: str, request: ExchangeRequest
    ) -> ExchangeReply | None:
        """Return the reply, or None if there was none."""
        body = pack(request)
        answer = await self._request(
            "POST", address, EXCHANGE_PATH, body, EXCHANGE_TIMEOUT_S
        )
        if answer is None:
            return None
        try:
            return unpack(answer, ExchangeReply)
        except SteeringError:
            return None

    async def fetch_shard(self, address: str, shard: ShardVersion) -> bytes | None:
        """Return a shard of the client map, or None if the peer doesn't have it."""
        name = quote(shard.name, safe="")
        path = f"{SHARD_PATH}?name={name}&version={shard.version}"
        return await self._request("GET", address, path, b"", SHARD_TIMEOUT_S)

    async def _request(
        self, method: str, address: str, path: str, body: bytes, timeout_s: float
    ) -> bytes | None:
        self.peer_bytes_sent += len(body)
        headers = MSGPACK_HEADERS if body else {}
        try:
            answer = await self.http.request(
                method, address, path, headers, body, timeout_s, MAX_EXCHANGE_BYTES
            )
        except RequestFailed:
            return None
        self.peer_bytes_received += len(answer.body)
        return answer.body if answer.status == 200 else None


class ExchangeServer:
    """Answer the exchanges of other controls."""

    def __init__(
        self,
        exchange: PeerExchange,
        find_shard: Callable[[str, int], bytes | None],
        wait_until_informed: Callable[[], Awaitable[None]],
    ):
        self.exchange = exchange
        # Returns once the local entry process has the exchange's suspects.
        self.wait_until_informed = wait_until_informed
        # Returns a shard of the client map by name and version.
        self.find_shard = find_shard
        self.router = Router()
        self.router.add("POST", EXCHANGE_PATH, self.answer_exchange)
        self.router.add("GET", SHARD_PATH, self.answer_shard)

    async def answer_shard(self, request: IncomingRequest) -> OutgoingAnswer:
        """Answer GET /peer/clientmap?name=&version=."""
        version = request.argument("version") or ""
        body = None
        if version.isascii() and version.isdigit():
            body = self.find_shard(request.argument("name") or "", int(version))
        if body is None:
            raise SteeringError(ErrorKind.UNKNOWN_PATH, "no such shard here")
        return OutgoingAnswer(200, body, MSGPACK_HEADERS)

    async def answer_exchange(self, request: IncomingRequest) -> OutgoingAnswer:
        """Answer POST /peer/exchange."""
        reply = self.exchange.answer(unpack(request.body, ExchangeRequest))
        await self.wait_until_informed()
        return OutgoingAnswer(200, pack(reply), MSGPACK_HEADERS)
