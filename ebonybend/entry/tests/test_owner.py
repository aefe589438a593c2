from returns.pipeline import is_successful
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred

from ebonybend.codec import pack
from ebonybend.entry.messages import OutcomeFound
from ebonybend.entry.tests.harness import Harness, backend_answer, entry_answer
from ebonybend.errors import ErrorKind, Outcome
from ebonybend.http_client import AnswerLost, AnswerTimeout, HttpAnswer, NotSent
from ebonybend.steering.keys import StoredAnswer
from ebonybend.steering.outcomes import KnownOutcome, KnownOutcomeState


def steer(harness, **change):
    results = []
    request = harness.request("POST", **change)
    harness.steer(request).addBoth(results.append)
    return results


class ResendTest(TestCase):
    """Guards against a second run and a wrong answer under one key."""

    def setUp(self):
        super().setUp()
        self.harness = Harness().ready()

    def test_resend_while_running_and_after(self):
        answer = Deferred()
        self.harness.http.respond = lambda call: answer
        first, second = steer(self.harness), steer(self.harness)
        self.assertEqual([], first + second)
        answer.callback(backend_answer())
        third = steer(self.harness)
        self.assertEqual(
            [b"body"] * 3, [r[0].unwrap().body for r in (first, second, third)]
        )
        self.assertEqual(1, len(self.harness.http.sent("to_backend")))

    def test_caller_is_answered_at_its_deadline_and_the_run_goes_on(self):
        answer = Deferred()
        self.harness.http.respond = lambda call: answer
        first = steer(self.harness, deadline_s=1.0)
        self.harness.reactor.advance(1.0)
        self.assertIs(ErrorKind.DEADLINE_EXCEEDED, first[0].failure().error.kind)
        answer.callback(backend_answer())
        resent = steer(self.harness)
        self.assertEqual(b"body", resent[0].unwrap().body)
        self.assertEqual(1, len(self.harness.http.calls))

    def test_unknown_stays_unknown(self):
        self.harness.http.respond = lambda call: AnswerLost("x")
        steer(self.harness)
        self.harness.http.respond = lambda call: backend_answer()
        again = steer(self.harness)
        self.assertIs(ErrorKind.OUTCOME_UNKNOWN, again[0].failure().error.kind)
        self.assertEqual(1, len(self.harness.http.sent("to_backend")))

    def test_delayed_copy_does_not_run_after_a_refusal(self):
        self.harness.http.respond = lambda call: NotSent("x", True)
        first = steer(self.harness)
        self.assertIs(Outcome.NOT_RUN, first[0].failure().error.answer.outcome)
        sent = len(self.harness.http.calls)
        self.harness.http.respond = lambda call: backend_answer()
        copy = steer(self.harness)
        self.assertIs(ErrorKind.KEY_NOT_RUN, copy[0].failure().error.kind)
        self.assertEqual(sent, len(self.harness.http.calls))

    def test_closed_owner_answers_what_it_knows_and_runs_nothing(self):
        steer(self.harness)
        self.harness.plane.registry.close()
        resent = steer(self.harness)
        self.assertTrue(is_successful(resent[0]))
        new = steer(self.harness, key=f"{self.harness.plane.registry.prefix()}~new")
        self.assertIs(ErrorKind.DRAINING, new[0].failure().error.kind)
        self.assertEqual(1, len(self.harness.http.sent("to_backend")))

    def test_other_request_under_the_key_gets_no_answer(self):
        steer(self.harness)
        other = steer(self.harness, body=b"other")
        self.assertIs(ErrorKind.BAD_KEY, other[0].failure().error.kind)

    def test_sealed_owner_runs_nothing(self):
        self.harness.plane.registry.seal()
        refused = steer(self.harness)
        self.assertIs(ErrorKind.DRAINING, refused[0].failure().error.kind)
        self.assertEqual([], self.harness.http.calls)

    def test_deadline_is_checked_at_dispatch(self):
        late = steer(self.harness, deadline_s=0.0)
        self.assertIs(ErrorKind.DEADLINE_NOT_RUN, late[0].failure().error.kind)
        self.assertEqual([], self.harness.http.sent("to_backend"))


def found(state, answer=None):
    return HttpAnswer(200, None, pack(OutcomeFound(KnownOutcome(state, answer))))


class ForeignKeyTest(TestWithScenarios, TestCase):
    """Guards against "not run" or a run for a key of another entry."""

    scenarios = [
        (name, {"owner": owner, "find": find, "kind": kind})
        for name, owner, find, kind in (
            ("lost", AnswerLost("x"), None, ErrorKind.ANSWER_LOST),
            ("timeout", AnswerTimeout("x"), None, ErrorKind.DEADLINE_EXCEEDED),
            ("gone", NotSent("x"), NotSent("x"), ErrorKind.OUTCOME_UNKNOWN),
            (
                "peer_knows_unknown",
                NotSent("x"),
                found(KnownOutcomeState.UNKNOWN),
                ErrorKind.OUTCOME_UNKNOWN,
            ),
            (
                "sealed",
                NotSent("x"),
                found(KnownOutcomeState.NOT_RUN),
                ErrorKind.DRAINING,
            ),
            (
                "owner_refuses",
                entry_answer(503, "not_run", "overloaded"),
                None,
                ErrorKind.OVERLOADED,
            ),
            (
                "owner_did_not_read_the_key",
                entry_answer(503, "not_run", "too_many_connections"),
                NotSent("x"),
                ErrorKind.OUTCOME_UNKNOWN,
            ),
            (
                "owner_unknown",
                entry_answer(502, "unknown", "answer_lost"),
                None,
                ErrorKind.ANSWER_LOST,
            ),
        )
    ]

    def test_kind(self):
        harness = Harness().ready()
        harness.http.respond = lambda c: self.owner if c.to_owner else self.find
        result = steer(harness, key="m1a~7~0~x")
        self.assertIs(self.kind, result[0].failure().error.kind)
        self.assertEqual(1, len(harness.http.sent("to_owner")))
        self.assertEqual([], harness.http.sent("to_backend"))


class ForeignAnswerTest(TestCase):
    """Guards against losing an answer that the owner or its peer holds."""

    def test_owner_answers(self):
        harness = Harness().ready()
        harness.http.respond = lambda call: entry_answer(201, "answered", None)
        result = steer(harness, key="m1a~7~0~x")
        self.assertEqual(201, result[0].unwrap().status)

    def test_peer_answers_for_a_dead_incarnation(self):
        harness = Harness().ready()
        stored = StoredAnswer("f", 201, None, b"kept", "s")
        harness.http.respond = lambda call: found(KnownOutcomeState.FINISHED, stored)
        result = steer(harness, key="m1a~6~0~x")
        self.assertEqual(b"kept", result[0].unwrap().body)
        self.assertEqual([], harness.http.sent("to_owner"))
