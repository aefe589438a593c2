"""Outcomes of other entries' keys, kept for when their owner can't be reached."""

from enum import Enum

from attrs import define, evolve, field, frozen

from ebonybend.clock import Clock
from ebonybend.steering.keys import (
    EPOCH_S,
    KEPT_EPOCHS,
    BodyBudget,
    KeyPrefix,
    OutcomeRecord,
    SealedIncarnation,
    StoredAnswer,
)


class KnownOutcomeState(Enum):
    """What a peer knows about a key of another incarnation."""

    FINISHED = "finished"
    UNKNOWN = "unknown"
    # The incarnation is sealed and did not dispatch the key.
    NOT_RUN = "not_run"


@frozen
class KnownOutcome:
    """A peer's knowledge of a key."""

    state: KnownOutcomeState
    answer: StoredAnswer | None = None


@define
class _Incarnation:
    """Outcomes of one process incarnation, with the times of their receipt."""

    outcomes: dict[str, tuple[float, StoredAnswer | None]] = field(factory=dict)
    sealed: SealedIncarnation | None = None
    sealed_at: float = 0.0


class OutcomeStore:
    """Outcomes and sealed incarnations received from peers."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self._incarnations: dict[tuple[str, int], _Incarnation] = {}
        self._bodies = BodyBudget()

    def add(
        self, instance: str, incarnation: int, records: tuple[OutcomeRecord, ...]
    ) -> None:
        """Keep the outcomes that an owner replicated."""
        now = self.clock.monotonic()
        self._expire(now)
        owner = self._incarnations.setdefault((instance, incarnation), _Incarnation())
        for record in records:
            answer = record.answer.within_limit() if record.answer else None
            owner.outcomes[record.key] = (now, answer)
            if answer is not None and answer.body is not None:
                for old in self._bodies.add(record.key, len(answer.body)):
                    self._drop_body(old)

    def _drop_body(self, key: str) -> None:
        prefix = KeyPrefix.parse(key)
        owner = self._incarnations.get((prefix.instance, prefix.incarnation))
        if owner is None or key not in owner.outcomes:
            return
        received, answer = owner.outcomes[key]
        if answer is not None:
            owner.outcomes[key] = (received, evolve(answer, body=None))

    def seal(self, sealed: SealedIncarnation) -> bool:
        """Take a seal; return False if outcomes that it counts are missing."""
        name = (sealed.instance, sealed.incarnation)
        owner = self._incarnations.setdefault(name, _Incarnation())
        covered = [key for key in owner.outcomes if self._covers(sealed, key)]
        if len(covered) < sealed.outcomes:
            return False
        owner.sealed = sealed
        owner.sealed_at = self.clock.monotonic()
        return True

    @staticmethod
    def _covers(sealed: SealedIncarnation, key: str) -> bool:
        epoch = KeyPrefix.parse(key).epoch
        return sealed.oldest_epoch <= epoch <= sealed.newest_epoch

    def find(self, key: str, fingerprint: str = "") -> KnownOutcome | None:
        """Return what is known about a key, or None."""
        self._expire(self.clock.monotonic())
        prefix = KeyPrefix.parse(key)
        owner = self._incarnations.get((prefix.instance, prefix.incarnation))
        if owner is None:
            return None
        if key in owner.outcomes:
            answer = owner.outcomes[key][1]
            if answer is None or answer.fingerprint != fingerprint:
                return KnownOutcome(KnownOutcomeState.UNKNOWN)
            return KnownOutcome(KnownOutcomeState.FINISHED, answer)
        if owner.sealed is not None and self._covers(owner.sealed, key):
            return KnownOutcome(KnownOutcomeState.NOT_RUN)
        return None

    def _expire(self, now: float) -> None:
        """Drop old outcomes; a seal and its outcomes are dropped together."""
        keep_s = KEPT_EPOCHS * EPOCH_S
        for name, owner in list(self._incarnations.items()):
            if owner.sealed is not None:
                if now - owner.sealed_at > keep_s:
                    del self._incarnations[name]
                continue
            while owner.outcomes:
                key = next(iter(owner.outcomes))
                if now - owner.outcomes[key][0] <= keep_s:
                    break
                del owner.outcomes[key]
            if not owner.outcomes:
                del self._incarnations[name]
