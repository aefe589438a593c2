"""Run a fleet: platform, fault proxy, backend servers and entry instances."""

import signal
from collections.abc import Callable
from contextlib import ExitStack
from ipaddress import ip_address
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Lock
from time import monotonic, sleep

from attrs import evolve, frozen

from bench.addresses import AddressPlan, reserve_fleet
from bench.deployments import DeploymentPlan
from bench.http_calls import call, must_call
from bench.processes import ProcessGroup, ProcessSpec
from ebonybend.codec import to_json
from ebonybend.control.client_map import ClientMapObject
from ebonybend.steering.lookup import BLOCK_MASK, encode_shard
from ebonybend.world import BackendServer, Instance, LifeState
from standins.backend_server import ServerFaults
from standins.platform import PlatformFaults
from standins.proxy_rules import ProxyRule

READY_TIMEOUT_S = 30.0
POLL_S = 0.05
LOG_TAIL_LENGTH = 2000
ROLES = ("entry", "control")
SEEDS_PER_CONTROL = 3
# Clients per region in the client map.
MAX_CLIENTS = 200


@frozen(kw_only=True)
class FleetOptions:
    """Which processes of a fleet run, and their settings."""

    # Names of the instances to start; None for all.
    instances: tuple[str, ...] | None = None
    service_ms: float = 20.0
    cold_s: float = 1.0
    server_restart_s: float | None = 1.0
    # Additional flags for every daemon.
    daemon_flags: tuple[str, ...] = ()
    # Directory for logs and server histories; None for a temporary one.
    directory: Path | None = None


@frozen
class FleetEvent:
    """A change or fault injected into the fleet."""

    # Monotonic time in seconds.
    at: float
    event: str
    name: str


