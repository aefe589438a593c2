"""Open and close listening ports."""

from typing import Any

from twisted.internet.defer import maybeDeferred
from twisted.internet.error import CannotListenError
from twisted.internet.task import deferLater

from ebonybend.addresses import split_address
from ebonybend.errors import bad_setting
from ebonybend.http_server import HttpSite
from ebonybend.logs import get_logger
from ebonybend.sockets import drop_new_connections

# Connections that the kernel keeps until the process accepts them.
LISTEN_BACKLOG = 1024
# Time to complete the connections that are being opened: a round trip between regions
# and to the client.
HANDSHAKE_S = 0.2


def listen(reactor: Any, flag: str, address: str, site: HttpSite) -> Any:
    """Open a listening port; raise BAD_SETTING with the flag's name if that fails."""
    host, port = split_address(address)
    try:
        return reactor.listenTCP(port, site, backlog=LISTEN_BACKLOG, interface=host)
    except CannotListenError as error:
        reason = f"can't listen: {error.socketError}"
        raise bad_setting(flag, address, reason) from error


async def close_port(reactor: Any, port: Any) -> None:
    """Close a listening port after accepting all connections that were opened to it.

    The close would reset them, and their clients may have sent requests.
    """
    try:
        drop_new_connections(port.socket)
    except OSError as error:
        get_logger().info("new_connections_not_dropped", error=str(error))
    else:
        await deferLater(reactor, HANDSHAKE_S)
    # A port accepts only as many connections in one call as it did in the last one.
    port.numberAccepts = LISTEN_BACKLOG
    port.doRead()
    await maybeDeferred(port.stopListening)
