from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.error import CannotListenError
from twisted.internet.task import Clock

from ebonybend.node.port_opener import PortOpener


class Listener:
    """A reactor whose ports are in use for some time."""

    def __init__(self, clock, in_use_s):
        self.clock = clock
        # Times until which ports are in use, by number.
        self.in_use_s = in_use_s
        self.opened = []

    def listenTCP(self, number, factory, backlog, interface):
        """Open a port, or raise CannotListenError while it is in use."""
        return self.listenUDP(number, factory, interface)

    def listenUDP(self, number, protocol, interface):
        """Open a port, or raise CannotListenError while it is in use."""
        if self.clock.seconds() < self.in_use_s.get(number, 0.0):
            raise CannotListenError(interface, number, OSError("in use"))
        self.opened.append(number)
        return number


class PortInUseTest(TestWithScenarios, TestCase):
    """Guards against a node that ends since a port is in use, or does without it."""

    scenarios = [
        ("none", {"in_use_s": {}, "complete": True}),
        ("for clients", {"in_use_s": {80: 1.5}}),
        ("for heartbeats", {"in_use_s": {7200: 1.5}}),
        ("all", {"in_use_s": {80: 1.5, 7200: 0.5, 9464: 2.0}}),
        ("metrics", {"in_use_s": {9464: 1.5}, "complete": True}),
    ]
    complete = False

    def test_is_opened_later(self):
        clock = Clock()
        listener = Listener(clock, self.in_use_s)
        ports = PortOpener(listener, clock)
        ports.add_tcp("10.1.0.1:80", "clients")
        ports.add_udp("10.1.0.1:7200", "heartbeats")
        ports.add_tcp("10.1.0.1:9464", "metrics", is_required=False)
        ports.open()
        self.assertEqual(self.complete, ports.is_complete())
        clock.pump([0.05] * 50)
        self.assertTrue(ports.is_complete())
        self.assertEqual([80, 7200, 9464], sorted(listener.opened))
        self.assertEqual([], clock.getDelayedCalls())

    def test_stop_opens_nothing(self):
        clock = Clock()
        listener = Listener(clock, self.in_use_s)
        ports = PortOpener(listener, clock)
        ports.add_tcp("10.1.0.1:80", "clients")
        ports.open()
        opened = list(listener.opened)
        ports.stop()
        clock.pump([0.05] * 50)
        self.assertEqual(opened, listener.opened)
