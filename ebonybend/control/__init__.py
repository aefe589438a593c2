"""The control process: follows the platform, probes, exchanges, administers."""
