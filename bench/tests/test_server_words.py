import json
from threading import Timer
from time import monotonic, sleep, time

from bench.node_fleet import server_object
from bench.tests.fleet_case import FleetCase
from ebonybend.steering.refusal_trials import TRIAL_DELAYS_S

SERVICE, ZONE = "history", "kingston-a"
NODES = ("kingston-a-1", "kingston-b-1", "montego-a-1")
# Documented bounds: until a leaving server gets no requests, until a node is up to
# date, and from a refusal until its Retry-After binds.
DRAIN_LIMIT_S = 2.5
CONTACT_S = 4.0
REFUSAL_LIMIT_S = 0.5
MAX_LATE_REQUESTS = 2
MAX_LATE_RETRIES = 3
LIST_DELAY_S = 1.0
# Time for a trial, and until all nodes know its result.
SPREAD_S = 5.0


class ServerWordsTest(FleetCase):
    """Three nodes as processes, and servers that nothing but their answers describe."""

    def setUp(self):
        super().setUp()
        for server in list(self.fleet.servers.values()):
            if server.service == SERVICE:
                self.fleet.store.state.remove("servers", server.name)
        self.fleet.wait_until(
            lambda: all(self.send(node) == 503 for node in NODES), 5.0
        )

    def add_server(self, zone=ZONE):
        server = self.fleet.add_server(SERVICE, zone, proxied=False)
        self.addCleanup(server.endpoint.stop)
        return server

    def list_again(self, server, name, born):
        """List a server at the same address, as another incarnation."""
        value = server_object(SERVICE, server.zone, server.address, born=born)
        self.fleet.store.state.put("servers", name, value)

    def send_for(self, seconds, nodes=NODES[:1], path="/read/x", pause_s=0.05):
        until = monotonic() + seconds
        while monotonic() < until:
            for node in nodes:
                self.send(node, path)
            sleep(pause_s)

    def wait_until_serving(self, nodes=NODES):
        self.fleet.wait_until(lambda: all(self.send(n) == 200 for n in nodes), 5.0)


class LeavingServerTest(ServerWordsTest):
    """Guards against requests to a server whose answers said that it leaves (DRAIN)."""

    def test_node_that_passed_on_the_word_sends_no_more(self):
        server = self.add_server()
        self.wait_until_serving(NODES[:1])
        server.endpoint.answer_headers = {"Server-Leaving": "1"}
        self.assertEqual(200, self.send(NODES[0]))
        passed_on_at = monotonic()
        self.send_for(DRAIN_LIMIT_S + 0.5)
        # A new watch, and an entry that expires and returns, change nothing.
        state = self.fleet.store.state
        state.drop_history()
        state.remove("servers", server.name)
        sleep(LIST_DELAY_S)
        self.list_again(server, server.name, 1)
        self.send_for(LIST_DELAY_S)
        late = [
            at - passed_on_at
            for at, _ in server.endpoint.arrived
            if at > passed_on_at + DRAIN_LIMIT_S
        ]
        self.assertEqual([], late)

    def test_other_nodes_learn_the_word_and_a_new_incarnation_ends_it(self):
        server = self.add_server()
        self.wait_until_serving()
        server.endpoint.answer_headers = {"Server-Leaving": "1"}
        self.assertEqual(200, self.send(NODES[0]))
        sleep(DRAIN_LIMIT_S)
        arrived = len(server.endpoint.arrived)
        self.assertEqual([503] * 3, [self.send(node) for node in NODES])
        self.assertEqual(arrived, len(server.endpoint.arrived))
        server.endpoint.answer_headers = {}
        self.list_again(server, server.name, 2)
        self.wait_until_serving()


class RefusingServerTest(ServerWordsTest):
    """Guards against requests to a server that asked for a pause (BUDGET)."""

    RETRY_AFTER_S = 2.2

    def test_node_sends_nothing_for_as_long_as_the_server_asks(self):
        server = self.add_server()
        self.wait_until_serving(NODES[:1])
        server.endpoint.retry_after = str(self.RETRY_AFTER_S)
        self.send(NODES[0])
        refused_at = server.endpoint.turned_away[0]
        Timer(self.RETRY_AFTER_S / 2, self.list_without_and_with, [server]).start()
        self.send_for(self.RETRY_AFTER_S)
        end = refused_at + self.RETRY_AFTER_S
        late = [
            at - refused_at
            for at, _ in server.endpoint.arrived
            if refused_at + REFUSAL_LIMIT_S < at < end
        ]
        self.assertLessEqual(len(late), MAX_LATE_REQUESTS, late)
        server.endpoint.retry_after = None
        self.wait_until_serving(NODES[:1])

    def list_without_and_with(self, server):
        self.fleet.store.state.remove("servers", server.name)
        self.list_again(server, server.name, 1)


