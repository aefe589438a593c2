"""Pool of idle connections to backend servers."""

from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionRefusedError,
)
from twisted.internet.protocol import Factory

from ebonybend.node.backend_connection import SILENT_AFTER_MS, BackendConnection
from ebonybend.sockets import detect_silence
from ebonybend.world import BackendServer

# Longest idle time after which a connection is reused. Servers that state no idle
# timeout commonly close after 5 s.
MOST_IDLE_S = 4.0
# Fraction of a stated idle timeout for which a connection is reused; the rest covers
# the latency to the server.
IDLE_PART = 0.6
# The same for a request that isn't idempotent, since it can't be retried when the
# server closes the connection.
MOST_IDLE_SINGLE_S = 2.0
# Several round trips between regions.
CONNECT_TIMEOUT_S = 0.6


# Name, address and start time; a server may restart under its name, also at another
# address.
Process = tuple[str, str, int]


def process_of(server: BackendServer) -> Process:
    """Return the key that identifies one process of a server."""
    return server.name, server.address, server.started_ms


class Unreachable(Exception):
    """No connection could be used, so nothing was sent."""

    def __init__(self, message: str, refused: bool, at_fault: bool = True):
        super().__init__(message)
        # Whether the failure counts against the server.
        self.at_fault = at_fault
        # Whether the address refused the connection, so no server listens on it.
        self.refused = refused


class BackendPool:
    """Idle connections by server; the most recently used is acquired first."""

    def __init__(self, reactor: Any, request_id_header: bytes):
        self.reactor = reactor
        self.request_id_header = request_id_header
        self.idle: dict[Process, list[BackendConnection]] = {}
        self.opened = 0

    def take(self, server: BackendServer, single: bool) -> BackendConnection | None:
        """Return an idle connection, or None."""
        kept = self.idle.get(process_of(server))
        now = self.reactor.seconds()
        while kept:
            connection = kept.pop()
            if not connection.usable:
                continue
            if now - connection.idle_since <= _most_idle_s(connection, single):
                return connection
            connection.close()
        return None

    async def connect(self, server: BackendServer) -> BackendConnection:
        """Open a connection; raise Unreachable on failure."""
        host, _, port = server.address.rpartition(":")
        endpoint = TCP4ClientEndpoint(self.reactor, host, int(port), CONNECT_TIMEOUT_S)
        factory = Factory.forProtocol(BackendConnection)
        factory.protocol = lambda: BackendConnection(
            self.request_id_header,
            self._returner(process_of(server)),
            self.reactor.seconds,
        )
        connecting: Deferred[BackendConnection] = endpoint.connect(factory)
        try:
            connection = await connecting
        except ConnectionRefusedError as error:
            raise Unreachable(str(error), True) from error
        except ConnectingCancelledError as error:
            # The endpoint reports a cancelled attempt as an error of its own.
            raise CancelledError from error
        except (ConnectError, OSError) as error:
            raise Unreachable(str(error), False) from error
        self.opened += 1
        connection.transport.setTcpNoDelay(True)
        detect_silence(connection.transport, SILENT_AFTER_MS)
        return connection

    def _returner(self, process: Process) -> Callable[[BackendConnection], None]:
        def keep(connection: BackendConnection) -> None:
            connection.idle_since = self.reactor.seconds()
            self.idle.setdefault(process, []).append(connection)

        return keep

    def retain(self, servers: Iterable[BackendServer]) -> None:
        """Close the idle connections to all other servers."""
        kept = {process_of(server) for server in servers}
        for process in self.idle.keys() - kept:
            for connection in self.idle.pop(process):
                connection.close()

    def sweep(self) -> None:
        """Close the connections that were idle for too long."""
        now = self.reactor.seconds()
        for process, kept in self.idle.items():
            fresh = []
            for connection in kept:
                if not connection.usable:
                    continue
                if now - connection.idle_since <= _most_idle_s(connection, False):
                    fresh.append(connection)
                else:
                    connection.close()
            self.idle[process] = fresh


def _most_idle_s(connection: BackendConnection, single: bool) -> float:
    most = MOST_IDLE_SINGLE_S if single else MOST_IDLE_S
    if connection.keep_s is None:
        return most
    return min(most, connection.keep_s * IDLE_PART)
