"""Measurements, each with the baseline from the same run."""

from bench.figures.figure import Figure

__all__ = ["Figure"]
