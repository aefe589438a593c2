from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from ebonybend.errors import ErrorKind
from ebonybend.node.caller_requests import ClientRequest
from ebonybend.node.crash_watch import fingerprint_of
from ebonybend.node.tests.forwarder_fixture import (
    CLOSED,
    FAILED,
    FULL,
    MALFORMED,
    OK,
    REFUSED,
    ROUTE,
    ForwarderFixture,
)
from ebonybend.steering.crash_suspects import CRASHES_TO_REFUSE
from ebonybend.world.backend_server import ServerProcess

OTHER_ROUTE = evolve(ROUTE, name="t", prefix="/x/")
OTHER_HOST = evolve(ROUTE, host="i")
REQUEST = ClientRequest(
    request_id=b"a1",
    method=b"GET",
    uri=b"/x/7",
    headers=Headers(),
    body=b"",
    route=ROUTE,
    service="s",
    object_key=b"17",
    arrived_at=0.0,
    deadline=100.0,
    urgent_route=None,
    caller="10.9.0.1",
)


class IdentityTest(TestWithScenarios, TestCase):
    """Guards against a culprit that isn't recognised, or that is taken for others."""

    scenarios = [
        ("another attempt", {"changes": {"request_id": b"a2"}, "is_same": True}),
        ("another service", {"changes": {"service": "t"}, "is_same": True}),
        ("another route", {"changes": {"route": OTHER_ROUTE}, "is_same": True}),
        ("another key", {"changes": {"object_key": b"18"}, "is_same": True}),
        ("another method", {"changes": {"method": b"HEAD"}, "is_same": False}),
        ("another host", {"changes": {"route": OTHER_HOST}, "is_same": False}),
        ("a query", {"changes": {"uri": b"/x/7?y=1"}, "is_same": False}),
        ("another caller", {"changes": {"caller": "10.9.0.2"}, "is_same": False}),
        ("another path", {"changes": {"uri": b"/x/8"}, "is_same": False}),
        ("another body", {"changes": {"body": b"b"}, "is_same": False}),
        ("split elsewhere", {"changes": {"uri": b"/x", "body": b"/7"}}),
        ("method and path", {"changes": {"method": b"GET/x", "uri": b"/7"}}),
    ]
    is_same = False

    def test_identity(self):
        other = evolve(REQUEST, **self.changes)
        self.assertEqual(self.is_same, fingerprint_of(REQUEST) == fingerprint_of(other))


def crash_servers(fixture, request, count):
    """Let a number of servers end in one moment under a request."""
    for number in range(count):
        process = ServerProcess(f"ended{number}", 7)
        detector = fixture.crash_detector
        detector.record_lost_request(process, fingerprint_of(request))
        detector.record_end(process)


class OtherRequestsTest(TestWithScenarios, TestCase):
    """Guards against requests that are refused for what another request did.

    Load pattern: one request crashes three servers at once; others follow that differ
    from it in one part.
    """

    scenarios = [
        ("method", {"changes": {"method": b"PUT"}}),
        ("host", {"changes": {"route": OTHER_HOST}}),
        ("path", {"changes": {"uri": b"/x/8"}}),
        ("query", {"changes": {"uri": b"/x/7?y=1"}}),
        ("body", {"changes": {"body": b"other"}}),
        ("caller", {"changes": {"caller": "10.9.0.2"}}),
    ]

    def test_only_the_culprit_is_refused(self):
        fixture = ForwarderFixture([OK])
        crash_servers(fixture, REQUEST, CRASHES_TO_REFUSE)
        fixture.forward_request(REQUEST)
        self.assertEqual([], fixture.pool.sent)
        fixture.forward_request(evolve(REQUEST, **self.changes))
        self.assertEqual(OK, fixture.results[-1])


class AcquittingRequestsTest(TestWithScenarios, TestCase):
    """Guards against a culprit that is served for what other requests achieve.

    Load pattern: one request crashes a server now and then; many others succeed that
    differ from it in one part.
    """

    scenarios = OtherRequestsTest.scenarios

    def test_culprit_is_refused(self):
        names = [f"s{number}" for number in range(20)]
        fixture = ForwarderFixture([], slack=1000.0, names=names, max_sends=1)
        bad = evolve(REQUEST, route=fixture.route)
        for _ in range(CRASHES_TO_REFUSE):
            fixture.pool.script = [CLOSED, REFUSED]
            fixture.forward_request(bad)
            fixture.clock.advance(0.1)
            fixture.pool.script = [OK] * 9
            for _ in range(9):
                fixture.forward_request(evolve(bad, **self.changes))
        sent = len(fixture.pool.sent)
        fixture.forward_request(bad)
        self.assertEqual(sent, len(fixture.pool.sent))


class CountedLossTest(TestWithScenarios, TestCase):
    """Guards against an end that isn't counted, by how the request was lost on it."""

    scenarios = [
        ("closed", {"script": [CLOSED]}),
        ("broken off midway", {"script": [MALFORMED]}),
        ("the client left", {"script": []}),
    ]

    def test_counted(self):
        fixture = ForwarderFixture(self.script, names=("s1",))
        request = evolve(REQUEST, route=fixture.route)
        running = fixture.forward_request(request)
        if not self.script:
            running.cancel()
        fixture.clock.advance(0.01)
        server = fixture.table.states["s1"].server
        fixture.forwarder.crash_watch.record_end(server, "refused connection")
        suspects = fixture.crash_detector.suspects
        self.assertEqual(1, len(suspects[fingerprint_of(request)].crashes))


