"""Open the listening ports of the control process."""

from typing import Any

from twisted.internet.error import CannotListenError

from ebonybend.addresses import split_address
from ebonybend.errors import bad_setting
from ebonybend.http_server import HttpSite


def listen(reactor: Any, flag: str, address: str, site: HttpSite) -> Any:
    """Return a listening port; raise BAD_SETTING with the flag if that fails."""
    host, port = split_address(address)
    try:
        return reactor.listenTCP(port, site, backlog=1024, interface=host)
    except CannotListenError as error:
        raise bad_setting(
            flag, address, f"can't listen: {error.socketError}"
        ) from error
