"""A forwarder whose connections to servers answer by a script, for tests."""

from math import inf
from random import Random

from attrs import evolve
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.web.http_headers import Headers

from ebonybend.errors import SteeringError
from ebonybend.node.backend_connection import (
    AnswerNotReceived,
    BackendAnswer,
    LossReason,
)
from ebonybend.node.backend_pool import BackendUnreachable
from ebonybend.node.caller_requests import ClientRequest
from ebonybend.node.crash_watch import CrashWatch
from ebonybend.node.forwarder import Forwarder
from ebonybend.node.pause_gate import PauseGate
from ebonybend.steering.crashes import CrashDetector
from ebonybend.steering.placement import Placement
from ebonybend.steering.server_state import ServerTable
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.steering.shared_rates import RetryWindow
from ebonybend.tasks import ReactorClock
from ebonybend.world import BackendServer
from ebonybend.world.route import Route, RoutePart

ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    idempotent=True,
    parts=(RoutePart("s", 1.0),),
    max_sends=2,
    timeout_s=1.0,
    objective_s=0.3,
    priority=1,
)
# Time for which a new process of a server is cold.
COLD_S = 3.0
OK = BackendAnswer(200, Headers(), b"whole")
FAILED = BackendAnswer(500, Headers(), b"failed")
MALFORMED = AnswerNotReceived(LossReason.MALFORMED)
FULL = BackendAnswer(503, Headers({"Not-Run": ["1"]}), b"")
WRONG_SERVER = BackendAnswer(421, Headers(), b"")
CLOSED = AnswerNotReceived(LossReason.CLOSED)
REFUSED = BackendUnreachable("refused", True)


class FixedRegion:
    """Assign every object to one region."""

    def record_request(self, route, service):
        """Do nothing."""

    def region_of(self, service, object_key):
        """Return the only region."""
        return "a"


class PlainWireFormat:
    """The formats that these tests use."""

    def server_headers(self, server, remaining_s):
        """Return a header with the remaining time."""
        return ((b"Left", str(round(remaining_s, 3)).encode()),)

    def states_not_run(self, status, headers):
        """Return whether an answer states that the request was not run."""
        return status == 421 or headers.hasHeader("Not-Run")

    def read_limit(self, headers):
        """Return the limit that an answer names."""
        return float((headers.getRawHeaders("Limit") or [inf])[0])

    def states_leaving(self, headers):
        """Return whether an answer states that its server leaves."""
        return headers.hasHeader("Leaving")

    def read_pause(self, status, headers):
        """Return the pause that an answer asks for."""
        return float((headers.getRawHeaders("Pause") or [0.0])[0])

    def read_load(self, headers):
        """Return no load."""


class ScriptedPool:
    """A pool whose connections answer by a script."""

    def __init__(self, script):
        self.script = list(script)
        self.sent = []
        self.ack_timeouts_ms = []
        self.waiting = None
        self.checked = []
        self.closed_all_at = None
        # If set, the next connection is delayed until it fires.
        self.connecting = None

    def acquire(self, server, non_idempotent):
        """Return no idle connection."""

    async def connect(self, server):
        """Return a connection, or raise the error that is next in the script."""
        if self.connecting is not None:
            await self.connecting
        if self.script and isinstance(self.script[0], BackendUnreachable):
            raise self.script.pop(0)
        return self

    def closed_all_alone(self, server):
        """Return when the server closed all its connections."""
        return self.closed_all_at

    def add_idle(self, server, connection):
        """Count a connection that a check opened."""
        self.checked.append(server.name)

    def close(self):
        """Do nothing."""

    def send(self, method, request_id, data, ack_timeout_ms):
        """Answer with the next entry of the script; wait if there is none."""
        self.sent.append(data)
        self.ack_timeouts_ms.append(ack_timeout_ms)
        self.waiting = Deferred(
            lambda d: d.errback(AnswerNotReceived(LossReason.ABORTED))
        )
        if self.script:
            result = self.script.pop(0)
            if isinstance(result, Exception):
                self.waiting.errback(result)
            else:
                self.waiting.callback(result)
        return self.waiting


class ForwarderFixture:
    """A forwarder with three servers behind a scripted pool."""

    def __init__(self, script, slack=100.0, names=("s1", "s2", "s3"), **route):
        self.clock = Clock()
        self.pool = ScriptedPool(script)
        table = self.table = ServerTable(cold_s=lambda _: COLD_S)
        self.names = names
        self.list_servers()
        self.crash_detector = CrashDetector(ReactorClock(self.clock))
        self.forwarder = Forwarder(
            self.clock,
            self.pool,
            Placement(table, ServiceTimes()),
            FixedRegion(),
            PlainWireFormat(),
            lambda: RetryWindow(0.0, slack, 10.0),
            lambda: 1,
            Random(1),
            CrashWatch(self.clock, self.pool, self.crash_detector, table),
            PauseGate(self.clock, lambda: None, lambda time: True),
            lambda *request: self.may_send,
        )
        # Whether a request can end before the node does.
        self.may_send = True
        self.route = evolve(ROUTE, **route)
        self.results = []

    def list_servers(self):
        """Apply the list of servers, which doesn't change."""
        listed = {
            name: BackendServer(name, "s", "a-1", "1:1", 4, region="a")
            for name in self.names
        }
        self.table.update(listed, self.clock.seconds())

    def forward(self, deadline=1.0):
        request = ClientRequest(
            request_id=b"a1",
            method=b"POST",
            uri=b"/x?y=1",
            headers=Headers({"Request-Id": ["a1"], "Connection": ["close"]}),
            body=b"body",
            route=self.route,
            service="s",
            object_key=b"17",
            arrived_at=0.0,
            deadline=deadline,
            urgent_route=None,
        )
        return self.forward_request(request)

    def forward_request(self, request):
        """Forward a request that a test built, as an attempt of its own."""
        running = Deferred.fromCoroutine(self.forwarder.forward(evolve(request)))
        running.addBoth(self.results.append)
        return running

    def outcome(self):
        result = self.results[0]
        if isinstance(result, BackendAnswer):
            return result.status
        error = result.value
        return error.kind if isinstance(error, SteeringError) else type(error)
