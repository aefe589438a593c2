from attrs import evolve
from returns.pipeline import is_successful
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred

from ebonybend.entry.tests.harness import (
    SLOTS,
    Harness,
    backend_answer,
    entry_answer,
    table,
)
from ebonybend.errors import ErrorKind
from ebonybend.http_client import (
    AnswerLost,
    AnswerMalformed,
    AnswerTimeout,
    AnswerTooLarge,
    NotSent,
    SendTooLate,
)
from ebonybend.steering.table import TableReply

OVERLOADED = ErrorKind.OVERLOADED
UNREACHABLE = ErrorKind.BACKEND_UNREACHABLE
LOST = ErrorKind.ANSWER_LOST
TIMED_OUT = ErrorKind.DEADLINE_EXCEEDED
SHED = backend_answer(503, Not_Run="true")
REMOTE_REFUSAL = entry_answer(503, "not_run", "overloaded")


def case(name, method, backend, kind, backend_sends, hop=REMOTE_REFUSAL, hop_sends=0):
    return (
        name,
        {
            "method": method,
            "backend": backend,
            "hop": hop,
            "kind": kind,
            "backend_sends": backend_sends,
            "hop_sends": hop_sends,
        },
    )


class FailureTest(TestWithScenarios, TestCase):
    """Guards against a wrong outcome or an unsafe retry after a failure.

    All backend servers fail in the same way, and so do all other domains.
    """

    scenarios = [
        case("read_refused", "GET", NotSent("x", True), UNREACHABLE, 3),
        case("read_shed", "GET", SHED, OVERLOADED, 3),
        case("read_lost", "GET", AnswerLost("x"), LOST, 2),
        case("read_timeout", "GET", AnswerTimeout("x"), TIMED_OUT, 3),
        case("read_malformed", "GET", AnswerMalformed("x"), LOST, 3),
        case("read_too_large", "GET", AnswerTooLarge("x"), LOST, 3),
        case("read_late", "GET", SendTooLate("x"), ErrorKind.DEADLINE_NOT_RUN, 1),
        case("write_refused", "POST", NotSent("x", True), UNREACHABLE, 3),
        case("write_shed", "POST", SHED, OVERLOADED, 3),
        case("write_lost", "POST", AnswerLost("x"), LOST, 1),
        case("write_timeout", "POST", AnswerTimeout("x"), TIMED_OUT, 1),
        case("write_malformed", "POST", AnswerMalformed("x"), LOST, 1),
        case("write_too_large", "POST", AnswerTooLarge("x"), LOST, 1),
        case("write_late", "POST", SendTooLate("x"), ErrorKind.DEADLINE_NOT_RUN, 1),
    ]

    def test_outcome_and_sends(self):
        harness = Harness().ready()
        harness.http.respond = lambda c: self.backend if c.to_backend else self.hop
        attempt = self.successResultOf(harness.steer(harness.request(self.method)))
        self.assertIs(self.kind, attempt.failure().error.kind)
        self.assertEqual(
            self.backend_sends, len(harness.http.calls_of_kind("to_backend"))
        )
        self.assertEqual(self.hop_sends, len(harness.http.calls_of_kind("to_hop")))
        harness.reactor.advance(1.0)
        self.assertEqual(0, harness.in_flight())

    def successResultOf(self, deferred):
        results = []
        deferred.addBoth(results.append)
        self.assertEqual(1, len(results))
        return results[0]


class HopFailureTest(TestWithScenarios, TestCase):
    """Guards against a wrong outcome when another entry fails or refuses."""

    scenarios = [
        (
            name,
            {"method": method, "hop": hop, "kind": kind, "sends": sends},
        )
        for name, method, hop, kind, sends in (
            ("read_refused", "GET", NotSent("x", True), UNREACHABLE, 2),
            ("read_not_run", "GET", REMOTE_REFUSAL, OVERLOADED, 1),
            ("read_lost", "GET", AnswerLost("x"), LOST, 2),
            ("read_no_outcome", "GET", entry_answer(200, None, None), LOST, 2),
            ("write_refused", "POST", NotSent("x", True), UNREACHABLE, 2),
            ("write_not_run", "POST", REMOTE_REFUSAL, OVERLOADED, 1),
            ("write_lost", "POST", AnswerLost("x"), LOST, 1),
            ("write_timeout", "POST", AnswerTimeout("x"), TIMED_OUT, 1),
            ("write_no_outcome", "POST", entry_answer(200, None, None), LOST, 1),
            (
                "write_unknown",
                "POST",
                entry_answer(502, "unknown", "answer_lost"),
                LOST,
                1,
            ),
            (
                "write_kind_does_not_fit",
                "POST",
                entry_answer(503, "not_run", "answer_lost"),
                ErrorKind.OUTCOME_UNKNOWN,
                1,
            ),
            (
                "write_new_kind",
                "POST",
                entry_answer(503, "not_run", "some_new_kind"),
                ErrorKind.OUTCOME_UNKNOWN,
                1,
            ),
            (
                "write_suspect",
                "POST",
                entry_answer(422, "not_run", "suspect_refused"),
                ErrorKind.SUSPECT_REFUSED,
                1,
            ),
        )
    ]

    def test_outcome_and_sends(self):
        harness = Harness().ready(servers=0)
        harness.http.respond = lambda call: self.hop
        results = []
        harness.steer(harness.request(self.method)).addBoth(results.append)
        self.assertIs(self.kind, results[0].failure().error.kind)
        self.assertEqual(self.sends, len(harness.http.calls_of_kind("to_hop")))


