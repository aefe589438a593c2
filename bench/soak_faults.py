"""Plan the random faults of a soak run, inject and end them."""

from collections.abc import Callable
from random import Random
from threading import Thread
from time import monotonic, sleep

from attrs import define, field, frozen

from bench.deployments import DeploymentPlan
from bench.fleet import Fleet
from ebonybend.world import LifeState
from standins.backend_server import ServerFaults
from standins.broken_answers import BROKEN_ANSWERS
from standins.platform import PlatformFaults
from standins.proxy_rules import ProxyRule

FIRST_FAULT_S = 2.0
MIN_GAP_S = 1.5
MAX_GAP_S = 4.0
TWO_FAULTS_PROBABILITY = 0.4
MIN_FAULT_S = 1.0
MAX_FAULT_S = 6.0
# Minimum time between two faults of a target, so that a replaced instance can
# acquire its slots before it fails again.
RECOVERY_S = 5.0
# Answers that a server breaks in a row.
BROKEN_NUMBER = 5
STOP_TIMEOUT_S = 30.0
MAX_TRIES = 10

INSTANCE_KINDS = (
    "kill_entry",
    "kill_control",
    "kill_instance",
    "pause_instance",
    "stop_instance",
)
PAIR_KINDS = ("cut", "cut_one_way", "freeze")
PLATFORM_LINK_KINDS = ("cut_from_platform", "freeze_from_platform")
PLATFORM_KINDS = ("platform_down", "platform_slow", "platform_loses")
SERVER_KINDS = ("crash_server", "drain_server", "break_answers")
KINDS = (
    *INSTANCE_KINDS,
    *PAIR_KINDS,
    *PLATFORM_LINK_KINDS,
    *PLATFORM_KINDS,
    *SERVER_KINDS,
)
PLATFORM_FAULTS = {
    "platform_down": PlatformFaults(down="refuse"),
    "platform_slow": PlatformFaults(delay_ms=800.0),
    "platform_loses": PlatformFaults(lose_answers=3),
}


@frozen
class PlannedFault:
    """A fault of a soak run."""

    # Seconds after the start of the run.
    at: float
    kind: str
    targets: tuple[str, ...]
    lasts_s: float

    def line(self) -> str:
        """Return the fault as a line of text."""
        targets = " ".join(self.targets)
        return f"{self.at:6.1f} s  {self.kind} {targets} for {self.lasts_s:.1f} s"


def plan_faults(
    plan: DeploymentPlan, end_s: float, random: Random
) -> list[PlannedFault]:
    """Return random faults that all end at most end_s seconds after the start."""
    faults: list[PlannedFault] = []
    free_at: dict[tuple[str, ...], float] = {}
    at = FIRST_FAULT_S
    while at < end_s - MIN_FAULT_S:
        for _ in range(2 if random.random() < TWO_FAULTS_PROBABILITY else 1):
            fault = _choose_fault(plan, at, end_s, free_at, random)
            if fault is not None:
                faults.append(fault)
        at += random.uniform(MIN_GAP_S, MAX_GAP_S)
    return faults


def _choose_fault(
    plan: DeploymentPlan,
    at: float,
    end_s: float,
    free_at: dict[tuple[str, ...], float],
    random: Random,
) -> PlannedFault | None:
    """Return a fault of a target that has none; None if no free target was found."""
    for _ in range(MAX_TRIES):
        kind = random.choice(KINDS)
        targets = _choose_targets(plan, kind, random)
        duration_s = random.uniform(MIN_FAULT_S, MAX_FAULT_S)
        if free_at.get(targets, 0.0) > at:
            continue
        duration_s = min(duration_s, end_s - at)
        free_at[targets] = at + duration_s + RECOVERY_S
        return PlannedFault(at, kind, targets, duration_s)
    return None


def _choose_targets(plan: DeploymentPlan, kind: str, random: Random) -> tuple[str, ...]:
    if kind in INSTANCE_KINDS:
        return (random.choice(plan.instances),)
    if kind in PLATFORM_KINDS:
        return ("platform",)
    if kind in SERVER_KINDS:
        return (random.choice(plan.servers).name,)
    domains = [x.name for x in plan.deployment.failure_domains]
    if kind in PLATFORM_LINK_KINDS:
        return (random.choice(domains), "platform")
    return tuple(random.sample(domains, 2))


@frozen
class Leaving:
    """A period in which a backend server was leaving."""

    server: str
    since: float
    until: float


