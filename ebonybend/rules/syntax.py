"""The arguments of each kind of rule and the text form of their values."""

import re
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any
from unicodedata import normalize

from attrs import frozen

from ebonybend.rules.model import RULE_KINDS, DrainRule, RuleBody

# Fixed resolutions, so that writing and reading a value returns the same value.
WEIGHT_STEPS = 10_000
SHARE_STEPS = 10_000
MAX_RATE = 1_000_000_000
MAX_NAME_LENGTH = 128

_NAME = re.compile(r"\w[\w.-]*")
_WEIGHT = re.compile(r"[0-9](\.[0-9]{1,4})?", re.ASCII)
_SHARE = re.compile(r"[0-9]{1,3}(\.[0-9]{1,2})?%", re.ASCII)
_RATE = re.compile(r"([0-9]{1,10})/s", re.ASCII)
_METHOD = re.compile(r"[A-Z]{1,16}", re.ASCII)
_FINGERPRINT = re.compile(r"[0-9a-f]{32}", re.ASCII)
_TIME = re.compile(r"[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9]{2}:[0-9]{2}:[0-9]{2}Z", re.ASCII)
_TIME_FORMAT = "%Y-%m-%dT%H:%M:%SZ"


def read_name(text: str) -> str:
    """Return a name in Unicode's composed form; raise ValueError if it's invalid."""
    # Editors write "á" as one or as two code points; names are compared as one.
    name = normalize("NFC", text)
    if not _NAME.fullmatch(name) or len(name) > MAX_NAME_LENGTH:
        raise ValueError('expected a name of letters, digits, ".", "_" and "-"')
    return name


def read_weight(text: str) -> float:
    """Return a weight; raise ValueError if it's invalid."""
    steps = _to_steps(text, WEIGHT_STEPS) if _WEIGHT.fullmatch(text) else -1
    if not 0 <= steps <= WEIGHT_STEPS:
        raise ValueError("expected a number from 0 to 1 with at most 4 decimals")
    return steps / WEIGHT_STEPS


def read_share(text: str) -> float:
    """Return a percentage as a fraction; raise ValueError if it's invalid."""
    steps = _to_steps(text[:-1], 100) if _SHARE.fullmatch(text) else 0
    if not 0 < steps <= SHARE_STEPS:
        raise ValueError("expected a share above 0% and up to 100%, for example 30%")
    return steps / SHARE_STEPS


def read_rate(text: str) -> int:
    """Return requests per second; raise ValueError if it's invalid."""
    match = _RATE.fullmatch(text)
    if match is None or int(match[1]) > MAX_RATE:
        raise ValueError("expected a whole number per second, for example 20/s")
    return int(match[1])


def read_path(text: str) -> str:
    """Return a path prefix; raise ValueError if it's invalid."""
    if not text.startswith("/") or not text.isascii():
        raise ValueError('expected a path in ASCII that starts with "/"')
    return text


def read_method(text: str) -> str:
    """Return an HTTP method; raise ValueError if it's invalid."""
    if not _METHOD.fullmatch(text):
        raise ValueError("expected an HTTP method in capitals, for example GET")
    return text


def read_fingerprint(text: str) -> str:
    """Return a request fingerprint; raise ValueError if it's invalid."""
    if not _FINGERPRINT.fullmatch(text):
        raise ValueError("expected 32 hexadecimal digits in lower case")
    return text


def read_time(text: str) -> float:
    """Return a time in seconds since the epoch; raise ValueError if it's invalid."""
    problem = "expected a time in UTC, for example 2026-12-31T00:00:00Z"
    if not _TIME.fullmatch(text):
        raise ValueError(problem)
    try:
        moment = datetime.strptime(text, _TIME_FORMAT).replace(tzinfo=UTC)
    except ValueError:
        raise ValueError(problem) from None
    return moment.timestamp()


def write_time(seconds: float) -> str:
    """Return the text form of a time in seconds since the epoch."""
    moment = datetime.fromtimestamp(int(seconds), UTC)
    # strftime doesn't pad years below 1000.
    return moment.replace(tzinfo=None).isoformat(timespec="seconds") + "Z"


