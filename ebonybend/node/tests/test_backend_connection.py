import tracemalloc
from socket import TCP_KEEPCNT, TCP_USER_TIMEOUT

from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from ebonybend.node.answer_memory import AnswerMemory
from ebonybend.node.backend_connection import (
    ACK_TIMEOUT_MS,
    MAX_HEAD_BYTES,
    AnswerNotReceived,
    BackendConnection,
    LossReason,
)

ID = b"Request-Id: a1\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
COMPLETE = OK + ID + b"Content-Length: 5\r\n\r\nwhole"
OTHER = OK + b"Request-Id: b2\r\nContent-Length: 5\r\n\r\nother"
DONE = Failure(ConnectionDone())
RESET = Failure(ConnectionLost())


class Exchange:
    """A connection with one request in flight."""

    def __init__(self, memory=None):
        self.idle = []
        self.now = 0.0
        self.connection = BackendConnection(
            b"Request-Id", self.idle.append, lambda: self.now, memory
        )
        self.transport = StringTransport()
        self.transport.abortConnection = self.transport.loseConnection
        self.connection.makeConnection(self.transport)
        self.results = []
        self.send(b"a1")

    def send(self, request_id, ack_timeout_ms=ACK_TIMEOUT_MS):
        waiting = self.connection.send(b"GET", request_id, b"request", ack_timeout_ms)
        waiting.addBoth(self.results.append)
        return waiting


class BackendConnectionTest(TestWithScenarios, TestCase):
    """Guards against returning a partial answer, or that of another request."""

    scenarios = [
        ("whole", {"parts": [COMPLETE], "body": b"whole", "reusable": True}),
        ("byte by byte", {"parts": list(COMPLETE), "body": b"whole", "reusable": True}),
        (
            "chunked",
            {
                "parts": [
                    OK + ID + b"Transfer-Encoding: chunked\r\n\r\n",
                    b"2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
                ],
                "body": b"whole",
                "reusable": True,
            },
        ),
        (
            "empty",
            {
                "parts": [OK + ID + b"Content-Length: 0\r\n\r\n"],
                "body": b"",
                "reusable": True,
            },
        ),
        (
            "connection closes",
            {
                "parts": [OK + ID + b"Connection: close\r\nContent-Length: 1\r\n\r\nx"],
                "body": b"x",
                "reusable": False,
            },
        ),
        (
            "a second answer follows",
            {"parts": [COMPLETE + OTHER], "body": b"whole", "reusable": False},
        ),
        (
            "a late answer arrives first",
            {"parts": [OTHER + COMPLETE], "body": b"whole", "reusable": False},
        ),
        (
            "a late answer arrives first in pieces",
            {
                "parts": [OTHER[:30], OTHER[30:] + COMPLETE[:9], COMPLETE[9:]],
                "body": b"whole",
                "reusable": False,
            },
        ),
        (
            "unframed and ended",
            {
                "parts": [OK + ID + b"\r\nwhole", DONE],
                "body": b"whole",
                "reusable": False,
            },
        ),
        (
            "unframed and reset",
            {"parts": [OK + ID + b"\r\nwhole", RESET], "loss": LossReason.CLOSED},
        ),
        ("cut off", {"parts": [COMPLETE[:-1], DONE], "loss": LossReason.CLOSED}),
        ("no answer", {"parts": [RESET], "loss": LossReason.CLOSED}),
        (
            "no HTTP",
            {"parts": [b"\0\1\2 garbage\r\n\r\n"], "loss": LossReason.MALFORMED},
        ),
        (
            "only answers to other requests",
            {"parts": [OTHER + OTHER + OTHER], "loss": LossReason.MALFORMED},
        ),
    ]
    parts = ()
    body = None
    reusable = False
    loss = None

    def test_answer(self):
        exchange = Exchange()
        for part in self.parts:
            if isinstance(part, Failure):
                exchange.connection.connectionLost(part)
            else:
                data = bytes([part]) if isinstance(part, int) else part
                exchange.connection.dataReceived(data)
        self.assertEqual(1, len(exchange.results))
        result = exchange.results[0]
        if self.loss is not None:
            self.assertIsInstance(result.value, AnswerNotReceived)
            self.assertEqual(self.loss, result.value.loss)
        else:
            self.assertEqual(self.body, result.body)
        self.assertEqual(self.reusable, bool(exchange.idle))
        self.assertEqual(self.reusable, exchange.connection.usable)


