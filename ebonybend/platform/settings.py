"""Read the settings file that the platform writes for each process."""

import os
from pathlib import Path
from tomllib import TOMLDecodeError, loads
from typing import Any

from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.node.settings import NodeSettings, SharedBounds

PATH_VARIABLE = "EBONYBEND_NODE_FILE"
MS_PER_S = 1000.0


def settings_path() -> Path:
    """Return the path of the settings file; raise BAD_SETTING if it is not set."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SteeringError(ErrorKind.BAD_SETTING, f"{PATH_VARIABLE} is not set")
    return Path(path)


def read_settings(path: Path) -> NodeSettings:
    """Return the settings; raise BAD_SETTING naming the file and the field."""
    try:
        return decode_settings(loads(path.read_text()))
    except (OSError, TOMLDecodeError) as error:
        raise SteeringError(ErrorKind.BAD_SETTING, f"{path}: {error}") from error
    except KeyError as error:
        message = f"{path}: the field {error} is missing"
        raise SteeringError(ErrorKind.BAD_SETTING, message) from error
    except (TypeError, ValueError, IndexError) as error:
        raise SteeringError(ErrorKind.BAD_SETTING, f"{path}: {error}") from error


def decode_settings(fields: dict[str, Any]) -> NodeSettings:
    """Return the settings in a decoded file."""
    listen = fields["Listen"]
    store = fields["Platform"]
    limits = fields.get("Limits", {})
    first_port, last_port = map(int, fields["InternalPorts"])
    if last_port <= first_port:
        raise ValueError("InternalPorts: a node needs two ports for other nodes")
    return NodeSettings(
        name=fields["NodeName"],
        failure_domain=fields["Zone"],
        region=fields["Region"],
        ip=fields["Ip"],
        callers_address=listen["Front"],
        ready_address=listen["Ready"],
        directory_address=listen["Directory"],
        peer_port=first_port,
        store_address=store["Addr"],
        store_reads_per_s=float(store.get("ReadsPerS", 100)),
        store_writes_per_s=float(store.get("WritesPerS", 10)),
        report_period_s=float(fields.get("HeartbeatMs", 1500)) / MS_PER_S,
        store_history_s=float(store.get("HistoryS", 20)),
        regions=dict(fields.get("Zones", {})),
        bounds=decode_bounds(fields.get("Bounds", [])),
        memory_mb=int(limits.get("MemoryMb", 256)),
        link_mbps=float(limits.get("LinkMbps", 0)),
        max_descriptors=int(limits.get("MaxFds", 1024)),
    )


def decode_bounds(texts: list[str]) -> SharedBounds:
    """Return the bounds in a list of texts such as "GraceS=6"."""
    values = dict(text.split("=", 1) for text in texts)
    default = SharedBounds()

    def number(name: str, fallback: float, unit: float = 1.0) -> float:
        return float(values[name]) / unit if name in values else fallback

    return SharedBounds(
        retry_ratio=number("BudgetRatio", default.retry_ratio),
        retry_window_s=number("BudgetWindowS", default.retry_window_s),
        retry_slack=number("BudgetSlack", default.retry_slack),
        cold_factor=number("WarmupFactor", default.cold_factor),
        cold_slack=number("WarmupSlack", default.cold_slack),
        max_lookup_s=number("ttl_max_s", default.max_lookup_s),
        grace_s=number("GraceS", default.grace_s),
        settle_s=number("ContactMs", default.settle_s, MS_PER_S),
        max_shift=number("ShiftMax", default.max_shift),
    )
