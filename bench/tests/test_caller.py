from time import monotonic

from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.web.http_headers import Headers

from bench.caller import LoadClient, PlannedOperation
from bench.load import RegionLoad, Traffic
from ebonybend.codec import to_json
from ebonybend.http_client import AnswerLost, HttpAnswer, NotSent
from standins.echo import build_answer

LOOKUP = to_json(
    {
        "lifetime_ms": 5000,
        "instances": [
            {"name": name, "address": f"{name}:1", "key_prefix": f"{name}~7~0"}
            for name in ("a", "b", "c")
        ],
    }
)
REFUSED = NotSent("refused", True)
LOST = AnswerLost("lost")


def answer(outcome, status=200, body=b"", **headers):
    raw = {name.replace("_", "-"): [value] for name, value in headers.items()}
    return HttpAnswer(status, Headers({"Ebonybend-Outcome": [outcome], **raw}), body)


NOT_RUN = answer("not_run", 503)
KEY_NOT_RUN = answer("not_run", 503, Request_Id="op1.1")
UNKNOWN = answer("unknown", 502)


class FakeHttp:
    """Answer lookups, and each request with the next of the given results."""

    def __init__(self, results):
        self.results = list(results)
        self.sent = []

    async def request(self, method, address, path, headers=None, body=b"", *_, **__):
        if path.startswith("/v1/lookup"):
            return HttpAnswer(200, Headers(), LOOKUP)
        self.sent.append((address, headers.get("Idempotency-Key", "")))
        result = self.results.pop(0) if self.results else "whole"
        if isinstance(result, Exception):
            raise result
        if result == "whole":
            below = path.removeprefix("/s/filing")
            echo = build_answer("s1", headers["Request-Id"], below, body, 50)
            return answer("answered", 200, echo)
        return result


def perform(results, method="POST"):
    """Perform one operation with a clock that advances while the client waits.

    Return the operation's record and the requests that were sent.
    """
    clock = Clock()
    load = RegionLoad("r", ("me",), ("127.0.0.1",), ("10.1.1.1",), ("a:1",), ())
    client = LoadClient(clock, load, 0)
    client.http = client.lookups.http = FakeHttp(results)
    traffic = Traffic("filing", method, 1.0, "/file", 60_000)
    body = b"x" if method == "POST" else b""
    planned = PlannedOperation("op1", traffic, "/file?op=op1", body, monotonic())
    finished = []
    Deferred.fromCoroutine(client.perform(planned)).addBoth(finished.append)
    while not finished:
        clock.advance(0.1)
    return finished[0], client.http.sent


class KeyTest(TestWithScenarios, TestCase):
    """Guards against a client that causes a second run of a write or stops early."""

    scenarios = [
        (
            "refused_connection_takes_a_new_key",
            {"results": [REFUSED], "keys": ["a~7~0~op1", "b~7~0~op1"]},
        ),
        (
            "lost_answer_keeps_the_key",
            {"results": [LOST], "keys": ["a~7~0~op1"] * 2},
        ),
        (
            "refusal_after_a_lost_answer_keeps_the_key",
            {"results": [LOST, REFUSED], "keys": ["a~7~0~op1"] * 3},
        ),
        (
            "refusal_of_a_copy_that_was_not_read_keeps_the_key",
            {"results": [NOT_RUN], "keys": ["a~7~0~op1"] * 2},
        ),
        (
            "refusal_of_the_key_takes_a_new_key",
            {"results": [KEY_NOT_RUN], "keys": ["a~7~0~op1", "b~7~0~op1"]},
        ),
        (
            "unknown_keeps_the_key",
            {"results": [UNKNOWN, UNKNOWN], "keys": ["a~7~0~op1"] * 3},
        ),
    ]

    def test_keys(self):
        operation, sent = perform(self.results)
        self.assertEqual("whole", operation.result)
        self.assertEqual(self.keys, [key for _, key in sent])
        addresses = [address for address, _ in sent]
        self.assertEqual(["a:1", "b:1", "c:1"][: len(sent)], addresses)


class AnswerTest(TestCase):
    def test_refusal_by_a_rule_is_not_sent_again(self):
        operation, sent = perform([answer("not_run", 403)])
        self.assertEqual(("not_run", 1), (operation.result, len(sent)))

    def test_answer_to_another_request_is_wrong(self):
        other = build_answer("s1", "op2.1", "/file?op=op2", b"x", 50)
        operation, _ = perform([answer("answered", 200, other)])
        self.assertEqual("wrong", operation.result)

    def test_truncated_answer_is_wrong(self):
        whole = build_answer("s1", "op1.1", "/file?op=op1", b"x", 50)
        operation, _ = perform([answer("answered", 200, whole[:-1])])
        self.assertEqual("wrong", operation.result)
