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
from ebonybend.tool.confirm import confirmation_lines, wait_in_force
from ebonybend.tool.context import DONE, REFUSED, Context, VerbResult
from ebonybend.tool.options import bad_setting, usage_error
from ebonybend.tool.submit import (
    ChangeResult,
    accepted,
    is_conflict,
    refused,
    required_author,
    submit,
)

# Waits before each new try on the rules re-read. They grow, since the control that is
# asked may learn of the other change only by the next peer exchange, after 1 s.
CONFLICT_DELAYS_S = (0.2, 0.4, 0.8, 1.6)
_DURATION = re.compile(r"([1-9][0-9]{0,5})([smhd])", re.ASCII)
_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


@frozen
class Edit:
    """A changed text, or the reason why nothing needs to change."""

    text: str
    nothing_to_do: str = ""


def drain(context: Context) -> VerbResult:
    """Take an instance or a backend server out of use."""
    required_author(context)
    body = _drain_body(context)
    return _edit(context, lambda answer: _added(context, answer, body))


def undrain(context: Context) -> VerbResult:
    """Take an instance or a backend server back into use."""
    required_author(context)
    name = _name(context.operand)
    return _edit(context, lambda answer: _undrained(context, answer, name))


def pardon(context: Context) -> VerbResult:
    """Allow a request again that was refused for crashing backend servers."""
    required_author(context)
    body = PardonRule(fingerprint=_fingerprint(context))
    return _edit(context, lambda answer: _added(context, answer, body))


def _edit(context: Context, edit: Callable[[RulesAnswer], Edit]) -> VerbResult:
    """Apply an edit to the newest rules; on a conflict, edit the rules re-read."""
    author, reason = required_author(context)
    change_id = context.options.change_id or context.new_change_id()
    for delay in (*CONFLICT_DELAYS_S, None):
        answer = context.client.rules()
        if answer.change_id == change_id:
            return accepted(context, ApplyAnswer(answer.revision, change_id), ())
        edited = edit(answer)
        if edited.nothing_to_do:
            return _unchanged(context, answer, edited.nothing_to_do)
        change = Change(edited.text, answer.revision, author, reason, change_id)
        result = submit(context, change)
        if not isinstance(result, Failure):
            changes = diff_rules(answer.text, edited.text)
            return accepted(context, result.unwrap(), changes)
        if delay is None or not is_conflict(result):
            return refused(result.failure(), answer.revision, "edited rules")
        context.progress("another change was accepted first; trying again")
        context.sleep(delay)
        # A refused try had no effect, so the next is a new change.
        change_id = context.new_change_id()
    raise AssertionError("the last try returns")


def _unchanged(context: Context, answer: RulesAnswer, why: str) -> VerbResult:
    """Return whether the rules that already say so are in force."""
    found = wait_in_force(context, answer.revision)
    status = DONE if found.in_force_everywhere else REFUSED
    value = ChangeResult(True, answer.revision, answer.change_id, (), found)
    return VerbResult(status, (why, *confirmation_lines(found)), value)


def _added(context: Context, answer: RulesAnswer, body: RuleBody) -> Edit:
    """Add a rule, in place of one with another end."""
    author, reason = required_author(context)
    text = _without_rules_that_are_over(answer)
    until = _until(context.options.until, answer.now)
    wanted = canonical_text(body, until)
    present = _find(text, body)
    if present is not None and present.text == wanted:
        return Edit(text, f"nothing to do, the rules have {describe(present)}")
    if present is not None:
        text = remove_rule(text, present.text).unwrap()
    return Edit(add_rule(text, wanted, author, reason))


def _undrained(context: Context, answer: RulesAnswer, name: str) -> Edit:
    """Remove the drain rule of a name."""
    text = _without_rules_that_are_over(answer)
    wanted_kind = _chosen_kind(context)
    found = [
        rule.text
        for rule in parse_text(answer.text).rules
        if isinstance(rule.body, DrainRule)
        and rule.body.name == name
        and wanted_kind in (None, rule.body.target_kind)
    ]
    if not found:
        message = f"no rule drains {name!r}; `ebonybend show` lists the rules"
        raise SteeringError(ErrorKind.INVALID_RULES, message)
    if len(found) > 1:
        raise usage_error(f"{name!r} is two things: add --instance or --backend")
    return Edit(remove_rule(text, found[0]).value_or(text))


def _without_rules_that_are_over(answer: RulesAnswer) -> str:
    """Return the text without rules whose end has passed.

    They have no effect any more, but a text that still has them is refused.
    """
    return remove_expired(answer.text, answer.now)[0] if answer.now else answer.text


def _find(text: str, body: RuleBody) -> Rule | None:
    key = rule_key(body)
    return next((r for r in parse_text(text).rules if rule_key(r.body) == key), None)


def _until(text: str | None, now: float) -> float | None:
    """Return the end of a rule; raise BAD_SETTING if it's bad."""
    if text is None:
        return None
    match = _DURATION.fullmatch(text)
    if match is not None:
        return float(int(now or time()) + int(match[1]) * _SECONDS[match[2]])
    try:
        return read_time(text)
    except ValueError as error:
        raise bad_setting("until", text, f"{error}, or 30m, 2h or 3d") from error


def _name(text: str) -> str:
    try:
        return read_name(text)
    except ValueError as error:
        raise usage_error(f"{text!r}: {error}") from error


def _chosen_kind(context: Context) -> str | None:
    if context.options.instance:
        return "instance"
    return "backend" if context.options.backend else None


def _drain_body(context: Context) -> DrainRule:
    """Return what to drain, found by name unless a flag tells its kind."""
    name = _name(context.operand)
    kind = _chosen_kind(context) or _kind_by_name(context, name)
    return DrainRule(target_kind=kind, name=name)


def _kind_by_name(context: Context, name: str) -> str:
    # A control lists the backend servers of its own failure domain, so all are asked.
    kinds = {
        kind
        for status in context.client.each_status()
        for kind in _kinds_in(status, name)
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


def _kinds_in(status: StatusAnswer, name: str) -> set[str]:
    kinds = set()
    if any(instance.name == name for instance in status.instances):
        kinds.add("instance")
    if any(server.name == name for server in status.servers):
        kinds.add("backend")
    return kinds


def _fingerprint(context: Context) -> str:
    """Return the whole fingerprint; the start of a listed suspect's is enough."""
    text = context.operand.lower()
    try:
        return read_fingerprint(text)
    except ValueError as error:
        problem = str(error)
    suspects = context.client.status().suspects
    found = [s.fingerprint for s in suspects if s.fingerprint.startswith(text)]
    if len(found) == 1:
        return found[0]
    message = f"{text!r} is the start of {len(found)} suspects' fingerprints; {problem}"
    raise SteeringError(ErrorKind.INVALID_RULES, message)
