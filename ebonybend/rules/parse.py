"""Parse a rules text into typed rules, or into all of its errors."""

import re
from typing import Any

from attrs import evolve, frozen
from returns.result import Failure, Result, Success

from ebonybend.rules.model import Rule, RuleBody, RuleError, ShiftRule
from ebonybend.rules.syntax import (
    ARGUMENTS,
    UNTIL,
    Argument,
    build_body,
    canonical_text,
    rule_key,
)

# A quarter of the platform's largest value; the object also holds recent changes.
MAX_RULES_BYTES = 256 << 10
COMMENT_FORM = "# <who>: <why>"

_COMMENT = re.compile(r"#\s*(?P<author>[^:\s][^:]*?)\s*:\s*(?P<reason>\S.*?)\s*")
# The header that the tool writes above a text names no author.
REVISION_HEADER = re.compile(r"#\s*revision\s*:\s*([0-9]{1,18})\s*", re.ASCII)
_WORD = re.compile(r"[^ \t]+")


@frozen
class Comment:
    """The author of a rule, and the reason for it."""

    author: str
    reason: str


@frozen
class ParsedText:
    """The valid rules of a text, and its errors."""

    rules: tuple[Rule, ...]
    errors: tuple[RuleError, ...]


def split_lines(text: str) -> list[str]:
    """Return the lines of a text without line ends and byte order mark."""
    lines = text.removeprefix("\ufeff").split("\n")
    return [line.removesuffix("\r") for line in lines]


def parse_comment(line: str) -> Comment | None:
    """Return the author and the reason that a comment line names, or None."""
    stripped = line.strip(" \t")
    if REVISION_HEADER.fullmatch(stripped):
        return None
    match = _COMMENT.fullmatch(stripped)
    return Comment(match["author"], match["reason"]) if match else None


def parse_rules(text: str) -> Result[tuple[Rule, ...], tuple[RuleError, ...]]:
    """Return the rules of a text, or all of its errors in the order of lines."""
    parsed = parse_text(text)
    return Failure(parsed.errors) if parsed.errors else Success(parsed.rules)


def parse_text(text: str) -> ParsedText:
    """Return the valid rules of a text, and its errors."""
    size = len(text.encode("utf-8", "replace"))
    if size > MAX_RULES_BYTES:
        message = f"the text has {size} bytes; at most {MAX_RULES_BYTES} are allowed"
        return ParsedText((), (RuleError(1, 1, message),))
    rules: list[Rule] = []
    errors: list[RuleError] = []
    previous_line = ""
    for number, line in enumerate(split_lines(text), 1):
        found = _parse_line(number, line, previous_line)
        previous_line = line
        if isinstance(found, Rule):
            conflict = _find_conflict(found, rules)
            if conflict is None:
                rules.append(found)
            else:
                errors.append(conflict)
        else:
            errors.extend(found)
    return ParsedText(tuple(rules), tuple(errors))


def parse_rule(line: str) -> Result[Rule, tuple[RuleError, ...]]:
    """Parse one rule that is written without its comment, as line 1."""
    found = _check_printable(1, line) or _parse_words(1, line)
    return Success(found) if isinstance(found, Rule) else Failure(tuple(found))


def _parse_line(number: int, line: str, previous_line: str) -> Rule | list[RuleError]:
    """Return the line's rule, or its errors; a line without a rule has none."""
    errors = _check_printable(number, line)
    stripped = line.strip(" \t")
    if errors or not stripped or stripped.startswith("#"):
        return errors
    comment = parse_comment(previous_line)
    if comment is None:
        column = len(line) - len(line.lstrip(" \t")) + 1
        message = f'a rule needs its own comment "{COMMENT_FORM}" on the line above'
        errors.append(RuleError(number, column, message))
    found = _parse_words(number, line)
    if not isinstance(found, Rule):
        return errors + found
    if comment is None:
        return errors
    return evolve(found, author=comment.author, reason=comment.reason)


