"""Readers of answers against servers that send broken ones, on real connections."""

from itertools import count
from time import sleep

from testscenarios import TestWithScenarios, multiply_scenarios
from testtools import TestCase
from testtools.twistedsupport import AsynchronousDeferredRunTest
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bench.deployments import blue_mahoe, reduced
from bench.fleet import Fleet, FleetOptions
from bench.hops import service_servers
from bench.http_calls import call
from bench.node_fleet import CALLERS_PORT, HOST
from bench.tests.fleet_case import FleetCase
from ebonybend.codec import pack, to_json
from ebonybend.control.health_client import HealthClient, ProbeFailed
from ebonybend.entry.messages import OutcomesReply
from ebonybend.entry.peer_client import PeerClient
from ebonybend.http_client import HttpClient, RequestFailed
from ebonybend.node.backend_connection import AnswerNotReceived
from ebonybend.node.backend_pool import BackendPool
from ebonybend.node.relay_changes import RelayClient, RelayedChanges
from ebonybend.peers.http_transport import HttpPeerTransport
from ebonybend.peers.records import ShardVersion
from ebonybend.platform.store import PlatformStore
from ebonybend.steering.suspects import CRASHES_TO_REFUSE
from ebonybend.steps import no_pause
from ebonybend.store.client import PlatformClient, StoredObject, StoreFailureKind
from ebonybend.world import BackendServer
from standins.answer_server import AnswerServer
from standins.backend_server import ServerFaults
from standins.broken_answers import BROKEN_ANSWERS, ODD_ANSWERS

ID = "a1"
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
OBJECT = {"Metadata": {"Name": "x", "Rev": 3}, "Spec": {}}


class NoAnswer(Exception):
    """A reader took nothing for an answer."""


def expect_lost(result):
    """Return a store's result; raise NoAnswer if the call may have taken effect."""
    failure = result.swap().value_or(None)
    if failure is not None and failure.kind is StoreFailureKind.ANSWER_LOST:
        raise NoAnswer
    return result.unwrap()


async def ask_as_node(http, address):
    pool = BackendPool(reactor, b"Request-Id")
    connection = await pool.connect(BackendServer("s1", "s", "a-1", address, 4))
    try:
        return await connection.send(b"GET", ID.encode(), REQUEST)
    except AnswerNotReceived as error:
        raise NoAnswer from error
    finally:
        connection.close()


async def ask_as_entry(http, address):
    return await http.request("GET", address, "/", {"Request-Id": ID}, timeout=2.0)


async def ask_as_platform_store(http, address):
    store = PlatformStore(http, address, reactor.seconds, no_pause)
    return expect_lost(await store.get("servers", "x"))


async def ask_as_store_client(http, address):
    client = PlatformClient(http, address, no_pause)
    return expect_lost(await client.get("servers", "x"))


async def ask_as_relay_reader(http, address):
    return expect_lost(await RelayClient(http).fetch(address, "servers", 1))


async def ask_as_check(http, address):
    try:
        return await HealthClient(http, address).get_health(2.0)
    except ProbeFailed as error:
        raise NoAnswer from error


async def ask_as_peer_entry(http, address):
    return await PeerClient(http).ask(address, "/", {}, OutcomesReply, 2.0)


async def ask_as_peer_control(http, address):
    answer = await HttpPeerTransport(http).fetch_shard(address, ShardVersion("x", 1))
    if answer is None:
        raise NoAnswer
    return answer


READERS = [
    ("node", {"ask": ask_as_node, "body": b"whole"}),
    ("entry", {"ask": ask_as_entry, "body": b"whole"}),
    ("platform's store", {"ask": ask_as_platform_store, "body": to_json(OBJECT)}),
    (
        "store",
        {"ask": ask_as_store_client, "body": to_json(StoredObject("x", 3))},
    ),
    ("relay", {"ask": ask_as_relay_reader, "body": pack(RelayedChanges(3))}),
    ("check", {"ask": ask_as_check, "body": b'{"state": "ready"}'}),
    ("peer of an entry", {"ask": ask_as_peer_entry, "body": pack(OutcomesReply(True))}),
    ("peer of a control", {"ask": ask_as_peer_control, "body": b"shard"}),
]
# One for each of the two incidents, and one for each kind of rule.
CHANGES = [
    (name, {"change": BROKEN_ANSWERS[name], "is_broken": True})
    for name in (
        "status b'000'",
        "status b'2_00'",
        "version b'HTTP/2.0'",
        "field name b'X Name'",
        "field name b' X-Name'",
        "field name b'X-Name '",
        "field name b'X\\x00Name'",
        "field name b'X\\x7fName'",
        "field value b'a\\x00b'",
        "a folded length",
        "a coding after chunks",
        "trailer b'X-Name'",
    )
] + [
    (name, {"change": ODD_ANSWERS[name], "is_broken": False})
    for name in ("unchanged", "unusual names", "trailers", "interim answers")
]


class ReaderTest(TestWithScenarios, TestCase):
    """Guards against a reader that takes a broken answer for one."""

    run_tests_with = AsynchronousDeferredRunTest.make_factory(timeout=10)
    scenarios = multiply_scenarios(READERS, CHANGES)

    def test_answer(self):
        # A closed connection leaves the reactor some iterations later.
        for _ in range(2):
            self.addCleanup(deferLater, reactor, 0.05, lambda: None)
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n"
        answer = head % (ID.encode(), len(self.body)) + self.body
        server = AnswerServer(lambda _: self.change(answer))
        self.addCleanup(server.stop)
        http = HttpClient(reactor)
        self.addCleanup(http.close)
        return Deferred.fromCoroutine(self.check(server, http))

    async def check(self, server, http):
        try:
            answer = await self.ask(http, server.address)
        except (NoAnswer, RequestFailed) as error:
            self.assertTrue(self.is_broken, repr(error))
        else:
            self.assertFalse(self.is_broken, repr(answer))
        # No reader repeats a request by itself.
        self.assertEqual(1, server.requests)


