"""The entry process: lookups, request forwarding, messages between entries."""

from ebonybend.entry.service import EntryService, run_entry

__all__ = ["EntryService", "run_entry"]
