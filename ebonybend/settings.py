"""The daemon's settings: flags, each with an environment variable.

A flag on the command line takes precedence over the variable EBONYBEND_<FLAG>, and the
variable takes precedence over the default.
"""

import os
from collections.abc import Sequence
from ipaddress import ip_address

from absl import flags
from attrs import frozen

from ebonybend.addresses import split_address
from ebonybend.errors import ErrorKind, SteeringError, bad_setting

ENVIRONMENT_PREFIX = "EBONYBEND_"
ROLES = ("entry", "control")
LOG_LEVELS = ("debug", "info", "warning", "error")


@frozen(kw_only=True)
class Settings:
    """The validated settings of one daemon process."""

    role: str
    instance: str
    failure_domain: str
    log_level: str
    source_address: str | None
    # gRPC address on which the control serves its entry.
    control_listen: str
    public_listen: str
    public_advertise: str
    peer_listen: str
    peer_advertise: str
    exchange_listen: str
    exchange_advertise: str
    admin_listen: str
    platform_address: str
    # Exchange addresses of controls to ask until the platform's list is known.
    seeds: tuple[str, ...]
    default_deadline_ms: int
    longest_deadline_ms: int
    lookup_lifetime_ms: int
    hold_ms: int
    max_body_bytes: int
    max_connections: int
    receive_timeout_ms: int


_ADDRESS = 'an address "ip:port", for example 127.0.0.1:8080'


def define_flags(values: flags.FlagValues) -> None:
    """Define the daemon's flags."""
    common = {"flag_values": values}
    flags.DEFINE_string("role", None, "Process role: entry or control.", **common)
    flags.DEFINE_string("instance", None, "Name of this entry instance.", **common)
    flags.DEFINE_string(
        "failure_domain", None, "Failure domain of this instance.", **common
    )
    flags.DEFINE_string("log_level", "info", "Lowest level that is logged.", **common)
    flags.DEFINE_string(
        "source_address", None, "IP address for outgoing connections.", **common
    )
    flags.DEFINE_string(
        "control_listen",
        "127.0.0.1:7100",
        "Address on which the control serves its entry (gRPC).",
        **common,
    )
    flags.DEFINE_string(
        "public_listen", "127.0.0.1:8080", "Entry: address for clients.", **common
    )
    flags.DEFINE_string(
        "public_advertise",
        None,
        "Entry: address for clients as others reach it (default: public_listen).",
        **common,
    )
    flags.DEFINE_string(
        "peer_listen", "127.0.0.1:7200", "Entry: address for other entries.", **common
    )
    flags.DEFINE_string(
        "peer_advertise",
        None,
        "Entry: peer address as others reach it (default: peer_listen).",
        **common,
    )
    flags.DEFINE_string(
        "exchange_listen",
        "127.0.0.1:7300",
        "Control: address for other controls.",
        **common,
    )
    flags.DEFINE_string(
        "exchange_advertise",
        None,
        "Control: exchange address as others reach it (default: exchange_listen).",
        **common,
    )
    flags.DEFINE_string(
        "admin_listen", "127.0.0.1:7400", "Control: administration API.", **common
    )
    flags.DEFINE_string(
        "platform_address",
        "127.0.0.1:7000",
        "Control: address of the platform's object API.",
        **common,
    )
    flags.DEFINE_list(
        "seeds",
        [],
        "Control: exchange addresses of other controls to ask at the start.",
        **common,
    )
    flags.DEFINE_integer(
        "default_deadline_ms", 2000, "Deadline of a request without one.", **common
    )
    flags.DEFINE_integer(
        "longest_deadline_ms", 5000, "Longest deadline that is accepted.", **common
    )
    flags.DEFINE_integer(
        "lookup_lifetime_ms",
        5000,
        "Time for which clients may keep a lookup answer.",
        **common,
    )
    flags.DEFINE_integer(
        "hold_ms",
        2000,
        "Time after which an instance that was paused no longer uses its slots.",
        **common,
    )
    flags.DEFINE_integer("max_body_bytes", 1 << 20, "Largest request body.", **common)
    flags.DEFINE_integer(
        "max_connections", 2000, "Most connections per listening port.", **common
    )
    flags.DEFINE_integer(
        "receive_timeout_ms",
        5000,
        "Longest time to receive one request whole.",
        **common,
    )


