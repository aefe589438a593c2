"""When a request that is refused for crashing servers may be tried again.

A refusal would otherwise confirm itself, since a request that isn't sent can't succeed.
All nodes together send a refused request once some time after its last crash, and once
more much later. A trial that is answered ends the refusal. The users allow three sends
of a culprit after its third crash; one is left for a send that overtakes a refusal.
"""

from math import inf

from attrs import frozen

# Time from the last crash to the first trial, and from each trial to the next one.
TRIAL_DELAYS_S = (20.0, 600.0)
MS_PER_S = 1000.0


@frozen
class TrialRecord:
    """The trials of one refused request, by all nodes together."""

    count: int
    # Unix time of the last trial in milliseconds.
    tried_ms: int


def is_trial_due(
    record: TrialRecord | None, since_crash_s: float, now_ms: float
) -> bool:
    """Return whether a refused request may be tried once."""
    if since_crash_s < TRIAL_DELAYS_S[0]:
        return False
    if record is None:
        return True
    delay_s = (
        TRIAL_DELAYS_S[record.count] if record.count < len(TRIAL_DELAYS_S) else inf
    )
    return now_ms - record.tried_ms >= delay_s * MS_PER_S


def with_trial(record: TrialRecord | None, now_ms: float) -> TrialRecord:
    """Return the record after one more trial."""
    count = record.count if record is not None else 0
    return TrialRecord(count + 1, int(now_ms))