NODE, ZONE = "kingston-a-1", "kingston-a"
INCIDENTS = ("status b'000'", "field name b'X Name'", "field name b'\\x00X-Name'")
REQUESTS = 8
# Enough for the retries of a test, since a new node's budget is a fraction of them.
FIRST_REQUESTS = 80


class NodeTest(FleetCase):
    """Nodes as processes, whose servers send broken answers."""

    def setUp(self):
        super().setUp()
        for _ in range(FIRST_REQUESTS):
            self.send("GET", "/read/x")

    def send(self, method, path):
        """Send a request to a node; return its id and the answer."""
        self.count += 1
        headers = {"Host": HOST, "Attempt-Id": f"id-{self.count}"}
        address = f"{self.fleet.nodes[NODE].ip}:{CALLERS_PORT}"
        body = b"x" if method == "POST" else None
        return headers["Attempt-Id"], call(method, address, path, body, headers, 3.0)

    def break_answers(self, service, change, zones=("",), number=1000):
        """Let the servers of a service break some answers."""
        found = []
        for server in self.fleet.servers.values():
            if server.service == service and server.zone.startswith(tuple(zones)):
                server.endpoint.break_answer = BROKEN_ANSWERS[change]
                server.endpoint.answers_to_break = number
                found.append(server.endpoint)
        return found

    def runs(self, request_id):
        return sum(x.endpoint.runs[request_id] for x in self.fleet.servers.values())

    def test_idempotent_request_is_answered_by_another_server(self):
        """Guards against passing a broken answer on, or giving the request up."""
        for change in INCIDENTS:
            (broken,) = self.break_answers("history", change, [ZONE], 2)
            for _ in range(REQUESTS):
                request_id, answer = self.send("GET", "/read/x")
                self.assertEqual((200, b"GET /read/x "), (answer.status, answer.body))
                self.assertLessEqual(self.runs(request_id), 2)
            self.assertEqual(0, broken.answers_to_break, change)

    def test_other_request_has_run_once_and_its_outcome_is_unknown(self):
        """Guards against a second run, and against a false "not run"."""
        headers = {"Not-Executed": "1", "Retry-After": "5"}
        for change in INCIDENTS:
            for endpoint in self.break_answers("signoff", change):
                endpoint.answer_headers = headers
            request_id, answer = self.send("POST", "/file/x")
            self.assertEqual((502, 1), (answer.status, self.runs(request_id)), change)
            self.break_answers("signoff", change, number=0)
            for server in self.fleet.servers.values():
                server.endpoint.answer_headers = {}
            # The words of the broken answer count for nothing.
            _, answer = self.send("POST", "/file/x")
            self.assertEqual((200, b"POST /file/x x"), (answer.status, answer.body))

    def test_server_is_left_out_after_some_failures(self):
        """Guards against a server whose broken answers cost it nothing."""
        (broken,) = self.break_answers("history", INCIDENTS[0], [ZONE])
        for _ in range(5 * REQUESTS):
            _, answer = self.send("GET", "/read/x")
            self.assertEqual(200, answer.status)
        self.assertLess(sum(broken.broken.values()), REQUESTS)
        (line, *_) = self.fleet.log_lines([NODE], "server_left_out")
        self.assertIn("garbled", line)
        self.assertEqual([], self.fleet.log_lines([NODE], "server_process_ended"))


SERVICE, DOMAIN, INSTANCE = "ride-history", "kingston-1", "kingston-1-a"
PAUSE_S = 0.25


class EntryTest(TestCase):
    """Entries as processes, whose servers send broken answers."""

    def setUp(self):
        super().setUp()
        self.numbers = count(1)
        plan = reduced(blue_mahoe(), (DOMAIN,))
        self.fleet = Fleet(plan, FleetOptions(cold_s=0.2))
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__)

    def set_breakage(self, breakage, number):
        faults = ServerFaults(break_answers=number, breakage=breakage)
        for name in service_servers(self.fleet, SERVICE, DOMAIN):
            self.fleet.set_server_faults(name, faults)

    def send(self):
        headers = {"Request-Id": f"a{next(self.numbers)}", "Deadline-Ms": "1500"}
        address = self.fleet.addresses.public(INSTANCE).advertise
        return call("GET", address, f"/s/{SERVICE}/item", None, headers, 3.0)

    def send_after(self, pause_s):
        sleep(pause_s)
        return self.send().status

    def wait_until_answered(self):
        self.fleet.wait_until(lambda: self.send().status == 200, "no answer", 10.0)

    def test_answers_and_crashes(self):
        """Guards against passing a broken answer on, and calling it a crash."""
        self.wait_until_answered()
        for breakage in INCIDENTS:
            self.set_breakage(breakage, 100)
            # The same content again and again, as of a request that crashes servers.
            statuses = [self.send_after(PAUSE_S) for _ in range(REQUESTS)]
            # A slot stays in use for some time after a failure.
            self.assertEqual({502}, set(statuses) - {503}, statuses)
            self.assertGreater(statuses.count(502), CRASHES_TO_REFUSE)
            self.set_breakage(breakage, 0)
            self.wait_until_answered()
