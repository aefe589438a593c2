"""Run a case, and write what it sent, saw and ran."""

import asyncio
import sys
from collections.abc import Awaitable, Callable, Iterable, Sequence
from pathlib import Path
from traceback import format_exc

from review.deployment import Deployment
from review.traffic import Endpoint, Outcome

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0


class Record:
    """The file record.txt of a case, and whether the case plays its disruption."""

    def __init__(self, folder: Path, has_trouble: bool):
        self.has_trouble = has_trouble
        self.file = (folder / "record.txt").open("w")
        self.write(f"disruption: {'yes' if has_trouble else 'no'}")

    def write(self, text: str) -> None:
        """Write a line."""
        self.file.write(text + "\n")

    def write_outcomes(self, outcomes: Iterable[Outcome], start: float) -> None:
        """Write what the clients sent and saw."""
        for item in sorted(outcomes, key=lambda item: item.sent_at):
            self.write(
                f"sent {item.sent_at - start:8.3f} {item.machine[0]} {item.path}"
                f" {item.attempt} ended {item.ended_at - start:8.3f} {item.result}"
            )

    def write_runs(self, endpoints: Iterable[Endpoint], start: float) -> None:
        """Write what reached the servers."""
        for endpoint in endpoints:
            for run in endpoint.runs:
                self.write(
                    f"ran {run.arrived_at - start:8.3f} {run.endpoint} {run.path}"
                    f" {run.attempt} {run.state}"
                )

    def close(self, verdict: str) -> None:
        """Write the verdict, also to the output."""
        self.write(verdict)
        self.file.close()
        print(verdict)


Play = Callable[[Deployment, Record], Awaitable[int]]


def run_case(folder: Path, zones: Sequence[str], play: Play) -> int:
    """Play a case; return its exit status."""
    record = Record(folder, "--trouble=0" not in sys.argv[1:])
    try:
        with Deployment(zones) as deployment:
            return asyncio.run(asyncio.wait_for(play(deployment, record), LIMIT_S))
    except Exception:
        # Such as a port that is taken, or a node that doesn't start.
        print(format_exc(), file=sys.stderr)
        record.close("not run")
        return NOT_RUN
