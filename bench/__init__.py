"""Fleets of real processes, history checks and measurements."""