class ReuseTest(TestCase):
    """Guards against bytes of an earlier answer in a later one."""

    def test_second_request_gets_its_own_answer(self):
        exchange = Exchange()
        exchange.connection.dataReceived(COMPLETE)
        exchange.send(b"b2")
        exchange.connection.dataReceived(OTHER)
        self.assertEqual([b"whole", b"other"], [r.body for r in exchange.results])

    def test_bytes_while_idle_close_the_connection(self):
        exchange = Exchange()
        exchange.connection.dataReceived(COMPLETE)
        exchange.connection.dataReceived(b"H")
        self.assertFalse(exchange.connection.usable)

    def test_cancelled_request_closes_the_connection(self):
        exchange = Exchange()
        waiting = exchange.connection.waiting
        waiting.cancel()
        self.assertTrue(exchange.transport.disconnecting)
        self.assertEqual(LossReason.ABORTED, exchange.results[0].value.loss)


NO_ID = OK + b"Content-Length: 4\r\n\r\nnone"
NOT_RUN = b"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"


class SecondAnswerTest(TestWithScenarios, TestCase):
    """Guards against a second answer, sent late, that answers the next request."""

    scenarios = [
        ("the earlier id", {"parts": [COMPLETE, OTHER], "body": b"other"}),
        (
            "the earlier id, in pieces around the answer",
            {"parts": [COMPLETE[:20], COMPLETE[20:] + OTHER], "body": b"other"},
        ),
        (
            "the earlier id, without length",
            {
                "parts": [OK + ID + b"\r\nwhole", DONE],
                "loss": LossReason.CLOSED,
            },
        ),
        (
            "the earlier id, not run",
            {"parts": [NOT_RUN.replace(b"Not", ID + b"Not"), OTHER], "body": b"other"},
        ),
        (
            "the earlier id, not run, once for each byte",
            {
                "parts": list(NOT_RUN.replace(b"Not", ID + b"Not") + OTHER),
                "body": b"other",
            },
        ),
        (
            "the earlier id, not run, and then the end",
            {
                "parts": [NOT_RUN.replace(b"Not", ID + b"Not"), DONE],
                "loss": LossReason.CLOSED,
            },
        ),
        ("no id", {"parts": [NO_ID, OTHER], "loss": LossReason.MALFORMED}),
        ("no id, not run", {"parts": [NOT_RUN, OTHER], "loss": LossReason.MALFORMED}),
        (
            "no id, without length",
            {"parts": [OK + b"\r\nwhole", DONE], "loss": LossReason.CLOSED},
        ),
    ]
    body = None
    loss = None

    def test_next_request_gets_its_own_answer(self):
        exchange = Exchange()
        exchange.connection.dataReceived(COMPLETE)
        exchange.send(b"b2")
        for part in self.parts:
            if isinstance(part, Failure):
                exchange.connection.connectionLost(part)
            else:
                data = part if isinstance(part, bytes) else bytes([part])
                exchange.connection.dataReceived(data)
        self.assertEqual(2, len(exchange.results))
        if self.loss is None:
            self.assertEqual(self.body, exchange.results[1].body)
        else:
            self.assertEqual(self.loss, exchange.results[1].value.loss)
        self.assertFalse(exchange.connection.usable)

    def test_first_answer_of_a_connection_needs_no_id(self):
        exchange = Exchange()
        exchange.connection.dataReceived(NOT_RUN)
        self.assertEqual(503, exchange.results[0].status)


class RepeatedRefusalTest(TestCase):
    """Guards against an earlier refusal, sent once more, that answers a later request.

    It states that the request was not run, while the server runs it.
    """

    def test_later_request_is_not_refused(self):
        exchange = Exchange()
        refusal = NOT_RUN.replace(b"Not", ID + b"Not")
        exchange.connection.dataReceived(refusal)
        exchange.send(b"b2")
        exchange.connection.dataReceived(refusal + OTHER)
        self.assertEqual([503, 200], [answer.status for answer in exchange.results])

    def test_later_request_has_no_answer_if_the_refusal_names_no_request(self):
        exchange = Exchange()
        exchange.connection.dataReceived(NOT_RUN)
        exchange.send(b"b2")
        exchange.connection.dataReceived(NOT_RUN + OTHER)
        self.assertEqual(LossReason.MALFORMED, exchange.results[1].value.loss)


