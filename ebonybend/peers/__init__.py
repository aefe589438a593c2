"""Replicate records between control processes."""
