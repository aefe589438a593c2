"""The failed requests and the recovery time of a drain, a stop and a kill."""

from collections.abc import Iterator
from time import monotonic, sleep

from bench.demo import busy_server
from bench.deployments import DeploymentPlan, blue_mahoe, kadar
from bench.figures.figure import Figure
from bench.fleet import Fleet, FleetOptions
from bench.history import read_server_events
from bench.load import LoadShape, Operation
from bench.playing import check_run, start_load
from standins.server_history import ServerEvent

LOAD_SHAPE = LoadShape(read_rate=40.0, write_rate=10.0)
LOAD_S = 30.0
BEFORE_DRAIN_S = 3.0
BEFORE_STOP_S = 5.0
BEFORE_KILL_S = 12.0
SERVICE_MS = 60.0
TARGET_RECOVERY_S = 2.0
# Length of the steps that group the requests by their start time.
STEP_S = 0.25
WHOLE_FRACTION = 0.99


def recovery_s(operations: list[Operation], killed_at: float) -> float:
    """Return the time after a kill from which each step has 99% whole answers."""
    after = sorted(
        (x for x in operations if x.started_at >= killed_at), key=lambda x: x.started_at
    )
    failing_until_s = 0.0
    for step in range(int((LOAD_S - BEFORE_DRAIN_S) / STEP_S)):
        start = killed_at + step * STEP_S
        step_operations = [x for x in after if start <= x.started_at < start + STEP_S]
        whole = sum(x.result == "whole" for x in step_operations)
        if step_operations and whole < WHOLE_FRACTION * len(step_operations):
            failing_until_s = (step + 1) * STEP_S
    return failing_until_s


def count_failures(operations: list[Operation], method: str, start: float) -> int:
    """Return the number of failed requests of a method that started after a time."""
    return sum(
        x.method == method and x.result != "whole" and x.started_at >= start
        for x in operations
    )


def drain_s(events: list[ServerEvent], drained_at: float) -> float:
    """Return the time from a drain to the end of the server's last request."""
    ends = [x.at for x in events if x.event in ("finished", "cancelled")]
    return max((at - drained_at for at in ends), default=0.0)


def recovery(seed: int) -> Iterator[Figure]:
    """Measure a drain, a graceful stop and a kill under load, for both deployments."""
    for plan in (blue_mahoe(), kadar()):
        yield from _measure_plan(plan, seed)


def _measure_plan(plan: DeploymentPlan, seed: int) -> Iterator[Figure]:
    suffix = plan.name.replace("-", "_")
    with Fleet(plan, FleetOptions(service_ms=SERVICE_MS)) as fleet:
        load = start_load(fleet, LOAD_SHAPE, LOAD_S, seed)
        sleep(BEFORE_DRAIN_S)
        drained_server = busy_server(fleet)
        fleet.drain_server(drained_server)
        sleep(BEFORE_STOP_S - BEFORE_DRAIN_S)
        stopped_at = monotonic()
        fleet.stop_instance(fleet.plan.instances[-1])
        stop_s = monotonic() - stopped_at
        sleep(max(0.0, BEFORE_KILL_S - BEFORE_STOP_S - stop_s))
        killed_instance = fleet.plan.instances[2]
        killed_at = monotonic()
        fleet.kill_instance(killed_instance)
        fleet.deregister_instance(killed_instance)
        load.wait()
        report = check_run(fleet, [load])
        operations = load.operations()
        events = read_server_events([fleet.server_history(drained_server)])
    drained_at = next(x.at for x in fleet.events if x.event == "drain_server")
    if not report.ok:
        raise RuntimeError(
            f"a guarantee is violated: {report.line()} {report.examples}"
        )
    before = [x for x in operations if x.started_at < killed_at - 2.0]
    recovery_time_s = recovery_s(operations, killed_at)
    yield Figure(
        f"recovery_kill_{suffix}",
        recovery_time_s,
        "s",
        TARGET_RECOVERY_S,
        recovery_time_s / TARGET_RECOVERY_S,
        seed,
    )
    failed_reads = count_failures(operations, "GET", killed_at - 2.0)
    yield Figure(
        f"recovery_kill_failed_reads_{suffix}", failed_reads, "requests", 0, None, seed
    )
    failed_writes = count_failures(operations, "POST", killed_at - 2.0)
    yield Figure(
        f"recovery_kill_failed_writes_{suffix}",
        failed_writes,
        "requests",
        None,
        None,
        seed,
    )
    stop_failures = sum(x.result != "whole" for x in before)
    yield Figure(
        f"drain_failed_requests_{suffix}", stop_failures, "requests", 0, None, seed
    )
    yield Figure(
        f"drain_seconds_server_{suffix}",
        drain_s(events, drained_at),
        "s",
        3.0,
        None,
        seed,
    )
    yield Figure(f"drain_seconds_entry_{suffix}", stop_s, "s", None, None, seed)
