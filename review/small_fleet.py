"""A small deployment on loopback addresses for the scripts of the third review.

It starts nodes with the command of the deploy file, a stub of the platform's store and
stand-ins of endpoints, and records what was sent, answered and run. It needs only the
standard library and the project's stub of the store.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

from standins.platform_store import PlatformStoreServer

ROOT = Path(__file__).resolve().parent.parent
HOST = "h.example"
FRONT_PORT, READY_PORT, DIRECTORY_PORT = 18381, 18388, 18383
INTERNAL_PORTS = (17200, 17215)
METRICS_PORT = 9464
ZONES = {
    "kingston-a": "kingston",
    "kingston-b": "kingston",
    "montego-a": "montego",
    "mandeville-a": "mandeville",
}
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """NodeName = "{name}"
Role = "node"
MachineClass = "front"
Serves = ["front","directory"]
Ip = "{ip}"
Zone = "{zone}"
Region = "{region}"
InternalPorts = [{first_port},{last_port}]
Seeds = []
FirstStart = true
LossCounts = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","retry","recover","places","platform"]
Bounds = [{bounds}]
[Zones]
{zones}
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
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 4000,
    "AckMs": 5000,
    "SyncS": 4,
    "DrainMs": 2500,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ApplyMs": 2500,
    "RollbackSlackMs": 250,
    "SkewMaxMs": 6000,
    "BudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 56,
    "WarmupFactor": 1.5,
    "WarmupSlack": 5,
    "EvacuateMs": 5000,
    "RecoveryS": 15,
    "ttl_max_s": 5,
    "ShiftMax": 0.15,
}


class CannotRun(Exception):
    """The case can't be set up here."""


class Record:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, path: Path):
        self.file = path.open("w", buffering=1)
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line."""
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")


class Endpoint:
    """A sound endpoint, as PROTOCOL.md describes it."""

    SLOTS, QUEUE = 5, 15
    # Work takes this many times as long while the endpoint is cold.
    COLD_FACTOR = 2.0

    def __init__(
        self, name: str, service: str, zone: str, record: Record, cold_s: float
    ):
        self.name, self.service, self.zone, self.record = name, service, zone, record
        self.address = ""
        self.born_ms = int(time.time() * 1000)
        self.cold_until = time.monotonic() + cold_s
        self.work_s = 0.04
        self.slots = asyncio.Semaphore(self.SLOTS)
        self.running = self.waiting = 0
        # A request whose first line contains this text ends the endpoint's process.
        self.deadly = ""
        self.on_crash: Callable[[Endpoint, str], None] = lambda *_: None
        self.is_down = False
        self.writers: set[asyncio.StreamWriter] = set()
        # Time and id of each request that began to run.
        self.ran: list[tuple[float, str]] = []
        self.server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self.server.sockets[0].getsockname()[1]}"

    def cold_ms(self) -> int:
        """Return how long the endpoint stays cold."""
        return max(int((self.cold_until - time.monotonic()) * 1000), 0)

    def entry(self) -> dict[str, object]:
        """Return what the endpoint says of itself in the store."""
        info = {
            "Service": self.service,
            "Zone": self.zone,
            "Version": "1",
            "MaxConcurrency": self.SLOTS,
        }
        status = {"State": "ready", "Sequence": 1, "WarmupLeftMs": self.cold_ms()}
        return {
            "Addr": self.address,
            "born": self.born_ms,
            "Info": info,
            "Status": status,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The last one is the end of the case.
        ended = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        self.writers.add(writer)
        with suppress(*ended):
            while True:
                await self._answer(reader, writer)
        self.writers.discard(writer)
        writer.close()

    def crash(self) -> None:
        """Close the port and all connections, as when the process ends."""
        self.is_down = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        line, headers = await read_head(reader)
        await reader.readexactly(int(headers.get("content-length", "0")))
        until = time.monotonic() + int(headers.get("deadline-ms", "10000")) / 1000
        request_id = headers.get("attempt-id")
        if request_id is None:
            await send_answer(writer, 400, b"", {"Not-Executed": "1"})
            return
        words = {"Attempt-Id": request_id}
        if headers.get("expect-instance") != self.name:
            await send_answer(writer, 421, b"", {**words, "Not-Executed": "1"})
            return
        if self.waiting >= self.QUEUE:
            await send_answer(
                writer, 503, b"", {**words, **self.load(), "Not-Executed": "1"}
            )
            return
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            if self.is_down:
                raise ConnectionError
            left_s = until - time.monotonic()
            if left_s <= 0:
                await send_answer(
                    writer, 503, b"", {**words, **self.load(), "Not-Executed": "1"}
                )
                return
            self.record.write(f"{self.name} runs {request_id} {line}")
            self.ran.append((time.monotonic(), request_id))
            if self.deadly and self.deadly in line:
                self.crash()
                self.on_crash(self, request_id)
                return
            work_s = self.work_s * (self.COLD_FACTOR if self.cold_ms() else 1.0)
            self.running += 1
            try:
                await asyncio.sleep(min(work_s, left_s))
            finally:
                self.running -= 1
        words["Server-Stamp"] = f"{self.name}.{request_id}"
        status = 200 if work_s <= left_s else 504
        body = f"{request_id} done".encode()
        await send_answer(writer, status, body, {**words, **self.load()})

    def load(self) -> dict[str, str]:
        """Return the header that states the load."""
        return {"Server-Load": f"{self.running},{self.waiting},{self.SLOTS}"}


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.strip().split("\r\n")
    pairs = (field.split(":", 1) for field in fields)
    return line, {name.lower(): value.strip() for name, value in pairs}


async def send_answer(
    writer: asyncio.StreamWriter, status: int, body: bytes, words: dict[str, str]
) -> None:
    """Send a complete answer."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in words.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await writer.drain()


