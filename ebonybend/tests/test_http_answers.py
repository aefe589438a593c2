from hypothesis import given, settings
from hypothesis.strategies import integers, lists, sampled_from
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.http_answers import AnswerLost, AnswerParser, AnswerTooLarge

LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nA: 1\r\nA: 2\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nTrailer: 1\r\n\r\n"
)


def head(*lines):
    return b"\r\n".join((b"HTTP/1.1 200 OK", *lines, b"", b""))


class WholeAnswerTest(TestCase):
    """Guards against an answer that depends on how its bytes arrive."""

    @settings(max_examples=100, deadline=None, derandomize=True, database=None)
    @given(data=sampled_from([LENGTH, CHUNKED]), cuts=lists(integers(0, 150)))
    def test_any_split(self, data, cuts):
        parser = AnswerParser(True, 100)
        places = sorted({0, len(data), *(c for c in cuts if c < len(data))})
        answers = [
            parser.feed(data[start:end])
            for start, end in zip(places, places[1:], strict=False)
        ]
        self.assertEqual([None] * (len(answers) - 1), answers[:-1])
        self.assertEqual((200, b"hello"), (answers[-1].status, answers[-1].body))
        self.assertTrue(parser.keeps_connection)


class BrokenAnswerTest(TestWithScenarios, TestCase):
    """Guards against taking what is no whole answer for one."""

    scenarios = [
        (name, {"data": data, "error": error})
        for name, data, error in (
            ("garbage", b"hello\r\n\r\n", AnswerLost),
            ("status", b"HTTP/1.1 2x0 OK\r\n\r\n", AnswerLost),
            ("upgrade", b"HTTP/1.1 101 Switch\r\n\r\n", AnswerLost),
            ("no_length", head(), AnswerLost),
            ("bad_length", head(b"Content-Length: 5x"), AnswerLost),
            ("negative_length", head(b"Content-Length: -5"), AnswerLost),
            (
                "two_lengths",
                head(b"Content-Length: 5", b"Content-Length: 6"),
                AnswerLost,
            ),
            ("folded_header", head(b"A: 1", b" 2", b"Content-Length: 0"), AnswerLost),
            ("other_coding", head(b"Transfer-Encoding: gzip"), AnswerLost),
            (
                "bad_chunk",
                head(b"Transfer-Encoding: chunked") + b"5\r\nhelloXX",
                AnswerLost,
            ),
            (
                "bad_chunk_size",
                head(b"Transfer-Encoding: chunked") + b"-5\r\n",
                AnswerLost,
            ),
            ("endless_head", b"HTTP/1.1 200 OK\r\n" + b"A: 1\r\n" * 20000, AnswerLost),
            ("large", head(b"Content-Length: 101"), AnswerTooLarge),
            (
                "large_chunks",
                head(b"Transfer-Encoding: chunked") + b"65\r\n",
                AnswerTooLarge,
            ),
        )
    ]

    def test_refused(self):
        self.assertRaises(self.error, AnswerParser(True, 100).feed, self.data)


class ConnectionEndTest(TestWithScenarios, TestCase):
    """Guards against reuse of a connection that the other side closes."""

    scenarios = [
        ("close", {"data": head(b"Connection: close", b"Content-Length: 0")}),
        ("old_version", {"data": b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"}),
        ("more_bytes", {"data": head(b"Content-Length: 0") + b"x"}),
    ]

    def test_not_kept(self):
        parser = AnswerParser(True, 100)
        self.assertIsNotNone(parser.feed(self.data))
        self.assertFalse(parser.keeps_connection)

    def test_head_has_no_body(self):
        parser = AnswerParser(False, 100)
        answer = parser.feed(head(b"Content-Length: 500"))
        self.assertEqual(b"", answer.body)