class RetryElsewhereTest(TestCase):
    """Guards against giving up while a safe retry is possible."""

    def steer_with_first_failure(self, method, failure):
        harness = Harness().ready()

        def respond(call):
            return failure if len(harness.http.calls) == 1 else backend_answer()

        harness.http.respond = respond
        results = []
        harness.steer(harness.request(method)).addBoth(results.append)
        return harness, results[0]

    def test_read_after_each_failure(self):
        for failure in (NotSent("x"), SHED, AnswerLost("x"), AnswerTimeout("x")):
            harness, attempt = self.steer_with_first_failure("GET", failure)
            self.assertTrue(is_successful(attempt))
            self.assertNotEqual(*[call.address for call in harness.http.calls])

    def test_write_only_after_not_run(self):
        for failure in (NotSent("x"), SHED):
            _, attempt = self.steer_with_first_failure("POST", failure)
            self.assertTrue(is_successful(attempt))

    def assert_ejected(self, failure):
        harness = Harness().ready(servers=0)
        answered = entry_answer(200, "answered", None)

        def respond(call):
            if call.address != "m1a:2":
                return answered
            if isinstance(failure, AnswerTimeout):
                harness.reactor.advance(harness.http.timeouts[-1])
            return failure

        harness.http.respond = respond
        for _ in range(20):
            harness.steer(harness.request())
        hops = [call.address for call in harness.http.calls_of_kind("to_hop")]
        self.assertEqual((1, 20), (hops.count("m1a:2"), hops.count("m1b:2")))

    def test_instance_that_refused_a_hop_is_not_tried_by_the_next_request(self):
        self.assert_ejected(NotSent("x", True))

    def test_silent_instance_is_not_tried_by_the_next_request(self):
        """Guards against reads that each wait for a paused instance."""
        self.assert_ejected(AnswerTimeout("x"))

    def test_slow_request_does_not_make_its_instance_silent(self):
        """Guards against ejecting an instance after a request with a short deadline."""
        harness = Harness().ready(servers=0)
        late = AnswerTimeout("x")
        harness.http.respond = lambda call: late
        harness.steer(harness.request())
        harness.http.respond = lambda call: entry_answer(200, "answered", None)
        for _ in range(20):
            harness.steer(harness.request())
        hops = [call.address for call in harness.http.calls_of_kind("to_hop")][2:]
        self.assertEqual({"m1a:2", "m1b:2"}, set(hops))

    def test_read_waits_for_another_entry_for_half_of_its_time(self):
        """Guards against a read that has no time left for a retry."""
        harness = Harness().ready(servers=0)
        harness.http.respond = lambda call: entry_answer(200, "answered", None)
        for method in ("GET", "POST"):
            harness.steer(harness.request(method))
        self.assertEqual([1.0, 2.25], harness.http.timeouts)

    def test_not_run_is_not_reported_after_an_attempt_that_may_have_run(self):
        harness = Harness().ready()
        answers = [AnswerLost("x"), SHED, SHED]
        harness.http.respond = lambda call: answers.pop(0)
        results = []
        harness.steer(harness.request()).addBoth(results.append)
        self.assertIs(LOST, results[0].failure().error.kind)


