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
from ebonybend.steering.keys import (
    KeyPrefix,
    KeyRegistry,
    Reservation,
    ReservationState,
    SealedIncarnation,
    StoredAnswer,
)
from ebonybend.steering.links import LinkBudget
from ebonybend.steering.lookup import (
    ClientMap,
    ClientShard,
    LookupRanker,
    encode_shard,
)
from ebonybend.steering.outcomes import Found, FoundState, OutcomeStore
from ebonybend.steering.retries import RetryBudget
from ebonybend.steering.shares import (
    CapShare,
    CapUsage,
    Loan,
    Ramp,
    WindowLimiter,
    split_units,
)
from ebonybend.steering.slots import Heartbeat, SlotLedger
from ebonybend.steering.suspects import SuspectRegistry, Verdict, fingerprint

__all__ = [
    "Admission",
    "CapShare",
    "CapUsage",
    "ClientMap",
    "ClientShard",
    "DomainChooser",
    "DomainOption",
    "DomainQuery",
    "DomainScore",
    "Found",
    "FoundState",
    "Heartbeat",
    "KeyPrefix",
    "KeyRegistry",
    "LinkBudget",
    "Loan",
    "LookupRanker",
    "OutcomeStore",
    "Ramp",
    "Reservation",
    "ReservationState",
    "RetryBudget",
    "SealedIncarnation",
    "ServerChooser",
    "ServerResult",
    "ServerScore",
    "SlotLedger",
    "StoredAnswer",
    "SuspectRegistry",
    "Verdict",
    "WindowLimiter",
    "age_weight",
    "encode_shard",
    "fingerprint",
    "remote_window_factor",
    "split_units",
]
