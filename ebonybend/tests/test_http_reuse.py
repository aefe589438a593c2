from asyncio import new_event_loop

from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, ServerFactory
from twisted.internet.task import deferLater

from ebonybend.http_client import RECENT_CONNECTION_S, HttpClient, Reuse
from ebonybend.loop import LoopReactor


class KeepingServer(Protocol):
    """A server that never says that it closes."""

    def connectionMade(self):
        self.factory.connections += 1

    def dataReceived(self, data):
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


class ReuseTest(TestWithScenarios, TestCase):
    """Guards against a connection that the other side may be closing."""

    scenarios = [
        (name, {"first": first, "pause_s": pause, "second": second, "used": used})
        for name, first, pause, second, used in (
            ("any", Reuse.ANY, 0.0, Reuse.ANY, 1),
            ("recent", Reuse.ANY, 0.0, Reuse.RECENT, 1),
            ("too_old", Reuse.ANY, RECENT_CONNECTION_S + 0.1, Reuse.RECENT, 2),
            ("old_read", Reuse.ANY, RECENT_CONNECTION_S + 0.1, Reuse.ANY, 1),
            ("never", Reuse.ANY, 0.0, Reuse.NEVER, 2),
            ("after_never", Reuse.NEVER, 0.0, Reuse.ANY, 2),
        )
    ]

    def test_connections_used(self):
        loop = new_event_loop()
        self.addCleanup(loop.close)
        reactor = LoopReactor(loop)
        factory = ServerFactory.forProtocol(KeepingServer)
        factory.connections = 0
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        address = f"127.0.0.1:{port.getHost().port}"
        failures = []

        async def send_both():
            client = HttpClient(reactor)
            await client.request("POST", address, "/", reuse=self.first)
            await deferLater(reactor, self.pause_s)
            await client.request("POST", address, "/", reuse=self.second)
            await client.close()

        def begin():
            done = Deferred.fromCoroutine(send_both())
            done.addErrback(failures.append)
            done.addBoth(lambda _: reactor.stop())

        reactor.callWhenRunning(begin)
        reactor.run(installSignalHandlers=False)
        self.assertEqual([], failures)
        self.assertEqual(self.used, factory.connections)
