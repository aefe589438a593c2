"""Nodes, a store, endpoints and clients for the scripts in review/6 and later."""

import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from pathlib import Path

from attrs import define, field, frozen

from standins.platform_store import PlatformStoreServer

ROOT = Path(__file__).resolve().parent.parent
# The start command of a node, as in deploy/system.toml.
NODE_COMMAND = ("python3", "-m", "ebonybend.platform")
HOST = "h.example"
REGION, ZONE = "kingston", "kingston-a"
START_S = 20.0
SETTINGS = """
NodeName = "{name}"
Role = "node"
MachineClass = "front"
Serves = ["front", "directory"]
Ip = "{ip}"
Zone = "{zone}"
Region = "{region}"
InternalPorts = [{internal}, {internal_last}]
FirstStart = true
LossCounts = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1500
Contracts = ["base", "drain", "config", "cost", "retry", "recover", "places",
             "platform"]
Bounds = [
    "SeedLagS=3", "ReuseAfterS=2", "ContactMs=4000", "AckMs=5000", "SyncS=4",
    "DrainMs=2500", "GraceS=6", "LossSlackMs=200", "ApplyMs=2500",
    "RollbackSlackMs=250", "SkewMaxMs=6000", "BudgetRatio=0.2", "BudgetWindowS=10",
    "BudgetSlack=56", "WarmupFactor=1.5", "WarmupSlack=5", "EvacuateMs=5000",
    "RecoveryS=15", "ttl_max_s=5", "ShiftMax=0.15",
]
[Zones]
kingston-a = "kingston"
montego-a = "montego"
mandeville-a = "mandeville"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Directory = "{ip}:{directory}"
[Limits]
CpuShare = 0.86
Cores = 1
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 1
[Platform]
Addr = "{store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""


def loopback_ip() -> str:
    """Return a loopback address that is unlikely to be in use."""
    part = random.SystemRandom().randrange
    return f"127.{part(16, 250)}.{part(1, 250)}.{part(1, 250)}"


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free on an address, for TCP."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for found in sockets:
            found.bind((ip, 0))
        return [found.getsockname()[1] for found in sockets]
    finally:
        for found in sockets:
            found.close()


class Record:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, folder: Path):
        self.started_at = time.monotonic()
        self.lock = threading.Lock()
        self.file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Write a line."""
        at = time.monotonic() - self.started_at
        with self.lock:
            self.file.write(f"{at:8.3f} {text}\n")
            self.file.flush()


@frozen
class Request:
    """A request that an endpoint received."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    # Time at which its head was received.
    received_at: float


# Writes an answer; returns whether the connection can carry another request.
Answerer = Callable[[socket.socket, Request], bool]


class Endpoint:
    """An endpoint that runs each request in a thread of its connection."""

    def __init__(self, name: str, service: str, record: Record, answer: Answerer):
        self.name = name
        self.service = service
        self.record = record
        self.answer = answer
        self.runs: list[tuple[float, str]] = []
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, state: str = "ready", slots: int = 6) -> dict:
        """Return the endpoint's entry in the store."""
        return {
            "Addr": self.address,
            "born": 1_700_000_000_000,
            "Info": {"Service": self.service, "Zone": ZONE, "MaxConcurrency": slots},
            "Status": {"State": state, "Sequence": 1, "WarmupLeftMs": 0},
        }

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        reader = connection.makefile("rb")
        try:
            while (request := self._read(reader)) is not None:
                if request.headers.get("expect-instance") != self.name:
                    send_answer(connection, 421, request, {"Instance-Id": self.name})
                    continue
                attempt = request.headers["attempt-id"]
                self.runs.append((time.monotonic(), attempt))
                self.record.write(f"{self.name} runs {attempt}")
                if not self.answer(connection, request):
                    return
        except OSError:
            return
        finally:
            connection.close()

    @staticmethod
    def _read(reader) -> Request | None:
        line = reader.readline()
        if not line:
            return None
        received_at = time.monotonic()
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while (line := reader.readline().strip()) != b"":
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        body = reader.read(int(headers.get("content-length", 0)))
        return Request(method, path, headers, body, received_at)


