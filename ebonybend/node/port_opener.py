"""Open the ports of a node; try again while an address is in use.

Another process may have a port for a while: one that is ending, or one whose outgoing
connection got the number. A node that ended for that would be started again into the
same state.
"""

from collections.abc import Callable
from typing import Any

from attrs import define
from twisted.internet.error import CannotListenError

from ebonybend.addresses import split_address
from ebonybend.listening import LISTEN_BACKLOG
from ebonybend.logs import get_logger
from ebonybend.tasks import Timers

RETRY_PERIOD_S = 0.1
# Time between two lines about the same port.
LINE_PERIOD_S = 5.0


@define
class _ClosedPort:
    """A port that isn't open yet."""

    address: str
    open: Callable[[], Any]
    # Whether clients, servers or other nodes need it.
    is_required: bool
    # Time of the last log line, None before the first.
    logged_at: float | None = None


class PortOpener:
    """The ports of a node that are not open yet."""

    def __init__(self, reactor: Any, timers: Timers):
        self.reactor = reactor
        self.timers = timers
        self.closed: list[_ClosedPort] = []
        # Open TCP ports by address.
        self.tcp_ports: dict[str, Any] = {}
        self.is_stopped = False

    def add_tcp(self, address: str, factory: Any, is_required: bool = True) -> None:
        """Add a port for connections."""
        host, number = split_address(address)

        def open_port() -> None:
            self.tcp_ports[address] = self.reactor.listenTCP(
                number, factory, backlog=LISTEN_BACKLOG, interface=host
            )

        self.closed.append(_ClosedPort(f"tcp {address}", open_port, is_required))

    def add_udp(self, address: str, protocol: Any) -> None:
        """Add a port for datagrams."""
        host, number = split_address(address)

        def open_port() -> None:
            self.reactor.listenUDP(number, protocol, interface=host)

        self.closed.append(_ClosedPort(f"udp {address}", open_port, True))

    def is_complete(self) -> bool:
        """Return whether all required ports are open."""
        return not any(port.is_required for port in self.closed)

    def open(self) -> None:
        """Open the ports, and try again later where an address is in use."""
        if self.is_stopped:
            return
        self.closed = [port for port in self.closed if not self._try_open(port)]
        if self.closed:
            self.timers.callLater(RETRY_PERIOD_S, self.open)

    def stop(self) -> None:
        """Open no more ports."""
        self.is_stopped = True

    def _try_open(self, port: _ClosedPort) -> bool:
        try:
            port.open()
        except CannotListenError as error:
            now = self.timers.seconds()
            if port.logged_at is None or now - port.logged_at >= LINE_PERIOD_S:
                port.logged_at = now
                get_logger().warning(
                    "port_not_open",
                    address=port.address,
                    required=port.is_required,
                    error=str(error.socketError),
                )
            return False
        if port.logged_at is not None:
            get_logger().info("port_open", address=port.address)
        return True
