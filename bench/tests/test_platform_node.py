"""One node in its own process, with stubs of the platform."""

import json
import os
import signal
import subprocess
import sys
from collections import Counter
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from random import randrange
from socket import create_connection, socket
from tempfile import TemporaryDirectory
from threading import Event, Thread
from time import monotonic, sleep

from testtools import TestCase

from bench.node_fleet import (
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
WAIT_TIMEOUT_S = 10.0
# Documented time limits for applying a configuration change and draining a server.
APPLY_LIMIT_S = 2.5
DRAIN_LIMIT_S = 2.5
GRACE_S = 2.0
PAUSED_REQUESTS = 8
ZONE = "kingston-a"


def is_free(port):
    with socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_ports(count):
    """Return adjacent ports that nothing uses, and that no connection gets."""
    # Below the ports that the kernel gives to outgoing connections.
    while True:
        first = randrange(10_000, 30_000)
        ports = list(range(first, first + count))
        if all(map(is_free, ports)):
            return ports


def config_with(version, service="history", prefix="/a/"):
    return config_object(version, route_object(prefix, "unsafe", service))


def raw_request(name, port):
    """Return a request as bytes."""
    return (
        f"POST /a/{name} HTTP/1.1\r\nHost: h.example:{port}\r\n"
        f"Attempt-Id: raw-{name}\r\nContent-Length: 4\r\n\r\nbody"
    ).encode()


class PlatformNodeTest(TestCase):
    """Guards against a node that serves with outdated state or doesn't serve."""

    def setUp(self):
        super().setUp()
        self.store = PlatformStoreServer()
        self.addCleanup(self.store.stop)
        self.endpoints = {}
        for service in ("history", "signoff"):
            endpoint = self.endpoints[service] = PlatformEndpoint(f"i-{service}")
            self.addCleanup(endpoint.stop)
            state = self.store.state
            state.put(
                "servers",
                f"i-{service}",
                server_object(service, ZONE, endpoint.address),
            )
        self.store.state.put("servers", "i-odd", "not an entry")
        self.store.state.put("config", "main", config_with(1))
        first, second, *others = free_ports(6)
        self.ports = [first, *others, second]
        self.start()
        self.count = 0

    def start(self):
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        internal = (self.ports[0], self.ports[5])
        plan = NodePlan("node-1", ZONE, "127.0.0.1", self.store.address)
        ports = NodePorts(*self.ports[1:5], internal)
        settings = node_environment(plan, ports, GRACE_S, Path(directory.name))
        environment = {**os.environ, **settings}
        self.settings_file = Path(settings["EBONYBEND_NODE_FILE"])
        self.log = open(Path(directory.name) / "log", "w+")  # noqa: SIM115
        self.addCleanup(self.log.close)
        self.node = subprocess.Popen(
            [sys.executable, "-m", "ebonybend.platform"],
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )
        self.addCleanup(self.node.wait)
        self.addCleanup(self.node.kill)
        self.wait_until(lambda: self.call(self.ports[2], "/ready")[0] == 200)

    def call(self, port, path, headers=None, body=None):
        connection = HTTPConnection("127.0.0.1", port, timeout=3.0)
        try:
            connection.request("POST" if body else "GET", path, body, headers or {})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, HTTPException):
            return 0, b""
        finally:
            connection.close()

    def send(self, path):
        self.count += 1
        headers = {"Host": "h.example", "Attempt-Id": f"id-{self.count}"}
        return self.call(self.ports[1], path, headers, b"body")

    def wait_until(self, condition, timeout_s=WAIT_TIMEOUT_S):
        deadline = monotonic() + timeout_s
        while not condition():
            if monotonic() > deadline:
                self.log.seek(0)
                self.fail("timed out; the node's log: " + self.log.read()[-2000:])
            sleep(0.05)

    def test_1_request_reaches_the_service_of_its_route(self):
        self.assertEqual((200, b"POST /a/x body"), self.send("/a/x"))
        self.assertEqual(1, self.endpoints["history"].runs["id-1"])
        self.assertEqual(404, self.send("/b/x")[0])

    def test_2_directory_and_metrics(self):
        status, body = self.call(
            self.ports[3], "/resolve?Name=h.example&Region=kingston&Zone=kingston-a"
        )
        self.assertEqual(200, status)
        self.assertEqual([f"127.0.0.1:{self.ports[1]}"], json.loads(body)["Addrs"])
        status, body = self.call(self.ports[4], "/metrics")
        self.assertIn(b"ebonybend_config_version 1.0", body)

    def test_3_change_is_in_force_also_after_the_history_is_gone(self):
        self.store.state.put("config", "main", config_with(4, "signoff"))
        self.wait_until(
            lambda: self.send("/a/x")[1] and self.has_run("signoff"), APPLY_LIMIT_S
        )
        self.store.state.drop_history()
        self.store.state.put("config", "main", config_with(6, "history", "/c/"))
        self.wait_until(lambda: self.send("/c/x")[0] == 200, APPLY_LIMIT_S)
        self.store.state.put("config", "main", config_with(5, "history", "/a/"))
        sleep(0.5)
        self.assertEqual(404, self.send("/a/x")[0])

    def has_run(self, service):
        return bool(self.endpoints[service].runs)

    def test_4_leaving_server_gets_no_request(self):
        address = self.endpoints["history"].address
        leaving = server_object("history", ZONE, address, "draining")
        self.store.state.put("servers", "i-history", leaving)
        self.wait_until(lambda: self.send("/a/x")[0] == 503, DRAIN_LIMIT_S)

    def test_5_serves_while_the_store_is_away(self):
        self.store.state.error_status = 503
        sleep(0.3)
        self.assertEqual(200, self.send("/a/x")[0])
        self.store.state.error_status = None
        self.store.state.put("config", "main", config_with(2, "signoff"))
        self.wait_until(
            lambda: self.send("/a/x")[0] and self.has_run("signoff"), APPLY_LIMIT_S
        )

    def test_6_reused_address_runs_nothing_of_another_service(self):
        state = self.store.state
        address = self.endpoints["signoff"].address
        state.put("servers", "i-history", server_object("history", ZONE, address))
        self.wait_until(lambda: self.send("/a/x")[0] == 503, DRAIN_LIMIT_S)
        self.assertFalse(self.has_run("signoff"))

    def test_7_stops_within_its_grace_time(self):
        self.node.send_signal(signal.SIGTERM)
        self.wait_until(lambda: self.call(self.ports[2], "/ready")[0] != 200, 1.0)
        self.assertEqual(200, self.send("/a/x")[0])
        self.assertEqual(0, self.node.wait(GRACE_S + 1.0))

    def test_8_stop_under_load_cuts_off_no_accepted_request(self):
        """Load pattern: clients that open a connection for each request."""
        statuses, ended = Counter(), Event()

        def send_until_refused():
            while not ended.is_set():
                statuses[self.post_once()] += 1

        clients = [Thread(target=send_until_refused) for _ in range(4)]
        for client in clients:
            client.start()
        sleep(0.3)
        half_sent = create_connection(("127.0.0.1", self.ports[1]), timeout=3.0)
        self.addCleanup(half_sent.close)
        request = raw_request("half", self.ports[1])
        half_sent.sendall(request[:40])
        self.node.send_signal(signal.SIGTERM)
        sleep(0.2)
        self.node.send_signal(signal.SIGTERM)
        # After the client port is closed, and before the end of the grace time.
        sleep(GRACE_S * 0.6)
        half_sent.sendall(request[40:])
        answer = half_sent.recv(4096)
        self.assertEqual(0, self.node.wait(GRACE_S + 1.0))
        ended.set()
        for client in clients:
            client.join()
        self.assertIn(b" 200 ", answer.split(b"\r\n")[0])
        self.assertEqual({200, "refused"}, set(statuses), statuses)

    def test_stop_uses_the_grace_time_in_force(self):
        """Load pattern: a request without end, and a settings file that changed."""
        endpoint = self.endpoints["history"]
        endpoint.long_marker, endpoint.long_service_s = "long", 2 * GRACE_S
        client = create_connection(("127.0.0.1", self.ports[1]), timeout=5.0)
        self.addCleanup(client.close)
        client.sendall(raw_request("long", self.ports[1]))
        self.wait_until(lambda: endpoint.started)
        settings = self.settings_file.read_text()
        shortened = settings.replace(f"GraceS={GRACE_S}", f"GraceS={GRACE_S / 2}")
        self.settings_file.write_text(shortened)
        self.node.send_signal(signal.SIGTERM)
        started = monotonic()
        self.assertEqual(0, self.node.wait(GRACE_S + 1.0))
        self.assertLess(monotonic() - started, GRACE_S * 0.75)

    def test_9_sends_nothing_by_what_changed_during_a_pause(self):
        """Load pattern: requests that arrive at a paused node while a server leaves."""
        staying = PlatformEndpoint("i-staying")
        self.addCleanup(staying.stop)
        value = server_object("history", ZONE, staying.address)
        self.store.state.put("servers", "i-staying", value)
        self.wait_until(lambda: self.send("/a/x")[0] == 200 and staying.runs)
        leaving = self.endpoints["history"]
        self.node.send_signal(signal.SIGSTOP)
        value = server_object("history", ZONE, leaving.address, "draining")
        self.store.state.put("servers", "i-history", value)
        runs_before = sum(leaving.runs.values())
        clients = [
            create_connection(("127.0.0.1", self.ports[1]), timeout=5.0)
            for _ in range(PAUSED_REQUESTS)
        ]
        for number, client in enumerate(clients):
            self.addCleanup(client.close)
            client.sendall(raw_request(f"paused-{number}", self.ports[1]))
        sleep(DRAIN_LIMIT_S)
        self.node.send_signal(signal.SIGCONT)
        statuses = [int(client.recv(4096).split()[1]) for client in clients]
        self.assertEqual({200}, set(statuses))
        self.assertEqual(runs_before, sum(leaving.runs.values()))

    def post_once(self):
        """Send a request on a new connection; return the status or what went wrong."""
        self.count += 1
        try:
            connection = create_connection(("127.0.0.1", self.ports[1]), timeout=3.0)
        except ConnectionRefusedError:
            return "refused"
        with connection:
            try:
                connection.sendall(raw_request(self.count, self.ports[1]))
                answer = connection.recv(4096)
            except OSError as error:
                return repr(error)
        return int(answer.split()[1]) if answer else "closed without an answer"