class Answer:
    """What a client received for one attempt."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        self.status, self.headers, self.body = status, headers, body


# Statuses that promise that the request has not run, and those after which no request
# is retried.
PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 404, 413, 431)


async def ask(
    address: str,
    path: str,
    method: str = "GET",
    deadline_ms: int = 2000,
    request_id: str = "",
    client_ip: str | None = None,
) -> Answer | None:
    """Send one attempt on a new connection; return None without a complete answer."""
    ip, _, port = address.rpartition(":")
    local = (client_ip, 0) if client_ip else None
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(
                ip, int(port), local_addr=local
            )
            writer.write(request_bytes(path, method, deadline_ms, request_id))
            line, headers = await read_head(reader)
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            return Answer(int(line.split()[1]), headers, body)
    except (OSError, asyncio.IncompleteReadError):
        # A TimeoutError is an OSError: the client leaves at the end of its budget.
        return None
    finally:
        if writer is not None:
            writer.close()


def request_bytes(path: str, method: str, deadline_ms: int, request_id: str) -> bytes:
    """Return the bytes of a client's request."""
    request_id = request_id or f"{random.getrandbits(64):016x}"
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\n"
        f"Deadline-Ms: {deadline_ms}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


class Clients:
    """Sound clients of a zone, all behind one address."""

    def __init__(self, fleet: "SmallFleet", zone: str, ip: str | None = None):
        self.fleet, self.zone, self.ip = fleet, zone, ip
        # Directory nodes, nearest first.
        self.directory = sorted(
            fleet.nodes, key=lambda node: (ZONES[node.zone] != ZONES[zone], node.name)
        )
        self.addresses: list[str] = []
        self.valid_until = 0.0

    async def address(self) -> str:
        """Return a node's address, from the directory's last answer."""
        if time.monotonic() > self.valid_until:
            query = f"Name={HOST}&Region={ZONES[self.zone]}&Zone={self.zone}"
            for node in self.directory[:3]:
                answer = await ask(
                    f"{node.ip}:{DIRECTORY_PORT}", f"/resolve?{query}", "GET", 1000
                )
                if answer is not None and answer.status == 200:
                    found = json.loads(answer.body)
                    self.addresses = found["Addrs"]
                    self.valid_until = time.monotonic() + min(found["TtlS"], 5)
                    break
        return random.choice(self.addresses)

    async def request(
        self, path: str, method: str, budget_ms: int, name: str
    ) -> list[tuple[str, int | None]]:
        """Send a request, and once more where PROTOCOL.md lets a client do so.

        Returns the id and the status of each attempt.
        """
        until = time.monotonic() + budget_ms / 1000
        attempts: list[tuple[str, int | None]] = []
        for number in (1, 2):
            left_ms = int((until - time.monotonic()) * 1000)
            if left_ms <= 0:
                break
            request_id = f"{name}/{number}"
            address = await self.address()
            answer = await ask(address, path, method, left_ms, request_id, self.ip)
            status = answer.status if answer else None
            attempts.append((request_id, status))
            if status != 200:
                self.fleet.record.write(f"client {request_id} {path}: {status}")
            may_repeat = method == "GET" or status in PROMISES
            if status == 200 or status in FINAL or not may_repeat:
                break
            if status in PROMISES:
                wait_s = float(answer.headers.get("retry-after", "0"))
                await asyncio.sleep(min(wait_s, (until - time.monotonic()) / 3))
        return attempts


