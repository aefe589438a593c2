"""Package steering."""
