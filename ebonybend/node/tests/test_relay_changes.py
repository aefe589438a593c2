from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.task import Clock
from twisted.web.http_headers import Headers

from ebonybend.http_client import (
    AnswerTimeout,
    HttpAnswer,
    NotSent,
    RequestCancelled,
)
from ebonybend.node.relay_changes import RelayClient
from ebonybend.store.client import StoreFailureKind
from ebonybend.store.tests.memory_store import result_of


class OneAnswer:
    """An HTTP client whose only request ends in one way."""

    def __init__(self, outcome):
        self.outcome = outcome

    async def request(self, *_arguments, **_options):
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


class FailedFetchTest(TestWithScenarios, TestCase):
    """Guards against a relay that counts as failed because its reader cancelled."""

    scenarios = [
        (
            "cancelled by the reader",
            {
                "outcome": RequestCancelled("cancelled by the caller"),
                "kind": StoreFailureKind.ANSWER_LOST,
                "cancelled": True,
            },
        ),
        (
            "no answer in time",
            {
                "outcome": AnswerTimeout("no answer"),
                "kind": StoreFailureKind.ANSWER_LOST,
            },
        ),
        (
            "connection refused",
            {
                "outcome": NotSent("refused", refused=True),
                "kind": StoreFailureKind.UNAVAILABLE,
            },
        ),
        (
            "changes not known",
            {
                "outcome": HttpAnswer(410, Headers(), b""),
                "kind": StoreFailureKind.REJECTED,
            },
        ),
        (
            "undecodable changes",
            {
                "outcome": HttpAnswer(200, Headers(), b"\xc1"),
                "kind": StoreFailureKind.REJECTED,
            },
        ),
    ]
    cancelled = False

    def test_kind_of_the_failure(self):
        client = RelayClient(OneAnswer(self.outcome))
        answer = result_of(Clock(), client.fetch("10.0.0.1:82", "servers", 1))
        self.assertEqual(self.kind, answer.failure().kind)
        self.assertIs(self.cancelled, answer.failure().cancelled)
