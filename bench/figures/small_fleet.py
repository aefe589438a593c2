"""Small fleets, to measure single processes."""

from attrs import evolve

from bench.deployments import DeploymentPlan, blue_mahoe, reduced
from bench.fleet import Fleet, FleetOptions

QUICK_FLAGS = (
    "--hold_ms=500",
    "--longest_deadline_ms=2000",
    "--lookup_lifetime_ms=1000",
)
# More slots than connections of the load generator, so that no request is refused.
SLOTS_PER_SERVER = 64


def one_domain(instances: int = 1) -> DeploymentPlan:
    """Return a plan of one failure domain with many slots per backend server."""
    plan = reduced(blue_mahoe(), ("kingston-1",))
    domain = plan.deployment.failure_domains[0]
    domain = evolve(domain, instances=domain.instances[:instances])
    return evolve(
        plan,
        deployment=evolve(plan.deployment, failure_domains=(domain,)),
        servers=tuple(evolve(x, slots=SLOTS_PER_SERVER) for x in plan.servers),
    )


def quick_fleet(plan: DeploymentPlan, service_ms: float = 20.0) -> Fleet:
    """Return a fleet with short hold times, deadlines and lookup lifetimes."""
    options = FleetOptions(service_ms=service_ms, cold_s=0.1, daemon_flags=QUICK_FLAGS)
    return Fleet(plan, options)


def entry_pid(fleet: Fleet, instance: str) -> int:
    """Return the process id of an instance's entry process."""
    return fleet.processes.processes[f"{instance}-entry"].popen.pid


def control_pid(fleet: Fleet, instance: str) -> int:
    """Return the process id of an instance's control process."""
    return fleet.processes.processes[f"{instance}-control"].popen.pid
