"""The rules in force, as far as the control process itself acts on them."""

from collections.abc import Callable
from time import time

from ebonybend.peers.merge import Replica
from ebonybend.peers.records import RecordKind, RulesRecord
from ebonybend.rules.compile import is_expired
from ebonybend.rules.model import DrainRule, PardonRule, Rule
from ebonybend.rules.parse import parse_text


class RulesView:
    """The newest rules known here; parsed once per revision."""

    def __init__(self, replica: Replica, wall: Callable[[], float] = time):
        self.replica = replica
        self.wall = wall
        self.rules: tuple[Rule, ...] = ()
        replica.listen(RecordKind.RULES, self._changed)

    @property
    def record(self) -> RulesRecord | None:
        """Return the rules record, or None before the first revision."""
        return self.replica.get(RecordKind.RULES)

    @property
    def revision(self) -> int:
        """Return the revision, 0 before the first."""
        return self.replica.version(RecordKind.RULES)

    @property
    def text(self) -> str:
        """Return the text, empty before the first revision."""
        return self.record.text if self.record else ""

    def in_force(self) -> tuple[Rule, ...]:
        """Return the rules whose end has not passed."""
        now = self.wall()
        return tuple(rule for rule in self.rules if not is_expired(rule, now))

    def drained(self, target_kind: str) -> frozenset[str]:
        """Return the names of drained instances or backend servers."""
        return frozenset(
            rule.body.name
            for rule in self.in_force()
            if isinstance(rule.body, DrainRule) and rule.body.target_kind == target_kind
        )

    def pardoned(self) -> frozenset[str]:
        """Return the fingerprints that a rule pardons."""
        return frozenset(
            rule.body.fingerprint
            for rule in self.in_force()
            if isinstance(rule.body, PardonRule)
        )

    def _changed(self, _name: str) -> None:
        # Lines that this version can't read are left out; the rest stays in force.
        self.rules = parse_text(self.text).rules