class Node:
    """One node: its name, zone, loopback address and process."""

    def __init__(self, fleet: "SmallFleet", name: str, zone: str, ip: str):
        self.fleet, self.name, self.zone, self.ip = fleet, name, zone, ip
        self.directory_port = DIRECTORY_PORT
        self.bounds = dict(BOUNDS)
        self.settings_path = fleet.directory / f"{name}.toml"
        self.log_path = fleet.directory / f"{name}.log"
        self.process: subprocess.Popen | None = None

    @property
    def front(self) -> str:
        """Return the address for clients."""
        return f"{self.ip}:{FRONT_PORT}"

    def write_settings(self) -> None:
        """Write the settings file in one step."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            region=ZONES[self.zone],
            first_port=INTERNAL_PORTS[0],
            last_port=INTERNAL_PORTS[1],
            bounds=",".join(f'"{k}={v}"' for k, v in self.bounds.items()),
            zones="\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items()),
            front=FRONT_PORT,
            ready=READY_PORT,
            directory=self.directory_port,
            store=self.fleet.store.address,
        )
        new = self.settings_path.with_suffix(".new")
        new.write_text(text)
        new.replace(self.settings_path)

    def start(self) -> None:
        """Start the process as the deploy file says."""
        self.write_settings()
        variables = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        variables |= {
            "EBONYBEND_NODE_FILE": str(self.settings_path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                run_command(),
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the node says that clients may use it."""
        answer = await ask(f"{self.ip}:{READY_PORT}", "/ready")
        return answer is not None and answer.status == 200


