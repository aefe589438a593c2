"""Run a load against a fleet and collect its records."""

from pathlib import Path

from attrs import frozen

from bench.fleet import Fleet
from bench.history import Report, check, read_server_events
from bench.load import LoadPlan, LoadShape, Operation, read_operations, region_loads
from bench.processes import ProcessSpec
from ebonybend.codec import to_json

# Maximum time from the last request to the end of the load: the longest deadline
# plus the time for the last answer.
LAST_ANSWERS_TIMEOUT_S = 10.0
# Longest time for a client process to begin, beside other load.
START_TIMEOUT_S = 15.0


@frozen
class LoadRun:
    """A load that runs, or has run, in a client process."""

    fleet: Fleet
    process: str
    records: Path
    duration_s: float

    def wait(self) -> None:
        """Wait for the last answers; raise RuntimeError if the process failed."""
        limit = self.duration_s + LAST_ANSWERS_TIMEOUT_S
        status = self.fleet.processes.wait(self.process, limit)
        if status != 0:
            log = self.fleet.directory / f"{self.process}.log"
            raise RuntimeError(
                f"client process: status {status}: {log.read_text()[-2000:]}"
            )

    def operations(self) -> list[Operation]:
        """Return the operations that the clients recorded."""
        return list(read_operations(self.records))


def start_load(
    fleet: Fleet, shape: LoadShape, duration_s: float, seed: int = 1
) -> LoadRun:
    """Start a client process that generates the load of all regions.

    Returns once the load begins, so that faults meet it whatever else runs.
    """
    name = f"callers-{seed}"
    records = fleet.directory / f"{name}.records.jsonl"
    loads = region_loads(fleet.addresses, shape)
    plan = LoadPlan(loads, str(records), duration_s, seed)
    path = fleet.directory / f"{name}.plan.json"
    path.write_bytes(to_json(plan))
    records.unlink(missing_ok=True)
    fleet.processes.start(ProcessSpec(name, "bench.caller", (str(path),)))
    # The client process creates the file just before its first request.
    fleet.wait_until(records.exists, "the load has begun", START_TIMEOUT_S)
    return LoadRun(fleet, name, records, duration_s)


def check_run(fleet: Fleet, loads: list[LoadRun]) -> Report:
    """Check the records of clients against the histories of backend servers."""
    operations = [x for load in loads for x in load.operations()]
    events = read_server_events(fleet.server_histories())
    leaving = {x.name: x.at for x in fleet.events if x.event == "drain_server"}
    return check(operations, events, leaving)
