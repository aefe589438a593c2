"""Base of tests that run nodes of the users' platform as processes."""

from time import monotonic

from testtools import TestCase

from bench.http_calls import call
from bench.node_fleet import CALLERS_PORT, HOST, NodeFleet
from bench.tests.kept_logs import log_directory

DEADLINE_MS = "2000"


class FleetCase(TestCase):
    """A fleet of nodes with their store and servers, for each test."""

    nodes_per_zone = 1

    def setUp(self):
        super().setUp()
        self.fleet = NodeFleet(log_directory(self), self.nodes_per_zone)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__)
        self.state = self.fleet.store.state
        self.count = 0
        # What ended the requests without an answer, with the time of each.
        self.errors = []

    def send(self, node, path="/read/x"):
        """Send a request to a node; return the status, 0 without an answer."""
        self.count += 1
        headers = {
            "Host": HOST,
            "Attempt-Id": f"id-{self.count}",
            "Deadline-Ms": DEADLINE_MS,
        }
        address = f"{self.fleet.nodes[node].ip}:{CALLERS_PORT}"
        started = monotonic()
        answer = call("GET", address, path, headers=headers, timeout=3.0)
        if not answer.status:
            self.errors.append((node, answer.body, monotonic() - started))
        return answer.status
