"""The verbs for whole rules texts: check, show, diff, apply."""

from datetime import UTC, datetime

from attrs import evolve, frozen
from returns.result import Failure

from ebonybend.codec import from_json
from ebonybend.control.admin_messages import RulesAnswer
from ebonybend.rules import RuleError, check_rules, diff_rules, parse_rules
from ebonybend.tool.admin_client import Change
from ebonybend.tool.context import EXIT_DONE, EXIT_REFUSED, Context, VerbResult
from ebonybend.tool.files import RulesFile, add_header, split_header
from ebonybend.tool.options import usage_error
from ebonybend.tool.submit import (
    confirm_change,
    error_lines,
    refused_result,
    require_author_and_reason,
    submit,
)
from ebonybend.world import Deployment


@frozen
class CheckResult:
    """The number of rules in a file and its errors."""

    file: str
    rules: int
    errors: tuple[RuleError, ...]


@frozen
class DiffResult:
    """What applying a file would change."""

    revision: int
    base: int | None
    changes: tuple[str, ...]


def check(context: Context) -> VerbResult:
    """Check a rules file without a connection."""
    name = context.operand
    file = split_header(context.read_file(name))
    rule_count, errors = _file_errors(context, file)
    value = CheckResult(name, rule_count, errors)
    if errors:
        return VerbResult(EXIT_REFUSED, error_lines(name, errors), value)
    return VerbResult(EXIT_DONE, (f"{name}: {rule_count} rules, no errors",), value)


def _file_errors(
    context: Context, file: RulesFile
) -> tuple[int, tuple[RuleError, ...]]:
    """Return the number of rules and the errors, with the line numbers of the file."""
    parsed = parse_rules(file.text)
    if isinstance(parsed, Failure):
        rule_count, errors = 0, parsed.failure()
    else:
        rules = parsed.unwrap()
        rule_count, errors = len(rules), ()
        if context.options.deployment:
            text = context.read_file(context.options.deployment)
            deployment = from_json(text.encode(), Deployment)
            errors = check_rules(rules, deployment, ())
    return rule_count, tuple(evolve(e, line=e.line + file.header_lines) for e in errors)


def show(context: Context) -> VerbResult:
    """Show the rules that were accepted last."""
    answer = context.client.get_rules()
    context.report_progress(_revision_line(answer))
    lines = add_header(answer.text, answer.revision).removesuffix("\n").split("\n")
    return VerbResult(EXIT_DONE, tuple(lines), answer)


def _revision_line(answer: RulesAnswer) -> str:
    if not answer.revision:
        return "revision 0: no rules were applied yet"
    time = datetime.fromtimestamp(answer.at, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
    return f"revision {answer.revision}, {time}, by {answer.author}: {answer.reason}"


def diff(context: Context) -> VerbResult:
    """Show what applying a file would change."""
    file = split_header(context.read_file(context.operand))
    answer = context.client.get_rules()
    base = file.revision if context.options.base is None else context.options.base
    changes = diff_rules(answer.text, file.text)
    lines = changes or (f"no change from revision {answer.revision}",)
    if base is not None and base != answer.revision:
        warning = (
            f"the file was made from revision {base}, but revision "
            f"{answer.revision} by {answer.author} ({answer.reason}) is newer"
        )
        lines = (*lines, warning)
    return VerbResult(EXIT_DONE, lines, DiffResult(answer.revision, base, changes))


def apply(context: Context) -> VerbResult:
    """Replace the rules by the text of a file."""
    name, options = context.operand, context.options
    author, reason = require_author_and_reason(context)
    file = split_header(context.read_file(name))
    base = file.revision if options.base is None else options.base
    if base is None:
        raise usage_error(
            f"{name} doesn't start with a line `# revision: N`: start from "
            "`ebonybend show`, or give --base=N"
        )
    _, errors = _file_errors(context, file)
    if errors:
        value = CheckResult(name, 0, errors)
        return VerbResult(EXIT_REFUSED, error_lines(name, errors), value)
    changes = _changes_from_base(context, base, file)
    change_id = options.change_id or context.new_change_id()
    result = submit(context, Change(file.text, base, author, reason, change_id))
    if isinstance(result, Failure):
        return refused_result(result.failure(), base, name, file.header_lines)
    verb_result = confirm_change(context, result.unwrap(), changes)
    hint = f"{name} is out of date now: run `ebonybend show` before the next change"
    return evolve(verb_result, lines=(*verb_result.lines, hint))


def _changes_from_base(context: Context, base: int, file: RulesFile) -> tuple[str, ...]:
    """Return what the file changes, or nothing if its base is not the newest."""
    answer = context.client.get_rules()
    return diff_rules(answer.text, file.text) if answer.revision == base else ()