class Fleet:
    """The processes of one deployment on this machine."""

    addresses: AddressPlan
    processes: ProcessGroup

    def __init__(self, plan: DeploymentPlan, options: FleetOptions | None = None):
        self.plan = plan
        self.options = options or FleetOptions()
        self.stack = ExitStack()
        self.events: list[FleetEvent] = []
        self.faults: dict[str, ProxyRule] = {}
        self.proxy_lock = Lock()
        self.directory = Path()

    def __enter__(self) -> "Fleet":
        with ExitStack() as stack:
            number, lock = reserve_fleet()
            stack.callback(lock.close)
            self.addresses = AddressPlan(number, self.plan)
            self.directory = self.options.directory or Path(
                stack.enter_context(TemporaryDirectory(prefix="ebonybend-fleet-"))
            )
            self.processes = stack.enter_context(ProcessGroup(self.directory))
            self.stack = stack.pop_all()
        try:
            self._start()
        except BaseException:
            self.stack.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stack.close()

    @property
    def instances(self) -> tuple[str, ...]:
        """Return the names of the instances in this fleet."""
        if self.options.instances is None:
            return self.plan.instances
        return self.options.instances

    def record_event(self, event: str, name: str) -> None:
        """Record a change or fault injected into the fleet."""
        self.events.append(FleetEvent(monotonic(), event, name))

    # Start

    def _start(self) -> None:
        self._start_platform()
        self._start_proxy()
        for server in self.plan.servers:
            self._start_server(server.name)
        for instance in self.instances:
            self.start_instance(instance)
        self.wait_until(self._servers_ready, "backend servers are ready")
        self.wait_until(self._instances_started, "instances are ready")
        self.wait_until(self._all_instances_serve, "instances serve every service")

    def _start_platform(self) -> None:
        self._start_process(
            "platform",
            "standins.platform",
            f"--listen={self.addresses.platform.listen}",
            f"--faults={self.addresses.platform_faults}",
        )
        self.wait_until(self._platform_ready, "the platform is ready")
        self.write_object("deployment", "main", self.plan.deployment)
        self._write_client_map()
        for server in self.plan.servers:
            self.register_server(server.name, LifeState.LIVE)

    def _write_client_map(self) -> None:
        sites = tuple(x.name for x in self.plan.deployment.failure_domains)
        blocks = [
            (int(ip_address(client)) & BLOCK_MASK, sites.index(site))
            for client, site in self.addresses.client_blocks(MAX_CLIENTS).items()
        ]
        shard = ClientMapObject(encode_shard(sites, blocks))
        self.write_object("clientmap", "0000", shard)

    def _platform_ready(self) -> bool:
        return call("GET", self.addresses.platform_faults, "/counts").status == 200

    def _start_proxy(self) -> None:
        path = self.directory / "proxy.json"
        path.write_bytes(to_json(self.addresses.proxy_config()))
        self._start_process(
            "proxy",
            "standins.fault_proxy",
            f"--faults={self.addresses.proxy_faults}",
            f"--config={path}",
        )

    def _start_process(self, name: str, module: str, *arguments: str) -> None:
        self.processes.start(ProcessSpec(name, module, arguments))

    def _start_server(self, name: str) -> None:
        server = next(x for x in self.plan.servers if x.name == name)
        arguments = (
            f"--name={name}",
            f"--listen={self.addresses.server(name).listen}",
            f"--faults={self.addresses.server_faults(name)}",
            f"--slots={server.slots}",
            f"--service_ms={self.options.service_ms}",
            f"--cold_s={self.options.cold_s}",
            f"--history={self.server_history(name)}",
        )
        module = "standins.backend_server"
        restart = self.options.server_restart_s
        self.processes.start(ProcessSpec(name, module, arguments, restart))

    def start_instance(self, name: str) -> None:
        """Register an instance as live and start its two processes."""
        self.register_instance(name, LifeState.LIVE)
        for role in ROLES:
            arguments = self._daemon_arguments(name, role)
            spec = ProcessSpec(f"{name}-{role}", "ebonybend.daemon", arguments)
            self.processes.start(spec)

    def _daemon_arguments(self, name: str, role: str) -> tuple[str, ...]:
        addresses = self.addresses
        domain = self.plan.deployment.domain_of_instance(name)
        public, peer = addresses.public(name), addresses.peer(name)
        exchange = addresses.exchange(name)
        return (
            f"--role={role}",
            f"--instance={name}",
            f"--failure_domain={domain.name}",
            f"--source_address={addresses.instance_host(name)}",
            f"--control_listen={addresses.control(name)}",
            f"--public_listen={public.listen}",
            f"--public_advertise={public.advertise}",
            f"--peer_listen={peer.listen}",
            f"--peer_advertise={peer.advertise}",
            f"--exchange_listen={exchange.listen}",
            f"--exchange_advertise={exchange.advertise}",
            f"--admin_listen={addresses.admin(name)}",
            f"--platform_address={addresses.platform.advertise}",
            f"--seeds={','.join(self._seeds(name))}",
            *self.options.daemon_flags,
        )

    def _seeds(self, name: str) -> tuple[str, ...]:
        others = [x for x in self.instances if x != name][:SEEDS_PER_CONTROL]
        return tuple(self.addresses.exchange(x).advertise for x in others)

    # Readiness

    def wait_until(
        self,
        condition: Callable[[], bool],
        what: str,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> float:
        """Wait until a condition holds; return the seconds or raise TimeoutError."""
        started = monotonic()
        while not condition():
            if monotonic() - started > timeout_s:
                raise TimeoutError(f"timed out after {timeout_s:.0f} s: {what}")
            sleep(POLL_S)
        return monotonic() - started

    def _servers_ready(self) -> bool:
        return all(self.server_ready(x.name) for x in self.plan.servers)

    def server_ready(self, name: str) -> bool:
        """Return whether a backend server answers health checks."""
        return call("GET", self.addresses.server(name).listen, "/health").status == 200

    def _instances_started(self) -> bool:
        """Return whether all instances are ready; raise RuntimeError on a crash."""
        for _, name in self.processes.crashes:
            log = (self.directory / f"{name}.log").read_text()
            raise RuntimeError(
                f"{name} exited during startup: {log[-LOG_TAIL_LENGTH:]}"
            )
        return self.instances_ready()

    def instances_ready(self) -> bool:
        """Return whether every instance is ready for clients."""
        return all(self.instance_ready(name) for name in self.instances)

    def instance_ready(self, name: str) -> bool:
        """Return whether both processes of an instance are ready."""
        entry = self.addresses.public(name).listen
        return all(
            call("GET", address, "/readyz").status == 200
            for address in (entry, self.addresses.admin(name))
        )

    def _all_instances_serve(self) -> bool:
        """Return whether every instance has slots for every service.

        A new incarnation owns no slot until the hold time has passed.
        """
        return all(self.instance_serves(name) for name in self.instances)

    def instance_serves(self, name: str) -> bool:
        """Return whether an instance answers reads of every service."""
        address = self.addresses.public(name).listen
        return all(
            call("GET", address, f"/s/{service.name}/ready?service_ms=1").status == 200
            for service in self.plan.deployment.services
        )

    # The platform's objects

    def write_object(self, kind: str, name: str, value: object) -> None:
        """Write an object through the platform's admin address, despite faults."""
        path = f"/v1/objects/{kind}/{name}"
        must_call("PUT", self.addresses.platform_faults, path, to_json(value))

    def delete_object(self, kind: str, name: str) -> None:
        """Delete an object through the platform's admin address."""
        path = f"/v1/objects/{kind}/{name}"
        must_call("DELETE", self.addresses.platform_faults, path)

    def register_instance(self, name: str, state: LifeState) -> None:
        """Register an instance with the platform."""
        domain = self.plan.deployment.domain_of_instance(name)
        address = self.addresses.exchange(name).advertise
        instance = Instance(name, domain.name, address, state)
        self.write_object("instance", name, instance)

    def register_server(self, name: str, state: LifeState) -> None:
        """Register a backend server with the platform."""
        server = next(x for x in self.plan.servers if x.name == name)
        address = self.addresses.server(name).advertise
        registered = BackendServer(
            name,
            server.service,
            server.failure_domain,
            address,
            server.slots,
            state=state,
        )
        self.write_object("server", name, registered)

    # Fault injection

    def kill_instance(self, name: str) -> None:
        """Kill an instance's processes."""
        self.record_event("kill_instance", name)
        for role in ROLES:
            self.processes.kill(f"{name}-{role}")

    def kill_role(self, name: str, role: str) -> None:
        """Kill one process of an instance."""
        self.record_event(f"kill_{role}", name)
        self.processes.kill(f"{name}-{role}")

    def restart_instance(self, name: str) -> None:
        """Start an instance again under the same name."""
        self.record_event("restart_instance", name)
        self.start_instance(name)

    def pause_instance(self, name: str) -> None:
        """Suspend an instance's processes."""
        self.record_event("pause_instance", name)
        for role in ROLES:
            self.processes.signal(f"{name}-{role}", signal.SIGSTOP)

    def resume_instance(self, name: str) -> None:
        """Resume a paused instance."""
        self.record_event("resume_instance", name)
        for role in ROLES:
            self.processes.signal(f"{name}-{role}", signal.SIGCONT)

    def deregister_instance(self, name: str) -> None:
        """Remove a terminated instance from the platform."""
        self.record_event("unlist_instance", name)
        self.delete_object("instance", name)

    def stop_instance(
        self, name: str, timeout_s: float = 30.0
    ) -> dict[str, int | None]:
        """Stop an instance gracefully; return its processes' exit statuses."""
        self.record_event("stop_instance", name)
        self.register_instance(name, LifeState.LEAVING)
        names = [f"{name}-{role}" for role in ROLES]
        for process in names:
            self.processes.terminate(process)
        statuses = {x: self.processes.wait(x, timeout_s) for x in names}
        self.deregister_instance(name)
        return statuses

    def set_server_faults(self, name: str, faults: ServerFaults) -> None:
        """Replace a backend server's faults."""
        must_call("POST", self.addresses.server_faults(name), "/faults", faults)

    def drain_server(self, name: str) -> None:
        """Drain a backend server and register it as leaving."""
        self.record_event("drain_server", name)
        self.set_server_faults(name, ServerFaults(draining=True))
        self.register_server(name, LifeState.LEAVING)

    def remove_server(self, name: str) -> None:
        """Kill a backend server and remove it from the platform."""
        self.record_event("remove_server", name)
        self.processes.kill(name)
        self.delete_object("server", name)

    def kill_server(self, name: str) -> None:
        """Kill a backend server as in a crash; it is restarted after a delay."""
        self.record_event("kill_server", name)
        self.processes.signal(name, signal.SIGKILL)

    def set_platform_faults(self, faults: PlatformFaults) -> None:
        """Replace the platform's faults."""
        self.record_event("platform_faults", str(faults))
        must_call("POST", self.addresses.platform_faults, "/faults", faults)

    def add_proxy_rules(self, *rules: ProxyRule) -> None:
        """Add network faults; a rule replaces an earlier one with the same name."""
        for rule in rules:
            self.record_event("proxy_rule", rule.name)
            self.faults[rule.name] = rule
        self._configure_proxy()

    def remove_proxy_rules(self, *names: str) -> None:
        """Remove the network faults with the given names."""
        for name in names:
            self.record_event("proxy_rule_removed", name)
            self.faults.pop(name, None)
        self._configure_proxy()

    def clear_proxy_rules(self) -> None:
        """Remove all network faults."""
        self.record_event("proxy_rules_cleared", "")
        self.faults.clear()
        self._configure_proxy()

    def _configure_proxy(self) -> None:
        # Several threads inject faults, and the newest configuration must be sent last.
        with self.proxy_lock:
            config = self.addresses.proxy_config()
            rules = (*config.rules, *tuple(self.faults.values()))
            config = evolve(config, rules=rules)
            must_call("POST", self.addresses.proxy_faults, "/config", config)

    # Records

    def server_history(self, name: str) -> Path:
        """Return the path of a backend server's history."""
        return self.directory / f"{name}.history.jsonl"

    def server_histories(self) -> list[Path]:
        """Return the paths of all backend servers' histories."""
        return [self.server_history(x.name) for x in self.plan.servers]