def answer_head(status: int, request: Request, fields: dict[str, str]) -> bytes:
    """Return the head of an answer to a request."""
    fields = {"Attempt-Id": request.headers.get("attempt-id", ""), **fields}
    lines = [f"HTTP/1.1 {status} x", *(f"{n}: {v}" for n, v in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def send_answer(
    connection: socket.socket,
    status: int,
    request: Request,
    fields: dict[str, str] | None = None,
    body: bytes = b"",
) -> None:
    """Send a whole answer."""
    fields = {**(fields or {}), "Content-Length": str(len(body))}
    connection.sendall(answer_head(status, request, fields) + body)


def answer_after(seconds: float, name: str) -> Answerer:
    """Return what a sound endpoint does: it works for some time, then answers."""

    def answer(connection: socket.socket, request: Request) -> bool:
        time.sleep(seconds)
        body = f"{request.method} {request.path} ".encode() + request.body
        send_answer(connection, 200, request, {"Server-Stamp": name}, body)
        return True

    return answer


def route(prefix: str, kind: str, service: str, timeout_ms: int, **more) -> dict:
    """Return a route of a desired state."""
    return {
        "Name": f"r{prefix.strip('/')}",
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "GoalMs": 500,
        "MaxAttempts": 2,
        "Priority": 1,
        "Service": service,
        **more,
    }


def desired_state(version: int, routes: list[dict], limits: dict | None = None) -> dict:
    """Return a desired state."""
    services = sorted({item["Service"] for item in routes})
    return {
        "Version": version,
        "Services": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConns": 330,
                "WarmupS": 3.0,
                "WarmupPerS": 16.0,
            }
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1 << 20,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
            **(limits or {}),
        },
        "VirtualHosts": [{"Host": HOST, "Paths": routes}],
    }


@define
class Node:
    """A node as a process."""

    name: str
    folder: Path
    store: str
    ip: str = field(factory=loopback_ip)
    process: subprocess.Popen | None = None
    # Ports for clients, readiness, the directory and metrics.
    ports: list[int] = field(init=False)
    internal: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.ports = free_ports(self.ip, 4)
        self.internal = random.SystemRandom().randrange(20000, 30000, 16)

    @property
    def front(self) -> int:
        """Return the port for clients."""
        return self.ports[0]

    @property
    def log(self) -> Path:
        """Return the file of the process's output."""
        return self.folder / f"{self.name}.log"

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.folder / f"{self.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=ZONE,
                region=REGION,
                internal=self.internal,
                internal_last=self.internal + 15,
                front=self.front,
                ready=self.ports[1],
                directory=self.ports[2],
                store=self.store,
            )
        )
        variables = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "EBONYBEND_NODE_FILE": str(path),
            "EBONYBEND_METRICS_PORT": str(self.ports[3]),
        }
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                NODE_COMMAND,
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def is_ready(self, timeout_s: float = 1.0) -> bool:
        """Return whether the node says that clients may use it."""
        try:
            connection = HTTPConnection(self.ip, self.ports[1], timeout=timeout_s)
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, HTTPException):
            return False

    def stop(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Rig:
    """A store, endpoints and nodes; leaving the context ends all processes."""

    def __init__(self, folder: Path, node_count: int = 1):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="ebonybend-review-")
        self.store = PlatformStoreServer()
        self.endpoints: list[Endpoint] = []
        path = Path(self.temporary.name)
        self.nodes = [
            Node(f"front-{ZONE}-{x + 1}", path, self.store.address)
            for x in range(node_count)
        ]

    def __enter__(self) -> "Rig":
        return self

    def __exit__(self, *_: object) -> None:
        for node in self.nodes:
            node.stop()
        self.store.stop()
        self.temporary.cleanup()

    def ran(self) -> set[str]:
        """Return the ids of the requests that an endpoint began to run."""
        return {attempt for x in self.endpoints for _, attempt in x.runs}

    def add_endpoint(
        self, name: str, service: str, answer: Answerer, slots: int = 6
    ) -> Endpoint:
        """Start an endpoint and list it in the store."""
        endpoint = Endpoint(name, service, self.record, answer)
        self.endpoints.append(endpoint)
        self.store.state.put("servers", name, endpoint.entry(slots=slots))
        return endpoint

    def start_nodes(self) -> None:
        """Start all nodes, and wait until they are ready."""
        for node in self.nodes:
            node.start()
        deadline = time.monotonic() + START_S
        while not all(node.is_ready() for node in self.nodes):
            if time.monotonic() > deadline:
                raise TimeoutError("a node did not become ready")
            time.sleep(0.1)
        self.record.write("all nodes are ready")


@define
class Answer:
    """What a client received."""

    # 0 if the connection ended without a complete answer.
    status: int
    seconds: float
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    error: str = ""


