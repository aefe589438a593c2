"""Describe the differences between two rules texts in readable lines."""

from ebonybend.rules.model import Rule
from ebonybend.rules.parse import parse_text
from ebonybend.rules.syntax import rule_key


def describe(rule: Rule) -> str:
    """Return a rule with its author and reason on one line."""
    return f"{rule.text} ({rule.author}: {rule.reason})"


def diff_rules(old_text: str, new_text: str) -> tuple[str, ...]:
    """Return a line for each rule that was added (+), removed (-) or changed (~)."""
    old = {rule_key(rule.body): rule for rule in parse_text(old_text).rules}
    new = {rule_key(rule.body): rule for rule in parse_text(new_text).rules}
    lines = [f"- {describe(old[key])}" for key in old if key not in new]
    for key, rule in new.items():
        before = old.get(key)
        if before is None:
            lines.append(f"+ {describe(rule)}")
        elif describe(before) != describe(rule):
            lines.append(f"~ {describe(rule)}, before: {describe(before)}")
    return tuple(lines)
