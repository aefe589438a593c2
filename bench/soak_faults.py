"""Draw the faults of a soak run from its seed, inject and heal them."""

from collections.abc import Callable
from random import Random
from threading import Thread
from time import monotonic, sleep

from attrs import define, field, frozen

from bench.deployments import DeploymentPlan
from bench.fleet import Fleet
from ebonybend.world import LifeState
from standins.backend_server import ServerFaults
from standins.platform import PlatformFaults
from standins.proxy_rules import ProxyRule

FIRST_FAULT_S = 2.0
SHORTEST_GAP_S = 1.5
LONGEST_GAP_S = 4.0
TWO_AT_ONCE = 0.4
SHORTEST_FAULT_S = 1.0
LONGEST_FAULT_S = 6.0
# A target is left alone for this long after a fault, so that a replaced instance can
# take its slots before it fails again.
RECOVERY_S = 5.0
STOP_TIMEOUT_S = 30.0
DRAW_TRIES = 10

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
SERVER_KINDS = ("crash_server", "drain_server")
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
    """One fault of a run."""

    # Seconds after the start of the run.
    at: float
    kind: str
    targets: tuple[str, ...]
    lasts_s: float

    def line(self) -> str:
        """Return the fault for people."""
        targets = " ".join(self.targets)
        return f"{self.at:6.1f} s  {self.kind} {targets} for {self.lasts_s:.1f} s"


def plan_faults(
    plan: DeploymentPlan, end_s: float, random: Random
) -> list[PlannedFault]:
    """Return faults that are all over at a time after the start."""
    faults: list[PlannedFault] = []
    busy: dict[tuple[str, ...], float] = {}
    at = FIRST_FAULT_S
    while at < end_s - SHORTEST_FAULT_S:
        for _ in range(2 if random.random() < TWO_AT_ONCE else 1):
            fault = _draw(plan, at, end_s, busy, random)
            if fault is not None:
                faults.append(fault)
        at += random.uniform(SHORTEST_GAP_S, LONGEST_GAP_S)
    return faults


def _draw(
    plan: DeploymentPlan,
    at: float,
    end_s: float,
    busy: dict[tuple[str, ...], float],
    random: Random,
) -> PlannedFault | None:
    """Return a fault of a target that has none, or None if none was found."""
    for _ in range(DRAW_TRIES):
        kind = random.choice(KINDS)
        targets = _targets(plan, kind, random)
        lasts = random.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S)
        if busy.get(targets, 0.0) > at:
            continue
        lasts = min(lasts, end_s - at)
        busy[targets] = at + lasts + RECOVERY_S
        return PlannedFault(at, kind, targets, lasts)
    return None


def _targets(plan: DeploymentPlan, kind: str, random: Random) -> tuple[str, ...]:
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
    """A time in which a backend server was leaving."""

    server: str
    since: float
    until: float


@define
class FaultRunner:
    """Inject planned faults, each in its own thread, and heal them."""

    fleet: Fleet
    faults: list[PlannedFault]
    leaving: list[Leaving] = field(factory=list)
    problems: list[str] = field(factory=list)
    threads: list[Thread] = field(factory=list)

    def start(self) -> None:
        """Inject every fault at its time from now on."""
        started = monotonic()
        for fault in self.faults:
            thread = Thread(target=self._run, args=(fault, started), daemon=True)
            self.threads.append(thread)
            thread.start()

    def wait(self) -> None:
        """Wait until every fault is healed."""
        for thread in self.threads:
            thread.join()

    def _run(self, fault: PlannedFault, started: float) -> None:
        sleep(max(started + fault.at - monotonic(), 0.0))
        try:
            self._action(fault.kind)(fault)
        except Exception as error:
            # The thread's failure must fail the run.
            self.problems.append(f"{fault.line()}: {error!r}")

    def _action(self, kind: str) -> Callable[[PlannedFault], None]:
        if kind in PAIR_KINDS or kind in PLATFORM_LINK_KINDS:
            return self._disturb_links
        if kind in PLATFORM_KINDS:
            return self._disturb_platform
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
        self.fleet.unlist_instance(name)
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
        self.fleet.list_server(name, LifeState.LIVE)

    def _disturb_platform(self, fault: PlannedFault) -> None:
        self.fleet.set_platform_faults(PLATFORM_FAULTS[fault.kind])
        sleep(fault.lasts_s)
        self.fleet.set_platform_faults(PlatformFaults())

    def _disturb_links(self, fault: PlannedFault) -> None:
        rules = link_rules(self.fleet, fault)
        self.fleet.add_proxy_rules(*rules)
        sleep(fault.lasts_s)
        self.fleet.remove_proxy_rules(*(rule.name for rule in rules))


def link_rules(fleet: Fleet, fault: PlannedFault) -> tuple[ProxyRule, ...]:
    """Return the proxy rules of a fault between two places."""
    action = "freeze" if fault.kind.startswith("freeze") else "cut"
    networks = [_network(fleet, target) for target in fault.targets]
    ways = [tuple(networks)]
    if fault.kind in ("cut", "freeze"):
        ways.append((networks[1], networks[0]))
    return tuple(
        ProxyRule(
            name=f"{fault.line()} {source}",
            source=source,
            target=target,
            action=action,
        )
        for source, target in ways
    )


def _network(fleet: Fleet, place: str) -> str:
    if place == "platform":
        return fleet.addresses.platform.advertise
    return fleet.addresses.domain_network(place)
