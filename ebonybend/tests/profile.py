"""Hypothesis settings that all property tests share.

Each run draws the same examples, so that CI gives the same result every time; a failing
example is printed as the calls that lead to it. How long a draw takes depends on the
load of the machine and isn't checked.
"""

from hypothesis import HealthCheck, settings

REPEATABLE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
    suppress_health_check=[HealthCheck.too_slow],
)
MACHINE = settings(
    REPEATABLE,
    max_examples=60,
    stateful_step_count=15,
    suppress_health_check=list(HealthCheck),
)
