"""Serve the entry process over gRPC on the asyncio loop of twisted's reactor."""

from asyncio import ensure_future, get_running_loop
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

from grpc import method_handlers_generic_handler, unary_unary_rpc_method_handler
from grpc.aio import server
from twisted.internet.defer import Deferred

from ebonybend.codec import pack, unpack
from ebonybend.errors import bad_setting
from ebonybend.steering.table import (
    ClientMapRequest,
    ClientMapShard,
    EntryReport,
    NoticeReply,
    NoticeRequest,
    TableReply,
)

SERVICE = "ebonybend.Control"
# A table of 520 nodes is larger than gRPC's default limit of 4 MB.
MAX_MESSAGE_BYTES = 64 << 20
SERVER_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # A second control on the same address must fail instead of sharing the calls.
    ("grpc.so_reuseport", 0),
)

ExchangeHandler = Callable[[EntryReport], Awaitable[TableReply]]
NoticeHandler = Callable[[NoticeRequest], Awaitable[NoticeReply]]
ClientMapHandler = Callable[[ClientMapRequest], Awaitable[ClientMapShard]]


class EntryServer:
    """Serve ebonybend.Control over gRPC; the handlers are coroutines on Deferreds."""

    def __init__(
        self,
        address: str,
        exchange: ExchangeHandler,
        notice: NoticeHandler,
        client_map: ClientMapHandler,
    ):
        self.address = address
        self.exchange = exchange
        self.notice = notice
        self.client_map = client_map
        self.server: Any = None

    async def start(self) -> None:
        """Listen; raise BAD_SETTING if the address is in use."""
        self.server = server(options=SERVER_OPTIONS)
        handlers = {
            "Exchange": _grpc_handler(self.exchange, EntryReport),
            "Notice": _grpc_handler(self.notice, NoticeRequest),
            "ClientMap": _grpc_handler(self.client_map, ClientMapRequest),
        }
        self.server.add_generic_rpc_handlers(
            (method_handlers_generic_handler(SERVICE, handlers),)
        )
        try:
            self.server.add_insecure_port(self.address)
        except RuntimeError as error:
            raise bad_setting("control_listen", self.address, str(error)) from error
        await Deferred.fromFuture(ensure_future(self.server.start()))

    async def stop(self) -> None:
        """Stop listening and end the running calls."""
        if self.server is not None:
            await Deferred.fromFuture(ensure_future(self.server.stop(0.1)))


def _grpc_handler(function: Callable[[Any], Awaitable[Any]], message_type: type) -> Any:
    async def call(request: Any, context: Any) -> Any:
        result = Deferred.fromCoroutine(function(request))
        return await result.asFuture(get_running_loop())

    return unary_unary_rpc_method_handler(
        call,
        request_deserializer=partial(unpack, message_type=message_type),
        response_serializer=pack,
    )
