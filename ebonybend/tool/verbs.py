"""The verbs with their help texts."""

from collections.abc import Callable, Sequence

from absl import flags
from attrs import frozen

from ebonybend.tool.context import Context, VerbResult
from ebonybend.tool.edit_verbs import drain, pardon, undrain
from ebonybend.tool.log_verbs import trace
from ebonybend.tool.options import COMMAND_LINE_ONLY, COMMON_FLAGS
from ebonybend.tool.rules_verbs import apply, check, diff, show
from ebonybend.tool.state_verbs import history, status, where

_CHANGE_FLAGS = ("author", "why", "wait", "change_id")


@frozen
class Verb:
    """A verb (subcommand) of the tool."""

    name: str
    run: Callable[[Context], VerbResult]
    summary: str
    flags: tuple[str, ...] = ()
    # Name of the only operand, or empty.
    operand: str = ""
    detail: str = ""
    example: str = ""


_VERB_LIST = (
    Verb(
        "check",
        check,
        "Check a rules file offline.",
        ("deployment",),
        "FILE",
        "Prints each error as FILE:LINE:COLUMN. FILE may be - for standard input.",
        "ebonybend check rules.txt --deployment=deployment.json",
    ),
    Verb(
        "show",
        show,
        "Show the rules that were accepted last.",
        detail="The first line names the revision; apply reads it.",
        example="ebonybend show > rules.txt",
    ),
    Verb(
        "diff",
        diff,
        "Show what applying a file would change.",
        ("base",),
        "FILE",
        "Lines start with + (added), - (removed) or ~ (changed).",
        "ebonybend diff rules.txt",
    ),
    Verb(
        "apply",
        apply,
        "Make a file the rules and wait until they are in force.",
        (*_CHANGE_FLAGS, "base", "deployment"),
        "FILE",
        "Refused as a conflict if another change was accepted after the file's\n"
        "revision. Says which instances have the new revision in force.",
        'ebonybend apply rules.txt --author="Ben" --why="patch Kingston"',
    ),
    Verb(
        "status",
        status,
        "Show instances, backend servers, shifts and suspects.",
        detail="The exit status is 1 if the rules are not in force everywhere.",
        example="ebonybend status --json",
    ),
    Verb(
        "drain",
        drain,
        "Take an instance or a backend server out of use.",
        (*_CHANGE_FLAGS, "until", "instance", "backend"),
        "NAME",
        "Adds a drain rule. Requests in flight are finished.",
        'ebonybend drain kingston-1-a --author="Ben" --why="kernel" --until=2h',
    ),
    Verb(
        "undrain",
        undrain,
        "Take an instance or a backend server back into use.",
        (*_CHANGE_FLAGS, "instance", "backend"),
        "NAME",
        "Removes the drain rule.",
        'ebonybend undrain kingston-1-a --author="Ben" --why="kernel is done"',
    ),
    Verb(
        "pardon",
        pardon,
        "Allow a request that was refused for crashing backend servers.",
        (*_CHANGE_FLAGS, "until"),
        "FINGERPRINT",
        "Adds a pardon rule. The start of a fingerprint that status lists is enough.",
        'ebonybend pardon 0123abcd --author="Ben" --why="fixed" --until=2h',
    ),
    Verb(
        "history",
        history,
        "Show recorded changes and events, newest first.",
        ("limit",),
        example="ebonybend history --limit=50",
    ),
    Verb(
        "where",
        where,
        "Explain where a look-up or a request goes, and why.",
        ("client", "service", "method"),
        example="ebonybend where --client=192.0.2.7 --service=ride-history",
    ),
    Verb(
        "trace",
        trace,
        "Show what nodes logged about one request, and what explains it.",
        ("request",),
        "FILE",
        "Reads the logs of any number of nodes; FILE may be - for standard input.\n"
        "The exit status is 1 if no line is about the request.",
        "cat *.log | ebonybend trace - --request=507cdc09a6bc31b0",
    ),
)
VERBS = {verb.name: verb for verb in _VERB_LIST}


def general_help(values: flags.FlagValues) -> str:
    """Return the help for the whole tool."""
    lines = [
        "ebonybend: read and change the rules of the steering system, see its state",
        "",
        "usage: ebonybend VERB [OPERAND] [--FLAG=VALUE ...]",
        "       ebonybend VERB --help",
        "",
        "verbs:",
        *(
            _help_row(f"{verb.name} {verb.operand}", verb.summary)
            for verb in _VERB_LIST
        ),
        "",
        "flags of every verb:",
        *_flag_lines(values, COMMON_FLAGS),
        "",
        *_HELP_FOOTER,
    ]
    return "\n".join(lines)


def verb_help(verb: Verb, values: flags.FlagValues) -> str:
    """Return the help for one verb."""
    usage = f"usage: ebonybend {verb.name} {verb.operand}".rstrip()
    lines = [f"{usage} [--FLAG=VALUE ...]", "", verb.summary]
    lines += [verb.detail] if verb.detail else []
    lines += ["", "flags:", *_flag_lines(values, allowed_flags(verb))]
    lines += ["", "example:", f"  {verb.example}", "", *_HELP_FOOTER]
    return "\n".join(lines)


def allowed_flags(verb: Verb) -> tuple[str, ...]:
    """Return the names of the flags that a verb accepts."""
    return (*verb.flags, *COMMON_FLAGS)


_HELP_FOOTER = (
    "Each flag can be set by an environment variable EBONYBEND_<FLAG>, except",
    f"{', '.join(f'--{name}' for name in COMMAND_LINE_ONLY)}. The command line goes "
    "before the environment.",
    "",
    "exit status: 0 done; 1 refused, conflict or not in force; 2 wrong usage, no",
    "control reachable or outcome unknown",
)


def _help_row(left: str, right: str) -> str:
    return f"  {left.strip():<20}{right}"


def _flag_lines(values: flags.FlagValues, names: Sequence[str]) -> list[str]:
    lines = []
    for name in names:
        flag = values[name]
        left = f"--{name}" if flag.boolean else f"--{name}=..."
        default = _format_default(flag)
        text = f"{flag.help} (default: {default})" if default else flag.help
        lines.append(_help_row(left, text))
    return lines


def _format_default(flag: flags.Flag) -> str:
    if flag.boolean or flag.default is None:
        return ""
    if isinstance(flag.default, list):
        return ",".join(flag.default)
    return f"{flag.default:g}" if isinstance(flag.default, float) else str(flag.default)
