"""Open and close listening ports."""

from typing import Any

from twisted.internet.error import CannotListenError

from ebonybend.addresses import split_address
from ebonybend.errors import bad_setting
from ebonybend.http_server import HttpSite

# Connections that the kernel keeps until the process accepts them.
LISTEN_BACKLOG = 1024


def listen(reactor: Any, flag: str, address: str, site: HttpSite) -> Any:
    """Open a listening port; raise BAD_SETTING with the flag's name if that fails."""
    host, port = split_address(address)
    try:
        return reactor.listenTCP(port, site, backlog=LISTEN_BACKLOG, interface=host)
    except CannotListenError as error:
        reason = f"can't listen: {error.socketError}"
        raise bad_setting(flag, address, reason) from error


def close_port(port: Any) -> Any:
    """Accept the connections that wait in the kernel, then close a listening port.

    Closing the port would reset them, and their clients may have sent requests. The
    result is that of `stopListening`.
    """
    # A port accepts only as many connections in one call as it did in the last one.
    port.numberAccepts = LISTEN_BACKLOG
    port.doRead()
    return port.stopListening()
