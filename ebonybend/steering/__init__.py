"""Pure steering decisions; clocks and random sources are passed in."""

from ebonybend.steering.admission import Admission, ServerResult
from ebonybend.steering.choice import (
    DomainChooser,
    DomainOption,
    DomainQuery,
    DomainScore,
    ServerChooser,
    ServerScore,
)
from ebonybend.steering.freshness import age_weight, remote_window_factor
from ebonybend.steering.slots import Heartbeat, SlotLedger

__all__ = [
    "Admission",
    "DomainChooser",
    "DomainOption",
    "DomainQuery",
    "DomainScore",
    "Heartbeat",
    "ServerChooser",
    "ServerResult",
    "ServerScore",
    "SlotLedger",
    "age_weight",
    "remote_window_factor",
]
