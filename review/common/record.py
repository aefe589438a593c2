"""Write what a case sent, saw and ran, and judge the result."""

import os
from collections.abc import Iterable
from pathlib import Path

from review.common.traffic import Endpoint, Outcome

HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder: Path):
        self.file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Write a line."""
        self.file.write(text + "\n")

    def write_outcomes(self, outcomes: Iterable[Outcome], start: float) -> None:
        """Write what the clients sent and saw."""
        for item in sorted(outcomes, key=lambda item: item.sent_at):
            self.write(
                f"sent {item.sent_at - start:8.3f} {item.machine} {item.path}"
                f" {item.attempt}"
                f" ended {item.ended_at - start:8.3f} {item.result}"
            )

    def write_runs(self, endpoints: Iterable[Endpoint], start: float) -> None:
        """Write what the servers ran."""
        for endpoint in endpoints:
            for run in endpoint.runs:
                self.write(
                    f"ran {run.arrived_at - start:8.3f} {endpoint.name} {run.path}"
                    f" {run.attempt} {run.state}"
                )

    def close(self, verdict: str) -> None:
        """Write the verdict, also to the output."""
        self.write(verdict)
        self.file.close()
        print(verdict)
