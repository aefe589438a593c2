from collections import Counter

from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import CancelledError, Deferred

from ebonybend.errors import ErrorKind
from ebonybend.node.backend_connection import (
    ACK_TIMEOUT_MS,
)
from ebonybend.node.tests.forwarder_fixture import (
    CLOSED,
    COLD_S,
    FAILED,
    FULL,
    MALFORMED,
    OK,
    REFUSED,
    WRONG_SERVER,
    ForwarderFixture,
)
from ebonybend.steering.crash_suspects import CRASHES_TO_REFUSE, CrashReport
from ebonybend.steering.culprits import identify
from ebonybend.world.route import ServiceLimits


class SilentServerTest(TestWithScenarios, TestCase):
    """Guards against giving up a running request whose server is cut off for a while.

    Load pattern: sign-offs on servers that a partition of some seconds cuts off.
    """

    scenarios = [
        ("idempotent", {"idempotent": True, "ack_timeout_ms": ACK_TIMEOUT_MS}),
        ("not idempotent", {"idempotent": False, "ack_timeout_ms": 8000}),
        (
            "not idempotent, near the deadline",
            {"idempotent": False, "deadline": 0.5, "ack_timeout_ms": ACK_TIMEOUT_MS},
        ),
    ]
    deadline = 8.0

    def test_time_without_acknowledgement(self):
        fixture = ForwarderFixture([OK], idempotent=self.idempotent)
        fixture.forward(deadline=self.deadline)
        self.assertEqual([self.ack_timeout_ms], fixture.pool.ack_timeouts_ms)


class ForwardTest(TestWithScenarios, TestCase):
    """Guards against a second run, a wrong "not run" and a needless failure."""

    scenarios = [
        ("answered", {"script": [OK], "sends": 1, "ends": 200}),
        ("lost, idempotent", {"script": [CLOSED, OK], "sends": 2, "ends": 200}),
        (
            "lost, not idempotent",
            {
                "script": [CLOSED, OK],
                "idempotent": False,
                "sends": 1,
                "ends": ErrorKind.ANSWER_LOST,
            },
        ),
        (
            "refusal of another request, not idempotent",
            {
                "script": [MALFORMED, OK],
                "idempotent": False,
                "sends": 1,
                "ends": ErrorKind.ANSWER_LOST,
            },
        ),
        (
            "full, not idempotent",
            {"script": [FULL, OK], "idempotent": False, "sends": 2, "ends": 200},
        ),
        (
            "full everywhere",
            {"script": [FULL, FULL], "sends": 2, "ends": ErrorKind.OVERLOADED},
        ),
        ("another server", {"script": [WRONG_SERVER, OK], "sends": 2, "ends": 200}),
        (
            "lost, then full",
            {"script": [CLOSED, FULL], "sends": 2, "ends": ErrorKind.ANSWER_LOST},
        ),
        ("failed, idempotent", {"script": [FAILED, OK], "sends": 2, "ends": 200}),
        (
            "failed, not idempotent",
            {"script": [FAILED, OK], "idempotent": False, "sends": 1, "ends": 500},
        ),
        ("failed twice", {"script": [FAILED, FAILED], "sends": 2, "ends": 500}),
        ("failed, then lost", {"script": [FAILED, CLOSED], "sends": 2, "ends": 500}),
        ("unreachable", {"script": [REFUSED, OK], "sends": 1, "ends": 200}),
        (
            "unreachable everywhere",
            {"script": [REFUSED] * 3, "sends": 0, "ends": ErrorKind.OVERLOADED},
        ),
        (
            "one send only",
            {
                "script": [CLOSED, OK],
                "max_sends": 1,
                "sends": 1,
                "ends": ErrorKind.ANSWER_LOST,
            },
        ),
        (
            "no budget for a second send",
            {
                "script": [CLOSED, OK],
                "slack": 0.0,
                "sends": 1,
                "ends": ErrorKind.ANSWER_LOST,
            },
        ),
    ]
    idempotent = True
    max_sends = 2
    slack = 100.0

    def test_forward(self):
        fixture = ForwarderFixture(
            self.script,
            self.slack,
            idempotent=self.idempotent,
            max_sends=self.max_sends,
        )
        fixture.forward()
        self.assertEqual(self.ends, fixture.outcome())
        self.assertEqual(self.sends, len(fixture.pool.sent))


