"""Monitor whether a target accepts connections; if not, its listener refuses them."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol

from ebonybend.addresses import split_address

RETRY_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 5.0


class _IdleConnection(Protocol):
    """A connection that stays open and idle while the target runs."""

    def connectionMade(self) -> None:
        self.factory.monitor.handle_connect(self.transport)

    def connectionLost(self, reason: Any = None) -> None:
        self.factory.monitor.handle_disconnect()


class _IdleConnectionFactory(ClientFactory):
    """Open the idle connection and report a failed attempt."""

    noisy = False
    protocol = _IdleConnection

    def __init__(self, monitor: "TargetMonitor"):
        self.monitor = monitor

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.monitor.handle_connect_failure()


class TargetMonitor:
    """Keep one idle connection to a target and report when it opens or closes.

    A proxy that accepts a connection which the target then refuses turns a refused
    connection into a lost one, and clients handle these two differently.
    """

    def __init__(self, reactor: Any, target: str, on_change: Callable[[bool], None]):
        self.reactor = reactor
        self.target = target
        self.on_change = on_change
        self.stopped = False
        self.transport: Any = None
        self.connect()

    def connect(self) -> None:
        """Try to open the idle connection."""
        if self.stopped:
            return
        host, port = split_address(self.target)
        factory = _IdleConnectionFactory(self)
        self.reactor.connectTCP(host, port, factory, timeout=CONNECT_TIMEOUT_S)

    def handle_connect(self, transport: Any) -> None:
        """Report that the target accepts connections."""
        self.transport = transport
        if self.stopped:
            transport.abortConnection()
            return
        self.on_change(True)

    def handle_disconnect(self) -> None:
        """Reconnect; only a failed attempt means that the target is down."""
        self.transport = None
        self.connect()

    def handle_connect_failure(self) -> None:
        """Report that the target refuses connections; retry later."""
        if self.stopped:
            return
        self.on_change(False)
        self.reactor.callLater(RETRY_DELAY_S, self.connect)

    def stop(self) -> None:
        """Close the idle connection and stop reconnecting."""
        self.stopped = True
        if self.transport is not None:
            self.transport.abortConnection()
