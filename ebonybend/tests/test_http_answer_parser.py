import re

from hypothesis import given
from hypothesis import strategies as st
from testscenarios import TestWithScenarios, multiply_scenarios
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from ebonybend.http_client import (
    AnswerLost,
    AnswerMalformed,
    AnswerMismatch,
    AnswerTooLarge,
    HttpClient,
)
from ebonybend.node.backend_connection import BackendConnection, LossReason
from ebonybend.tests.profile import REPEATABLE
from standins.broken_answers import BROKEN_ANSWERS, ODD_ANSWERS

DONE = Failure(ConnectionDone())
ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nStamp: s1\r\nContent-Length: 5\r\n\r\nwhole"
)
OTHER = ANSWER.replace(b"a1", b"a0").replace(b"whole", b"other")
INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Name: v\r\n\r\n"


class MemoryTransport(StringTransport):
    """A transport in memory."""

    def abortConnection(self):
        self.loseConnection()


class NodeReader:
    """The node's connection to a server."""

    def __init__(self):
        self.idle = []
        connection = BackendConnection(b"Request-Id", self.idle.append, float)
        self.receiver = connection
        self.transport = MemoryTransport()
        connection.makeConnection(self.transport)

    def ask(self, request_id=b"a1", method=b"GET"):
        self.idle.clear()
        self.results = []
        waiting = self.receiver.send(method, request_id, b"request")
        waiting.addBoth(self.results.append)

    def is_malformed(self, error):
        return error.loss is LossReason.MALFORMED

    def is_reusable(self):
        return bool(self.idle) and self.receiver.usable


