"""Settings of a node, read at the start and at each reload."""

from collections.abc import Mapping

from attrs import field, fields, frozen


@frozen(kw_only=True)
class SharedBounds:
    """Limits that hold for all nodes together."""

    # Retry budget of a service in a window: ratio x first sends + slack.
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    # Rate limit of a cold server: its stated rate x factor + slack.
    cold_factor: float = 1.0
    cold_slack: float = 0.0
    # Longest time for which clients may cache a directory answer.
    max_lookup_s: float = 5.0
    # Time from SIGTERM to SIGKILL.
    grace_s: float = 6.0
    # Time of contact with the store after which a node must be up to date.
    settle_s: float = 4.0
    # Largest share of a region's requests that may move to other regions from one
    # window of 2 s to the next.
    max_shift: float = 0.15


# Metadata of settings that are used only at the start.
AT_START = {"at_start": True}


@frozen(kw_only=True)
class NodeSettings:
    """The validated settings of one node."""

    name: str = field(metadata=AT_START)
    failure_domain: str = field(metadata=AT_START)
    region: str = field(metadata=AT_START)
    ip: str = field(metadata=AT_START)
    callers_address: str = field(metadata=AT_START)
    ready_address: str = field(metadata=AT_START)
    directory_address: str = field(metadata=AT_START)
    # First of the ports that are reserved for traffic between nodes.
    peer_port: int = field(metadata=AT_START)
    store_address: str = field(metadata=AT_START)
    # Calls per second that all nodes together may make.
    store_reads_per_s: float = 100.0
    store_writes_per_s: float = 10.0
    # Time between two reports of a server, whose entry expires after three of them.
    report_period_s: float = 1.5
    # Time for which the store retains changes.
    store_history_s: float = 20.0
    # Region of each failure domain.
    regions: Mapping[str, str] = field(factory=dict)
    bounds: SharedBounds = SharedBounds()
    memory_mb: int = 256
    # Rate of the machine's link; 0 if unknown.
    link_mbps: float = field(default=0.0, metadata=AT_START)
    max_descriptors: int = 1024


def changed_at_start(before: NodeSettings, after: NodeSettings) -> list[str]:
    """Return the changed settings that have no effect before a restart."""
    return [
        setting.name
        for setting in fields(NodeSettings)
        if setting.metadata == AT_START
        and getattr(before, setting.name) != getattr(after, setting.name)
    ]
