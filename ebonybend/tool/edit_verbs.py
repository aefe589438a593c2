"""The verbs that change one rule: drain, undrain, pardon."""

import re
from collections.abc import Callable
from time import time

from attrs import frozen
from returns.result import Failure

from ebonybend.control.admin_messages import ApplyAnswer, RulesAnswer, StatusAnswer
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.rules import (
    DrainRule,
    PardonRule,
    Rule,
    RuleBody,
    add_rule,
    canonical_text,
    describe,
    diff_rules,
    parse_text,
    remove_expired,
    remove_rule,
    rule_key,
)
from ebonybend.rules.syntax import read_fingerprint, read_name, read_time
from ebonybend.tool.admin_client import Change
from ebonybend.tool.confirm import confirmation_lines, wait_until_in_force
from ebonybend.tool.context import EXIT_DONE, EXIT_REFUSED, Context, VerbResult
from ebonybend.tool.options import bad_setting, usage_error
from ebonybend.tool.submit import (
    ChangeResult,
    confirm_change,
    is_conflict,
    refused_result,
    require_author_and_reason,
    submit,
)

# Delays before each retry after a conflict. They grow, since the control may receive
# the other change only with the next peer exchange, after 1 s.
CONFLICT_RETRY_DELAYS_S = (0.2, 0.4, 0.8, 1.6)
_DURATION = re.compile(r"([1-9][0-9]{0,5})([smhd])", re.ASCII)
_SECONDS_PER_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86400}


@frozen
class Edit:
    """A new rules text, or the reason why no change is needed."""

    text: str
    nothing_to_do: str = ""


def drain(context: Context) -> VerbResult:
    """Take an instance or a backend server out of use."""
    require_author_and_reason(context)
    body = _drain_rule(context)
    return _apply_edit(context, lambda answer: _make_add_edit(context, answer, body))


def undrain(context: Context) -> VerbResult:
    """Take an instance or a backend server back into use."""
    require_author_and_reason(context)
    name = _parse_name(context.operand)
    return _apply_edit(
        context, lambda answer: _make_undrain_edit(context, answer, name)
    )


def pardon(context: Context) -> VerbResult:
    """Allow a request again that was refused for crashing backend servers."""
    require_author_and_reason(context)
    body = PardonRule(fingerprint=_full_fingerprint(context))
    return _apply_edit(context, lambda answer: _make_add_edit(context, answer, body))


def _apply_edit(context: Context, edit: Callable[[RulesAnswer], Edit]) -> VerbResult:
    """Apply an edit to the newest rules; on a conflict, read them again and retry."""
    author, reason = require_author_and_reason(context)
    change_id = context.options.change_id or context.new_change_id()
    for delay in (*CONFLICT_RETRY_DELAYS_S, None):
        answer = context.client.get_rules()
        if answer.change_id == change_id:
            return confirm_change(context, ApplyAnswer(answer.revision, change_id), ())
        edited = edit(answer)
        if edited.nothing_to_do:
            return _confirm_unchanged(context, answer, edited.nothing_to_do)
        change = Change(edited.text, answer.revision, author, reason, change_id)
        result = submit(context, change)
        if not isinstance(result, Failure):
            changes = diff_rules(answer.text, edited.text)
            return confirm_change(context, result.unwrap(), changes)
        if delay is None or not is_conflict(result):
            return refused_result(result.failure(), answer.revision, "edited rules")
        context.report_progress("another change was accepted first; trying again")
        context.sleep(delay)
        # A refused change had no effect, so the retry is a new change.
        change_id = context.new_change_id()
    raise AssertionError("the last try returns")


def _confirm_unchanged(context: Context, answer: RulesAnswer, why: str) -> VerbResult:
    """Report that no change is needed and whether the rules are in force."""
    confirmation = wait_until_in_force(context, answer.revision)
    status = EXIT_DONE if confirmation.in_force_everywhere else EXIT_REFUSED
    value = ChangeResult(True, answer.revision, answer.change_id, (), confirmation)
    return VerbResult(status, (why, *confirmation_lines(confirmation)), value)


