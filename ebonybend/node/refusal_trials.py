"""Agree with all other nodes, through the store, on who tries a refused request.

One object holds the trials of all nodes. The node that adds a trial by a conditional
write holds the permit for it; without the store nothing is tried.
"""

from collections.abc import Callable, Mapping
from typing import Protocol

from returns.result import Success

from ebonybend.logs import get_logger
from ebonybend.node.wire import MAX_REFUSED_REQUESTS, Documents, RefusalTrials
from ebonybend.steering.crash_suspects import REFUSED_LIFETIME_S
from ebonybend.steering.refusal_trials import (
    TRIAL_DELAYS_S,
    TrialRecord,
    is_trial_due,
    with_trial,
)
from ebonybend.store.client import ObjectStore, StoredObject, StoreFailureKind

# Name of the only object of its kind with trials.
OBJECT_NAME = "trials"
# Shortest time between two claims of this node, and after one that the store failed.
CLAIM_PERIOD_S = 1.0
FAILED_CLAIM_PERIOD_S = 10.0
MS_PER_S = 1000.0


class TrialClaims(Protocol):
    """Permits to send a refused request once."""

    async def claim(self, fingerprint: str, since_crash_s: float) -> bool:
        """Return whether this node may send the request; it then holds the permit."""
        ...

    def give_back(self, fingerprint: str) -> None:
        """Keep a permit that wasn't used for the next time that the request comes."""
        ...


class NoTrials:
    """Claims of a node that tries nothing."""

    async def claim(self, fingerprint: str, since_crash_s: float) -> bool:
        """Return False."""
        return False

    def give_back(self, fingerprint: str) -> None:
        """Do nothing."""


class StoredTrialClaims:
    """Claim trials by conditional writes to the store."""

    def __init__(
        self,
        store: ObjectStore,
        documents: Documents,
        wall_clock: Callable[[], float],
        clock: Callable[[], float],
    ):
        self.store = store
        self.documents = documents
        self.wall_clock = wall_clock
        self.clock = clock
        # The trials of all nodes, as last read or written.
        self.records: dict[str, TrialRecord] = {}
        self.permits: set[str] = set()
        # Trials whose write was not answered; they hold if the store has them.
        self.unconfirmed: dict[str, TrialRecord] = {}
        self.next_claim_at = clock()

    async def claim(self, fingerprint: str, since_crash_s: float) -> bool:
        """Return whether this node may send the request; it then holds the permit."""
        # A permit may be left from an earlier refusal of the same request.
        if fingerprint in self.permits and since_crash_s >= TRIAL_DELAYS_S[0]:
            self.permits.discard(fingerprint)
            return True
        now = self.clock()
        if now < self.next_claim_at or not self._is_due(fingerprint, since_crash_s):
            return False
        # Also while the store is asked, so that one call is under way at a time.
        self.next_claim_at = now + FAILED_CLAIM_PERIOD_S
        return await self._claim(fingerprint, since_crash_s)

    def give_back(self, fingerprint: str) -> None:
        """Keep a permit that wasn't used for the next time that the request comes."""
        self.permits.add(fingerprint)

    def _is_due(self, fingerprint: str, since_crash_s: float) -> bool:
        if fingerprint in self.unconfirmed:
            return True
        record = self.records.get(fingerprint)
        return is_trial_due(record, since_crash_s, self._now_ms())

    async def _claim(self, fingerprint: str, since_crash_s: float) -> bool:
        kind = self.documents.refused_kind
        answer = await self.store.get(kind, OBJECT_NAME)
        version = 0
        if isinstance(answer, Success):
            version = self._apply(answer.unwrap())
        elif answer.failure().kind is not StoreFailureKind.NOT_FOUND:
            self._log_failure(answer.failure().message)
            return False
        self.next_claim_at = self.clock() + CLAIM_PERIOD_S
        unconfirmed = self.unconfirmed.pop(fingerprint, None)
        if unconfirmed is not None and self.records.get(fingerprint) == unconfirmed:
            return True
        if not self._is_due(fingerprint, since_crash_s):
            return False
        record = with_trial(self.records.get(fingerprint), self._now_ms())
        records = self._latest({**self.records, fingerprint: record})
        value = self.documents.encode_trials(RefusalTrials(records))
        written = await self.store.put(kind, OBJECT_NAME, value, version)
        if isinstance(written, Success):
            self.records = records
            get_logger().info("suspect_trial", suspect=fingerprint, count=record.count)
            return True
        failure = written.failure()
        if failure.kind is StoreFailureKind.CONFLICT and failure.current:
            self._apply(failure.current)
        elif failure.kind is StoreFailureKind.ANSWER_LOST:
            self.unconfirmed[fingerprint] = record
        self._log_failure(failure.message)
        return False

    def _apply(self, stored: StoredObject) -> int:
        """Take over the stored trials; return the object's version."""
        found = self.documents.decode_trials(stored)
        if found is None:
            get_logger().error("suspect_trials_not_readable")
            return stored.version
        # A store that came back from an older copy lacks the latest trials.
        known = self.records
        self.records = known | {
            name: record
            for name, record in found.trials.items()
            if name not in known or record.count > known[name].count
        }
        return stored.version

    def _latest(self, records: Mapping[str, TrialRecord]) -> dict[str, TrialRecord]:
        oldest_ms = self._now_ms() - REFUSED_LIFETIME_S * MS_PER_S
        latest = sorted(records, key=lambda name: -records[name].tried_ms)
        return {
            name: records[name]
            for name in latest[:MAX_REFUSED_REQUESTS]
            if records[name].tried_ms >= oldest_ms
        }

    def _log_failure(self, message: str) -> None:
        get_logger().info("suspect_trial_not_claimed", error=message)

    def _now_ms(self) -> float:
        return self.wall_clock() * MS_PER_S