class StoppingTest(TestWithScenarios, TestCase):
    """Guards against requests that are sent although the node ends before the answer.

    Load pattern: requests that wait when the stop begins.
    """

    scenarios = [
        ("not sent yet", {"script": [], "outcome": ErrorKind.DRAINING, "sends": 0}),
        ("not run", {"script": [FULL], "outcome": ErrorKind.DRAINING, "sends": 1}),
        ("may have run", {"script": [CLOSED], "outcome": ErrorKind.ANSWER_LOST}),
        ("failed", {"script": [FAILED], "outcome": 500}),
        ("answered", {"script": [OK], "outcome": 200}),
    ]
    sends = 1

    def test_nothing_is_sent_that_may_outlive_the_node(self):
        fixture = ForwarderFixture([])
        if not self.script:
            fixture.may_send = False
        fixture.forward()
        fixture.may_send = False
        if self.script:
            fixture.pool.script = [OK]
            result = self.script[0]
            is_error = isinstance(result, Exception)
            (
                fixture.pool.waiting.errback
                if is_error
                else fixture.pool.waiting.callback
            )(result)
        self.assertEqual(self.outcome, fixture.outcome())
        self.assertEqual(self.sends, len(fixture.pool.sent))

    def test_a_stop_while_connecting(self):
        fixture = ForwarderFixture([OK])
        connecting = fixture.pool.connecting = Deferred()
        fixture.forward()
        fixture.may_send = False
        connecting.callback(None)
        self.assertEqual(ErrorKind.DRAINING, fixture.outcome())
        self.assertEqual([], fixture.pool.sent)


class RestartTest(TestWithScenarios, TestCase):
    """Guards against a full rate for a cold server that the list doesn't name yet.

    Load pattern: a server that starts again under its name while the store is down, and
    many requests for it. They are answered at once, so the load limit doesn't bind.
    """

    RATE = 16.0
    # What the users' rules allow in one second.
    BOUND = 1.5 * RATE + 5

    scenarios = [
        ("connections are refused", {"evidence": "refused"}),
        ("all connections are closed", {"evidence": "closed"}),
        ("another server answered there", {"evidence": "misdirected"}),
        ("another node tells", {"evidence": "told"}),
        ("no evidence", {"evidence": "", "is_bound": False}),
        ("the old entry is listed again", {"evidence": "refused", "lists": True}),
    ]
    is_bound = True
    lists = False

    def test_requests_in_each_second(self):
        fixture = ForwarderFixture([OK], names=("s1",), max_sends=1)
        fixture.forwarder.services = {"s": ServiceLimits("s", 0, COLD_S, self.RATE)}
        self.send(fixture)
        fixture.clock.advance(1.0)
        self.show_end(fixture)
        fixture.clock.advance(1.0)
        counts = []
        for _ in range(round(COLD_S)):
            before = len(fixture.pool.sent)
            for _ in range(100):
                fixture.pool.script = [OK]
                self.send(fixture)
                fixture.clock.advance(0.01)
            if self.lists:
                fixture.list_servers()
            counts.append(len(fixture.pool.sent) - before)
        self.assertEqual(self.is_bound, max(counts) <= self.BOUND, counts)
        self.assertGreater(min(counts), 1)

    def send(self, fixture):
        fixture.forward(deadline=fixture.clock.seconds() + 1.0)

    def show_end(self, fixture):
        process = fixture.table.states["s1"].server.process
        if self.evidence == "refused":
            fixture.pool.script = [REFUSED]
            self.send(fixture)
        elif self.evidence == "misdirected":
            fixture.pool.script = [WRONG_SERVER]
            self.send(fixture)
        elif self.evidence == "closed":
            fixture.pool.closed_all_at = fixture.clock.seconds()
            fixture.pool.script = [CLOSED]
            self.send(fixture)
        elif self.evidence == "told":
            fixture.table.record_end(process, fixture.clock.seconds() - 0.2, 0.5)


