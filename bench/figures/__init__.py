"""Measurements, each beside its baseline in the same run."""

from bench.figures.figure import Figure

__all__ = ["Figure"]
