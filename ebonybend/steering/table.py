"""The routing table that a control process sends to its entry process."""

from attrs import field, frozen

from ebonybend.steering.suspects import SuspectView
from ebonybend.world import Deployment, LifeState, ServerState


@frozen
class ServerView:
    """A backend server of the local failure domain, as its control sees it."""

    name: str
    service: str
    address: str
    # Greatest numbers of concurrent requests and of open connections.
    slots: int
    connections: int
    state: ServerState
    # Load that the server itself reported; it may be outdated or wrong.
    reported_in_flight: int = 0
    reported_age_ms: float = 0.0


@frozen
class InstanceView:
    """An entry instance, as last reported in the peer exchange."""

    name: str
    incarnation: int
    failure_domain: str
    # Address that clients use, "ip:port".
    public_address: str
    # Address of the entry's peer port, "ip:port".
    peer_address: str
    control_address: str
    state: LifeState
    # Ready to serve clients: its entry process reported within the last seconds.
    ready: bool
    # Minutes since the start of its entry process; part of the keys that it issues.
    key_epoch: int
    rules_revision: int
    age_ms: float = 0.0
    # Whether the platform lists it as live; evidence for slot takeover.
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
    """All data on which an entry process bases its decisions."""

    # Increases with each table that a control process builds.
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
    # The server reported in an answer that it is draining.
    draining: bool = False


@frozen
class ShiftUsage:
    """The requests that one entry sent under a shift or cap in the last window."""

    rule_text: str
    sent: int
    # Requests that this entry may send per window, including leased quota.
    units: int


@frozen
class EntryReport:
    """An entry process's report to its control process."""

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
    # Fingerprints of suspects that were cleared by a success.
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
    """Long poll that ends when the control has a notice, or after a maximum wait.

    A notice asks the entry process to report at once, because the answer to the report
    carries a change that can't wait for the next periodic report.
    """

    # Number in the last reply that the entry process received; 0 before the first.
    taken: int


@frozen
class NoticeReply:
    """The number of notices that the control has posted since its start."""

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
