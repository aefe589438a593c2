"""The routing table that a control process hands to its entry process."""

from attrs import field, frozen

from ebonybend.steering.suspects import SuspectView
from ebonybend.world import Deployment, LifeState, ServerState


@frozen
class ServerView:
    """A backend server of the own failure domain as its control sees it."""

    name: str
    service: str
    address: str
    slots: int
    connections: int
    state: ServerState
    # Load that the server itself reported; it may lag or mislead.
    reported_in_flight: int = 0
    reported_age_ms: float = 0.0


@frozen
class InstanceView:
    """An entry instance as the peer exchange last described it."""

    name: str
    incarnation: int
    failure_domain: str
    # Address that callers use, "ip:port".
    public_address: str
    # Address of the entry's peer port, "ip:port".
    peer_address: str
    control_address: str
    state: LifeState
    # Ready to serve callers: its entry process reported within the last seconds.
    ready: bool
    key_epoch: int
    rules_revision: int
    age_ms: float = 0.0
    # Whether the platform's list has it as live; evidence for slot takeover.
    listed: bool = True


@frozen
class ServiceLoad:
    """A service's load in a failure domain or on one entry."""

    service: str
    slots: int
    in_flight: int
    latency_ms: float


@frozen
class DomainView:
    """A failure domain's last known capacity."""

    name: str
    region: str
    services: tuple[ServiceLoad, ...]
    age_ms: float


@frozen
class Table:
    """Everything that an entry process decides with."""

    # Grows with each table that a control process builds.
    serial: int
    control_incarnation: int
    rules_revision: int
    rules_text: str
    deployment: Deployment
    failure_domain: str
    servers: tuple[ServerView, ...] = ()
    instances: tuple[InstanceView, ...] = ()
    domains: tuple[DomainView, ...] = ()
    suspects: tuple[SuspectView, ...] = ()
    client_map_version: int = 0


@frozen
class ServerLoad:
    """An entry's own view of one backend server."""

    server: str
    in_flight: int
    limit: int
    latency_ms: float
    failing: bool = False
    # An answer of the server said that it is leaving.
    draining: bool = False


@frozen
class ShiftUsage:
    """What one entry sent under a shift or cap in the last window."""

    rule_text: str
    sent: int
    units: int


@frozen
class EntryReport:
    """What an entry process tells its control process."""

    instance: str
    # Chosen by the entry process at its start; larger than any earlier one.
    incarnation: int
    public_address: str
    peer_address: str
    state: LifeState
    key_epoch: int
    table_serial: int
    table_control_incarnation: int
    rules_revision: int
    services: tuple[ServiceLoad, ...] = ()
    servers: tuple[ServerLoad, ...] = ()
    shifts: tuple[ShiftUsage, ...] = ()
    suspects: tuple[SuspectView, ...] = ()
    # Fingerprints whose suspicion a success has lifted.
    cleared: tuple[str, ...] = ()


@frozen
class TableReply:
    """The control's answer to a report."""

    # None when the entry already has the newest table.
    table: Table | None = None
    # Age of the newest update behind the table, in milliseconds.
    age_ms: float = 0.0
    audit: tuple[str, ...] = field(default=())


@frozen
class NoticeRequest:
    """Ask the control to answer when it has something that can't wait for a report."""

    # Notices that the entry process has taken, counted since the control's start.
    taken: int


@frozen
class NoticeReply:
    """How many notices the control has told."""

    told: int


@frozen
class ClientMapRequest:
    """Ask for one shard of a version of the client map."""

    version: int
    shard: int


@frozen
class ClientMapShard:
    """One shard of the client map."""

    version: int
    # Number of shards of this version.
    shards: int
    body: bytes
