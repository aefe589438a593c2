"""The control process: platform watch, probes, peer exchange, administration API."""