def apply_environment(values: flags.FlagValues, environment: dict[str, str]) -> None:
    """Set flags from the environment; call before the command line is parsed."""
    for name in values:
        text = environment.get(ENVIRONMENT_PREFIX + name.upper())
        if text is None:
            continue
        try:
            values[name].parse(text)
            values[name].using_default_value = False
        except flags.IllegalFlagValueError as error:
            raise bad_setting(name, text, f"environment variable: {error}") from error


def parse_settings(
    arguments: Sequence[str], environment: dict[str, str] | None = None
) -> Settings:
    """Return validated settings; raise BAD_SETTING with flag, value and range."""
    values = flags.FlagValues()
    define_flags(values)
    apply_environment(values, dict(os.environ if environment is None else environment))
    try:
        positional = values(list(arguments))
    except flags.Error as error:
        raise SteeringError(ErrorKind.BAD_SETTING, str(error)) from error
    if len(positional) > 1:
        raise SteeringError(
            ErrorKind.BAD_SETTING,
            f"unexpected argument {positional[1]!r}: use --flag=value",
        )
    return check_settings(values)


def _check_choice(values: flags.FlagValues, name: str, allowed: Sequence[str]) -> None:
    if values[name].value not in allowed:
        raise bad_setting(name, values[name].value, f"allowed: {', '.join(allowed)}")


def _check_addresses(values: flags.FlagValues, names: Sequence[str]) -> None:
    for name in names:
        value = values[name].value
        try:
            split_address(value)
        except ValueError as error:
            raise bad_setting(name, value, f"{error}; allowed: {_ADDRESS}") from error


def _check_range(values: flags.FlagValues, name: str, low: int, high: int) -> None:
    value = values[name].value
    if not low <= value <= high:
        raise bad_setting(name, value, f"allowed: {low} to {high}")


def check_settings(values: flags.FlagValues) -> Settings:
    """Validate every flag and return the settings."""
    _check_choice(values, "role", ROLES)
    _check_choice(values, "log_level", LOG_LEVELS)
    for name in ("instance", "failure_domain"):
        if not values[name].value or "~" in values[name].value:
            raise bad_setting(name, values[name].value, "allowed: a name without ~")
    for name in ("public", "peer", "exchange"):
        if values[f"{name}_advertise"].value is None:
            values[f"{name}_advertise"].value = values[f"{name}_listen"].value
    _check_addresses(
        values,
        (
            "control_listen",
            "public_listen",
            "public_advertise",
            "peer_listen",
            "peer_advertise",
            "exchange_listen",
            "exchange_advertise",
            "admin_listen",
            "platform_address",
        ),
    )
    for seed in values["seeds"].value:
        try:
            split_address(seed)
        except ValueError as error:
            raise bad_setting("seeds", seed, f"{error}; allowed: {_ADDRESS}") from error
    source = values["source_address"].value
    if source is not None:
        try:
            ip_address(source)
        except ValueError as error:
            raise bad_setting("source_address", source, str(error)) from error
    _check_range(values, "longest_deadline_ms", 10, 60_000)
    _check_range(values, "default_deadline_ms", 1, values["longest_deadline_ms"].value)
    _check_range(values, "lookup_lifetime_ms", 100, 3_600_000)
    _check_range(values, "hold_ms", 500, 60_000)
    _check_range(values, "max_body_bytes", 1, 64 << 20)
    _check_range(values, "max_connections", 1, 100_000)
    _check_range(values, "receive_timeout_ms", 10, 600_000)
    names = [attribute.name for attribute in Settings.__attrs_attrs__]
    checked = {name: values[name].value for name in names}
    checked["seeds"] = tuple(checked["seeds"])
    return Settings(**checked)