def _check_printable(number: int, line: str) -> list[RuleError]:
    """Return an error for the first unprintable character other than a tab."""
    for column, character in enumerate(line, 1):
        if character != "\t" and not character.isprintable():
            message = f"character U+{ord(character):04X} is not allowed"
            return [RuleError(number, column, message)]
    return []


def _parse_words(number: int, line: str) -> Rule | list[RuleError]:
    """Return the rule on a line, without author and reason, or the line's errors."""
    words = list(_WORD.finditer(line))
    if not words:
        return [RuleError(number, 1, "expected a rule")]
    kind, column = words[0][0], words[0].start() + 1
    if kind not in ARGUMENTS:
        message = f"unknown rule {kind!r}; expected one of {', '.join(ARGUMENTS)}"
        return [RuleError(number, column, message)]
    values: dict[str, Any] = {}
    errors: list[RuleError] = []
    for word in words[1:]:
        problem = _read_argument(kind, word[0], values)
        if problem is not None:
            offset, message = problem
            errors.append(RuleError(number, word.start() + offset + 1, message))
    errors += _check_required(number, column, kind, line)
    if errors:
        return errors
    until = values.pop(UNTIL.attribute, None)
    try:
        body = build_body(kind, values)
    except ValueError as error:
        return [RuleError(number, column, str(error))]
    return _make_rule(number, body, until)


def _make_rule(number: int, body: RuleBody, until: float | None) -> Rule:
    text = canonical_text(body, until)
    return Rule(line=number, author="", reason="", text=text, body=body, until=until)


def _find_argument(kind: str, key: str) -> Argument | None:
    matches = (x for x in (*ARGUMENTS[kind], UNTIL) if x.key == key)
    return next(matches, None)


def _read_argument(
    kind: str, word: str, values: dict[str, Any]
) -> tuple[int, str] | None:
    """Add an argument's value, or return the offset and the message of its error."""
    key, equals, text = word.partition("=")
    if not equals:
        return 0, f"expected key=value, not {word!r}"
    argument = _find_argument(kind, key)
    if argument is None:
        known = ", ".join(x.key for x in (*ARGUMENTS[kind], UNTIL))
        return 0, f"{kind} has no argument {key!r}; it has {known}"
    if argument.attribute in values:
        return 0, f"{key} is given twice"
    try:
        values[argument.attribute] = argument.read(text)
    except ValueError as error:
        return len(key) + 1, f"{key}: {error}"
    return None


def _check_required(number: int, column: int, kind: str, line: str) -> list[RuleError]:
    """Return an error for each required argument that the line lacks."""
    keys = {word.partition("=")[0] for word in line.split()}
    return [
        RuleError(number, column, f"{kind} needs {argument.key}=")
        for argument in ARGUMENTS[kind]
        if argument.required and argument.key not in keys
    ]


def _find_conflict(rule: Rule, earlier: list[Rule]) -> RuleError | None:
    """Return an error if a rule repeats or contradicts an earlier one."""
    key = rule_key(rule.body)
    for other in earlier:
        if other.text == rule.text:
            message = f"the same rule is on line {other.line}"
            return RuleError(rule.line, 1, message)
        if rule_key(other.body) == key:
            message = f"contradicts line {other.line}, which also sets {key!r}"
            return RuleError(rule.line, 1, message)
        if _is_opposite_shift(rule.body, other.body):
            message = f"contradicts line {other.line}, which shifts the other way"
            return RuleError(rule.line, 1, message)
    return None


def _is_opposite_shift(body: RuleBody, other: RuleBody) -> bool:
    """Return whether two shifts move a service's requests in opposite directions."""
    return (
        isinstance(body, ShiftRule)
        and isinstance(other, ShiftRule)
        and body.service == other.service
        and (body.source, body.target) == (other.target, other.source)
    )
