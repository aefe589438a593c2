"""Watch whether a target accepts connections, so that its listener can refuse."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol

from ebonybend.addresses import split_address

RETRY_S = 0.05
CONNECT_TIMEOUT_S = 5.0


class _Idle(Protocol):
    """A connection that stays idle while the target lives."""

    def connectionMade(self) -> None:
        self.factory.watch.connected(self.transport)

    def connectionLost(self, reason: Any = None) -> None:
        self.factory.watch.lost()


class _IdleFactory(ClientFactory):
    """Make the idle connection and report when it fails."""

    noisy = False
    protocol = _Idle

    def __init__(self, watch: "TargetWatch"):
        self.watch = watch

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.watch.failed()


class TargetWatch:
    """Keep one idle connection to a target and report when it opens or closes.

    A proxy that accepts a connection before it knows that the target refuses it
    would turn a refused connection into a lost one, and callers conclude different
    things from the two.
    """

    def __init__(self, reactor: Any, target: str, changed: Callable[[bool], None]):
        self.reactor = reactor
        self.target = target
        self.changed = changed
        self.stopped = False
        self.transport: Any = None
        self.connect()

    def connect(self) -> None:
        """Try to open the idle connection."""
        if self.stopped:
            return
        host, port = split_address(self.target)
        factory = _IdleFactory(self)
        self.reactor.connectTCP(host, port, factory, timeout=CONNECT_TIMEOUT_S)

    def connected(self, transport: Any) -> None:
        """Note that the target accepts connections."""
        self.transport = transport
        if self.stopped:
            transport.abortConnection()
            return
        self.changed(True)

    def lost(self) -> None:
        """Find out whether the target is gone or only closed an idle connection."""
        self.transport = None
        self.connect()

    def failed(self) -> None:
        """Note that the target refuses connections; try again later."""
        if self.stopped:
            return
        self.changed(False)
        self.reactor.callLater(RETRY_S, self.connect)

    def stop(self) -> None:
        """Close the idle connection."""
        self.stopped = True
        if self.transport is not None:
            self.transport.abortConnection()
