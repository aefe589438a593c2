"""Read the settings file that the platform writes for each process."""

import os
from collections.abc import Mapping
from pathlib import Path
from tomllib import TOMLDecodeError, loads
from typing import Any

from attrs import fields, frozen

from ebonybend.addresses import split_address
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.node.settings import NodeSettings, SharedBounds

PATH_VARIABLE = "EBONYBEND_NODE_FILE"
MS_PER_S = 1000.0
MAX_PORT = 65535
# No setting is larger, in its own unit.
MAX_NUMBER = 1e12
# Settings that have to be above 0.
POSITIVE = frozenset(
    {
        "HeartbeatMs",
        "Platform.HistoryS",
        "Limits.MemoryMb",
        "Limits.MaxFds",
        "Bounds: BudgetWindowS",
    }
)
# Setting and unit of each bound, by its name.
BOUNDS = {
    "BudgetRatio": ("retry_ratio", 1.0),
    "BudgetWindowS": ("retry_window_s", 1.0),
    "BudgetSlack": ("retry_slack", 1.0),
    "WarmupFactor": ("cold_factor", 1.0),
    "WarmupSlack": ("cold_slack", 1.0),
    "ttl_max_s": ("max_lookup_s", 1.0),
    "GraceS": ("grace_s", 1.0),
    "ContactMs": ("settle_s", MS_PER_S),
    "ShiftMax": ("max_shift", 1.0),
}


def settings_path() -> Path:
    """Return the path of the settings file; raise BAD_SETTING if it is not set."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SteeringError(ErrorKind.BAD_SETTING, f"{PATH_VARIABLE} is not set")
    return Path(path)


def read_settings(path: Path) -> NodeSettings:
    """Return the settings; raise BAD_SETTING naming the file and the field."""
    try:
        return decode_settings(loads(path.read_text("utf-8")))
    except (OSError, TOMLDecodeError, ValueError, RecursionError) as error:
        raise SteeringError(ErrorKind.BAD_SETTING, f"{path}: {error}") from error


def decode_settings(values: Mapping[str, Any]) -> NodeSettings:
    """Return the settings in a decoded file.

    Raises ValueError naming a field that is missing or can't be used.
    """
    file = _Table(values)
    listen = file.table("Listen")
    store = file.table("Platform")
    limits = file.table("Limits", {})
    zones = file.table("Zones", {})
    default = {setting.name: setting.default for setting in fields(NodeSettings)}
    return NodeSettings(
        name=file.text("NodeName"),
        failure_domain=file.text("Zone"),
        region=file.text("Region"),
        ip=file.text("Ip"),
        callers_address=listen.address("Front"),
        ready_address=listen.address("Ready"),
        directory_address=listen.address("Directory"),
        peer_port=_first_port(file.value("InternalPorts")),
        # May be a name, which is looked up at each connection.
        store_address=store.text("Addr"),
        store_reads_per_s=store.number("ReadsPerS", default["store_reads_per_s"]),
        store_writes_per_s=store.number("WritesPerS", default["store_writes_per_s"]),
        report_period_s=file.number(
            "HeartbeatMs", default["report_period_s"], MS_PER_S
        ),
        store_history_s=store.number("HistoryS", default["store_history_s"]),
        regions={zone: zones.text(zone) for zone in zones.values},
        bounds=decode_bounds(file.value("Bounds", [])),
        memory_mb=int(limits.number("MemoryMb", default["memory_mb"])),
        link_mbps=limits.number("LinkMbps", default["link_mbps"]),
        max_descriptors=int(limits.number("MaxFds", default["max_descriptors"])),
    )


def decode_bounds(texts: Any) -> SharedBounds:
    """Return the bounds in texts such as "GraceS=6"; ignore unknown ones."""
    if isinstance(texts, str):
        texts = [text.strip() for text in texts.split(",")]
    if not isinstance(texts, list):
        raise ValueError(f"Bounds: {texts!r} is no list")
    found = {}
    for text in texts:
        if not isinstance(text, str):
            continue
        name, _, value = text.partition("=")
        if name in BOUNDS:
            setting, unit = BOUNDS[name]
            found[setting] = _as_number(f"Bounds: {name}", value, unit)
    return SharedBounds(**found)


@frozen
class _Table:
    """A table of the settings file, whose errors name the field."""

    values: Mapping[str, Any]
    # Name of the table, with a separator; empty for the whole file.
    prefix: str = ""

    def value(self, name: str, default: Any = None) -> Any:
        """Return a field; raise ValueError if it is missing and has no default."""
        found = self.values.get(name, default)
        if found is None:
            raise ValueError(f"the field {self.prefix + name!r} is missing")
        return found

    def table(self, name: str, default: Mapping[str, Any] | None = None) -> "_Table":
        """Return a table in this one."""
        found = self.value(name, default)
        if not isinstance(found, Mapping):
            raise ValueError(f"{self.prefix}{name}: {found!r} is no table")
        return _Table(found, f"{self.prefix}{name}.")

    def text(self, name: str) -> str:
        """Return a text that isn't empty."""
        found = self.value(name)
        if not isinstance(found, str) or not found:
            raise ValueError(f"{self.prefix}{name}: {found!r} is no text")
        return found

    def address(self, name: str) -> str:
        """Return an IP address with a port."""
        found = self.text(name)
        try:
            split_address(found)
        except ValueError as error:
            message = f"{self.prefix}{name}: {found!r} is no address: {error}"
            raise ValueError(message) from error
        return found

    def number(self, name: str, default: float, unit: float = 1.0) -> float:
        """Return a number in a larger unit."""
        if name not in self.values:
            return default
        found = self.values[name]
        label = f"{self.prefix}{name}"
        if not isinstance(found, int | float) or isinstance(found, bool):
            raise ValueError(f"{label}: {found!r} is no number")
        return _as_number(label, found, unit)


def _as_number(label: str, value: Any, unit: float) -> float:
    """Return a value in a larger unit; raise ValueError if it is out of range."""
    try:
        number = float(value) / unit
    except (ValueError, OverflowError) as error:
        raise ValueError(f"{label}: {value!r} is no number") from error
    if not 0.0 <= number <= MAX_NUMBER:
        raise ValueError(f"{label}: {value!r} is not in 0..{MAX_NUMBER:.0f}")
    if number == 0.0 and label in POSITIVE:
        raise ValueError(f"{label}: it has to be above 0")
    return number


def _first_port(ports: Any) -> int:
    """Return the first of two or more ports for other nodes."""
    is_range = isinstance(ports, list) and len(ports) == 2
    if not is_range or any(type(port) is not int for port in ports):
        raise ValueError(f"InternalPorts: {ports!r} is no first and last port")
    first, last = ports
    if not 1 <= first < last <= MAX_PORT:
        raise ValueError(f"InternalPorts: {ports!r}: a node needs two ports")
    return first
