"""Demonstrate a deployment under load with a kill, a drain and a rules change."""

import sys
from pathlib import Path
from time import monotonic, sleep

from absl import flags
from attrs import define, field

from bench.deployments import DEPLOYMENTS, LINK_RATE_FACTOR, DeploymentPlan
from bench.fleet import Fleet, FleetOptions
from bench.history import Report, read_server_events
from bench.http_calls import call
from bench.load import LoadShape, Operation
from bench.lookup_cache import LookupAnswer
from bench.playing import check_run, start_load
from bench.rules_tool import apply_rules
from bench.tables import HEADINGS, format_table, operation_rows
from ebonybend.codec import from_json
from ebonybend.errors import SteeringError
from standins.backend_server import Health
from standins.command import parse_flags

LOAD_S = 24.0
# Long enough that requests are in flight at the kill and at the drain.
SERVICE_MS = 60.0
SHAPE = LoadShape(read_rate=20.0, write_rate=10.0)
BEFORE_KILL_S = 5.0
BEFORE_DRAIN_S = 5.0
BEFORE_RULE_S = 4.0
EFFECT_TIMEOUT_S = 10.0
POLL_S = 0.05
MAX_BUSY_SEARCHES = 20
AUTHOR = "Ben (operations)"


@define
class Timings:
    """The seconds until each event of the demonstration took effect."""

    fleet_start_s: float = 0.0
    rules_in_force_s: float = 0.0
    unlisted_s: float | None = None
    rule_change_s: float | None = None
    drained: str = ""
    last_new_work_s: float = 0.0
    drain_s: float = 0.0
    problems: list[str] = field(factory=list)


def rules_path(plan: DeploymentPlan) -> Path:
    """Return the path of a deployment's rules file."""
    return Path(__file__).parent / "rules" / f"{plan.name}.rules"


def write_changed_rules(plan: DeploymentPlan, directory: Path) -> Path:
    """Write the rules file that the demonstration changes to; return its path."""
    regions = [region.name for region in plan.deployment.regions]
    service = plan.deployment.services[0].name
    shift = (
        f"# {AUTHOR}: move readers while {regions[0]} is patched\n"
        f"shift service={service} from={regions[0]} to={regions[2]} "
        "share=30% cap=20/s\n"
    )
    path = directory / "changed.rules"
    path.write_text(rules_path(plan).read_text() + shift)
    return path


def wait_until_unlisted(fleet: Fleet, name: str, queried: str) -> float | None:
    """Return the seconds until lookups no longer list an instance; None on timeout."""
    started = monotonic()
    while monotonic() - started < EFFECT_TIMEOUT_S:
        if name not in listed_instances(fleet, queried):
            return monotonic() - started
        sleep(POLL_S)
    return None


def listed_instances(fleet: Fleet, queried: str) -> tuple[str, ...]:
    """Return the instances listed in the lookup answer of the queried instance."""
    region = fleet.plan.deployment.regions[0].name
    client = fleet.addresses.client_ip(region, 1)
    address = fleet.addresses.public(queried).listen
    answer = call("GET", address, f"/v1/lookup?client={client}")
    try:
        lookup = from_json(answer.body, LookupAnswer)
    except SteeringError:
        return ()
    return tuple(x.name for x in lookup.instances)


def busy_server(fleet: Fleet) -> str:
    """Return a backend server with requests in flight, or the first one."""
    for _ in range(MAX_BUSY_SEARCHES):
        for server in fleet.plan.servers:
            address = fleet.addresses.server(server.name).listen
            health = from_json(call("GET", address, "/health").body, Health)
            if health.in_flight:
                return server.name
    return fleet.plan.servers[0].name


