from socket import socketpair

from testscenarios import TestWithScenarios, multiply_scenarios
from testtools import TestCase

from ebonybend.codec import to_json
from ebonybend.control.admin_messages import ApplyAnswer
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_answer_parser import MAX_HEAD_BYTES, HeadTooLarge, MalformedAnswer
from ebonybend.tool.admin_client import AdminClient, Change
from ebonybend.tool.answer_reader import AnswerIncomplete, read_answer
from standins.answer_server import AnswerServer
from standins.broken_answers import BROKEN_ANSWERS, ODD_ANSWERS

ANSWER = b"HTTP/1.1 200 OK\r\nX-Name: v\r\nContent-Length: 5\r\n\r\nwhole"
CHANGE = Change("", 1, "Ben", "test", "c1")


def read(data, is_closed=True):
    """Return what is read of bytes on a connection."""
    sender, receiver = socketpair()
    with sender, receiver:
        receiver.settimeout(2.0)
        sender.sendall(data)
        if is_closed:
            sender.close()
        return read_answer(receiver, "GET", 100)


class BrokenAnswerTest(TestWithScenarios, TestCase):
    """Guards against an answer outside the grammar that the tool believes."""

    scenarios = [(name, {"change": x}) for name, x in BROKEN_ANSWERS.items()]

    def test_raises(self):
        self.assertRaises(MalformedAnswer, read, self.change(ANSWER), False)


class OddAnswerTest(TestWithScenarios, TestCase):
    """Guards against refusing an unusual answer, or waiting behind its end."""

    scenarios = [(name, {"change": x}) for name, x in ODD_ANSWERS.items()]

    def test_is_read(self):
        answer = read(self.change(ANSWER), False)
        self.assertEqual((200, b"whole"), (answer.status, answer.body))


class IncompleteAnswerTest(TestWithScenarios, TestCase):
    """Guards against a part of an answer, and against bytes without end."""

    scenarios = [
        ("nothing", {"data": b""}),
        ("cut off in the head", {"data": ANSWER[:20]}),
        ("cut off in the body", {"data": ANSWER[:-1]}),
        ("without a length", {"data": b"HTTP/1.1 200 OK\r\n\r\nwhole"}),
        ("large", {"data": ANSWER.replace(b": 5", b": 101") + b"x" * 96}),
        (
            "endless head",
            {"data": ANSWER[:17] + b"X: y\r\n" * 11_000, "error": HeadTooLarge},
        ),
    ]
    error = AnswerIncomplete

    def test_raises(self):
        self.assertLess(len(self.data), MAX_HEAD_BYTES + 2000)
        self.assertRaises(self.error, read, self.data)


class AdminClientTest(TestWithScenarios, TestCase):
    """Guards against a change reported as done or refused by a broken answer."""

    scenarios = multiply_scenarios(
        [
            ("applied", {"status": b"200", "body": to_json(ApplyAnswer(2, "c1"))}),
            ("refused", {"status": b"412", "body": b"{}"}),
        ],
        [
            ("status", {"change": BROKEN_ANSWERS["status b'2_00'"]}),
            ("field", {"change": BROKEN_ANSWERS["field name b' X-Name'"]}),
        ],
    )

    def test_outcome_is_unknown(self):
        head = b"HTTP/1.1 %s x\r\nX-Name: v\r\nContent-Length: %d\r\n\r\n"
        answer = head % (self.status, len(self.body)) + self.body
        server = AnswerServer(lambda _: self.change(answer))
        self.addCleanup(server.stop)
        client = AdminClient((server.address,), 2.0)
        for call, kind in (
            (lambda: client.put_rules(CHANGE), ErrorKind.OUTCOME_UNKNOWN),
            (lambda: client.get_history(5), ErrorKind.CONTROL_UNREACHABLE),
        ):
            error = self.assertRaises(SteeringError, call)
            self.assertIs(kind, error.kind)
