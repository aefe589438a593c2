"""Change the settings file of machines while their processes start."""

import signal
import sys
import time
from pathlib import Path

from review.common.deployment import Deployment, Node, route
from review.common.record import BROKEN, HELD, NOT_RUN, Record, has_trouble

# The platform starts a process again this long after its end.
RESTART_S = 1.0
# Time from the start of a process to the change of its settings file.
CHANGE_AFTER_S = 0.2
# Of the rule: ends of processes by themselves, on this many machines.
ENDS, MACHINES = 3, 2
LENGTH_S = 15.0


class Machine:
    """A machine whose process the platform keeps running."""

    def __init__(self, node: Node):
        self.node = node
        self.ends: list[tuple[float, int]] = []
        self.started_at = 0.0
        self.ended_at: float | None = None
        self.is_changed = False

    def start(self) -> None:
        """Start the process, with the settings that are in effect now."""
        self.node.write_settings()
        self.node.start()
        self.started_at = time.monotonic()
        self.ended_at = None
        self.is_changed = False

    def step(self) -> None:
        """Change the settings once after each start; restart an ended process."""
        now = time.monotonic()
        status = self.node.process.poll()
        if status is not None and self.ended_at is None:
            self.ended_at = now
            self.ends.append((now, status))
        if self.ended_at is not None:
            if now >= self.ended_at + RESTART_S:
                self.start()
        elif not self.is_changed and now >= self.started_at + CHANGE_AFTER_S:
            self.is_changed = True
            # The settings as such stay valid; only one bound is another.
            self.node.write_settings(AckMs="5500")
            if has_trouble():
                self.node.signal(signal.SIGHUP)


def play(deployment: Deployment, record: Record) -> int:
    """Play the case; return its exit status."""
    deployment.set_config(1, route("cert", "registry-svc", "safe", 1200, 500))
    machines = [Machine(node) for node in deployment.nodes]
    start = time.monotonic()
    for machine in machines:
        machine.start()
    was_ready = {machine.node.name: False for machine in machines}
    next_check = start
    while time.monotonic() < start + LENGTH_S:
        for machine in machines:
            machine.step()
        if time.monotonic() >= next_check:
            next_check = time.monotonic() + 1.0
            for machine in machines:
                was_ready[machine.node.name] |= machine.node.is_ready()
        time.sleep(0.01)
    for machine in machines:
        name = machine.node.name
        record.write(f"{name} was ready: {was_ready[name]}")
        for at, status in machine.ends:
            record.write(f"{name} ended by itself at {at - start:.3f}, status {status}")
        if any(status != -signal.SIGHUP for _, status in machine.ends):
            record.close("not run: a process ended for another reason")
            return NOT_RUN
    often = [machine for machine in machines if len(machine.ends) >= ENDS]
    is_broken = len(often) >= MACHINES
    if not is_broken and not all(was_ready.values()):
        record.close("not run: a machine was never ready")
        return NOT_RUN
    record.close(
        f"{'broken' if is_broken else 'held'}: processes ended by themselves"
        f" {ENDS} times or more on {len(often)} of {len(machines)} machines;"
        f" {sum(was_ready.values())} machines were ever ready in {LENGTH_S:g} s"
    )
    return BROKEN if is_broken else HELD


def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).parent)
    try:
        with Deployment() as deployment:
            return play(deployment, record)
    except (OSError, RuntimeError) as error:
        record.close(f"not run: {error!r}")
        return NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
