"""Nodes whose processes are stopped while requests are in flight."""

from collections import defaultdict
from http.client import HTTPConnection, HTTPException
from itertools import count
from threading import Event, Thread
from time import monotonic, sleep

from testscenarios import TestWithScenarios
from testtools import TestCase

from bench.node_fleet import CALLERS_PORT, HOST, SAFE_PREFIX, NodeFleet
from bench.tests.kept_logs import log_directory

# With these, the servers of a region have free slots, and each has requests in flight.
ANSWER_S = 0.2
CLIENTS_PER_NODE = 4
DEADLINE_MS = 2000
# Time to learn the servers' times before the first freeze.
WARM_UP_S = 1.0
FREEZE_S, FREEZE_GAP_S = 2.0, 0.5
# Time after the freezes from which on requests have to be served, and the time in which
# they are counted.
RECOVERY_S, COUNTED_S = 4.0, 2.0
MIN_SERVED_FRACTION = 0.95


class FrozenNodeTest(TestWithScenarios, TestCase):
    """Guards against a node that refuses its servers after it was stopped for a time.

    Load pattern: several requests in flight at each of few servers.
    """

    scenarios = [
        ("one node", {"frozen": ("montego-a-1",)}),
        ("all nodes of a region", {"frozen": ("kingston-a-1", "kingston-b-1")}),
        ("all nodes, three times", {"frozen": None, "freezes": 3}),
        ("one node, then restarted", {"frozen": ("montego-a-1",), "restarts": True}),
    ]
    freezes = 1
    restarts = False

    def setUp(self):
        super().setUp()
        self.fleet = NodeFleet(log_directory(self), nodes_per_zone=1)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)
        for server in self.fleet.servers.values():
            server.endpoint.service_s = ANSWER_S
        # The statuses of each node's requests and the times at which they were sent.
        self.received = defaultdict(list)
        self.ended = Event()
        threads = [
            Thread(target=self.send_requests, args=(node, number))
            for node in self.fleet.nodes
            for number in range(CLIENTS_PER_NODE)
        ]
        for thread in threads:
            thread.start()
            self.addCleanup(thread.join)
        self.addCleanup(self.ended.set)

    def send_requests(self, node, client):
        """Send one request after the other to a node."""
        for number in count():
            if self.ended.is_set():
                return
            sent_at = monotonic()
            status = self.send(node, f"{node}-{client}-{number}")
            self.received[node].append((sent_at, status))
            if status != 200:
                sleep(0.05)

    def send(self, node, request_id):
        """Send a request; return its status, 0 if it has none."""
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
            "Affinity-Key": request_id[-1],
        }
        ip = self.fleet.nodes[node].ip
        connection = HTTPConnection(ip, CALLERS_PORT, timeout=DEADLINE_MS / 1000)
        try:
            connection.request("GET", SAFE_PREFIX + request_id, None, headers)
            answer = connection.getresponse()
            answer.read()
        except (OSError, HTTPException):
            return 0
        finally:
            connection.close()
        return answer.status

    def test_requests_are_served_again(self):
        sleep(WARM_UP_S)
        frozen = self.frozen or tuple(self.fleet.nodes)
        for _ in range(self.freezes):
            for node in frozen:
                self.fleet.pause(node)
            sleep(FREEZE_S)
            for node in frozen:
                self.fleet.resume(node)
            sleep(FREEZE_GAP_S)
        sleep(RECOVERY_S)
        if self.restarts:
            for node in frozen:
                self.fleet.processes.kill(node)
                self.fleet.processes.restart(node)
            self.fleet.wait_until(self.fleet.all_ready, 15.0)
        counted_from = monotonic()
        sleep(COUNTED_S)
        for node, received in self.received.items():
            statuses = [x for at, x in list(received) if at >= counted_from]
            served = statuses.count(200)
            self.assertGreater(len(statuses), 0, node)
            self.assertGreaterEqual(
                served, MIN_SERVED_FRACTION * len(statuses), f"{node}: {statuses[:20]}"
            )