@define
class FaultRunner:
    """Inject planned faults, each in its own thread, and end them."""

    fleet: Fleet
    faults: list[PlannedFault]
    leaving: list[Leaving] = field(factory=list)
    problems: list[str] = field(factory=list)
    threads: list[Thread] = field(factory=list)

    def start(self) -> None:
        """Start the threads that inject the faults at their planned times."""
        started = monotonic()
        for fault in self.faults:
            thread = Thread(target=self._run, args=(fault, started), daemon=True)
            self.threads.append(thread)
            thread.start()

    def wait(self) -> None:
        """Wait until every fault has ended."""
        for thread in self.threads:
            thread.join()

    def _run(self, fault: PlannedFault, started: float) -> None:
        sleep(max(started + fault.at - monotonic(), 0.0))
        try:
            self._injector(fault.kind)(fault)
        except Exception as error:
            # An exception in the thread must fail the run.
            self.problems.append(f"{fault.line()}: {error!r}")

    def _injector(self, kind: str) -> Callable[[PlannedFault], None]:
        if kind in PAIR_KINDS or kind in PLATFORM_LINK_KINDS:
            return self._inject_link_faults
        if kind in PLATFORM_KINDS:
            return self._inject_platform_faults
        return getattr(self, f"_{kind}")

    def _kill_entry(self, fault: PlannedFault) -> None:
        self._kill_role(fault, "entry")

    def _kill_control(self, fault: PlannedFault) -> None:
        self._kill_role(fault, "control")

    def _kill_role(self, fault: PlannedFault, role: str) -> None:
        name = fault.targets[0]
        self.fleet.kill_role(name, role)
        sleep(fault.lasts_s)
        self.fleet.processes.restart(f"{name}-{role}")

    def _kill_instance(self, fault: PlannedFault) -> None:
        name = fault.targets[0]
        self.fleet.kill_instance(name)
        sleep(fault.lasts_s / 2)
        self.fleet.deregister_instance(name)
        sleep(fault.lasts_s / 2)
        self.fleet.restart_instance(name)

    def _pause_instance(self, fault: PlannedFault) -> None:
        self.fleet.pause_instance(fault.targets[0])
        sleep(fault.lasts_s)
        self.fleet.resume_instance(fault.targets[0])

    def _stop_instance(self, fault: PlannedFault) -> None:
        name = fault.targets[0]
        statuses = self.fleet.stop_instance(name, STOP_TIMEOUT_S)
        for process, status in statuses.items():
            if status != 0:
                self.problems.append(f"stop of {process}: status {status}")
        self.fleet.restart_instance(name)

    def _crash_server(self, fault: PlannedFault) -> None:
        self.fleet.kill_server(fault.targets[0])

    def _drain_server(self, fault: PlannedFault) -> None:
        name = fault.targets[0]
        self.fleet.drain_server(name)
        since = monotonic()
        sleep(fault.lasts_s)
        self.leaving.append(Leaving(name, since, monotonic()))
        self.fleet.set_server_faults(name, ServerFaults())
        self.fleet.register_server(name, LifeState.LIVE)

    def _break_answers(self, fault: PlannedFault) -> None:
        breakage = Random(fault.line()).choice([*BROKEN_ANSWERS])
        faults = ServerFaults(break_answers=BROKEN_NUMBER, breakage=breakage)
        self.fleet.set_server_faults(fault.targets[0], faults)
        sleep(fault.lasts_s)
        self.fleet.set_server_faults(fault.targets[0], ServerFaults())

    def _inject_platform_faults(self, fault: PlannedFault) -> None:
        self.fleet.set_platform_faults(PLATFORM_FAULTS[fault.kind])
        sleep(fault.lasts_s)
        self.fleet.set_platform_faults(PlatformFaults())

    def _inject_link_faults(self, fault: PlannedFault) -> None:
        rules = link_rules(self.fleet, fault)
        self.fleet.add_proxy_rules(*rules)
        sleep(fault.lasts_s)
        self.fleet.remove_proxy_rules(*(rule.name for rule in rules))


def link_rules(fleet: Fleet, fault: PlannedFault) -> tuple[ProxyRule, ...]:
    """Return the proxy rules of a network fault between two targets."""
    action = "freeze" if fault.kind.startswith("freeze") else "cut"
    networks = [_network(fleet, target) for target in fault.targets]
    directions = [tuple(networks)]
    if fault.kind in ("cut", "freeze"):
        directions.append((networks[1], networks[0]))
    return tuple(
        ProxyRule(
            name=f"{fault.line()} {source}",
            source=source,
            target=target,
            action=action,
        )
        for source, target in directions
    )


def _network(fleet: Fleet, target_name: str) -> str:
    if target_name == "platform":
        return fleet.addresses.platform.advertise
    return fleet.addresses.domain_network(target_name)