class CrashingRequestTest(ServerWordsTest):
    """Guards against a request that crashes one server after the other (BUDGET).

    Load pattern: no other request, and each time another node gets it.
    """

    def test_is_refused_everywhere_after_the_third_crash(self):
        servers = [self.add_server(zone) for zone in (ZONE, "montego-a") for _ in "12"]
        self.wait_until_serving()
        for server in servers:
            server.endpoint.crash_marker = "crash"
        for round_number in range(9):
            self.send(NODES[round_number % 3], "/read/crash")
            sleep(1.0)
            self.restart_crashed(servers, round_number)
            sleep(LIST_DELAY_S)
        crashes = sorted(at for s in servers for at in s.endpoint.crashed)
        late = [at for at in crashes[3:] if at > crashes[2] + CONTACT_S]
        self.assertLessEqual(len(late), MAX_LATE_RETRIES, crashes)
        self.wait_until_serving()

    def test_is_refused_after_all_nodes_were_killed(self):
        servers = [self.add_server() for _ in range(5)]
        self.wait_until_serving()
        for server in servers:
            server.endpoint.crash_marker = "crash"
        for _ in range(3):
            self.send(NODES[0], "/read/crash")
            sleep(1.0)
        crashes = sum(len(server.endpoint.crashed) for server in servers)
        for node in NODES:
            self.fleet.processes.kill(node)
        for node in NODES:
            self.fleet.processes.restart(node)
        self.fleet.wait_until(self.fleet.all_ready, 15.0)
        self.wait_until_serving()
        self.assertEqual([503] * 3, [self.send(x, "/read/crash") for x in NODES])
        self.assertEqual(
            crashes, sum(len(server.endpoint.crashed) for server in servers)
        )

    def restart_crashed(self, servers, round_number):
        state = self.fleet.store.state
        for server in servers:
            endpoint = server.endpoint
            if endpoint.server.socket.fileno() >= 0:
                continue
            state.remove("servers", endpoint.instance)
            endpoint.restart(f"{server.name}-{round_number}")
            self.list_again(server, endpoint.instance, round_number + 2)

    def refuse_everywhere(self, servers):
        """Let a request crash servers until all nodes refuse it; return since when."""
        for server in servers:
            server.endpoint.crash_marker = "crash"
        for round_number in range(2):
            self.send(NODES[0], "/read/crash")
            sleep(1.0)
            self.restart_crashed(servers, round_number)
        refused_at = monotonic()
        self.fleet.wait_until(lambda: self.statuses("/read/crash") == [503] * 3, 5.0)
        return refused_at

    def statuses(self, path):
        return [self.send(node, path) for node in NODES]

    def test_wrong_refusal_ends_at_all_nodes(self):
        servers = [self.add_server(zone) for zone in (ZONE, "montego-a") for _ in "12"]
        self.wait_until_serving()
        refused_at = self.refuse_everywhere(servers)
        for server in servers:
            server.endpoint.crash_marker = ""
        stated_s = TRIAL_DELAYS_S[0] + SPREAD_S
        self.fleet.wait_until(
            lambda: self.statuses("/read/crash") == [200] * 3, stated_s, 0.5
        )
        self.assertGreater(monotonic() - refused_at, TRIAL_DELAYS_S[0] - 2.0)
        self.assertNotEqual([], self.fleet.log_lines(NODES, "suspect_cleared"))
        # A node that starts later learns of no refusal.
        self.fleet.processes.kill(NODES[2])
        self.fleet.processes.restart(NODES[2])
        self.fleet.wait_until(self.fleet.all_ready, 15.0)
        self.fleet.wait_until(lambda: self.send(NODES[2]) == 200, 5.0)
        self.assertEqual([200] * 3, self.statuses("/read/crash"))

    def test_culprit_is_tried_once_by_all_nodes_together(self):
        servers = [self.add_server(zone) for zone in (ZONE, "montego-a") for _ in "12"]
        self.wait_until_serving()
        self.refuse_everywhere(servers)
        crashes = sum(len(server.endpoint.crashed) for server in servers)
        until = monotonic() + TRIAL_DELAYS_S[0] + SPREAD_S
        while monotonic() < until:
            self.assertNotIn(200, self.statuses("/read/crash"))
            self.restart_crashed(servers, 7)
            sleep(0.5)
        tried = sum(len(server.endpoint.crashed) for server in servers) - crashes
        self.assertEqual(1, tried)
        self.wait_until_serving()

    def test_operator_lifts_a_refusal(self):
        servers = [self.add_server(zone) for zone in (ZONE, "montego-a") for _ in "12"]
        self.wait_until_serving()
        self.refuse_everywhere(servers)
        for server in servers:
            server.endpoint.crash_marker = ""
        line = self.fleet.log_lines(NODES, "suspect_refused")[0]
        suspect = json.loads(line.partition(": ")[2])["suspect"]
        lifted = {"lifted_ms": {suspect: int(time() * 1000)}}
        self.fleet.store.state.put("ebonybend-refused", "lifted", lifted)
        self.fleet.wait_until(
            lambda: self.statuses("/read/crash") == [200] * 3, TRIAL_DELAYS_S[0] - 3.0
        )
