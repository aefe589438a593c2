from asyncio import new_event_loop
from time import CLOCK_BOOTTIME, sleep
from unittest.mock import patch

from testtools import TestCase
from twisted.internet.error import AlreadyCalled, AlreadyCancelled
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory

from ebonybend.loop import BootTimeLoop, LoopReactor

LARGE_PAYLOAD = b"x" * (4 << 20)


class Receiver(Protocol):
    def connectionMade(self):
        self.transport.write(b"go")

    def dataReceived(self, data):
        self.factory.received += len(data)
        if self.factory.received == len(LARGE_PAYLOAD):
            self.factory.on_complete()


class LargeSender(Protocol):
    def dataReceived(self, data):
        self.transport.write(LARGE_PAYLOAD)


class LoopReactorTest(TestCase):
    """Guards against timers and writes that break the contract of Twisted's reactor."""

    def setUp(self):
        super().setUp()
        loop = new_event_loop()
        self.reactor = LoopReactor(loop)
        self.addCleanup(loop.close)

    def run_reactor(self):
        self.reactor.callLater(5.0, self.reactor.stop)
        self.reactor.run(installSignalHandlers=False)

    def test_timers_are_called_moved_and_cancelled(self):
        called = []
        first = self.reactor.callLater(0.02, called.append, "first")
        moved = self.reactor.callLater(0.01, called.append, "moved later")
        moved.reset(0.04)
        sooner = self.reactor.callLater(60.0, called.append, "moved sooner")
        sooner.reset(0.0)
        cancelled = self.reactor.callLater(0.01, called.append, "cancelled")
        cancelled.cancel()
        self.reactor.callLater(0.03, lambda: 1 / 0)
        self.reactor.callLater(0.1, self.reactor.stop)
        self.run_reactor()
        self.assertEqual(["moved sooner", "first", "moved later"], called)
        self.assertRaises(AlreadyCalled, first.cancel)
        self.assertRaises(AlreadyCancelled, cancelled.reset, 1.0)

    def test_order_after_a_pause(self):
        called = []
        self.reactor.callLater(0.02, called.append, "first")
        moved = self.reactor.callLater(0.01, called.append, "moved later")
        moved.reset(0.04)
        self.reactor.callLater(0.1, self.reactor.stop)
        # All of these times have passed when the loop runs.
        sleep(0.06)
        self.run_reactor()
        self.assertEqual(["first", "moved later"], called)

    def test_clock_counts_suspensions(self):
        with patch("ebonybend.loop.clock_gettime", {CLOCK_BOOTTIME: 1234.5}.get):
            self.assertEqual(1234.5, BootTimeLoop().time())

    def test_write_larger_than_the_socket_buffers_is_received_completely(self):
        port = self.reactor.listenTCP(
            0, ServerFactory.forProtocol(LargeSender), interface="127.0.0.1"
        )
        factory = ClientFactory.forProtocol(Receiver)
        factory.received = 0
        factory.on_complete = self.reactor.stop
        self.reactor.connectTCP("127.0.0.1", port.getHost().port, factory)
        self.run_reactor()
        self.assertEqual(len(LARGE_PAYLOAD), factory.received)
