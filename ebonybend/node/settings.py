"""What a node learns from its machine at the start and at each reload."""

from collections.abc import Mapping

from attrs import field, frozen


@frozen(kw_only=True)
class SharedBounds:
    """Bounds that hold over all nodes together."""

    # Repeated sends to a service in a window: ratio x first sends + slack.
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    # Rate of a cold server: its stated rate x factor + slack.
    cold_factor: float = 1.0
    cold_slack: float = 0.0
    # Longest lifetime of a directory answer.
    max_lookup_s: float = 5.0
    # Time from SIGTERM to SIGKILL.
    grace_s: float = 6.0
    # Time after which the users' promises hold again for a machine.
    settle_s: float = 4.0
    # Share of a region's requests that may change region between two windows of 2 s.
    max_shift: float = 0.15


@frozen(kw_only=True)
class NodeSettings:
    """The checked settings of one node."""

    name: str
    failure_domain: str
    region: str
    ip: str
    callers_address: str
    ready_address: str
    directory_address: str
    # First port that is free for traffic between nodes.
    peer_port: int
    store_address: str
    # Calls per second that all nodes together may make.
    store_reads_per_s: float = 100.0
    store_writes_per_s: float = 10.0
    # Region of each failure domain.
    regions: Mapping[str, str] = field(factory=dict)
    bounds: SharedBounds = SharedBounds()
    memory_mb: int = 256
    max_descriptors: int = 1024
