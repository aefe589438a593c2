"""The resource use of a control process, at rest and under changes."""

from collections.abc import Iterator
from time import sleep

from bench.deployments import DeploymentPlan, blue_mahoe, reduced
from bench.figures.configuration import submit_rules
from bench.figures.figure import Figure, cpu_seconds, resident_bytes
from bench.figures.metrics_text import read_metric
from bench.figures.small_fleet import control_pid
from bench.fleet import Fleet, FleetOptions

REST_S = 10.0
CHANGE_S = 10.0
CHANGES_PER_S = 1.0
MEGABYTE = 1 << 20
CPU_TARGET = 1.2
MEMORY_TARGET_MB = 256.0
BYTES_TARGET = 11_000.0
COUNTERS = ("peer_bytes_sent", "peer_bytes_received", "platform_calls")


class CounterSnapshot:
    """The counters of all control processes at one moment."""

    def __init__(self, fleet: Fleet):
        self.cpu = [cpu_seconds(control_pid(fleet, x)) for x in fleet.instances]
        self.counters = {
            name: [
                read_metric(fleet.addresses.admin(x), f"ebonybend_control_{name}_total")
                for x in fleet.instances
            ]
            for name in COUNTERS
        }


def measure_costs(
    fleet: Fleet, label: str, seconds: float, seed: int, changes: int = 0
) -> Iterator[Figure]:
    """Measure the resource use over a time, as a mean of all control processes."""
    count = len(fleet.instances)
    before = CounterSnapshot(fleet)
    for number in range(changes):
        submit_rules(fleet, number)
        sleep(seconds / changes)
    if not changes:
        sleep(seconds)
    after = CounterSnapshot(fleet)
    cpu = (sum(after.cpu) - sum(before.cpu)) / seconds / count * 100
    yield Figure(
        f"control_cpu_{label}", cpu, "% of a core", CPU_TARGET, cpu / CPU_TARGET, seed
    )
    sent, received, calls = (
        (sum(after.counters[name]) - sum(before.counters[name])) / seconds / count
        for name in COUNTERS
    )
    total_bytes = sent + received
    yield Figure(
        f"control_bytes_{label}",
        total_bytes,
        "bytes/s",
        BYTES_TARGET,
        total_bytes / BYTES_TARGET,
        seed,
    )
    yield Figure(
        f"control_platform_calls_{label}",
        calls * count,
        "calls/s of all",
        None,
        None,
        seed,
    )
    pids = [control_pid(fleet, x) for x in fleet.instances]
    memory = max(resident_bytes(x) for x in pids) / MEGABYTE
    yield Figure(
        f"control_memory_{label}",
        memory,
        "MB",
        MEMORY_TARGET_MB,
        memory / MEMORY_TARGET_MB,
        seed,
    )


def _plans_by_size() -> dict[str, DeploymentPlan]:
    plan = blue_mahoe()
    return {
        "2_instances": reduced(plan, ("kingston-1",)),
        "4_instances": reduced(plan, ("kingston-1", "montego-1", "mandeville-1")),
        "7_instances": plan,
    }


def control_cost(seed: int) -> Iterator[Figure]:
    """Measure fleets of three sizes at rest and the largest one under changes."""
    for label, plan in _plans_by_size().items():
        with Fleet(plan, FleetOptions()) as fleet:
            yield from measure_costs(fleet, f"rest_{label}", REST_S, seed)
            if len(fleet.instances) == len(blue_mahoe().instances):
                changes = int(CHANGE_S * CHANGES_PER_S)
                yield from measure_costs(
                    fleet, "60_changes_a_minute", CHANGE_S, seed, changes
                )