class ClientReader:
    """The HTTP client of entries, controls and stores."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.client = HttpClient(self.reactor)
        self.transport = None

    def ask(self, request_id=b"a1", method=b"GET"):
        self.results = []
        headers = {"Request-Id": request_id.decode()}
        asked = self.client.request(method.decode(), "127.0.0.1:80", "/", headers)
        Deferred.fromCoroutine(asked).addBoth(self.results.append)
        if self.transport is None:
            # The endpoint's own protocol passes everything on to the client's.
            self.receiver = self.reactor.tcpClients[0][2].buildProtocol(None)
            self.transport = MemoryTransport()
            self.receiver.makeConnection(self.transport)

    def is_malformed(self, error):
        return isinstance(error, AnswerMalformed)

    def is_reusable(self):
        return not self.transport.disconnecting


def read(reader, data, step=None):
    """Give a reader bytes in pieces; return its answer, or None if it failed."""
    step = step or max(len(data), 1)
    for start in range(0, len(data), step):
        if reader.transport.disconnecting:
            break
        reader.receiver.dataReceived(data[start : start + step])
        if reader.transport.disconnecting:
            reader.receiver.connectionLost(DONE)
    if not reader.results:
        return None
    result = reader.results[0]
    return None if isinstance(result, Failure) else result


READERS = [
    ("node", {"new_reader": NodeReader}),
    ("client", {"new_reader": ClientReader}),
]


class BrokenAnswerTest(TestWithScenarios, TestCase):
    """Guards against delivering bytes that are not an answer by the grammar."""

    scenarios = multiply_scenarios(
        READERS, [(name, {"change": x}) for name, x in BROKEN_ANSWERS.items()]
    )

    def assert_malformed(self, reader, data, step=None):
        self.assertIsNone(read(reader, data, step))
        self.assertEqual(1, len(reader.results), "still waits for an answer")
        self.assertTrue(reader.is_malformed(reader.results[0].value))
        self.assertTrue(reader.transport.disconnecting)

    def test_whole_and_byte_by_byte(self):
        for step in (None, 1):
            reader = self.new_reader()
            reader.ask()
            self.assert_malformed(reader, self.change(ANSWER), step)

    def test_at_each_split(self):
        data = self.change(ANSWER)
        for size in range(1, len(data)):
            reader = self.new_reader()
            reader.ask()
            self.assertIsNone(read(reader, data[:size]), size)
            self.assert_malformed(reader, data[size:])

    def test_on_a_reused_connection(self):
        reader = self.new_reader()
        reader.ask(b"a0")
        self.assertEqual(b"other", read(reader, OTHER).body)
        reader.ask()
        self.assert_malformed(reader, self.change(ANSWER))

    def test_behind_an_interim_answer(self):
        reader = self.new_reader()
        reader.ask()
        self.assert_malformed(reader, INTERIM + self.change(ANSWER))


class SkippedAnswerTest(TestWithScenarios, TestCase):
    """Guards against a broken answer that is skipped, or that follows a skipped one."""

    scenarios = [(name, {"change": x}) for name, x in BROKEN_ANSWERS.items()]

    def test_no_answer(self):
        for data in (OTHER + self.change(ANSWER), self.change(OTHER) + ANSWER):
            reader = NodeReader()
            reader.ask()
            self.assertIsNone(read(reader, data))
            self.assertTrue(reader.is_malformed(reader.results[0].value))


class OddAnswerTest(TestWithScenarios, TestCase):
    """Guards against refusing answers that are unusual, but within the grammar."""

    scenarios = multiply_scenarios(
        READERS, [(name, {"change": x}) for name, x in ODD_ANSWERS.items()]
    )

    def test_delivered_at_each_split(self):
        data = self.change(ANSWER)
        for size in range(1, len(data)):
            reader = self.new_reader()
            reader.ask()
            read(reader, data[:size])
            answer = read(reader, data[size:])
            self.assertEqual((200, b"whole"), (answer.status, answer.body), size)
            self.assertEqual([b"s1"], answer.headers.getRawHeaders(b"Stamp"), size)
            self.assertTrue(reader.is_reusable())


class NoBodyTest(TestWithScenarios, TestCase):
    """Guards against a body where none may be, and a refusal where a length may be."""

    HEAD = b"HTTP/1.1 %s x\r\nRequest-Id: a1\r\n%s\r\n\r\n"
    scenarios = multiply_scenarios(
        READERS,
        [
            ("length", {"method": b"HEAD", "line": b"Content-Length: 5"}),
            ("chunks", {"method": b"HEAD", "line": b"Transfer-Encoding: chunked"}),
            ("broken length", {"method": b"HEAD", "line": b"Content-Length: +5"}),
            ("broken coding", {"method": b"HEAD", "line": b"Transfer-Encoding: x"}),
            ("not modified", {"status": b"304", "line": b"Content-Length: 5"}),
            ("no content", {"status": b"204", "line": b"X-Name: v"}),
            ("no content, length 0", {"status": b"204", "line": b"Content-Length: 0"}),
            ("broken, no content", {"status": b"204", "line": b"Content-Length: 5"}),
        ],
    )
    method = b"GET"
    status = b"200"

    def test_answer(self):
        reader = self.new_reader()
        reader.ask(method=self.method)
        answer = read(reader, self.HEAD % (self.status, self.line))
        if "broken" in self.id():
            self.assertTrue(reader.is_malformed(reader.results[0].value))
        else:
            self.assertEqual(
                (int(self.status), b"", True),
                (answer.status, answer.body, reader.is_reusable()),
            )


class StatusTest(TestWithScenarios, TestCase):
    """Guards against a limit on statuses that is not that of the grammar."""

    scenarios = READERS

    def test_all_final_statuses_of_three_digits(self):
        for status in range(200, 1000):
            reader = self.new_reader()
            reader.ask()
            answer = read(reader, ANSWER.replace(b"200", b"%d" % status))
            if status >= 600 or status == 204:
                self.assertIsNone(answer, status)
            else:
                self.assertEqual(status, answer.status)


class LongLineTest(TestWithScenarios, TestCase):
    """Guards against a long line of a head that is cut out of it.

    What follows the cut would be read as further lines of the head.
    """

    LINE = b"x" * 17_000
    scenarios = multiply_scenarios(
        READERS,
        [
            ("value", {"head": b"HTTP/1.1 200 OK\r\nX-Name: " + LINE}),
            ("reason", {"head": b"HTTP/1.1 200 " + LINE}),
            ("interim reason", {"head": b"HTTP/1.1 103 " + LINE}),
        ],
        [
            ("in one piece", {"step": None}),
            ("at the cut", {"step": 16_500}),
            ("up to the line's end", {"step": len}),
            ("in pieces", {"step": 1000}),
        ],
        [
            ("own answer behind", {"tail": b"\r\n" + ANSWER.partition(b"\r\n")[2]}),
            ("another head behind", {"tail": b"\r\n\r\n" + ANSWER}),
            ("status line in it", {"tail": ANSWER}),
        ],
    )

    def test_answer_is_refused(self):
        reader = self.new_reader()
        reader.ask()
        step = len(self.head) if self.step is len else self.step
        self.assertIsNone(read(reader, self.head + self.tail, step))
        self.assertEqual(1, len(reader.results), "still waits for an answer")
        error = reader.results[0].value
        if isinstance(reader, NodeReader):
            self.assertIs(LossReason.TOO_LARGE, error.loss)
        else:
            self.assertIsInstance(error, AnswerTooLarge)
        self.assertTrue(reader.transport.disconnecting)


# The grammar, written once more and apart from the parser's.
REASON = rb"(?: [\t -~\x80-\xff]*)?"
FIELD = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~\x80-\xff]*\r?\n"
HEAD = re.compile(
    rb"(?:HTTP/1\.[0-9] 1[0-9]{2}%s\r?\n(?:%s)*\r?\n)*"
    rb"HTTP/1\.[0-9] (?P<status>[2-5][0-9]{2})%s\r?\n(?:%s)*\r?\n"
    % (REASON, FIELD, REASON, FIELD)
)
PIECES = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 000 OK\r\n",
        b"HTTP/1.1 100 Continue\r\n",
        b"HTTP/1.0 204 \r\n",
        b"HTTP/1.1 20",
        b"Request-Id: a1\r\n",
        b"Request-Id: a0\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 2\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"X Name: v\r\n",
        b"X-Name: v\0\r\n",
        b" folded: v\r\n",
        b"0\r\n",
        b"5\r\n",
        b"\r\n",
        b"\n",
        b"\r",
        b" ",
        b":",
        b"whole",
        b"\0",
        b"\x7f",
        b"\xff",
    ]
)


@st.composite
def damaged_heads(draw):
    """Return an answer with a piece of its head replaced, or one built of pieces."""
    if draw(st.booleans()):
        return b"".join(draw(st.lists(PIECES | st.binary(max_size=3), max_size=12)))
    size = ANSWER.index(b"whole")
    start = draw(st.integers(0, size))
    end = draw(st.integers(start, min(start + 6, size)))
    inserted = draw(PIECES | st.binary(max_size=4))
    return ANSWER[:start] + inserted + ANSWER[end:]


class AnyHeadTest(TestCase):
    """Guards against anything but an answer within the grammar, or a failure."""

    @REPEATABLE
    @given(damaged_heads(), st.integers(1, 60), st.booleans())
    def test_node(self, data, step, is_reused):
        self.check(NodeReader(), data, step, is_reused)

    @REPEATABLE
    @given(damaged_heads(), st.integers(1, 60), st.booleans())
    def test_client(self, data, step, is_reused):
        self.check(ClientReader(), data, step, is_reused)

    def check(self, reader, data, step, is_reused):
        if is_reused:
            reader.ask(b"a0")
            read(reader, OTHER)
        reader.ask()
        read(reader, data, step)
        if not reader.transport.disconnecting:
            reader.receiver.connectionLost(DONE)
        self.assertEqual(1, len(reader.results))
        answer = reader.results[0]
        if isinstance(answer, Failure):
            return
        # The node may have skipped an answer to another request before it.
        heads = [HEAD.match(data, x.start()) for x in re.finditer(rb"HTTP/", data)]
        self.assertIn(answer.status, {int(x["status"]) for x in heads if x})
        for name, values in answer.headers.getAllRawHeaders():
            for value in values:
                line = b"%s: %s\r\n" % (name, value)
                self.assertIsNotNone(re.fullmatch(FIELD, line), line)


class ErrorKindTest(TestCase):
    """Guards against a broken answer that is taken for the end of its server."""

    def test_malformed_is_no_lost_connection(self):
        for other in (AnswerLost, AnswerMismatch, AnswerTooLarge):
            self.assertFalse(issubclass(AnswerMalformed, other))
