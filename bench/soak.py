"""Run a fleet under load with random faults and check all invariants."""

import sys
from pathlib import Path
from random import Random
from shutil import rmtree
from tempfile import mkdtemp
from time import monotonic, sleep

from absl import flags
from attrs import define, field

from bench.deployments import DEPLOYMENTS, DeploymentPlan
from bench.fleet import Fleet, FleetOptions
from bench.history import Report, check, read_server_events
from bench.load import LoadShape
from bench.playing import LoadRun, start_load
from bench.revisions import RevisionWatch
from bench.rules_tool import apply_rules
from bench.soak_checks import (
    late_work,
    max_moved,
    moved_request_spans,
    not_converged,
)
from bench.soak_faults import FaultRunner, PlannedFault, plan_faults
from bench.soak_operators import (
    SHIFT_CAP,
    Operators,
    rules_text,
    shift_regions,
    shift_service,
)
from standins.command import parse_flags

# Fraction of a run, at its end, without faults; its length is bounded.
FAULT_FREE_FRACTION = 0.15
MIN_FAULT_FREE_S = 4.0
MAX_FAULT_FREE_S = 15.0
# Covers the hold time, the longest deadline and the propagation of the newest rules.
CONVERGE_TIMEOUT_S = 20.0
SHAPE = LoadShape(read_rate=15.0, write_rate=8.0)


@define
class SoakResult:
    """The result of a soak run."""

    seed: int
    faults: list[PlannedFault]
    report: Report
    # Largest number of capped requests moved between regions in one window.
    max_moved: int = 0
    changes: int = 0
    violations: list[str] = field(factory=list)

    def line(self) -> str:
        """Return the summary line of a run."""
        report = self.report
        return (
            f"soak: seed={self.seed} faults={len(self.faults)} sent={report.sent} "
            f"whole={report.whole} not_run={report.not_run} "
            f"unknown={report.unknown} violations={len(self.violations)}"
        )


def choose_deployment(seed: int) -> DeploymentPlan:
    """Return a deployment chosen at random by a seed."""
    return DEPLOYMENTS[Random(seed).choice(sorted(DEPLOYMENTS))]()


def run_soak(
    plan: DeploymentPlan,
    seconds: float,
    seed: int,
    directory: Path,
    daemon_flags: tuple[str, ...] = (),
) -> SoakResult:
    """Run a fleet under load and faults, then check all invariants."""
    fault_free_s = min(
        max(seconds * FAULT_FREE_FRACTION, MIN_FAULT_FREE_S), MAX_FAULT_FREE_S
    )
    faults = plan_faults(plan, seconds - fault_free_s, Random(seed))
    options = FleetOptions(directory=directory, daemon_flags=daemon_flags)
    with Fleet(plan, options) as fleet, RevisionWatch(fleet) as watch:
        _apply_first_rules(fleet)
        load = start_load(fleet, SHAPE, seconds, seed)
        runner, operators = FaultRunner(fleet, faults), Operators(fleet, seed)
        started = monotonic()
        runner.start()
        operators.start()
        sleep(max(started + seconds - fault_free_s - monotonic(), 0.0))
        operators.wait()
        runner.wait()
        load.wait()
        behind = not_converged(fleet, CONVERGE_TIMEOUT_S)
        result = _check(fleet, load, runner, operators, seed)
    result.violations += [f"not converged: {x}" for x in behind]
    result.violations += [f"revision went down: {x}" for x in watch.falls]
    return result


def _apply_first_rules(fleet: Fleet) -> None:
    path = fleet.directory / "first.rules"
    path.write_text(rules_text(fleet, None, 0.5))
    admin = fleet.addresses.admin(fleet.instances[0])
    apply_rules(admin, path, "Ben (operations)", "soak")


def _check(
    fleet: Fleet,
    load: LoadRun,
    runner: FaultRunner,
    operators: Operators,
    seed: int,
) -> SoakResult:
    operations = load.operations()
    events = read_server_events(fleet.server_histories())
    result = SoakResult(seed, runner.faults, check(operations, events))
    result.changes = sum(run.status == 0 for run in operators.runs)
    result.violations += _violation_lines(result.report)
    late = late_work(events, [*runner.leaving, *operators.leaving])
    result.violations += [f"late work: {x}" for x in late]
    result.max_moved = _max_moved(fleet, operations, events)
    if result.max_moved > SHIFT_CAP:
        result.violations.append(f"cap {SHIFT_CAP}/s: {result.max_moved} in 1 s")
    result.violations += [*runner.problems, *operators.problems]
    servers = {server.name for server in fleet.plan.servers}
    crashes = [x for _, x in fleet.processes.crashes if x not in servers]
    result.violations += [f"{name} ended by itself" for name in crashes]
    return result


def _violation_lines(report: Report) -> list[str]:
    """Return one line for each violation in a report."""
    names = ("wrong", "duplicates", "untruthful", "invented", "over_slots")
    lines = []
    for name in names:
        examples = report.examples.get(name, [])
        count = getattr(report, name)
        lines += [f"{name}: {x}" for x in examples]
        lines += [f"{name}: not shown"] * (count - len(examples))
    return lines


def _max_moved(fleet: Fleet, operations: list, events: list) -> int:
    source, target = shift_regions(fleet)
    deployment = fleet.plan.deployment
    targets = [x.name for x in deployment.failure_domains if x.region == target]
    servers = [
        x.name
        for x in fleet.plan.servers
        if x.failure_domain in targets and x.service == shift_service(fleet)
    ]
    senders = deployment.region_instances(source)
    return max_moved(moved_request_spans(operations, events, senders, servers))


def print_summary(result: SoakResult, directory: Path) -> None:
    """Print the faults, the counts and the summary line."""
    for fault in result.faults:
        print(fault.line())
    print(f"rules changes in force everywhere: {result.changes}")
    print(f"most moved in 1 s under the cap of {SHIFT_CAP}/s: {result.max_moved}")
    print(f"requests started on servers: {result.report.started}")
    print(result.report.line())
    for violation in result.violations:
        print(f"violation: {violation}")
    if result.violations:
        print(f"logs and histories: {directory}")
    print(result.line())


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of a soak run."""
    to = {"flag_values": values}
    flags.DEFINE_float("seconds", 120.0, "Length of the load in seconds.", **to)
    flags.DEFINE_integer("seed", 1, "Seed of all that is random.", **to)


def main(arguments: list[str]) -> int:
    """Run a soak and return the exit status."""
    values = parse_flags(define_flags, arguments)
    seed, seconds = values["seed"].value, values["seconds"].value
    plan = choose_deployment(seed)
    print(f"seed {seed}, deployment {plan.name}, {seconds:.0f} s", flush=True)
    directory = Path(mkdtemp(prefix="ebonybend-soak-"))
    result = run_soak(plan, seconds, seed, directory)
    print_summary(result, directory)
    if result.violations:
        return 1
    rmtree(directory)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
