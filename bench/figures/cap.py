"""The use of the cap of a shift, without and with faults."""

from bisect import bisect_left
from collections.abc import Iterator
from time import sleep

from bench.deployments import blue_mahoe
from bench.figures.figure import Figure
from bench.fleet import Fleet, FleetOptions
from bench.history import read_server_events
from bench.load import LoadShape
from bench.playing import LoadRun, start_load
from bench.rules_tool import apply_rules
from standins.platform import PlatformFaults

CAP = 20
SOURCE, TARGET = "Kingston", "Mandeville"
SERVICE = "ride-history"
LOAD_S = 30.0
RAMP_S = 12.0
# Requests that arrive within this time were sent within 1 s, the window of the cap.
# The difference is the spread of the latency.
WINDOW_S = 0.95
LOAD_SHAPE = LoadShape(read_rate=60.0, write_rate=2.0)
TARGET_MEAN_USE = 0.85


def moved_arrivals(fleet: Fleet, load: LoadRun) -> list[float]:
    """Return the times at which moved requests reached servers of the target region.

    Moved requests are those that clients sent to entries of the source region. Requests
    that clients sent directly to entries of the target region don't count.
    """
    source_instances = fleet.plan.deployment.region_instances(SOURCE)
    moved_ids = {
        attempt.request_id
        for operation in load.operations()
        for attempt in operation.attempts
        if attempt.instance in source_instances
    }
    domains = [
        x.name for x in fleet.plan.deployment.failure_domains if x.region == TARGET
    ]
    paths = [
        fleet.server_history(x.name)
        for x in fleet.plan.servers
        if x.failure_domain in domains and x.service == SERVICE
    ]
    events = read_server_events(paths)
    return [x.at for x in events if x.event == "received" and x.request_id in moved_ids]


def max_arrivals_in_window(times: list[float]) -> int:
    """Return the largest number of arrivals in any window."""
    return max(
        (bisect_left(times, at + WINDOW_S) - index for index, at in enumerate(times)),
        default=0,
    )


def write_shift(fleet: Fleet) -> None:
    """Apply a rule that shifts requests to the target region under a cap."""
    path = fleet.directory / "shift.rules"
    path.write_text(
        "# Bench (measurement): move readers\n"
        f"shift service={SERVICE} from={SOURCE} to={TARGET} share=90% cap={CAP}/s\n"
    )
    admin = fleet.addresses.admin(fleet.plan.instances[0])
    apply_rules(admin, path, "Bench", "measurement")


def cap(seed: int) -> Iterator[Figure]:
    """Measure the mean use of the cap and its peak, without and with faults."""
    with Fleet(blue_mahoe(), FleetOptions()) as fleet:
        write_shift(fleet)
        load = start_load(fleet, LOAD_SHAPE, LOAD_S, seed)
        load.wait()
        undisturbed = moved_arrivals(fleet, load)
        load = start_load(fleet, LOAD_SHAPE, LOAD_S, seed + 1)
        _inject_faults(fleet)
        load.wait()
        disturbed = moved_arrivals(fleet, load)
    steady = [at for at in undisturbed if at >= undisturbed[0] + RAMP_S]
    mean = len(steady) / (steady[-1] - steady[0]) / CAP
    yield Figure("cap_mean_use", mean, "of the cap", TARGET_MEAN_USE, None, seed)
    peak = max_arrivals_in_window(undisturbed) / CAP
    yield Figure("cap_peak_well", peak, "of the cap", 1.0, peak, seed)
    peak = max_arrivals_in_window(disturbed) / CAP
    yield Figure("cap_peak", peak, "of the cap", 1.0, peak, seed)


def _inject_faults(fleet: Fleet) -> None:
    """Kill, restart and pause source instances while the platform is down."""
    first, second, third = fleet.plan.deployment.region_instances(SOURCE)
    sleep(4.0)
    fleet.set_platform_faults(PlatformFaults(down="refuse"))
    fleet.kill_instance(first)
    sleep(3.0)
    fleet.restart_instance(first)
    fleet.pause_instance(second)
    sleep(3.0)
    fleet.resume_instance(second)
    sleep(4.0)
    fleet.pause_instance(third)
    sleep(1.0)
    fleet.resume_instance(third)
    fleet.set_platform_faults(PlatformFaults())
