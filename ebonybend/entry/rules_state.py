"""The rules in force, grouped by kind."""

from collections.abc import Iterable
from urllib.parse import unquote

from ebonybend.rules.compile import compile_rules
from ebonybend.rules.model import (
    CapRule,
    DrainRule,
    PardonRule,
    RefuseRule,
    Rule,
    ShiftRule,
    WeightsRule,
)


class RulesInForce:
    """The valid rules of one revision."""

    def __init__(self, rules: Iterable[Rule]):
        self.rules = tuple(rules)
        self.refusals = self._rule_bodies(RefuseRule)
        self.pardons = tuple(body.fingerprint for body in self._rule_bodies(PardonRule))
        self.weights = {body.service: body for body in self._rule_bodies(WeightsRule)}
        drains = self._rule_bodies(DrainRule)
        self.drained_instances = frozenset(
            body.name for body in drains if body.target_kind == "instance"
        )
        self.drained_servers = frozenset(
            body.name for body in drains if body.target_kind == "backend"
        )
        self.shifts = tuple(r for r in self.rules if isinstance(r.body, ShiftRule))
        self.caps = tuple(r for r in self.rules if isinstance(r.body, CapRule))
        expiries = [rule.until for rule in self.rules if rule.until is not None]
        self.next_expiry = min(expiries, default=None)

    def _rule_bodies(self, kind: type) -> tuple:
        return tuple(r.body for r in self.rules if isinstance(r.body, kind))

    @classmethod
    def from_text(cls, text: str, now: float) -> "RulesInForce":
        """Return the rules of a text that are valid at a wall-clock time (seconds)."""
        return cls(compile_rules(text, now))

    def has_expired_rule(self, now: float) -> bool:
        """Return whether a rule's validity has ended."""
        return self.next_expiry is not None and now >= self.next_expiry

    def find_refusal(self, service: str, method: str, path: str) -> RefuseRule | None:
        """Return the rule that refuses a request, or None."""
        if not self.refusals:
            return None
        # A percent-encoded path must not bypass a rule.
        path = unquote(path)
        for rule in self.refusals:
            if rule.service != service or rule.method not in (None, method):
                continue
            if path.startswith(rule.path):
                return rule
        return None
