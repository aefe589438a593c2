"""Weight measurements by their age."""

# Measurements arrive every 250 ms to 500 ms, so a gap of 3 s is more than one or two
# lost messages.
FRESH_MS = 3000.0
# A measurement loses half of its weight for each further period of this length.
HALF_LIFE_MS = 3000.0
# With a weight of zero, servers without measurements would never be used again.
MIN_WEIGHT = 1 / 64

# The windows of remote domains shrink by a tenth for each period without a newer table.
REDUCTION_STEP_MS = 5000.0
REDUCTION_FACTOR = 0.9
MIN_WINDOW_FACTOR = 0.25


def age_weight(age_ms: float) -> float:
    """Return the weight of a measurement, from 1 when fresh down to 1/64."""
    if age_ms <= FRESH_MS:
        return 1.0
    weight = 0.5 ** ((age_ms - FRESH_MS) / HALF_LIFE_MS)
    return max(weight, MIN_WEIGHT)


def remote_window_factor(table_age_ms: float) -> float:
    """Return the factor on the windows of remote domains, from 1 down to 1/4."""
    steps = max(0, int(table_age_ms // REDUCTION_STEP_MS))
    return max(REDUCTION_FACTOR**steps, MIN_WINDOW_FACTOR)
