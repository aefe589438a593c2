"""The entry process: look-ups, forwarding, and what entries exchange."""

from ebonybend.entry.service import EntryService, run_entry

__all__ = ["EntryService", "run_entry"]
