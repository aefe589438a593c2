"""The choice of a backend server against round robin and two random choices."""

from collections.abc import Iterator

from bench.figures.choice_model import (
    Chooser,
    RoundRobin,
    TwoRandomChoices,
    run_model,
)
from bench.figures.figure import Figure, compared

ROUNDS = 3
HIGH_PERCENTILE = 0.99


def choice(seed: int) -> Iterator[Figure]:
    """Measure latency and balance over the better of the two baselines."""
    ours, robin, pairs = [], [], []
    for number in range(seed, seed + ROUNDS):
        ours.append(run_model(Chooser, number))
        robin.append(run_model(lambda _clock, _random: RoundRobin(), number))
        pairs.append(run_model(lambda _clock, _random: TwoRandomChoices(), number))
    high = [x.percentile(HIGH_PERCENTILE) for x in ours]
    better = [
        min(a.percentile(HIGH_PERCENTILE), b.percentile(HIGH_PERCENTILE))
        for a, b in zip(robin, pairs, strict=True)
    ]
    yield compared("choice_latency", high, better, "ms p99", seed)
    yield compared(
        "choice_latency_median",
        [x.percentile(0.5) for x in ours],
        [
            min(a.percentile(0.5), b.percentile(0.5))
            for a, b in zip(robin, pairs, strict=True)
        ],
        "ms",
        seed,
    )
    yield compared(
        "choice_headroom",
        [x.imbalance for x in ours],
        [min(a.imbalance, b.imbalance) for a, b in zip(robin, pairs, strict=True)],
        "highest over mean use",
        seed,
    )
    refused = sum(x.refused for x in ours)
    base = min(sum(x.refused for x in robin), sum(x.refused for x in pairs))
    yield Figure("choice_refused", refused, "requests", base, None, seed)