def inject_events(fleet: Fleet, timings: Timings) -> None:
    """Kill an instance, drain a backend server and change a rule."""
    queried, killed = fleet.plan.instances[:2]
    sleep(BEFORE_KILL_S)
    fleet.kill_instance(killed)
    fleet.deregister_instance(killed)
    timings.unlisted_s = wait_until_unlisted(fleet, killed, queried)
    sleep(BEFORE_DRAIN_S)
    fleet.drain_server(busy_server(fleet))
    sleep(BEFORE_RULE_S)
    path = write_changed_rules(fleet.plan, fleet.directory)
    started = monotonic()
    try:
        apply_rules(
            fleet.addresses.admin(queried), path, AUTHOR, "patch the first region"
        )
        timings.rule_change_s = monotonic() - started
    except RuntimeError as error:
        timings.problems.append(str(error))


def measure_drain(fleet: Fleet, timings: Timings) -> None:
    """Record when the drained server last received and last ended a request."""
    drained = next(x for x in fleet.events if x.event == "drain_server")
    timings.drained = drained.name
    events = read_server_events([fleet.server_history(drained.name)])
    after = [x for x in events if x.at > drained.at]
    received = [x.at - drained.at for x in after if x.event == "received"]
    ended = [x.at - drained.at for x in after if x.event in ("finished", "cancelled")]
    timings.last_new_work_s = max(received, default=0.0)
    timings.drain_s = max(ended, default=0.0)


def format_seconds(value: float | None) -> str:
    """Return a duration as text."""
    return "not seen" if value is None else f"{value:.2f} s"


def print_summary(
    plan: DeploymentPlan, timings: Timings, operations: list[Operation], report: Report
) -> None:
    """Print the table, the events and the result line."""
    print(format_table(HEADINGS, operation_rows(operations)))
    print()
    print(f"fleet ready after            {format_seconds(timings.fleet_start_s)}")
    print(f"first rules in force after   {format_seconds(timings.rules_in_force_s)}")
    print(f"killed instance unlisted in  {format_seconds(timings.unlisted_s)}")
    print(f"changed rule in force after  {format_seconds(timings.rule_change_s)}")
    print(f"backend server drained       {timings.drained}")
    print(f"last new work after drain    {format_seconds(timings.last_new_work_s)}")
    print(f"drain time (last work ended) {format_seconds(timings.drain_s)}")
    print(f"requests started on servers  {report.started}, shed {report.sheds}")
    print(f"above the slots              {report.over_slots}")
    print(f"late work on leaving servers {report.late_work}")
    print(f"untruthful refusals          {report.untruthful}")
    print(f"answers without a run        {report.invented}")
    print(f"link rates and budgets are scaled by {LINK_RATE_FACTOR:g}")
    for name, examples in report.examples.items():
        print(f"{name}: {'; '.join(examples)}")
    for problem in timings.problems:
        print(f"problem: {problem}")
    print(report.line())


def run_demo(plan: DeploymentPlan) -> int:
    """Run the demonstration and return the exit status."""
    timings = Timings()
    started = monotonic()
    with Fleet(plan, FleetOptions(service_ms=SERVICE_MS)) as fleet:
        timings.fleet_start_s = monotonic() - started
        admin = fleet.addresses.admin(plan.instances[0])
        started = monotonic()
        apply_rules(admin, rules_path(plan), AUTHOR, "first rules")
        timings.rules_in_force_s = monotonic() - started
        load = start_load(fleet, SHAPE, LOAD_S)
        inject_events(fleet, timings)
        load.wait()
        measure_drain(fleet, timings)
        report = check_run(fleet, [load])
        print_summary(plan, timings, load.operations(), report)
    broken = report.wrong or report.duplicates or report.untruthful
    return 1 if broken or not report.sent else 0


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of the demonstration."""
    flags.DEFINE_enum(
        "deployment",
        "blue-mahoe",
        sorted(DEPLOYMENTS),
        "Deployment to run.",
        flag_values=values,
    )


def main(arguments: list[str]) -> int:
    """Run the demonstration."""
    values = parse_flags(define_flags, arguments)
    return run_demo(DEPLOYMENTS[values["deployment"].value]())


if __name__ == "__main__":
    sys.exit(main(sys.argv))
