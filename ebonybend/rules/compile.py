"""Select the rules of an accepted text that are in force at a time."""

from ebonybend.rules.model import Rule
from ebonybend.rules.parse import parse_text


def is_expired(rule: Rule, now: float) -> bool:
    """Return whether a rule's end has passed; now is in seconds since the epoch."""
    return rule.until is not None and rule.until <= now


def compile_rules(text: str, now: float) -> tuple[Rule, ...]:
    """Return the rules whose end has not passed at a time since the epoch.

    Lines with errors are left out rather than raised: a text that an earlier version
    accepted stays in force as far as this version can read it.
    """
    return tuple(rule for rule in parse_text(text).rules if not is_expired(rule, now))
