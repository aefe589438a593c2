"""The tool's flags, each with an environment variable EBONYBEND_<FLAG>."""

import re
from collections.abc import Mapping, Sequence

from absl import flags
from attrs import frozen

from ebonybend.addresses import split_address
from ebonybend.errors import ErrorKind, SteeringError, bad_setting
from ebonybend.settings import apply_environment

# Read from the command line only: in a daemon's environment, EBONYBEND_INSTANCE is the
# name of the daemon's own instance.
COMMAND_LINE_ONLY = ("instance", "backend", "help")
COMMON_FLAGS = ("admin", "json", "timeout_ms", "help")
_CHANGE_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")


@frozen(kw_only=True)
class Options:
    """The validated options of one run."""

    verb: str | None
    operands: tuple[str, ...]
    # Names of the flags given on the command line.
    given_flags: frozenset[str]
    admin: tuple[str, ...]
    json: bool
    help: bool
    timeout_ms: int
    author: str | None
    why: str | None
    until: str | None
    base: int | None
    change_id: str | None
    wait: float
    deployment: str | None
    instance: bool
    backend: bool
    client: str | None
    service: str | None
    method: str | None
    limit: int
    request: str | None


def usage_error(message: str) -> SteeringError:
    """Return the error for a wrong command line."""
    return SteeringError(ErrorKind.BAD_SETTING, message)


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of all verbs."""
    flag_kwargs = {"flag_values": values}
    _define_common_flags(flag_kwargs)
    flags.DEFINE_string("author", None, "Who asks for the change.", **flag_kwargs)
    flags.DEFINE_string("why", None, "Reason of the change.", **flag_kwargs)
    flags.DEFINE_string(
        "until",
        None,
        "End of the rule: a UTC time such as 2026-12-31T00:00:00Z, or a time from "
        "now such as 30m, 2h or 3d.",
        **flag_kwargs,
    )
    flags.DEFINE_integer(
        "base",
        None,
        "Revision that the file was made from (default: its first line).",
        **flag_kwargs,
    )
    flags.DEFINE_string(
        "change_id",
        None,
        "Id of an earlier try of the same change whose outcome is unknown.",
        **flag_kwargs,
    )
    flags.DEFINE_float(
        "wait",
        10.0,
        "Seconds to wait until the change is in force everywhere.",
        **flag_kwargs,
    )
    flags.DEFINE_string(
        "deployment",
        None,
        "JSON file of the deployment to check against.",
        **flag_kwargs,
    )
    flags.DEFINE_boolean("instance", False, "NAME is an entry instance.", **flag_kwargs)
    flags.DEFINE_boolean("backend", False, "NAME is a backend server.", **flag_kwargs)
    flags.DEFINE_string("client", None, "IP address of a caller.", **flag_kwargs)
    flags.DEFINE_string("service", None, "Name of a service.", **flag_kwargs)
    flags.DEFINE_string("method", None, "HTTP method (default: GET).", **flag_kwargs)
    flags.DEFINE_integer("limit", 20, "Number of entries to show.", **flag_kwargs)
    flags.DEFINE_string("request", None, "Id of a request.", **flag_kwargs)


def _define_common_flags(flag_kwargs: dict[str, flags.FlagValues]) -> None:
    flags.DEFINE_list(
        "admin",
        ["127.0.0.1:7400"],
        "Addresses of administration APIs; the next is tried when one can't be "
        "reached.",
        **flag_kwargs,
    )
    flags.DEFINE_boolean("json", False, "Write JSON for programs.", **flag_kwargs)
    flags.DEFINE_boolean("help", False, "Show help and exit.", **flag_kwargs)
    flags.DEFINE_integer(
        "timeout_ms", 5000, "Longest time for one answer of a control.", **flag_kwargs
    )


def parse_options(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> tuple[Options, flags.FlagValues]:
    """Return validated options and their flags; raise BAD_SETTING if one is invalid."""
    values = flags.FlagValues()
    define_flags(values)
    values.set_gnu_getopt(True)
    ignored = {f"EBONYBEND_{name.upper()}" for name in COMMAND_LINE_ONLY}
    apply_environment(
        values, {k: v for k, v in environment.items() if k not in ignored}
    )
    # Flags from the environment do not count as given.
    for name in values:
        values[name].present = 0
    try:
        positional = values(["ebonybend", *arguments])[1:]
    except flags.Error as error:
        raise usage_error(str(error)) from error
    _check_values(values)
    given_flags = frozenset(name for name in values if values[name].present)
    option_values = {name: values[name].value for name in values}
    option_values["admin"] = tuple(option_values["admin"])
    verb = positional[0] if positional else None
    options = Options(
        verb=verb,
        operands=tuple(positional[1:]),
        given_flags=given_flags,
        **option_values,
    )
    return options, values


def _check_values(values: flags.FlagValues) -> None:
    if not values["admin"].value:
        raise bad_setting("admin", "", "give at least one address")
    for address in values["admin"].value:
        try:
            split_address(address)
        except ValueError as error:
            raise bad_setting("admin", address, f'{error}; use "ip:port"') from error
    _check_range(values, "timeout_ms", 10, 600_000)
    _check_range(values, "wait", 0, 3600)
    _check_range(values, "limit", 1, 10_000)
    change_id = values["change_id"].value
    if change_id is not None and not _CHANGE_ID.fullmatch(change_id):
        raise bad_setting("change_id", change_id, "use the id that the tool printed")
    if values["instance"].value and values["backend"].value:
        raise usage_error("--instance and --backend exclude each other")


def _check_range(values: flags.FlagValues, name: str, low: int, high: int) -> None:
    value = values[name].value
    if not low <= value <= high:
        raise bad_setting(name, value, f"allowed: {low} to {high}")
