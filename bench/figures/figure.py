"""Measured figures, and the processor time and memory of a process."""

import os
from pathlib import Path
from statistics import median

from attrs import frozen

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@frozen
class Figure:
    """A measured value and the baseline measured in the same run."""

    name: str
    value: float
    unit: str
    baseline: float | None = None
    ratio: float | None = None
    seed: int | None = None


def compare_with_baseline(
    name: str,
    values: list[float],
    baselines: list[float],
    unit: str,
    seed: int | None = None,
) -> Figure:
    """Return the medians of interleaved rounds and the median of their ratios."""
    ratios = [
        value / baseline for value, baseline in zip(values, baselines, strict=True)
    ]
    return Figure(name, median(values), unit, median(baselines), median(ratios), seed)


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    # The split omits the first two fields; user and system time are fields 14 and 15.
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
