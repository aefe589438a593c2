"""Nodes as processes that start and stop in unusual conditions."""

import os
import signal
import subprocess
import sys
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from socket import AF_INET, SO_LINGER, SOCK_DGRAM, SOCK_STREAM, SOL_SOCKET, socket
from struct import pack
from tempfile import mkdtemp
from time import monotonic, sleep

from testscenarios import TestWithScenarios
from testtools import TestCase

from bench.addresses import reserve_fleet
from bench.node_fleet import (
    HOST,
    NodePlan,
    NodePorts,
    config_object,
    node_environment,
    route_object,
    server_object,
)
from standins.platform_server import PlatformEndpoint
from standins.platform_store import PlatformStoreServer

ROOT = Path(__file__).resolve().parents[2]
ZONE = "kingston-a"
PORTS = NodePorts()
GRACE_S = 2.0
# A node starts in less than one second on an idle machine.
START_S = 10.0
# The settings file of a node is written again after this time.
REPAIRED_S = 2.0


class NodeCase(TestCase):
    """One node as a process, with a store and a server."""

    def setUp(self):
        super().setUp()
        number, lock = reserve_fleet()
        self.addCleanup(lock.close)
        self.ip = f"127.{number}.1.1"
        self.store = PlatformStoreServer()
        self.addCleanup(self.store.stop)
        endpoint = PlatformEndpoint("i-1")
        self.addCleanup(endpoint.stop)
        state = self.store.state
        state.put("servers", "i-1", server_object("history", ZONE, endpoint.address))
        state.put(
            "config", "main", config_object(1, route_object("/a/", "safe", "history"))
        )
        # Kept if the test fails, for its log.
        self.directory = Path(mkdtemp(prefix="node-"))
        self.log = self.directory / "log"
        self.addOnException(lambda _: print(f"{self.id()}: the log is in {self.log}"))
        self.ports = PORTS

    def write_settings(self):
        plan = NodePlan("node-1", ZONE, self.ip, self.store.address)
        settings = node_environment(plan, self.ports, GRACE_S, self.directory)
        self.settings_file = Path(settings["EBONYBEND_NODE_FILE"])
        return settings

    def start(self, **options):
        environment = {**os.environ, **self.write_settings(), **options.pop("env", {})}
        with self.log.open("ab") as log:
            streams = {"stdout": log, "stderr": subprocess.STDOUT, **options}
            node = subprocess.Popen(
                [sys.executable, "-m", "ebonybend.platform"],
                cwd=ROOT,
                env=environment,
                **streams,
            )
        self.addCleanup(node.wait)
        self.addCleanup(node.kill)
        return node

    def status(self, port, path):
        connection = HTTPConnection(self.ip, port, timeout=2.0)
        headers = {"Host": HOST, "Attempt-Id": "a-1", "Deadline-Ms": "1500"}
        try:
            connection.request("GET", path, headers=headers)
            return connection.getresponse().status
        except (OSError, HTTPException):
            return 0
        finally:
            connection.close()

    def is_ready(self):
        return self.status(self.ports.ready, "/ready") == 200

    def wait_until_ready(self, node):
        deadline = monotonic() + START_S
        while not self.is_ready():
            self.assertIsNone(node.poll(), "the node has ended")
            self.assertLess(monotonic(), deadline, "the node isn't ready")
            sleep(0.02)

    def last_line(self):
        return (self.log.read_text().splitlines() or [""])[-1]


class PortInUseTest(TestWithScenarios, NodeCase):
    """Guards against a node that ends while one of its ports is in use."""

    scenarios = [
        ("clients", {"number": PORTS.callers}),
        ("readiness", {"number": PORTS.ready}),
        ("directory", {"number": PORTS.directory}),
        ("metrics", {"number": PORTS.metrics}),
        ("heartbeats", {"number": PORTS.internal[0], "kind": SOCK_DGRAM}),
        ("pulses", {"number": PORTS.internal[0] + 1, "kind": SOCK_DGRAM}),
        ("changes of relays", {"number": PORTS.internal[0] + 1}),
        ("an outgoing connection", {"number": PORTS.callers, "connects": True}),
    ]
    kind = SOCK_STREAM
    connects = False

    def test_node_waits_and_serves(self):
        with socket(AF_INET, self.kind) as holder:
            holder.bind((self.ip, self.number))
            if self.connects:
                # Without it, the end of the connection holds the port for a minute.
                holder.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
                host, _, port = self.store.address.rpartition(":")
                holder.connect((host, int(port)))
            elif self.kind == SOCK_STREAM:
                holder.listen()
            node = self.start()
            deadline = monotonic() + START_S
            while "port_not_open" not in self.log.read_text():
                self.assertIsNone(node.poll(), self.log.read_text()[-500:])
                self.assertLess(monotonic(), deadline)
                sleep(0.02)
            sleep(0.5)
            if self.number == PORTS.metrics:
                self.wait_until_ready(node)
            elif self.number != PORTS.ready:
                self.assertFalse(self.is_ready())
        self.wait_until_ready(node)
        self.assertEqual(200, self.status(PORTS.callers, "/a/x"))
        node.terminate()
        self.assertEqual(0, node.wait(GRACE_S + 2.0))


class SharedMetricsPortTest(NodeCase):
    """Guards against metrics that take the port of clients."""

    def test_clients_are_served(self):
        self.ports = NodePorts(metrics=PORTS.callers)
        node = self.start()
        self.wait_until_ready(node)
        self.assertEqual(200, self.status(PORTS.callers, "/a/x"))
        self.assertIn("metrics_not_served", self.log.read_text())


class StopBeforeStartTest(NodeCase):
    """Guards against a stop that fails while a port is not open."""

    def test_ends_in_time(self):
        with socket() as holder:
            holder.bind((self.ip, PORTS.callers))
            holder.listen()
            node = self.start()
            deadline = monotonic() + START_S
            while "port_not_open" not in self.log.read_text():
                self.assertLess(monotonic(), deadline)
                sleep(0.02)
            node.send_signal(signal.SIGTERM)
            self.assertEqual(0, node.wait(GRACE_S + 2.0))
        self.assertNotIn("Traceback", self.log.read_text())
