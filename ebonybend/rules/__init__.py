"""Package rules."""
