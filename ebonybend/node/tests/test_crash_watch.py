from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from ebonybend.node.caller_requests import ClientRequest
from ebonybend.node.crash_watch import fingerprint_of
from ebonybend.node.tests.forwarder_fixture import (
    CLOSED,
    MALFORMED,
    OK,
    REFUSED,
    ROUTE,
    ForwarderFixture,
)
from ebonybend.steering.crashes import CRASHES_TO_REFUSE
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
