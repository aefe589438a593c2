from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from ebonybend.http_answers import OutgoingAnswer
from ebonybend.http_connection import LINGER_S, MAX_ARRIVALS, ArrivalTimes
from ebonybend.http_server import HttpLimits, HttpSite

RECEIVE_TIMEOUT_S = 3.0
LIMITS = HttpLimits(receive_timeout_s=RECEIVE_TIMEOUT_S)


def get(name):
    return b"GET /%s HTTP/1.1\r\nHost: x\r\n\r\n" % name


def post(name):
    return b"POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody" % name


class ClientTransport(StringTransport):
    """A transport that records how the connection ends."""

    output_ended = False
    aborted = False

    def loseWriteConnection(self):
        self.output_ended = True

    def abortConnection(self):
        self.aborted = True


class SlowServer:
    """A site with one connection, whose answers the test gives."""

    def __init__(self):
        self.clock = Clock()
        self.received = []
        self.waiting = []
        self.site = HttpSite(self.clock, self.handle, LIMITS)
        self.channel = self.site.buildProtocol(None)
        self.transport = ClientTransport()
        self.channel.makeConnection(self.transport)

    async def handle(self, request):
        self.received.append((request.path, request.received_at))
        waiting = Deferred()
        self.waiting.append(waiting)
        await waiting
        return OutgoingAnswer(200, request.path.encode())

    def answer(self):
        self.waiting.pop(0).callback(None)

    def paths(self):
        return [path for path, _ in self.received]


class PipelinedRequestTest(TestWithScenarios, TestCase):
    """Guards against answers out of order and lost requests behind a slow one."""

    scenarios = [
        ("one read", {"step": 10_000}),
        ("byte by byte", {"step": 1}),
        ("across the ends of requests", {"step": 37}),
    ]

    def test_answers_in_order(self):
        server = SlowServer()
        data = get(b"a") + post(b"b") + get(b"c")
        for start in range(0, len(data), self.step):
            server.channel.dataReceived(data[start : start + self.step])
        self.assertEqual(["/a"], server.paths())
        for _ in range(3):
            server.answer()
        self.assertEqual(["/a", "/b", "/c"], server.paths())
        output = server.transport.value()
        positions = [output.index(b"\r\n\r\n/" + name) for name in (b"a", b"b", b"c")]
        self.assertEqual(sorted(positions), positions)


class WaitingTest(TestCase):
    """Guards against treating the wait behind another request as a slow client."""

    def test_whole_request_behind_a_slow_one_is_not_refused(self):
        server = SlowServer()
        server.channel.dataReceived(get(b"slow"))
        server.channel.dataReceived(get(b"next"))
        server.clock.advance(RECEIVE_TIMEOUT_S + 1)
        self.assertEqual(b"", server.transport.value())
        server.answer()
        server.answer()
        self.assertEqual(["/slow", "/next"], server.paths())
        self.assertNotIn(b"slow_caller", server.transport.value())

    def test_partial_request_behind_a_slow_one_gets_the_full_receive_time(self):
        server = SlowServer()
        server.channel.dataReceived(get(b"slow") + get(b"next")[:-1])
        server.clock.advance(RECEIVE_TIMEOUT_S + 1)
        server.answer()
        server.clock.advance(RECEIVE_TIMEOUT_S - 0.1)
        self.assertNotIn(b"slow_caller", server.transport.value())
        server.clock.advance(0.2)
        self.assertIn(b"slow_caller", server.transport.value())

    def test_deadline_counts_from_the_arrival(self):
        server = SlowServer()
        server.channel.dataReceived(get(b"a"))
        server.clock.advance(1.0)
        server.channel.dataReceived(get(b"b") + get(b"c")[:9])
        server.clock.advance(0.5)
        server.channel.dataReceived(get(b"c")[9:] + get(b"d"))
        server.clock.advance(0.5)
        for _ in range(4):
            server.answer()
        expected = [("/a", 0.0), ("/b", 1.0), ("/c", 1.0), ("/d", 1.5)]
        self.assertEqual(expected, server.received)


class ArrivalTimesTest(TestCase):
    """Guards against memory that grows with each byte of a slow body."""

    def test_bounded(self):
        arrivals = ArrivalTimes()
        for number in range(10 * MAX_ARRIVALS):
            arrivals.record(1, float(number))
        self.assertEqual(MAX_ARRIVALS, len(arrivals.chunks))
        self.assertEqual(3.0, arrivals.time_at(3))
        # Too early rather than too late.
        self.assertLessEqual(arrivals.time_at(10 * MAX_ARRIVALS - 1), MAX_ARRIVALS)


class ClosingTest(TestCase):
    """Guards against running requests that the client sends again elsewhere."""

    def test_requests_behind_the_last_answer_do_not_run(self):
        server = SlowServer()
        server.channel.dataReceived(get(b"a") + get(b"b"))
        server.site.closing = True
        server.answer()
        server.channel.dataReceived(get(b"c"))
        self.assertEqual(["/a"], server.paths())
        self.assertIn(b"Connection: close", server.transport.value())
        self.assertTrue(server.transport.output_ended)
        self.assertFalse(server.transport.disconnecting)
        server.clock.advance(LINGER_S)
        self.assertTrue(server.transport.aborted)

    def test_half_received_request_counts_as_unfinished(self):
        server = SlowServer()
        self.assertEqual(1, server.site.unfinished())
        server.channel.dataReceived(get(b"a")[:-1])
        server.site.close_idle()
        self.assertFalse(server.transport.disconnecting)
        self.assertEqual(1, server.site.unfinished())
        server.channel.dataReceived(get(b"a")[-1:])
        self.assertEqual(1, server.site.unfinished())
        server.site.closing = True
        server.answer()
        # Until the client has closed the connection, it may not have the answer.
        self.assertEqual(1, server.site.unfinished())
        server.channel.connectionLost(Failure(ConnectionDone()))
        self.assertEqual(0, server.site.unfinished())

    def test_large_answer_is_sent_before_the_connection_is_closed(self):
        """Load pattern: downloads on a small link while a node stops."""
        server = SlowServer()
        server.channel.dataReceived(get(b"a"))
        server.site.closing = True
        # The transport has more output than it buffers.
        server.channel.pauseProducing()
        server.answer()
        server.clock.advance(10 * LINGER_S)
        self.assertFalse(server.transport.output_ended)
        self.assertFalse(server.transport.aborted)
        self.assertEqual(1, server.site.unfinished())
        server.channel.resumeProducing()
        self.assertTrue(server.transport.output_ended)
        server.clock.advance(LINGER_S)
        self.assertTrue(server.transport.aborted)

    def test_new_connection_may_send_its_first_request(self):
        server = SlowServer()
        server.site.close_idle()
        self.assertFalse(server.transport.disconnecting)
        server.clock.advance(1.0)
        server.site.close_idle()
        self.assertTrue(server.transport.disconnecting)
