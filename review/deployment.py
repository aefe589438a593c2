"""Start a small deployment on loopback addresses: a store and some nodes."""

import contextlib
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.request
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from standins.platform_store import PlatformStoreServer, PlatformStoreState

ROOT = Path(__file__).resolve().parents[1]
HOST = "h1.example"
# Of the deploy file.
METRICS_PORT = 9464
ZONES = {
    "kingston-a": "kingston",
    "montego-a": "montego",
    "mandeville-a": "mandeville",
    "kingston-b": "kingston",
    "montego-b": "montego",
    "mandeville-b": "mandeville",
}
ZONES_OF_NODES = ("kingston-a", "montego-a", "mandeville-a")
BOUNDS = {
    "SeedLagS": "3",
    "ReuseAfterS": "2",
    "ContactMs": "4000",
    "AckMs": "5000",
    "SyncS": "4",
    "DrainMs": "2500",
    "GraceS": "6",
    "LossSlackMs": "200",
    "ApplyMs": "2500",
    "RollbackSlackMs": "250",
    "SkewMaxMs": "6000",
    "BudgetRatio": "0.2",
    "BudgetWindowS": "10",
    "BudgetSlack": "56",
    "WarmupFactor": "1.5",
    "WarmupSlack": "5",
    "EvacuateMs": "5000",
    "RecoveryS": "15",
    "ttl_max_s": "5",
    "ShiftMax": "0.15",
}
SETTINGS = """NodeName = "{name}"
Role = "node"
MachineClass = "front"
Serves = ["front","directory"]
Ip = "{ip}"
Zone = "{zone}"
Region = "{region}"
InternalPorts = [{internal},{last_internal}]
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


class CuttingStoreState(PlatformStoreState):
    """A store whose waiting watches may be cut off, as the platform's pages say."""

    def __init__(self) -> None:
        super().__init__()
        self.cuts = 0

    def watch(self, kind: str, since: int, wait_s: float) -> tuple[int, Any]:
        """Return the changes after a revision; close the connection of a cut watch."""
        with self.changed:
            cuts = self.cuts
            self.changed.wait_for(
                lambda: self.cuts != cuts or self._events(kind, since), wait_s
            )
            if self.cuts != cuts and not self._events(kind, since):
                raise ConnectionAbortedError
        return super().watch(kind, since, 0.0)


def cut_watches(store: PlatformStoreServer) -> None:
    """Cut off all watches that wait now; the calls after them are answered."""
    with store.state.changed:
        store.state.cuts += 1
        store.state.changed.notify_all()


def is_free(address: str, port: int) -> bool:
    """Return whether a TCP port of an address can be used."""
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def run_command() -> list[str]:
    """Return the words of the command with which the platform starts a node."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["node"]["run"].split()


class Node:
    """One node as a process, and its settings file."""

    def __init__(self, deployment: "Deployment", zone: str, ip: str):
        self.deployment = deployment
        self.name = f"front-{zone}-{ip.rpartition('.')[2]}"
        self.zone = zone
        self.ip = ip
        self.front = (ip, deployment.ports["front"])
        self.path = deployment.directory / f"{self.name}.toml"
        self.log = deployment.directory / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self, **changed_bounds: str) -> None:
        """Write the settings file at once, as the platform does."""
        bounds = {**BOUNDS, **changed_bounds}
        ports = self.deployment.ports
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            region=ZONES[self.zone],
            bounds=",".join(f'"{name}={value}"' for name, value in bounds.items()),
            zones="\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items()),
            store=self.deployment.store.address,
            internal=ports["internal"],
            last_internal=ports["internal"] + 15,
            **{name: ports[name] for name in ("front", "ready", "directory")},
        )
        new = self.path.with_suffix(".new")
        new.write_text(text)
        new.replace(self.path)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "JAVA_HOME", "LANG")
            if name in os.environ
        }
        environment["EBONYBEND_NODE_FILE"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                run_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the node says that clients may use it."""
        url = f"http://{self.ip}:{self.deployment.ports['ready']}/ready"
        try:
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def end(self) -> None:
        """End the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


class Deployment:
    """A store and one node in each zone, on loopback addresses and free ports."""

    def __init__(self, zones: Sequence[str] = ZONES_OF_NODES):
        self.directory = Path(tempfile.mkdtemp(prefix="ebonybend-review-"))
        self.store = PlatformStoreServer()
        self.store.state = self.store.server.state = CuttingStoreState()
        self.network = self._free_network(len(zones))
        self.nodes = [
            Node(self, zone, f"{self.network}.{number + 1}")
            for number, zone in enumerate(zones)
        ]

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *_: object) -> None:
        for node in self.nodes:
            node.end()
        self.store.stop()
        shutil.rmtree(self.directory, ignore_errors=True)

    def _free_network(self, node_count: int) -> str:
        """Choose ports that are free on the addresses of all nodes."""
        for _ in range(100):
            network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            first = random.randint(20000, 30000)
            self.ports = {
                "front": first,
                "ready": first + 1,
                "directory": first + 2,
                "internal": first + 10,
            }
            if all(
                is_free(f"{network}.{number}", port)
                for number in range(1, node_count + 1)
                for port in (METRICS_PORT, *range(first, first + 26))
            ):
                return network
        raise RuntimeError("no free ports")

    def start_nodes(self, timeout_s: float = 20.0) -> None:
        """Start all nodes and wait until they are ready."""
        for node in self.nodes:
            node.write_settings()
            node.start()
        until = time.monotonic() + timeout_s
        while not all(node.is_ready() for node in self.nodes):
            if time.monotonic() > until:
                raise RuntimeError("the nodes are not ready in time")
            time.sleep(0.1)

    def set_config(self, version: int, *routes: Mapping[str, object]) -> None:
        """Write a desired state, as the operator does."""
        services = sorted({str(route["Service"]) for route in routes})
        value = {
            "Version": version,
            "Services": [
                {"Name": name, "MaxConns": 330, "WarmupS": 3.0, "WarmupPerS": 16.0}
                for name in services
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 1048576,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "VirtualHosts": [{"Host": HOST, "Paths": list(routes)}],
        }
        self.store.state.put("config", "main", value)

    def list_server(
        self,
        name: str,
        service: str,
        zone: str,
        address: str,
        slots: int = 5,
        state: str = "ready",
        age_s: float = 60.0,
        warmup_left_s: float = 0.0,
    ) -> None:
        """Write a server's entry, as the server does."""
        self.store.state.put(
            "servers",
            name,
            {
                "Addr": address,
                "born": int((time.time() - age_s) * 1000),
                "Info": {
                    "Service": service,
                    "Version": "1",
                    "Zone": zone,
                    "MaxConcurrency": slots,
                },
                "Status": {
                    "State": state,
                    "Sequence": 1,
                    "WarmupLeftMs": int(warmup_left_s * 1000),
                },
            },
        )


def route(
    name: str,
    service: str,
    kind: str,
    timeout_ms: float,
    goal_ms: float,
    max_attempts: int = 2,
    priority: int = 1,
) -> dict[str, object]:
    """Return a route of a desired state."""
    found: dict[str, object] = {
        "Name": name,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "GoalMs": goal_ms,
        "MaxAttempts": max_attempts,
        "Priority": priority,
        "Sticky": True,
        "Service": service,
    }
    if timeout_ms:
        found["TimeoutMs"] = timeout_ms
    return found
