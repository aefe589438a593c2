"""Simulate two operators who change the rules of a fleet during a soak run."""

import sys
from random import Random
from subprocess import TimeoutExpired, run
from threading import Event, Thread
from time import monotonic

from attrs import define, field, frozen

from bench.fleet import Fleet
from bench.processes import ROOT
from bench.soak_faults import Leaving

MIN_PAUSE_S = 1.0
MAX_PAUSE_S = 4.0
CONFIRM_WAIT_S = 5.0
TOOL_TIMEOUT_S = 40.0
ADMIN_COUNT = 3
# Below the rate that the shifts request, so that the cap is reached.
SHIFT_CAP = 5
SHIFT_PERCENTAGES = (50, 80, 100)
EXPECTED_STATUSES = (0, 1, 2)


@frozen
class ToolRun:
    """The result of one run of the command-line tool."""

    status: int
    output: str
    ended_at: float


def tool(fleet: Fleet, instances: tuple[str, ...], *arguments: str) -> ToolRun:
    """Run the tool with the admin addresses of some instances."""
    admins = ",".join(fleet.addresses.admin(name) for name in instances)
    command = (sys.executable, "-m", "ebonybend.cli", *arguments, f"--admin={admins}")
    completed = run(command, cwd=ROOT, capture_output=True, timeout=TOOL_TIMEOUT_S)
    output = (completed.stdout + completed.stderr).decode("utf-8", "replace")
    return ToolRun(completed.returncode, output, monotonic())


def shift_service(fleet: Fleet) -> str:
    """Return the service that the shift moves: the first one with reads."""
    names = (x.name for x in fleet.plan.deployment.services)
    return next(name for name in names if name != fleet.plan.write_service)


def shift_regions(fleet: Fleet) -> tuple[str, str]:
    """Return the source and target region of the shift."""
    regions = [region.name for region in fleet.plan.deployment.regions]
    return regions[0], regions[1]


def rules_text(fleet: Fleet, share: int | None, latency_weight: float) -> str:
    """Return rules with a cap, and a shift if a share is given.

    The cap also limits overflow, so all requests moved between the regions count.
    """
    source, target = shift_regions(fleet)
    service = shift_service(fleet)
    text = (
        "# Ben (operations): narrow link\n"
        f"cap service={service} from={source} to={target} rate={SHIFT_CAP}/s\n"
        "# Ana (association): soak\n"
        f"weights service={service} latency={latency_weight:.1f} headroom=0.5\n"
    )
    if share is not None:
        text += (
            "# Ben (operations): patch the first region\n"
            f"shift service={service} from={source} to={target} "
            f"share={share}% cap={SHIFT_CAP}/s\n"
        )
    return text


@define
class Operators:
    """Change rules at random, in two threads, until stopped."""

    fleet: Fleet
    seed: int
    runs: list[ToolRun] = field(factory=list)
    leaving: list[Leaving] = field(factory=list)
    problems: list[str] = field(factory=list)
    stopping: Event = field(factory=Event)
    threads: list[Thread] = field(factory=list)

    def start(self) -> None:
        """Start both operators."""
        for action in (self._shift, self._drain):
            random = Random(f"{self.seed} {action.__name__}")
            thread = Thread(target=self._repeat, args=(action, random), daemon=True)
            self.threads.append(thread)
            thread.start()

    def wait(self) -> None:
        """Stop both operators after their current change."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _repeat(self, action, random: Random) -> None:
        try:
            while not self.stopping.wait(random.uniform(MIN_PAUSE_S, MAX_PAUSE_S)):
                action(random)
        except (OSError, TimeoutExpired) as error:
            self.problems.append(repr(error))

    def _run_tool(self, random: Random, *arguments: str) -> ToolRun:
        instances = tuple(random.sample(self.fleet.instances, ADMIN_COUNT))
        common = ("--author=Ben", "--why=soak", f"--wait={CONFIRM_WAIT_S}")
        tool_run = tool(self.fleet, instances, *arguments, *common)
        self.runs.append(tool_run)
        if tool_run.status not in EXPECTED_STATUSES or "Traceback" in tool_run.output:
            self.problems.append(
                f"{arguments}: {tool_run.status} {tool_run.output[-500:]}"
            )
        return tool_run

    def _shift(self, random: Random) -> None:
        """Replace the rules with a random shift and random weights."""
        instances = tuple(random.sample(self.fleet.instances, ADMIN_COUNT))
        current = tool(self.fleet, instances, "show")
        revision_line = next(
            (x for x in current.output.splitlines() if x.startswith("# revision:")),
            None,
        )
        if current.status != 0 or revision_line is None:
            return
        share = random.choice((None, *SHIFT_PERCENTAGES))
        text = rules_text(self.fleet, share, random.choice((0.2, 0.8)))
        path = self.fleet.directory / "shift.rules"
        path.write_text(f"{revision_line}\n{text}")
        self._run_tool(random, "apply", str(path))

    def _drain(self, random: Random) -> None:
        """Drain a random instance or backend server, and later undrain it."""
        if random.random() < 0.5:
            name, kind = random.choice(self.fleet.instances), "--instance"
        else:
            name, kind = random.choice(self.fleet.plan.servers).name, "--backend"
        drain = self._run_tool(random, "drain", name, kind)
        self.stopping.wait(random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
        until = monotonic()
        undrain = self._run_tool(random, "undrain", name, kind)
        # The other operator's rules may have removed the drain already.
        in_force = drain.status == 0 and undrain.status == 0
        if kind == "--backend" and in_force:
            self.leaving.append(Leaving(name, drain.ended_at, until))