def _make_add_edit(context: Context, answer: RulesAnswer, body: RuleBody) -> Edit:
    """Return the edit that adds a rule, or changes its expiry if it exists."""
    author, reason = require_author_and_reason(context)
    text = _remove_expired_rules(answer)
    until = _parse_until(context.options.until, answer.now)
    rule_text = canonical_text(body, until)
    existing = _find_rule(text, body)
    if existing is not None and existing.text == rule_text:
        return Edit(text, f"nothing to do, the rules have {describe(existing)}")
    if existing is not None:
        text = remove_rule(text, existing.text).unwrap()
    return Edit(add_rule(text, rule_text, author, reason))


def _make_undrain_edit(context: Context, answer: RulesAnswer, name: str) -> Edit:
    """Return the edit that removes the drain rule of a name."""
    text = _remove_expired_rules(answer)
    kind = _kind_from_flags(context)
    matches = [
        rule.text
        for rule in parse_text(answer.text).rules
        if isinstance(rule.body, DrainRule)
        and rule.body.name == name
        and kind in (None, rule.body.target_kind)
    ]
    if not matches:
        message = f"no rule drains {name!r}; `ebonybend show` lists the rules"
        raise SteeringError(ErrorKind.INVALID_RULES, message)
    if len(matches) > 1:
        raise usage_error(f"{name!r} is two things: add --instance or --backend")
    return Edit(remove_rule(text, matches[0]).value_or(text))


def _remove_expired_rules(answer: RulesAnswer) -> str:
    """Return the text without expired rules.

    They have no effect, but the control refuses a text that has them.
    """
    return remove_expired(answer.text, answer.now)[0] if answer.now else answer.text


def _find_rule(text: str, body: RuleBody) -> Rule | None:
    key = rule_key(body)
    return next((r for r in parse_text(text).rules if rule_key(r.body) == key), None)


def _parse_until(text: str | None, now: float) -> float | None:
    """Return a rule's expiry as Unix time; raise BAD_SETTING if it is invalid."""
    if text is None:
        return None
    match = _DURATION.fullmatch(text)
    if match is not None:
        return float(int(now or time()) + int(match[1]) * _SECONDS_PER_UNIT[match[2]])
    try:
        return read_time(text)
    except ValueError as error:
        raise bad_setting("until", text, f"{error}, or 30m, 2h or 3d") from error


def _parse_name(text: str) -> str:
    try:
        return read_name(text)
    except ValueError as error:
        raise usage_error(f"{text!r}: {error}") from error


def _kind_from_flags(context: Context) -> str | None:
    if context.options.instance:
        return "instance"
    return "backend" if context.options.backend else None


def _drain_rule(context: Context) -> DrainRule:
    """Return the drain rule; find the kind of its target unless a flag sets it."""
    name = _parse_name(context.operand)
    kind = _kind_from_flags(context) or _kind_from_status(context, name)
    return DrainRule(target_kind=kind, name=name)


def _kind_from_status(context: Context, name: str) -> str:
    # Each control lists only the backend servers of its own failure domain.
    kinds = {
        kind
        for status in context.client.get_statuses()
        for kind in _kinds_in_status(status, name)
    }
    if len(kinds) == 1:
        return kinds.pop()
    if kinds:
        raise usage_error(f"{name!r} is two things: add --instance or --backend")
    message = (
        f"the controls of --admin list no instance or backend server {name!r}; add "
        "addresses of its failure domain, or say --instance or --backend"
    )
    raise SteeringError(ErrorKind.INVALID_RULES, message)


def _kinds_in_status(status: StatusAnswer, name: str) -> set[str]:
    kinds = set()
    if any(instance.name == name for instance in status.instances):
        kinds.add("instance")
    if any(server.name == name for server in status.servers):
        kinds.add("backend")
    return kinds


def _full_fingerprint(context: Context) -> str:
    """Complete the fingerprint from the listed suspects if only its start is given."""
    text = context.operand.lower()
    try:
        return read_fingerprint(text)
    except ValueError as error:
        problem = str(error)
    suspects = context.client.get_status().suspects
    matches = [s.fingerprint for s in suspects if s.fingerprint.startswith(text)]
    if len(matches) == 1:
        return matches[0]
    message = (
        f"{text!r} is the start of {len(matches)} suspects' fingerprints; {problem}"
    )
    raise SteeringError(ErrorKind.INVALID_RULES, message)
