from socket import create_connection, socket
from threading import Timer

from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import Clock
from twisted.internet.tcp import Port

from ebonybend.listening import HANDSHAKE_S, LISTEN_BACKLOG, close_port


class SilentReactor(Clock):
    """A reactor that never reports a socket as readable."""

    def addReader(self, reader):
        pass

    def removeReader(self, reader):
        pass

    def removeWriter(self, writer):
        pass


class CountingFactory(Factory):
    """A factory that counts the accepted connections."""

    noisy = False

    def __init__(self):
        self.accepted = 0

    def buildProtocol(self, addr):
        self.accepted += 1
        return Protocol()


class ClosePortTest(TestWithScenarios, TestCase):
    """Guards against a planned stop that resets connections not accepted yet.

    Load pattern: a quiet port on which many callers connect in the same moment, just
    before it is closed.
    """

    scenarios = [
        ("none waits", {"before": 1, "waiting": 0}),
        ("one waits", {"before": 1, "waiting": 1}),
        ("many wait after a quiet time", {"before": 1, "waiting": 40}),
        ("many wait after many", {"before": 30, "waiting": 60}),
        ("many wait on a new port", {"before": 0, "waiting": 140}),
    ]

    def connect(self, port, count):
        address = ("127.0.0.1", port.socket.getsockname()[1])
        for _ in range(count):
            client = create_connection(address, timeout=5.0)
            self.addCleanup(client.close)

    def test_accepts_all_waiting_connections(self):
        clock, factory = SilentReactor(), CountingFactory()
        port = Port(0, factory, LISTEN_BACKLOG, "127.0.0.1", clock)
        port.startListening()
        self.connect(port, self.before)
        if self.before:
            port.doRead()
        self.connect(port, self.waiting)
        closing = Deferred.fromCoroutine(close_port(clock, port))
        clock.advance(HANDSHAKE_S)
        clock.advance(0)
        self.assertTrue(closing.called)
        self.assertEqual(self.before + self.waiting, factory.accepted)


class LateConnectionTest(TestCase):
    """Guards against a connection that is opened during the close, and then reset."""

    def test_is_refused(self):
        clock, factory = SilentReactor(), CountingFactory()
        port = Port(0, factory, LISTEN_BACKLOG, "127.0.0.1", clock)
        port.startListening()
        address = port.socket.getsockname()
        Deferred.fromCoroutine(close_port(clock, port))
        client = socket()
        self.addCleanup(client.close)
        client.settimeout(5.0)
        connecting = Timer(0.1, clock.advance, (HANDSHAKE_S,))
        connecting.start()
        self.assertRaises(ConnectionRefusedError, client.connect, address)
        connecting.join()
        self.assertEqual(0, factory.accepted)
