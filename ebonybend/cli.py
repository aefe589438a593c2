"""The command-line tool `ebonybend`."""

import os
import sys
from collections.abc import Mapping, Sequence
from io import TextIOWrapper
from time import sleep
from uuid import uuid4

from absl.flags import FlagValues
from attrs import frozen

from ebonybend.clock import SystemClock
from ebonybend.codec import to_json
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.tool import VERBS, AdminClient, Context, Options, Verb, parse_options
from ebonybend.tool.context import EXIT_DONE, EXIT_REFUSED, EXIT_UNREACHABLE_OR_USAGE
from ebonybend.tool.files import read_text
from ebonybend.tool.options import usage_error
from ebonybend.tool.verbs import allowed_flags, general_help, verb_help

_REFUSED_KINDS = frozenset(
    {
        ErrorKind.BAD_REQUEST,
        ErrorKind.CONFLICT,
        ErrorKind.CONFIRMATION_TIMEOUT,
        ErrorKind.INVALID_RULES,
        ErrorKind.UNKNOWN_SERVICE,
    }
)


@frozen
class ErrorReport:
    """An error as JSON, for programs that run the tool."""

    kind: str
    message: str
    advice: str


def main(
    arguments: Sequence[str] | None = None,
    environment: Mapping[str, str] | None = None,
) -> int:
    """Run the tool and return its exit status."""
    command_line = sys.argv[1:] if arguments is None else arguments
    variables = os.environ if environment is None else environment
    _write_utf8()
    try:
        options, values = parse_options(command_line, variables)
    except SteeringError as error:
        return _print_error(error, "--json" in command_line)
    try:
        return _run(options, values)
    except SteeringError as error:
        return _print_error(error, options.json)
    except BrokenPipeError:
        # The reader, for example `head`, has closed the pipe.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_DONE
    except KeyboardInterrupt:
        return EXIT_UNREACHABLE_OR_USAGE


def _write_utf8() -> None:
    """Write UTF-8 in any locale, because `check` and `apply` read UTF-8."""
    for stream in (sys.stdout, sys.stderr):
        if isinstance(stream, TextIOWrapper):
            stream.reconfigure(encoding="utf-8", errors="backslashreplace")


def _run(options: Options, values: FlagValues) -> int:
    if options.verb is None and options.help:
        print(general_help(values))
        return EXIT_DONE
    verb = _find_verb(options)
    if options.help:
        print(verb_help(verb, values))
        return EXIT_DONE
    _check_usage(verb, options)
    result = verb.run(_new_context(options))
    if options.json:
        print(to_json(result.value).decode())
    else:
        print("\n".join(result.lines))
    sys.stdout.flush()
    return result.exit_status


def _find_verb(options: Options) -> Verb:
    if options.verb is None:
        raise usage_error(f"give a verb: {', '.join(VERBS)}; or --help")
    verb = VERBS.get(options.verb)
    if verb is None:
        raise usage_error(f"unknown verb {options.verb!r}: {', '.join(VERBS)}")
    return verb


def _check_usage(verb: Verb, options: Options) -> None:
    expected = 1 if verb.operand else 0
    if len(options.operands) != expected:
        usage = f"usage: ebonybend {verb.name} {verb.operand}".rstrip()
        raise usage_error(f"{usage}; see ebonybend {verb.name} --help")
    for name in sorted(options.given_flags - set(allowed_flags(verb))):
        raise usage_error(f"{verb.name} has no flag --{name}")


def _new_context(options: Options) -> Context:
    def report_progress(line: str) -> None:
        if not options.json:
            print(line, file=sys.stderr)

    return Context(
        options=options,
        client=AdminClient(options.admin, options.timeout_ms / 1000),
        clock=SystemClock(),
        sleep=sleep,
        new_change_id=lambda: uuid4().hex,
        report_progress=report_progress,
        read_file=read_text,
    )


def _print_error(error: SteeringError, as_json: bool) -> int:
    """Print an error and return the exit status for its kind."""
    if as_json:
        report = ErrorReport(error.kind.value, error.message, error.answer.advice)
        print(to_json(report).decode())
    else:
        print(f"ebonybend: {error.kind.value}: {error.message}", file=sys.stderr)
    return EXIT_REFUSED if error.kind in _REFUSED_KINDS else EXIT_UNREACHABLE_OR_USAGE


if __name__ == "__main__":
    sys.exit(main())