class LeftWhileConnectingTest(TestCase):
    """Guards against a crash that counts for a request that the server never got."""

    def test_no_loss(self):
        fixture = ForwarderFixture([MALFORMED], names=("s1", "s2"))
        request = evolve(REQUEST, route=fixture.route)
        connecting = Deferred()
        send = fixture.pool.send

        def delay_the_next(*arguments):
            fixture.pool.connecting = connecting
            return send(*arguments)

        fixture.pool.send = delay_the_next
        running = fixture.forward_request(request)
        running.cancel()
        lost_on = [server.name for server in fixture.crash_detector.lost]
        self.assertEqual(1, len(fixture.pool.sent))
        self.assertEqual(1, len(lost_on), lost_on)


class SharedContentTest(TestCase):
    """Guards against a culprit that others' runs of the same content acquit.

    Load pattern: one caller's request crashes servers; others send the same, often.
    """

    def test_is_refused_for_its_caller_only(self):
        names = [f"s{number}" for number in range(20)]
        fixture = ForwarderFixture([], slack=1000.0, names=names, max_sends=1)
        bad = evolve(REQUEST, route=fixture.route)
        others = [
            evolve(REQUEST, route=fixture.route, caller=f"10.9.1.{n}") for n in range(9)
        ]
        for _ in range(3):
            fixture.pool.script = [CLOSED, REFUSED]
            fixture.forward_request(bad)
            fixture.clock.advance(0.1)
            fixture.pool.script = [OK] * len(others)
            for request in others:
                fixture.forward_request(request)
        sent = len(fixture.pool.sent)
        fixture.forward_request(bad)
        self.assertEqual(sent, len(fixture.pool.sent))
        fixture.pool.script = [OK]
        fixture.forward_request(others[0])
        self.assertEqual(sent + 1, len(fixture.pool.sent))


class Claims:
    """Permits for trials, given by a script."""

    def __init__(self, permits):
        self.permits = permits
        self.asked = []

    async def claim(self, fingerprint, since_crash_s):
        """Return the next permit, when it is known."""
        self.asked.append(fingerprint)
        permit = self.permits.pop(0) if self.permits else False
        return await permit if isinstance(permit, Deferred) else permit

    def give_back(self, fingerprint):
        """Hold the permit for the next time."""
        self.permits.insert(0, True)


class TrialTest(TestWithScenarios, TestCase):
    """Guards against a refusal that confirms itself, or a trial that is repeated."""

    scenarios = [
        ("answered", {"script": [OK], "outcome": 200, "refused": False}),
        (
            "failed on two servers",
            {
                "script": [FAILED, FAILED],
                "sends": 2,
                "outcome": 500,
                "refused": False,
            },
        ),
        ("lost", {"script": [CLOSED], "outcome": ErrorKind.ANSWER_LOST}),
        (
            "not run, then answered",
            {"script": [FULL, OK], "sends": 2, "outcome": 200, "refused": False},
        ),
        (
            "not run",
            {
                "script": [FULL, FULL],
                "sends": 2,
                "outcome": ErrorKind.OVERLOADED,
                "is_kept": True,
            },
        ),
        (
            "unsafe, and lost",
            {
                "route": {"idempotent": False},
                "script": [CLOSED],
                "outcome": ErrorKind.ANSWER_LOST,
            },
        ),
        ("not permitted", {"permit": False, "sends": 0, "script": [OK]}),
    ]
    permit = True
    route = {}
    sends = 1
    outcome = ErrorKind.SUSPECT_REFUSED
    refused = True
    is_kept = False

    def test_refused_request_is_tried_once(self):
        fixture = ForwarderFixture(self.script, **self.route)
        crash_watch = fixture.forwarder.crash_watch
        claims = crash_watch.trials = Claims([self.permit])
        cleared = []
        crash_watch.on_cleared = lambda: cleared.append(True)
        request = evolve(REQUEST, route=fixture.route)
        crash_servers(fixture, request, CRASHES_TO_REFUSE)
        fixture.forward_request(request)
        fixture.clock.advance(0.1)
        self.assertEqual(self.outcome, fixture.outcome())
        self.assertEqual(self.sends, len(fixture.pool.sent))
        self.assertEqual(self.refused, crash_watch.is_refused(request))
        self.assertEqual(not self.refused, bool(cleared))
        self.assertEqual([True] * self.is_kept, claims.permits)

    def test_a_lost_trial_counts_as_a_crash(self):
        fixture = ForwarderFixture([CLOSED, REFUSED], names=("s1",))
        crash_watch = fixture.forwarder.crash_watch
        crash_watch.trials = Claims([True])
        request = evolve(REQUEST, route=fixture.route)
        crash_servers(fixture, request, CRASHES_TO_REFUSE)
        fixture.forward_request(request)
        fixture.clock.advance(0.1)
        crashes = fixture.crash_detector.crash_count(fingerprint_of(request))
        self.assertEqual(CRASHES_TO_REFUSE + 1, crashes)


class ClaimTest(TestWithScenarios, TestCase):
    """Guards against a refused request that waits long for its permit."""

    scenarios = [
        ("in time", {"answered_s": 0.1, "outcome": 200}),
        ("late", {"answered_s": 5.0, "outcome": ErrorKind.SUSPECT_REFUSED}),
    ]

    def test_wait_is_limited_and_a_late_permit_is_kept(self):
        fixture = ForwarderFixture([OK])
        permit = Deferred()
        claims = fixture.forwarder.crash_watch.trials = Claims([permit])
        request = evolve(REQUEST, route=fixture.route)
        crash_servers(fixture, request, CRASHES_TO_REFUSE)
        fixture.forward_request(request)
        fixture.clock.callLater(self.answered_s, permit.callback, True)
        fixture.clock.pump([0.1] * 6)
        self.assertEqual(self.outcome, fixture.outcome())
        fixture.clock.pump([0.1] * 50)
        is_late = self.outcome == ErrorKind.SUSPECT_REFUSED
        self.assertEqual([True] * is_late, claims.permits)
