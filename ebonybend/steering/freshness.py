"""Decide how much a measurement counts as it ages."""

# Measurements arrive every 250 ms to 500 ms; 3 s without one is no longer a lost
# message or two.
FRESH_MS = 3000.0
# A value loses half of its weight for each further period of this length.
HALF_LIFE_MS = 3000.0
# A weight of zero would make servers without measurements unusable for good.
LOWEST_WEIGHT = 1 / 64

# The remote windows lose a tenth for each period without a newer table.
TIGHTENING_STEP_MS = 5000.0
TIGHTENING_FACTOR = 0.9
LOWEST_WINDOW_FACTOR = 0.25


def age_weight(age_ms: float) -> float:
    """Return the weight of a measurement, from 1 when fresh down to 1/64."""
    if age_ms <= FRESH_MS:
        return 1.0
    weight = 0.5 ** ((age_ms - FRESH_MS) / HALF_LIFE_MS)
    return max(weight, LOWEST_WEIGHT)


def remote_window_factor(table_age_ms: float) -> float:
    """Return the factor on the windows for other domains, from 1 down to 1/4."""
    steps = max(0, int(table_age_ms // TIGHTENING_STEP_MS))
    return max(TIGHTENING_FACTOR**steps, LOWEST_WINDOW_FACTOR)
