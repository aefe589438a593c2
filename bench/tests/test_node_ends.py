"""Nodes as processes that start and stop in unusual conditions."""

import os
import signal
import subprocess
import sys
from http.client import HTTPConnection, HTTPException
from itertools import count
from pathlib import Path
from socket import AF_INET, SO_LINGER, SOCK_DGRAM, SOCK_STREAM, SOL_SOCKET, socket
from struct import pack
from threading import Event, Thread
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
from bench.tests.kept_logs import log_directory
from standins.platform_server import PlatformEndpoint
from standins.platform_store import PlatformStoreServer

ROOT = Path(__file__).resolve().parents[2]
ZONE = "kingston-a"
PORTS = NodePorts()
# Last part of the address of each test's node.
HOSTS = count(1)
GRACE_S = 2.0
# A node starts in less than one second on an idle machine.
START_S = 10.0
# The settings file of a node is written again after this time.
REPAIRED_S = 2.0
STOPS = 3
CLIENTS, REQUESTS_PER_CONNECTION = 4, 12
# Times after its first line at which a process gets a signal.
SIGNAL_DELAYS_S = (0.01, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6)


class NodeCase(TestCase):
    """One node as a process, with a store and a server."""

    def setUp(self):
        super().setUp()
        number, lock = reserve_fleet()
        self.addCleanup(lock.close)
        # Connections of an earlier test that ended hold its ports for a minute.
        self.ip = f"127.{number}.1.{next(HOSTS)}"
        self.store = PlatformStoreServer()
        self.addCleanup(self.store.stop)
        endpoint = PlatformEndpoint("i-1")
        self.addCleanup(endpoint.stop)
        state = self.store.state
        state.put("servers", "i-1", server_object("history", ZONE, endpoint.address))
        state.put(
            "config", "main", config_object(1, route_object("/a/", "safe", "history"))
        )
        self.directory = log_directory(self)
        self.log = self.directory / "log"
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


class ClosedDescriptorTest(TestWithScenarios, NodeCase):
    """Guards against a node that ends without its standard streams."""

    scenarios = [
        ("output", {"closed": (1,)}),
        ("errors", {"closed": (2,)}),
        ("all", {"closed": (0, 1, 2)}),
    ]

    def test_serves(self):
        def close():
            for descriptor in self.closed:
                os.close(descriptor)

        streams = {"stdout": None, "stderr": None}
        node = self.start(preexec_fn=close, **streams)
        self.wait_until_ready(node)
        self.assertEqual(200, self.status(PORTS.callers, "/a/x"))


class WrittenSettingsTest(TestWithScenarios, NodeCase):
    """Guards against a node that ends while its settings file is written."""

    scenarios = [
        ("cut in half", {"change": lambda text: text[: len(text) // 2]}),
        ("empty", {"change": lambda text: ""}),
        ("bad bound", {"change": lambda text: text.replace("GraceS=2.0", "GraceS=")}),
    ]

    def test_starts_with_the_whole_file(self):
        environment = self.write_settings()
        whole = self.settings_file.read_text()
        self.settings_file.write_text(self.change(whole))
        self.write_settings = lambda: environment
        node = self.start()
        sleep(REPAIRED_S)
        self.assertIsNone(node.poll(), self.last_line())
        self.settings_file.write_text(whole)
        self.wait_until_ready(node)


class SignalTest(TestWithScenarios, NodeCase):
    """Guards against a signal that ends a node by its default action."""

    scenarios = [
        ("hang up", {"numbers": (signal.SIGHUP,)}),
        ("stop", {"numbers": (signal.SIGTERM,)}),
        ("both", {"numbers": (signal.SIGHUP, signal.SIGTERM)}),
    ]

    def test_series_during_the_stop(self):
        node = self.start()
        self.wait_until_ready(node)
        node.terminate()
        while node.poll() is None:
            for number in self.numbers:
                node.send_signal(number)
            sleep(0.001)
        self.assertEqual(0, node.returncode)

    def wait_until_hang_ups_are_ignored(self, node):
        """Wait for the first line of the program; the interpreter can't handle them."""
        deadline = monotonic() + START_S
        while True:
            text = Path(f"/proc/{node.pid}/status").read_text()
            ignored = int(text.partition("SigIgn:")[2].split()[0], 16)
            if ignored & 1 << (signal.SIGHUP - 1):
                return
            self.assertLess(monotonic(), deadline)
            sleep(0.001)

    def test_during_the_start(self):
        for delay_s in SIGNAL_DELAYS_S:
            size = self.log.stat().st_size if self.log.exists() else 0
            node = self.start()
            self.wait_until_hang_ups_are_ignored(node)
            sleep(delay_s)
            for number in self.numbers:
                node.send_signal(number)
            if signal.SIGTERM in self.numbers:
                self.assertEqual(0, node.wait(GRACE_S + 2.0), delay_s)
                # Calls that the end cancels may log after it.
                written = self.log.read_bytes()[size:].decode()
                self.assertIn('"event": "stopped"', written, delay_s)
                continue
            self.wait_until_ready(node)
            node.kill()
            node.wait()


class EndInTimeTest(NodeCase):
    """Guards against a process that is killed since it ends after its grace time.

    Load pattern: clients that go on sending until the process is gone.
    """

    def send_requests(self):
        while not self.ended.is_set():
            connection = HTTPConnection(self.ip, PORTS.callers, timeout=2.0)
            try:
                for number in range(REQUESTS_PER_CONNECTION):
                    headers = {"Host": HOST, "Attempt-Id": f"{id(connection)}-{number}"}
                    connection.request("GET", "/a/x", headers=headers)
                    connection.getresponse().read()
                    sleep(0.02)
            except (OSError, HTTPException):
                sleep(0.02)
            finally:
                connection.close()

    def test_process_is_gone(self):
        self.ended = Event()
        clients = [Thread(target=self.send_requests) for _ in range(CLIENTS)]
        for client in clients:
            self.addCleanup(client.join)
            client.start()
        self.addCleanup(self.ended.set)
        for _ in range(STOPS):
            node = self.start()
            self.wait_until_ready(node)
            sleep(0.5)
            node.terminate()
            self.assertEqual(0, node.wait(GRACE_S))
