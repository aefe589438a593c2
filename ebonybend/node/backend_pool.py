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

from ebonybend.node.answer_memory import AnswerMemory
from ebonybend.node.backend_connection import ACK_TIMEOUT_MS, BackendConnection
from ebonybend.sockets import enable_dead_peer_detection
from ebonybend.steering.closures import Closures
from ebonybend.world import BackendServer

# Longest idle time after which a connection is reused. Servers that state no idle
# timeout commonly close after 5 s.
MAX_IDLE_S = 4.0
# Fraction of a stated idle timeout for which a connection is reused; the rest covers
# the latency to the server.
IDLE_TIMEOUT_FRACTION = 0.6
# Longest idle time for a request that isn't idempotent, which can't be retried if the
# server closes the connection.
MAX_IDLE_NON_IDEMPOTENT_S = 2.0
# A server that closes a connection which was idle for longer may have an idle timeout
# that it doesn't state.
RECENT_USE_S = 0.3
# Several round trips between regions.
CONNECT_TIMEOUT_S = 0.6

# Name, address and start time; a server may restart under its name, also at another
# address.
ProcessKey = tuple[str, str, int]


def process_key(server: BackendServer) -> ProcessKey:
    """Return the key that identifies one process of a server."""
    return server.name, server.address, server.started_ms


class BackendUnreachable(Exception):
    """No connection could be used, so nothing was sent."""

    def __init__(self, message: str, refused: bool, counts_as_failure: bool = True):
        super().__init__(message)
        # Whether the failure counts against the server.
        self.counts_as_failure = counts_as_failure
        # Whether the address refused the connection, so no server listens on it.
        self.refused = refused


class BackendPool:
    """Idle connections by server; the most recently used is acquired first."""

    def __init__(
        self,
        reactor: Any,
        request_id_header: bytes,
        memory: AnswerMemory | None = None,
    ):
        self.reactor = reactor
        self.request_id_header = request_id_header
        self.memory = memory or AnswerMemory()
        self.idle: dict[ProcessKey, list[BackendConnection]] = {}
        self.open: dict[ProcessKey, set[BackendConnection]] = {}
        self.closures = Closures()
        # Called with a server that closed a connection in use.
        self.on_lost: Callable[[BackendServer], None] = lambda _: None
        self.connections_opened = 0

    def acquire(
        self, server: BackendServer, non_idempotent: bool
    ) -> BackendConnection | None:
        """Return an idle connection, or None."""
        connections = self.idle.get(process_key(server))
        now = self.reactor.seconds()
        while connections:
            connection = connections.pop()
            if not connection.usable:
                continue
            if now - connection.idle_since <= _max_idle_s(connection, non_idempotent):
                return connection
            connection.close()
        return None

    async def connect(self, server: BackendServer) -> BackendConnection:
        """Open a connection; raise BackendUnreachable on failure."""
        host, _, port = server.address.rpartition(":")
        endpoint = TCP4ClientEndpoint(self.reactor, host, int(port), CONNECT_TIMEOUT_S)
        factory = Factory.forProtocol(BackendConnection)
        factory.protocol = lambda: BackendConnection(
            self.request_id_header,
            self._release_callback(process_key(server)),
            self.reactor.seconds,
            self.memory,
            lambda *ended: self._record_end(server, *ended),
        )
        connecting: Deferred[BackendConnection] = endpoint.connect(factory)
        try:
            connection = await connecting
        except ConnectionRefusedError as error:
            raise BackendUnreachable(str(error), True) from error
        except ConnectingCancelledError as error:
            # The endpoint reports a cancelled attempt as an error of its own.
            raise CancelledError from error
        except (ConnectError, OSError) as error:
            raise BackendUnreachable(str(error), False) from error
        self.connections_opened += 1
        self.open.setdefault(process_key(server), set()).add(connection)
        connection.transport.setTcpNoDelay(True)
        enable_dead_peer_detection(connection.transport, ACK_TIMEOUT_MS)
        return connection

    def _record_end(
        self,
        server: BackendServer,
        connection: BackendConnection,
        by_server: bool,
        was_waiting: bool,
    ) -> None:
        """Record that a connection has ended, which the server may have closed."""
        process, now = process_key(server), self.reactor.seconds()
        connections = self.open.get(process, set())
        connections.discard(connection)
        if not connections:
            self.open.pop(process, None)
        if not by_server:
            return
        is_recent = now - connection.idle_since < RECENT_USE_S
        was_used = was_waiting or (connection.requests > 0 and is_recent)
        self.closures.record(process, now, was_used, is_last=not connections)
        if was_used:
            self.on_lost(server)

    def closed_all_alone(self, server: BackendServer) -> float | None:
        """Return when a server closed all its connections, if no other one did."""
        return self.closures.closed_all_alone(process_key(server))

    def add_idle(self, server: BackendServer, connection: BackendConnection) -> None:
        """Keep a new connection for the next request to its server."""
        self._release_callback(process_key(server))(connection)

    def _release_callback(
        self, process: ProcessKey
    ) -> Callable[[BackendConnection], None]:
        def release(connection: BackendConnection) -> None:
            connection.idle_since = self.reactor.seconds()
            self.idle.setdefault(process, []).append(connection)

        return release

    def retain(self, servers: Iterable[BackendServer]) -> None:
        """Close the idle connections to all other servers."""
        used = {process_key(server) for server in servers}
        for process in self.idle.keys() - used:
            for connection in self.idle.pop(process):
                connection.close()

    def close_expired(self) -> None:
        """Close the connections that were idle for too long."""
        now = self.reactor.seconds()
        for process, connections in self.idle.items():
            reusable = []
            for connection in connections:
                if not connection.usable:
                    continue
                if now - connection.idle_since <= _max_idle_s(connection, False):
                    reusable.append(connection)
                else:
                    connection.close()
            self.idle[process] = reusable


def _max_idle_s(connection: BackendConnection, non_idempotent: bool) -> float:
    max_idle_s = MAX_IDLE_NON_IDEMPOTENT_S if non_idempotent else MAX_IDLE_S
    if connection.keep_alive_s is None:
        return max_idle_s
    return min(max_idle_s, connection.keep_alive_s * IDLE_TIMEOUT_FRACTION)
