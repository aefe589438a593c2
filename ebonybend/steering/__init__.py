"""Pure steering decisions; clocks and random sources are passed in.

Public names are imported on first use, so that a process loads only the modules that it
needs: a node on the platform starts with half of them.
"""

from importlib import import_module
from typing import Any

# Module of each public name.
_MODULES = {
    "Admission": "admission",
    "CapShare": "shares",
    "CapUsage": "shares",
    "ClientMap": "lookup",
    "ClientShard": "lookup",
    "DomainChooser": "choice",
    "DomainOption": "choice",
    "DomainQuery": "choice",
    "DomainScore": "choice",
    "Heartbeat": "slots",
    "KeyPrefix": "keys",
    "KeyRegistry": "keys",
    "KnownOutcome": "outcomes",
    "KnownOutcomeState": "outcomes",
    "LinkBudget": "links",
    "LookupRanker": "lookup",
    "OutcomeStore": "outcomes",
    "QuotaLease": "shares",
    "Ramp": "shares",
    "Reservation": "keys",
    "ReservationState": "keys",
    "RetryBudget": "retries",
    "SealedIncarnation": "keys",
    "ServerChooser": "choice",
    "ServerResult": "admission",
    "ServerScore": "choice",
    "SlotLedger": "slots",
    "StoredAnswer": "keys",
    "SuspectRegistry": "suspects",
    "Verdict": "suspects",
    "WindowLimiter": "shares",
    "age_weight": "freshness",
    "encode_shard": "lookup",
    "fingerprint": "suspects",
    "remote_window_factor": "freshness",
    "split_units": "shares",
}
__all__ = sorted(_MODULES)


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)