class CrashTest(TestCase):
    """Guards against rerunning a crashing request together with others."""

    def test_one_crash_counts_once_and_is_notified(self):
        harness = Harness().ready(servers=1)
        pending = []

        def respond(call):
            pending.append(Deferred())
            return pending[-1]

        harness.http.respond = respond
        results = []
        for number in range(2):
            request = harness.request(
                "POST", key=f"k1a~7~1~{number}", body=b"%d" % number
            )
            harness.steer(request).addBoth(results.append)
        for deferred in pending:
            deferred.callback(AnswerLost("crash"))
        self.assertEqual([LOST, LOST], [r.failure().error.kind for r in results])
        self.assertEqual(1, len(harness.notices))
        views = harness.plane.suspects.views()
        self.assertEqual([1, 1], [view.crashes for view in views])
        self.assertFalse(any(view.refused for view in views))

    def test_read_that_crashes_a_second_server_is_refused(self):
        harness = Harness().ready()
        harness.http.respond = lambda call: AnswerLost("crash")
        results = []
        harness.steer(harness.request()).addBoth(results.append)
        self.assertEqual(2, len(harness.http.calls))
        harness.steer(harness.request()).addBoth(results.append)
        self.assertEqual(2, len(harness.http.calls))
        self.assertIs(ErrorKind.SUSPECT_REFUSED, results[1].value.kind)


class ServerGaveUpTest(TestCase):
    """Guards against the outcome "answered" when a server gave up at the deadline."""

    def test_504_at_the_deadline_is_unknown_and_an_earlier_one_is_an_answer(self):
        harness = Harness().ready()
        results = []
        answer = Deferred()
        harness.http.respond = lambda call: answer
        harness.steer(harness.request("POST")).addBoth(results.append)
        harness.reactor.advance(1.96)
        answer.callback(backend_answer(504))
        self.assertIs(TIMED_OUT, results[0].failure().error.kind)
        harness.http.respond = lambda call: backend_answer(504)
        harness.steer(harness.request()).addBoth(results.append)
        self.assertEqual(504, results[1].unwrap().status)


class PausedEntryTest(TestWithScenarios, TestCase):
    """Guards against traffic to other regions past idle servers of the own domain.

    Load pattern: an entry pauses with requests inside, and its answers seem slow; then
    its servers are idle, and no request corrects their latency.
    """

    scenarios = [
        ("a pause of the process", {"pause_s": 3.0, "idle_s": 0.5}),
        ("a server that was slow, long ago", {"slow_s": 3.0, "idle_s": 20.0}),
    ]
    pause_s = 0.0
    slow_s = 0.0

    def run_for(self, harness, seconds):
        for _ in range(round(seconds / 0.25)):
            harness.reactor.advance(0.25)
            harness.plane.ledger.tick()

    def report_latency(self, harness):
        """Apply a table with the latency that this entry reports."""
        latest = table(harness.plane.table_state.table.serial + 1)
        own, *others = latest.domains
        latency_ms = max(harness.plane.chooser.latency_ms(f"s{i}") for i in range(3))
        load = evolve(own.services[0], latency_ms=latency_ms)
        domains = (evolve(own, services=(load,)), *others)
        reply = TableReply(evolve(latest, domains=domains))
        harness.plane.table_state.apply_reply(reply)

    def test_next_request_runs_in_the_own_domain(self):
        harness = Harness().ready()
        answer = Deferred()
        harness.http.respond = lambda call: answer
        harness.steer(harness.request(deadline_s=5.0))
        self.run_for(harness, self.slow_s)
        harness.reactor.advance(self.pause_s)
        answer.callback(backend_answer())
        self.run_for(harness, self.idle_s)
        self.report_latency(harness)
        harness.http.calls.clear()
        harness.http.respond = lambda call: backend_answer()
        harness.steer(harness.request())
        self.assertEqual(
            (1, 0),
            (
                len(harness.http.calls_of_kind("to_backend")),
                len(harness.http.calls_of_kind("to_hop")),
            ),
        )


class SlotTest(TestCase):
    """Guards against more requests on a server than it has slots."""

    def test_cancelled_reads_occupy_their_slots_until_the_server_cancels(self):
        harness = Harness().ready(servers=1)
        harness.http.respond = lambda call: (
            Deferred() if call.to_backend else REMOTE_REFUSAL
        )
        running = []
        for _ in range(SLOTS + 3):
            request = harness.request()
            request.client_disconnected = False
            running.append((request, harness.steer(request)))
        self.assertEqual(SLOTS, harness.in_flight())
        for request, deferred in running:
            request.client_disconnected = True
            deferred.addErrback(lambda _: None)
            deferred.cancel()
        self.assertEqual(SLOTS, harness.in_flight())
        harness.reactor.advance(0.2)
        self.assertEqual(0, harness.in_flight())

    def test_draining_server_gets_no_new_work(self):
        harness = Harness().ready(servers=1)
        harness.http.respond = lambda call: backend_answer(200, Draining="true")
        results = []
        harness.steer(harness.request()).addBoth(results.append)
        harness.plane.set_server_states(harness.plane.table_state.table)
        harness.http.respond = lambda call: REMOTE_REFUSAL
        harness.steer(harness.request()).addBoth(results.append)
        self.assertEqual(1, len(harness.http.calls_of_kind("to_backend")))