def call(
    node: Node,
    method: str,
    path: str,
    attempt: str,
    deadline_ms: int = 2000,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    wait_s: float | None = None,
) -> Answer:
    """Send one request on a new connection."""
    started_at = time.monotonic()
    wait_s = wait_s or deadline_ms / 1000 + 3.0
    connection = HTTPConnection(node.ip, node.front, timeout=wait_s)
    fields = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(deadline_ms),
        **(headers or {}),
    }
    try:
        connection.request(method, path, body or None, fields)
        answer = connection.getresponse()
        received = answer.read()
        found = {name.lower(): value for name, value in answer.getheaders()}
        seconds = time.monotonic() - started_at
        return Answer(answer.status, seconds, found, received)
    except (OSError, HTTPException) as error:
        seconds = time.monotonic() - started_at
        return Answer(0, seconds, error=type(error).__name__)
    finally:
        connection.close()


@frozen
class Link:
    """The link of a client: its rate, its window and its packets."""

    bytes_per_s: float
    window_bytes: int = 65_536
    packet_bytes: int = 1_400


@define
class SlowClient:
    """A client that receives answers steadily, at the rate of its link.

    It sends a number of requests one after the other on one connection.
    """

    node: Node
    record: Record
    name: str
    link: Link
    answer_bytes: int
    method: str = "GET"
    path: str = "/read/"
    body: bytes = b""
    budget_s: float = 20.0
    requests: int = 1
    # Results of the requests: whether the whole answer arrived.
    whole: list[bool] = field(factory=list)
    # Bytes of the last answer's body.
    received: int = 0
    # The last request, and when it was sent and ended.
    attempt: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0
    thread: threading.Thread = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def is_cut_off(self, ran: set[str]) -> bool:
        """Return whether the last request ran and was cut off within its budget."""
        is_in_time = self.ended_at - self.sent_at < self.budget_s
        return self.whole[-1:] == [False] and self.attempt in ran and is_in_time

    def _run(self) -> None:
        with socket.socket() as connection:
            options = (
                (socket.SOL_SOCKET, socket.SO_RCVBUF, self.link.window_bytes),
                (socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.link.packet_bytes),
            )
            for option in options:
                connection.setsockopt(*option)
            connection.settimeout(self.budget_s)
            try:
                connection.connect((self.node.ip, self.node.front))
            except OSError:
                return
            for number in range(self.requests):
                attempt = f"{self.name}-{number}"
                self.whole.append(self._ask(connection, attempt))
                if not self.whole[-1]:
                    return

    def _ask(self, connection: socket.socket, attempt: str) -> bool:
        """Send a request; return whether the whole answer arrived."""
        head = (
            f"{self.method} {self.path}{attempt} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Attempt-Id: {attempt}\r\nDeadline-Ms: {int(self.budget_s * 1000)}\r\n"
            f"Content-Length: {len(self.body)}\r\n\r\n"
        )
        self.record.write(f"client sends {attempt}")
        self.attempt, self.sent_at = attempt, time.monotonic()
        received, error = 0, "the connection was closed"
        try:
            connection.sendall(head.encode() + self.body)
            received = self._receive(connection)
        except OSError as failure:
            error = repr(failure)
        self.ended_at = time.monotonic()
        seconds = self.ended_at - self.sent_at
        if received >= self.answer_bytes:
            self.record.write(
                f"client has the whole answer to {attempt}, {seconds:.2f} s"
            )
            return True
        self.record.write(
            f"client has {self.received} bytes of the answer to {attempt} after"
            f" {seconds:.2f} s: {error}"
        )
        return False

    def _receive(self, connection: socket.socket) -> int:
        head = b""
        while b"\r\n\r\n" not in head:
            byte = connection.recv(1)
            if not byte:
                return 0
            head += byte
        self.record.write(f"client gets status {head.split(b' ')[1].decode()}")
        started_at = time.monotonic()
        self.received = 0
        while self.received < self.answer_bytes:
            data = connection.recv(2048 if self.link.window_bytes < 65_536 else 16_384)
            if not data:
                break
            self.received += len(data)
            due_s = self.received / self.link.bytes_per_s
            time.sleep(max(due_s - (time.monotonic() - started_at), 0.0))
        return self.received


def long_answer(name: str, seconds: float, size: int) -> Answerer:
    """Return what an endpoint does that has long answers."""
    body = b"x" * size

    def answer(connection: socket.socket, request: Request) -> bool:
        time.sleep(seconds)
        send_answer(connection, 200, request, {"Server-Stamp": name}, body)
        return True

    return answer


def run_case(main: Callable[[bool], bool]) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if neither."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        is_broken = main(os.environ.get("TROUBLE", "1") != "0")
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
