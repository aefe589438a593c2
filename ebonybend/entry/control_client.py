"""gRPC client of this instance's control process."""

from asyncio import CancelledError, ensure_future
from collections.abc import Callable
from functools import partial
from typing import Any

from grpc import RpcError
from grpc.aio import insecure_channel
from twisted.internet.defer import Deferred, succeed

from ebonybend.codec import pack, unpack
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.logs import get_logger
from ebonybend.steering.table import (
    ClientMapRequest,
    ClientMapShard,
    EntryReport,
    NoticeReply,
    NoticeRequest,
    TableReply,
)
from ebonybend.tasks import Tasks

EXCHANGE_METHOD = "/ebonybend.Control/Exchange"
NOTICE_METHOD = "/ebonybend.Control/Notice"
CLIENT_MAP_METHOD = "/ebonybend.Control/ClientMap"
REPORT_INTERVAL_S = 0.5
EXCHANGE_TIMEOUT_S = 1.0
# The control answers a long-polling Notice call after 5 s at the latest.
NOTICE_TIMEOUT_S = 6.0
# A table of 520 nodes is larger than gRPC's default limit of 4 MB.
MAX_MESSAGE_BYTES = 64 << 20
CHANNEL_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # The default backoff grows to two minutes, which would delay the reconnection to a
    # restarted control.
    ("grpc.initial_reconnect_backoff_ms", 250),
    ("grpc.max_reconnect_backoff_ms", 1000),
)


class ControlClient:
    """Send reports to the control and apply its replies."""

    def __init__(
        self,
        reactor: Any,
        address: str,
        make_report: Callable[[], EntryReport],
        apply_reply: Callable[[TableReply], None],
    ):
        self.reactor = reactor
        self.address = address
        self.make_report = make_report
        self.apply_reply = apply_reply
        self.channel: Any = None
        self.reachable = False
        self._timer: Any = None
        self._current_report: Deferred[None] | None = None
        self._tasks = Tasks(reactor)

    def start(self) -> None:
        """Open the channel and start reporting."""
        self.channel = insecure_channel(self.address, options=CHANNEL_OPTIONS)
        self._exchange = self._rpc(EXCHANGE_METHOD, TableReply)
        self._client_map = self._rpc(CLIENT_MAP_METHOD, ClientMapShard)
        self._notice = self._rpc(NOTICE_METHOD, NoticeReply)
        self._tick()
        self._tasks.start(self._watch_notices())

    async def _watch_notices(self) -> None:
        """Long-poll for urgent notices; send a report at once for each new one.

        The reply to the report contains what is urgent; a notice is only a count.
        """
        last_notice = 0
        while not self._tasks.stopped and self.channel is not None:
            call = self._notice(NoticeRequest(last_notice), timeout=NOTICE_TIMEOUT_S)
            try:
                reply = await Deferred.fromFuture(ensure_future(_result(call)))
            except (RpcError, SteeringError):
                # The periodic report logs that the control is unreachable.
                await self._tasks.sleep(REPORT_INTERVAL_S)
                continue
            if reply.told != last_notice:
                last_notice = reply.told
                await self.report_now()

    def _rpc(self, path: str, reply: type) -> Any:
        return self.channel.unary_unary(
            path,
            request_serializer=pack,
            response_deserializer=partial(unpack, message_type=reply),
        )

    def stop(self) -> Deferred[Any]:
        """Stop reporting and close the channel."""
        self._tasks.stop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self.channel is None:
            return succeed(None)
        channel, self.channel = self.channel, None
        return Deferred.fromFuture(ensure_future(channel.close(None)))

    def _tick(self) -> None:
        self._timer = self.reactor.callLater(REPORT_INTERVAL_S, self._tick)
        if self._current_report is None:
            self._current_report = self.report_now()
            self._current_report.addBoth(self._clear_current_report)

    def _clear_current_report(self, _result: Any) -> None:
        self._current_report = None

    def report_now(self) -> Deferred[bool]:
        """Send a report at once; fires with whether the control answered it."""
        return Deferred.fromCoroutine(self._report())

    async def _report(self) -> bool:
        if self.channel is None:
            return False
        call = self._exchange(self.make_report(), timeout=EXCHANGE_TIMEOUT_S)
        try:
            reply = await Deferred.fromFuture(ensure_future(_result(call)))
        except (RpcError, SteeringError) as error:
            self._set_reachable(False, repr(error))
            return False
        self._set_reachable(True)
        self.apply_reply(reply)
        return True

    def _set_reachable(self, reachable: bool, reason: str = "") -> None:
        if reachable != self.reachable:
            self.reachable = reachable
            get_logger().info("control_reachable", reachable=reachable, reason=reason)

    async def fetch_shard(self, version: int, shard: int) -> ClientMapShard | None:
        """Return a shard of the client map, or None if the call fails."""
        request = ClientMapRequest(version, shard)
        call = self._client_map(request, timeout=EXCHANGE_TIMEOUT_S)
        try:
            return await Deferred.fromFuture(ensure_future(_result(call)))
        except (RpcError, SteeringError):
            return None


async def _result(call: Any) -> Any:
    """Await a call; raise SteeringError if the channel is closed meanwhile."""
    try:
        return await call
    except CancelledError as error:
        raise SteeringError(ErrorKind.INTERNAL, "the channel was closed") from error
