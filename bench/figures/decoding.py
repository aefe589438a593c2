"""The time for which odd entries of the store keep a node's event loop busy."""

from collections.abc import Iterator
from time import perf_counter

from bench.figures.figure import Figure
from bench.odd_texts import odd_texts
from ebonybend.codec import to_json
from ebonybend.platform.store import _decode_changes
from ebonybend.steps import Steps

# Bytes and number of the odd entries in one answer.
SHAPES = ((1_000, 1_000), (100_000, 10), (1_000_000, 1), (1_000_000, 8))
NAMES = ("lists", "objects", "strings", "flat_lists", "escapes", "digits")
ROUNDS = 3
MS_PER_S = 1000.0


def decoding(_seed: int) -> Iterator[Figure]:
    """Yield the longest step and the total time of reading odd entries."""
    for size, count in SHAPES:
        for name, text in zip(NAMES, odd_texts(size), strict=True):
            body = _changes(text.encode(), count)
            rounds = [_durations(_decode_changes(body)) for _ in range(ROUNDS)]
            label = f"decode_{count}x{size}_{name}"
            longest = min(max(durations) for durations in rounds)
            total = min(sum(durations) for durations in rounds)
            yield Figure(f"{label}_longest_step", longest * MS_PER_S, "ms")
            yield Figure(f"{label}_total", total * MS_PER_S, "ms")


def _changes(odd: bytes, count: int) -> bytes:
    """Return the answer to a watch with a number of odd entries."""
    event = b'{"Object":{"Metadata":{"Name":%s,"Rev":9},"Spec":%s},"Deleted":false}'
    events = [event % (to_json(f"odd-{number}"), odd) for number in range(count)]
    return b'{"StoreRevision":9,"events":[%s]}' % b",".join(events)


def _durations(steps: Steps) -> list[float]:
    """Return the seconds that each step takes."""
    durations = []
    started = perf_counter()
    for _ in steps:
        durations.append(perf_counter() - started)
        started = perf_counter()
    return [*durations, perf_counter() - started]
