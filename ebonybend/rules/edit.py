"""Change single rules in a text and leave its other lines as they are."""

from returns.result import Failure, Result, Success

from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.rules.compile import is_expired
from ebonybend.rules.model import Rule
from ebonybend.rules.parse import (
    COMMENT_FORM,
    parse_comment,
    parse_rule,
    parse_text,
    split_lines,
)
from ebonybend.rules.syntax import rule_key


def render(rule: Rule) -> str:
    """Return a rule's text form with its comment."""
    return f"# {rule.author}: {rule.reason}\n{rule.text}\n"


def add_rule(text: str, rule_text: str, author: str, reason: str) -> str:
    """Return the text with one more rule at its end.

    Raises INVALID_RULES if author and reason don't fit the comment line.
    """
    comment = f"# {author.strip()}: {reason.strip()}"
    found = parse_comment(comment)
    fits = found is not None and found.author == author.strip()
    if not fits or not comment.isprintable():
        raise SteeringError(
            ErrorKind.INVALID_RULES,
            f"author {author!r} and reason {reason!r} don't fit the comment line "
            f'"{COMMENT_FORM}"',
        )
    start = text if not text or text.endswith("\n") else text + "\n"
    return f"{start}{comment}\n{rule_text.strip()}\n"


def remove_rule(text: str, rule_text: str) -> Result[str, SteeringError]:
    """Return the text without a rule and its comment.

    The rule is found by what it is about, so its figures and its end may differ.
    """
    wanted = parse_rule(rule_text)
    if isinstance(wanted, Failure):
        message = f"{rule_text!r}: {wanted.failure()[0].message}"
        return Failure(SteeringError(ErrorKind.INVALID_RULES, message))
    key = rule_key(wanted.unwrap().body)
    found = [rule for rule in parse_text(text).rules if rule_key(rule.body) == key]
    if not found:
        message = f"no rule {key!r} in the text"
        return Failure(SteeringError(ErrorKind.INVALID_RULES, message))
    return Success(_without(text, found))


def remove_expired(text: str, now: float) -> tuple[str, tuple[Rule, ...]]:
    """Return the text without the rules whose end has passed, and those rules."""
    over = [rule for rule in parse_text(text).rules if is_expired(rule, now)]
    return _without(text, over), tuple(over)


def _without(text: str, rules: list[Rule]) -> str:
    """Return the text without the lines of some rules and of their comments."""
    gone = {number for rule in rules for number in (rule.line - 1, rule.line)}
    kept = [x for n, x in enumerate(split_lines(text), 1) if n not in gone]
    return "\n".join(kept)