class WaitingTest(TestCase):
    """Guards against work for clients that disconnected or whose deadline passed."""

    def test_no_retry_after_the_client_disconnected(self):
        fixture = ForwarderFixture([])
        running = fixture.forward()
        fixture.pool.script = [OK]
        running.cancel()
        self.assertEqual(CancelledError, fixture.outcome())
        self.assertEqual(1, len(fixture.pool.sent))

    def test_deadline_exceeded_without_an_answer(self):
        fixture = ForwarderFixture([])
        fixture.forward()
        fixture.clock.advance(1.0)
        fixture.clock.advance(0.0)
        self.assertEqual(ErrorKind.DEADLINE_EXCEEDED, fixture.outcome())

    def test_answer_that_arrived_while_the_process_was_paused(self):
        fixture = ForwarderFixture([])
        fixture.forward()
        # The loop runs its due timers before it reads the connection.
        fixture.clock.callLater(1.0, lambda: fixture.pool.waiting.callback(OK))
        fixture.clock.advance(1.5)
        self.assertEqual(200, fixture.outcome())

    def test_no_send_too_late_for_an_answer(self):
        fixture = ForwarderFixture([OK])
        connecting = fixture.pool.connecting = Deferred()
        fixture.forward()
        fixture.clock.advance(0.99)
        connecting.callback(None)
        self.assertEqual(ErrorKind.OVERLOADED, fixture.outcome())
        self.assertEqual([], fixture.pool.sent)

    def test_second_send_states_the_remaining_time(self):
        fixture = ForwarderFixture([])
        fixture.forward()
        fixture.clock.advance(0.6)
        fixture.pool.script = [OK]
        fixture.pool.waiting.errback(CLOSED)
        self.assertEqual(200, fixture.outcome())
        self.assertIn(b"Left: 0.4\r\n", fixture.pool.sent[1])

    def test_hop_by_hop_headers_are_not_forwarded(self):
        fixture = ForwarderFixture([OK])
        fixture.forward()
        sent = fixture.pool.sent[0]
        self.assertNotIn(b"Connection", sent)
        self.assertTrue(sent.startswith(b"POST /x?y=1 HTTP/1.1\r\n"))
        self.assertTrue(sent.endswith(b"Content-Length: 4\r\n\r\nbody"))

    def test_request_that_crashes_servers_is_refused(self):
        fixture = ForwarderFixture([CLOSED, REFUSED] * CRASHES_TO_REFUSE, max_sends=1)
        for _ in range(CRASHES_TO_REFUSE):
            fixture.forward(deadline=fixture.clock.seconds() + 1.0)
            # No other request is for this server.
            fixture.clock.advance(2.0)
        self.assertEqual(CRASHES_TO_REFUSE, len(fixture.pool.sent))
        fixture.results.clear()
        fixture.forward(deadline=fixture.clock.seconds() + 1.0)
        self.assertEqual(ErrorKind.SUSPECT_REFUSED, fixture.outcome())

    def test_a_retry_waits_for_the_check_that_may_refuse_it(self):
        fixture = ForwarderFixture([CLOSED, REFUSED] * CRASHES_TO_REFUSE, max_sends=1)
        for _ in range(CRASHES_TO_REFUSE - 1):
            fixture.forward(deadline=fixture.clock.seconds() + 1.0)
            fixture.clock.pump([0.1] * 20)
        fixture.route = evolve(fixture.route, max_sends=2)
        fixture.results.clear()
        fixture.forward(deadline=fixture.clock.seconds() + 1.0)
        fixture.clock.advance(0.1)
        self.assertEqual(CRASHES_TO_REFUSE, len(fixture.pool.sent))
        self.assertEqual(ErrorKind.ANSWER_LOST, fixture.outcome())

    def test_server_that_still_listens_did_not_crash(self):
        fixture = ForwarderFixture([CLOSED] * 9, max_sends=1)
        for _ in range(9):
            fixture.forward(deadline=fixture.clock.seconds() + 1.0)
            fixture.clock.advance(2.0)
        self.assertEqual(9, len(fixture.pool.checked))
        self.assertFalse(fixture.crash_detector.has_suspects())

    def test_a_server_is_checked_once_a_second(self):
        fixture = ForwarderFixture([CLOSED] * 40, max_sends=1)
        for _ in range(40):
            fixture.forward(deadline=fixture.clock.seconds() + 1.0)
            fixture.clock.advance(0.1)
        counts = Counter(fixture.pool.checked)
        self.assertLessEqual(max(counts.values()), 5)
        # Losses after a check are followed by another one.
        self.assertGreaterEqual(max(counts.values()), 2)

    def test_one_check_for_many_requests_lost_at_once(self):
        fixture = ForwarderFixture([CLOSED] * 3, max_sends=1)
        for _ in range(3):
            fixture.forward()
        fixture.clock.advance(1.0)
        self.assertLessEqual(len(fixture.pool.checked), 3)
        self.assertEqual(len(set(fixture.pool.checked)), len(fixture.pool.checked))

    def test_retry_is_refused_if_the_request_is_a_suspect_by_then(self):
        fixture = ForwarderFixture([])
        connecting = fixture.pool.connecting = Deferred()
        fixture.forward()
        report = CrashReport("", refused=True)
        name = identify(b"POST", "h", b"/x?y=1", b"body", "")
        fixture.crash_detector.merge("n2", [evolve(report, fingerprint=name)])
        fixture.pool.connecting = None
        connecting.callback(None)
        self.assertEqual(ErrorKind.SUSPECT_REFUSED, fixture.outcome())
        self.assertEqual([], fixture.pool.sent)

    def test_suspect_that_may_have_run_is_not_refused_as_not_run(self):
        fixture = ForwarderFixture([])
        fixture.forward()
        name = identify(b"POST", "h", b"/x?y=1", b"body", "")
        fixture.crash_detector.merge("n2", [CrashReport(name, refused=True)])
        fixture.pool.waiting.errback(CLOSED)
        self.assertEqual(ErrorKind.ANSWER_LOST, fixture.outcome())
        self.assertEqual(1, len(fixture.pool.sent))