def _to_steps(text: str, steps_per_unit: int) -> int:
    """Return a decimal number in steps; its format was checked before."""
    return round(float(text) * steps_per_unit)


def _format_steps(steps: int, steps_per_unit: int) -> str:
    digits = len(str(steps_per_unit)) - 1
    whole, part = divmod(steps, steps_per_unit)
    return f"{whole}.{part:0{digits}d}".rstrip("0").rstrip(".")


def _write_weight(value: float) -> str:
    return _format_steps(round(value * WEIGHT_STEPS), WEIGHT_STEPS)


def _write_share(value: float) -> str:
    return _format_steps(round(value * SHARE_STEPS), 100) + "%"


def _write_rate(value: int) -> str:
    return f"{value}/s"


@frozen
class Argument:
    """One argument of a kind of rule."""

    key: str
    attribute: str
    read: Callable[[str], Any]
    write: Callable[[Any], str] = str
    required: bool = True
    # Whether the argument identifies what the rule applies to. Two rules of a kind that
    # agree in all identifying arguments contradict each other.
    identifies: bool = True


ARGUMENTS: dict[str, tuple[Argument, ...]] = {
    "weights": (
        Argument("service", "service", read_name),
        Argument("latency", "latency", read_weight, _write_weight, identifies=False),
        Argument("headroom", "headroom", read_weight, _write_weight, identifies=False),
    ),
    "shift": (
        Argument("service", "service", read_name),
        Argument("from", "source", read_name),
        Argument("to", "target", read_name),
        Argument("share", "share", read_share, _write_share, identifies=False),
        Argument("cap", "cap_per_second", read_rate, _write_rate, identifies=False),
    ),
    "cap": (
        Argument("service", "service", read_name, required=False),
        Argument("from", "source", read_name),
        Argument("to", "target", read_name),
        Argument("rate", "cap_per_second", read_rate, _write_rate, identifies=False),
    ),
    "refuse": (
        Argument("service", "service", read_name),
        Argument("path", "path", read_path, required=False),
        Argument("method", "method", read_method, required=False),
    ),
    "drain": (
        Argument("instance", "instance", read_name, required=False),
        Argument("backend", "backend", read_name, required=False),
    ),
    "pardon": (Argument("fingerprint", "fingerprint", read_fingerprint),),
}
UNTIL = Argument(
    "until", "until", read_time, write_time, required=False, identifies=False
)
_KIND_NAMES = {body_class: kind for kind, body_class in RULE_KINDS.items()}


def kind_of(body: RuleBody) -> str:
    """Return the keyword that starts a rule."""
    return _KIND_NAMES[type(body)]


def build_body(kind: str, values: dict[str, Any]) -> RuleBody:
    """Return a rule's body; raise ValueError if its arguments are inconsistent."""
    if kind == "drain":
        if len(values) != 1:
            raise ValueError("drain needs one of instance= and backend=")
        target_kind, name = next(iter(values.items()))
        return DrainRule(target_kind=target_kind, name=name)
    if kind == "weights" and not values["latency"] + values["headroom"]:
        raise ValueError("latency and headroom can't both be 0")
    if kind in ("shift", "cap") and values["source"] == values["target"]:
        raise ValueError("from and to name the same region")
    return RULE_KINDS[kind](**values)


def _argument_value(body: RuleBody, attribute: str) -> Any:
    if isinstance(body, DrainRule):
        return body.name if body.target_kind == attribute else None
    return getattr(body, attribute)


def _rule_words(body: RuleBody, only_identifying: bool) -> list[str]:
    words = [kind_of(body)]
    for argument in ARGUMENTS[words[0]]:
        value = _argument_value(body, argument.attribute)
        if value is None or (only_identifying and not argument.identifies):
            continue
        words.append(f"{argument.key}={argument.write(value)}")
    return words


def canonical_text(body: RuleBody, until: float | None = None) -> str:
    """Return the canonical text form of a rule, without its comment."""
    words = _rule_words(body, only_identifying=False)
    if until is not None:
        words.append(f"until={write_time(until)}")
    return " ".join(words)


def rule_key(body: RuleBody) -> str:
    """Return the kind and identifying arguments of a rule, without numbers and end."""
    return " ".join(_rule_words(body, only_identifying=True))
