"""Settings that all tests share."""

from hypothesis import settings

# Derived from the test's own code, so that CI gives the same verdict every time.
REPEATABLE = settings(derandomize=True, deadline=None, max_examples=200, database=None)
