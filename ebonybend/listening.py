"""Open listening ports."""

from typing import Any

from twisted.internet.error import CannotListenError

from ebonybend.addresses import split_address
from ebonybend.errors import bad_setting
from ebonybend.http_server import HttpSite

LISTEN_BACKLOG = 1024


def listen(reactor: Any, flag: str, address: str, site: HttpSite) -> Any:
    """Open a listening port; raise BAD_SETTING with the flag's name if that fails."""
    host, port = split_address(address)
    try:
        return reactor.listenTCP(port, site, backlog=LISTEN_BACKLOG, interface=host)
    except CannotListenError as error:
        reason = f"can't listen: {error.socketError}"
        raise bad_setting(flag, address, reason) from error
