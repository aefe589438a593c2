from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from ebonybend.node.backend_connection import BackendConnection
from ebonybend.node.backend_pool import RECENT_USE_S, BackendPool, process_key
from ebonybend.world import BackendServer

SERVER = BackendServer("s1", "s", "a-1", "10.0.0.1:80", 4)
ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nContent-Length: 0\r\n\r\n"


class LostConnectionTest(TestWithScenarios, TestCase):
    """Guards against a server's idle timeout that is taken for its end."""

    scenarios = [
        ("in use", {"connections": 2, "waits": True, "lost": 2, "closed_all": True}),
        ("just used", {"connections": 2, "lost": 2, "closed_all": True}),
        ("idle", {"connections": 2, "idle_s": 2 * RECENT_USE_S, "lost": 0}),
        ("a single one", {"connections": 1, "lost": 1}),
        ("never used", {"connections": 2, "uses": False, "lost": 0}),
    ]
    waits = False
    uses = True
    idle_s = 0.0
    closed_all = False

    def test_closed_by_the_server(self):
        clock, lost = Clock(), []
        clock.advance(100.0)
        pool = BackendPool(clock, b"Request-Id")
        pool.on_lost = lost.append
        connections = [self.open(pool, clock) for _ in range(self.connections)]
        clock.advance(self.idle_s)
        for connection in connections:
            connection.connectionLost(Failure(ConnectionDone()))
        self.assertEqual([SERVER] * self.lost, lost)
        self.assertEqual(self.closed_all, pool.closed_all_alone(SERVER) is not None)
        self.assertEqual({}, pool.open)

    def open(self, pool, clock):
        key = process_key(SERVER)
        connection = BackendConnection(
            b"Request-Id",
            pool._release_callback(key),
            clock.seconds,
            on_end=lambda *ended: pool._record_end(SERVER, *ended),
        )
        connection.makeConnection(StringTransport())
        pool.open.setdefault(key, set()).add(connection)
        if self.uses:
            connection.send(b"GET", b"a1", b"request").addErrback(lambda _: None)
            if not self.waits:
                connection.dataReceived(ANSWER)
        return connection