def run_command() -> list[str]:
    """Return the command of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["node"]["run"].split()


class SmallFleet:
    """Nodes as processes, the store, and endpoints."""

    def __init__(self, record: Record, directory: Path):
        self.record, self.directory = record, directory
        self.prefix = f"127.{random.randint(20, 240)}.{random.randint(1, 250)}"
        self.store = PlatformStoreServer(f"{self.prefix}.1")
        self.nodes: list[Node] = []
        self.endpoints: list[Endpoint] = []
        self.version = 0

    def add_node(self, zone: str) -> Node:
        """Add a node, which is not started."""
        number = len(self.nodes) + 1
        ip = f"{self.prefix}.{number + 10}"
        for port in (FRONT_PORT, READY_PORT, DIRECTORY_PORT, METRICS_PORT):
            check_free(ip, port)
        node = Node(self, f"front-{zone}-{number}", zone, ip)
        self.nodes.append(node)
        return node

    async def add_endpoint(
        self, service: str, zone: str, cold_s: float = 0.0
    ) -> Endpoint:
        """Start an endpoint; it isn't listed yet."""
        name = f"i-{len(self.endpoints) + 1}"
        endpoint = Endpoint(name, service, zone, self.record, cold_s)
        await endpoint.start(f"{self.prefix}.2")
        self.endpoints.append(endpoint)
        return endpoint

    def list_endpoints(self) -> None:
        """Write the entries of all endpoints."""
        for endpoint in self.endpoints:
            self.store.state.put("servers", endpoint.name, endpoint.entry())

    def set_config(
        self, *routes: dict[str, object], max_header_bytes: int = 16384
    ) -> None:
        """Write the next desired state."""
        self.version += 1
        services = sorted({endpoint.service for endpoint in self.endpoints})
        config = {
            "Version": self.version,
            "Services": [
                {"Name": x, "MaxConns": 330, "WarmupPerS": 16, "WarmupS": 3}
                for x in services
            ],
            "Limits": {
                "MaxHeaderBytes": max_header_bytes,
                "MaxBodyBytes": 67108864,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "VirtualHosts": [{"Host": HOST, "Paths": list(routes)}],
        }
        self.store.state.put("config", "main", config)

    async def start_nodes(self) -> None:
        """Start all nodes and wait until they are ready and know one another."""
        for node in self.nodes:
            node.start()
        for _ in range(150):
            if all([await node.is_ready() for node in self.nodes]):
                await asyncio.sleep(4.0)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes aren't ready in 15 s")

    def close(self) -> None:
        """End all processes that the fleet started."""
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        self.store.stop()


def check_free(ip: str, port: int) -> None:
    """Raise CannotRun if a port is in use."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError as error:
            raise CannotRun(f"{ip}:{port} is not free: {error}") from error


def route(
    prefix: str, kind: str, service: str, timeout_ms: int, goal_ms: int, **more: object
) -> dict[str, object]:
    """Return a route of a desired state."""
    return {
        "Name": prefix.strip("/"),
        "PathPrefix": prefix,
        "Kind": kind,
        "Service": service,
        "TimeoutMs": timeout_ms,
        "GoalMs": goal_ms,
        "MaxAttempts": 2,
        "Priority": 1,
        **more,
    }


class Supervisor:
    """Start endpoints again after a crash, as new incarnations that are cold."""

    # An endpoint that crashed is back after this time; its entry expires after three
    # liveness report intervals of silence.
    BACK_S, ENTRY_S, COLD_S = 3.0, 4.5, 3.0

    def __init__(self, fleet: SmallFleet, deadly: str):
        self.fleet, self.deadly = fleet, deadly
        # Time of each crash, and the request under which it happened.
        self.crashes: list[tuple[float, str]] = []
        self.tasks: list[asyncio.Task] = []

    async def add(
        self, service: str, zone: str, work_s: float, cold_s: float = 0.0
    ) -> None:
        """Start an endpoint and list it."""
        endpoint = await self.fleet.add_endpoint(service, zone, cold_s)
        endpoint.work_s, endpoint.deadly = work_s, self.deadly
        endpoint.on_crash = self.on_crash
        self.fleet.store.state.put("servers", endpoint.name, endpoint.entry())

    def on_crash(self, endpoint: Endpoint, request_id: str) -> None:
        """Record a crash; the endpoint is back after some seconds."""
        self.crashes.append((time.monotonic(), request_id))
        self.fleet.record.write(f"{endpoint.name} crashes under {request_id}")
        self.tasks.append(asyncio.create_task(self.replace(endpoint)))

    async def replace(self, endpoint: Endpoint) -> None:
        """Start the next incarnation; remove the entry of the one before."""
        await asyncio.sleep(self.BACK_S)
        await self.add(endpoint.service, endpoint.zone, endpoint.work_s, self.COLD_S)
        await asyncio.sleep(self.ENTRY_S - self.BACK_S)
        self.fleet.store.state.remove("servers", endpoint.name)


# Plays a case; returns whether the rule held.
Case = Callable[[SmallFleet, bool], Awaitable[bool]]


def run_case(case: Case, folder: Path, trouble: bool) -> int:
    """Play a case; return 0 if the rule held, 1 if it broke, 2 if it couldn't run."""
    record = Record(folder / "record.txt")
    record.write(f"trouble {int(trouble)}")
    with tempfile.TemporaryDirectory() as directory:
        fleet = SmallFleet(record, Path(directory))
        try:
            held = asyncio.run(asyncio.wait_for(case(fleet, trouble), 110))
        except (CannotRun, TimeoutError, OSError) as error:
            record.write(f"cannot run: {error!r}")
            print(f"cannot run: {error!r}", file=sys.stderr)
            return NOT_RUN
        finally:
            fleet.close()
    record.write("held" if held else "broken")
    return HELD if held else BROKEN