class CutHeadTest(TestWithScenarios, TestCase):
    """Guards against an answer that stops in its head and is delivered as whole."""

    scenarios = [
        (f"{name}, {end_name}", {"head": head, "end": end})
        for name, head in (
            ("with a length", OK + ID + b"Content-Length: 5\r\n\r\n"),
            ("chunked", OK + ID + b"Transfer-Encoding: chunked\r\n\r\n"),
            ("without length", OK + ID + b"X: y\r\n\r\n"),
            ("after an interim one", b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE[:-5]),
            ("without content", b"HTTP/1.1 204 No\r\n" + ID + b"\r\n"),
        )
        for end_name, end in (("closed", DONE), ("reset", RESET))
    ]

    def test_no_answer_at_any_cut(self):
        for size in range(len(self.head)):
            exchange = Exchange()
            exchange.connection.dataReceived(self.head[:size])
            exchange.connection.connectionLost(self.end)
            self.assertEqual(LossReason.CLOSED, exchange.results[0].value.loss, size)


MEMORY_BYTES = 200_000
PIECE = 1000


class EndlessAnswerTest(TestWithScenarios, TestCase):
    """Guards against answers that take memory until the process is killed."""

    scenarios = [
        ("one line", {"head": OK + b"X: ", "piece": b"x" * PIECE}),
        ("lines", {"head": OK, "piece": b"X: y\r\n" * (PIECE // 6)}),
        ("status line", {"head": b"HTTP/1.1 200 ", "piece": b"x" * PIECE}),
        (
            "interim answers",
            {"head": b"", "piece": b"HTTP/1.1 100 Continue\r\n\r\n" * (PIECE // 25)},
        ),
        (
            "chunks",
            {
                "head": OK + ID + b"Transfer-Encoding: chunked\r\n\r\n",
                "piece": b"3e8\r\n" + b"x" * PIECE + b"\r\n",
            },
        ),
        (
            "chunks of one byte",
            {
                "head": OK + ID + b"Transfer-Encoding: chunked\r\n\r\n",
                "piece": b"1\r\nx\r\n" * (PIECE // 6),
            },
        ),
        ("no length", {"head": OK + ID + b"\r\n", "piece": b"x" * PIECE}),
        (
            "a length over the limit",
            {
                "head": OK + ID + b"Content-Length: 99999999\r\n\r\n",
                "piece": b"x" * PIECE,
            },
        ),
        (
            "an answer to another request",
            {
                "head": OK + b"Request-Id: b2\r\nTransfer-Encoding: chunked\r\n\r\n",
                "piece": b"3e8\r\n" + b"x" * PIECE + b"\r\n",
            },
        ),
    ]

    def test_connection_is_closed_within_the_limit(self):
        memory = AnswerMemory(MEMORY_BYTES)
        exchange = Exchange(memory)
        exchange.connection.dataReceived(self.head)
        most_bytes = 6 * MEMORY_BYTES + MAX_HEAD_BYTES
        sent = 0
        while not exchange.results and sent < most_bytes:
            exchange.connection.dataReceived(self.piece)
            sent += len(self.piece)
        self.assertEqual(1, len(exchange.results), f"open after {sent} bytes")
        self.assertEqual(LossReason.TOO_LARGE, exchange.results[0].value.loss)
        self.assertTrue(exchange.transport.disconnecting)
        self.assertEqual(0, memory.reserved)

    def test_other_answers_keep_their_memory(self):
        memory = AnswerMemory(MEMORY_BYTES)
        endless, other = Exchange(memory), Exchange(memory)
        endless.connection.dataReceived(self.head)
        while not endless.results:
            endless.connection.dataReceived(self.piece)
        other.connection.dataReceived(COMPLETE)
        self.assertEqual(b"whole", other.results[0].body)
        self.assertEqual(0, memory.reserved)


class ManyEndlessAnswersTest(TestWithScenarios, TestCase):
    """Guards against many answers at once, each within its limit, that fill the memory.

    Pattern: faulty servers send a little at a time, without end.
    """

    scenarios = [
        ("short lines", {"head": OK, "line": b"%d:\r\n"}),
        ("interim answers", {"head": b"", "line": b"HTTP/1.1 103 x\r\n%d:\r\n\r\n"}),
        (
            "chunks of one byte",
            {
                "head": OK + ID + b"Transfer-Encoding: chunked\r\n\r\n",
                "line": b"1\r\nx\r\n",
            },
        ),
    ]
    # Of a process with 30 times as much.
    MEMORY_BYTES = 3_000_000
    MAX_TRACED_BYTES = 4 * MEMORY_BYTES
    CONNECTIONS = 20
    PIECE_LINES = 50

    def test_memory(self):
        memory = AnswerMemory(self.MEMORY_BYTES)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        exchanges = [Exchange(memory) for _ in range(self.CONNECTIONS)]
        for exchange in exchanges:
            exchange.connection.dataReceived(self.head)
        has_number = b"%d" in self.line
        for number in range(0, 8000, self.PIECE_LINES):
            piece = b"".join(
                self.line % (number + x) if has_number else self.line
                for x in range(self.PIECE_LINES)
            )
            for exchange in exchanges:
                if not exchange.results:
                    exchange.connection.dataReceived(piece)
        self.assertLess(tracemalloc.get_traced_memory()[1], self.MAX_TRACED_BYTES)


class RecordedSocket:
    """A socket that records its options."""

    def __init__(self):
        self.options = {}

    def setsockopt(self, level, option, value):
        self.options[option] = value


class AckTimeoutTest(TestCase):
    """Guards against a time without acknowledgement that outlasts its request."""

    def test_each_request_has_its_own(self):
        exchange = Exchange()
        exchange.connection.dataReceived(COMPLETE)
        exchange.transport.getHandle = lambda: recorded
        recorded = RecordedSocket()
        seen = []
        for request_id, timeout_ms in ((b"a2", 8000), (b"a3", ACK_TIMEOUT_MS)):
            exchange.send(request_id, timeout_ms)
            seen.append(
                (recorded.options[TCP_USER_TIMEOUT], recorded.options[TCP_KEEPCNT])
            )
            exchange.connection.dataReceived(COMPLETE.replace(b"a1", request_id))
        self.assertEqual([(8000, 8), (ACK_TIMEOUT_MS, 2)], seen)
        self.assertEqual(3, len(exchange.results))

    def test_unacknowledged_after_the_time_of_the_request(self):
        exchange = Exchange()
        exchange.connection.dataReceived(COMPLETE)
        exchange.transport.getHandle = RecordedSocket
        exchange.send(b"a2", 8000)
        exchange.now = 7.9
        exchange.connection.connectionLost(RESET)
        self.assertEqual(LossReason.UNACKNOWLEDGED, exchange.results[1].value.loss)


class UnacknowledgedTest(TestWithScenarios, TestCase):
    """Guards against requests that wait until the deadline for a dead server."""

    scenarios = [
        ("nothing acknowledged", {"loss": LossReason.UNACKNOWLEDGED}),
        ("reset at once", {"after_s": 0.1, "loss": LossReason.CLOSED}),
        ("part of the answer had arrived", {"received": OK, "loss": LossReason.CLOSED}),
        ("closed by the server", {"reason": DONE, "loss": LossReason.CLOSED}),
    ]
    after_s = ACK_TIMEOUT_MS / 1000
    received = b""
    reason = RESET

    def test_loss(self):
        exchange = Exchange()
        if self.received:
            exchange.connection.dataReceived(self.received)
        exchange.now = self.after_s
        exchange.connection.connectionLost(self.reason)
        self.assertEqual(self.loss, exchange.results[0].value.loss)


class EndTest(TestWithScenarios, TestCase):
    """Guards against an ordinary close that is taken for the end of a server."""

    scenarios = [
        ("reset", {"parts": [], "ended": [(True, True)]}),
        ("closed in an answer", {"parts": [COMPLETE[:-1]], "ended": [(True, True)]}),
        ("closed while idle", {"parts": [COMPLETE], "ended": [(True, False)]}),
        (
            "announced",
            {
                "parts": [COMPLETE.replace(ID, ID + b"Connection: close\r\n")],
                "ended": [(False, False)],
            },
        ),
        (
            "the end of an answer without a length",
            {"parts": [OK + ID + b"\r\nwhole"], "ended": [(False, True)]},
        ),
    ]

    def test_reported_end(self):
        exchange, ended = Exchange(), []
        exchange.connection.on_end = lambda _, *end: ended.append(end)
        for part in self.parts:
            exchange.connection.dataReceived(part)
        exchange.connection.connectionLost(RESET if not self.parts else DONE)
        self.assertEqual(self.ended, ended)
