"""Format the operations of a run as a table."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from bench.load import Operation

HEADINGS = (
    "region",
    "service",
    "sent",
    "whole",
    "not run",
    "unknown",
    "p50 ms",
    "p99 ms",
)


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which a fraction of the values lie; 0 if empty."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]


def operation_rows(operations: Iterable[Operation]) -> list[tuple[str, ...]]:
    """Return one row per region and service."""
    groups: dict[tuple[str, str], list[Operation]] = defaultdict(list)
    for operation in operations:
        groups[operation.region, operation.service].append(operation)
    return [_row(*names, group) for names, group in sorted(groups.items())]


def _row(region: str, service: str, group: list[Operation]) -> tuple[str, ...]:
    results = [operation.result for operation in group]
    latencies = [x.latency_ms for x in group if x.result == "whole"]
    return (
        region,
        service,
        str(len(group)),
        str(results.count("whole")),
        str(results.count("not_run")),
        str(results.count("unknown")),
        f"{percentile(latencies, 0.5):.1f}",
        f"{percentile(latencies, 0.99):.1f}",
    )


def format_table(headings: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    """Return a table with aligned columns; numbers are right-aligned."""
    lines = [headings, *rows]
    widths = [max(len(line[x]) for line in lines) for x in range(len(headings))]
    return "\n".join(_line(line, widths) for line in lines)


def _line(cells: tuple[str, ...], widths: list[int]) -> str:
    padded = (
        cell.ljust(width) if index < 2 else cell.rjust(width)
        for index, (cell, width) in enumerate(zip(cells, widths, strict=True))
    )
    return "  ".join(padded).rstrip()
