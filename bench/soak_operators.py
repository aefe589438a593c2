"""Two operators who change the rules of a fleet during a soak run."""

import sys
from random import Random
from subprocess import TimeoutExpired, run
from threading import Event, Thread
from time import monotonic

from attrs import define, field, frozen

from bench.fleet import Fleet
from bench.processes import ROOT
from bench.soak_faults import Leaving

SHORTEST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 4.0
CONFIRM_WAIT_S = 5.0
TOOL_TIMEOUT_S = 40.0
ADMINS = 3
# Below the rate that the shares move, so that the cap is reached.
SHIFT_CAP = 5
SHARES = (50, 80, 100)
STATUSES = (0, 1, 2)


@frozen
class ToolRun:
    """What the command-line tool did."""

    status: int
    output: str
    ended_at: float


def tool(fleet: Fleet, asked: tuple[str, ...], *arguments: str) -> ToolRun:
    """Run the tool against the controls of some instances."""
    admins = ",".join(fleet.addresses.admin(name) for name in asked)
    command = (sys.executable, "-m", "ebonybend.cli", *arguments, f"--admin={admins}")
    done = run(command, cwd=ROOT, capture_output=True, timeout=TOOL_TIMEOUT_S)
    output = (done.stdout + done.stderr).decode("utf-8", "replace")
    return ToolRun(done.returncode, output, monotonic())


def shift_service(fleet: Fleet) -> str:
    """Return the service of the shift: the first one of reads."""
    names = (x.name for x in fleet.plan.deployment.services)
    return next(name for name in names if name != fleet.plan.write_service)


def shift_regions(fleet: Fleet) -> tuple[str, str]:
    """Return the regions that the shift goes from and to."""
    regions = [region.name for region in fleet.plan.deployment.regions]
    return regions[0], regions[1]


def rules_text(fleet: Fleet, share: int | None, latency: float) -> str:
    """Return rules with a cap, and a shift if a share is given.

    The cap also bounds overflow, so that all that is moved between the regions counts.
    """
    source, target = shift_regions(fleet)
    service = shift_service(fleet)
    text = (
        "# Ben (operations): narrow link\n"
        f"cap service={service} from={source} to={target} rate={SHIFT_CAP}/s\n"
        "# Ana (association): soak\n"
        f"weights service={service} latency={latency:.1f} headroom=0.5\n"
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
    """Change rules at random until told to end."""

    fleet: Fleet
    seed: int
    runs: list[ToolRun] = field(factory=list)
    leaving: list[Leaving] = field(factory=list)
    problems: list[str] = field(factory=list)
    ending: Event = field(factory=Event)
    threads: list[Thread] = field(factory=list)

    def start(self) -> None:
        """Start both operators."""
        for action in (self._shift, self._drain):
            random = Random(f"{self.seed} {action.__name__}")
            thread = Thread(target=self._work, args=(action, random), daemon=True)
            self.threads.append(thread)
            thread.start()

    def wait(self) -> None:
        """Let both operators finish their last change."""
        self.ending.set()
        for thread in self.threads:
            thread.join()

    def _work(self, action, random: Random) -> None:
        try:
            while not self.ending.wait(
                random.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S)
            ):
                action(random)
        except (OSError, TimeoutExpired) as error:
            self.problems.append(repr(error))

    def _tool(self, random: Random, *arguments: str) -> ToolRun:
        asked = tuple(random.sample(self.fleet.instances, ADMINS))
        common = ("--author=Ben", "--why=soak", f"--wait={CONFIRM_WAIT_S}")
        done = tool(self.fleet, asked, *arguments, *common)
        self.runs.append(done)
        if done.status not in STATUSES or "Traceback" in done.output:
            self.problems.append(f"{arguments}: {done.status} {done.output[-500:]}")
        return done

    def _shift(self, random: Random) -> None:
        """Replace the rules by ones with another shift and other weights."""
        asked = tuple(random.sample(self.fleet.instances, ADMINS))
        shown = tool(self.fleet, asked, "show")
        head = next(
            (x for x in shown.output.splitlines() if x.startswith("# revision:")), None
        )
        if shown.status != 0 or head is None:
            return
        share = random.choice((None, *SHARES))
        text = rules_text(self.fleet, share, random.choice((0.2, 0.8)))
        path = self.fleet.directory / "shift.rules"
        path.write_text(f"{head}\n{text}")
        self._tool(random, "apply", str(path))

    def _drain(self, random: Random) -> None:
        """Drain an instance or a backend server, and later undrain it."""
        if random.random() < 0.5:
            name, kind = random.choice(self.fleet.instances), "--instance"
        else:
            name, kind = random.choice(self.fleet.plan.servers).name, "--backend"
        done = self._tool(random, "drain", name, kind)
        self.ending.wait(random.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S))
        until = monotonic()
        undone = self._tool(random, "undrain", name, kind)
        # The other operator's text may have removed the rule before.
        in_force = done.status == 0 and undone.status == 0
        if kind == "--backend" and in_force:
            self.leaving.append(Leaving(name, done.ended_at, until))
