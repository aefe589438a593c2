"""The records and messages that control processes exchange."""

from enum import Enum

from attrs import field, frozen

from ebonybend.steering.table import ServiceLoad, ShiftUsage
from ebonybend.world import BackendServer, Deployment, Instance, LifeState


class RecordKind(Enum):
    """Kinds of records."""

    # These change rarely and are sent to all domains.
    INSTANCE = "instance"
    RULES = "rules"
    DEPLOYMENT = "deployment"
    INSTANCES = "instances"
    SERVERS = "servers"
    CLIENT_MAP = "client_map"
    # Written each second; sent inside its failure domain.
    LOAD = "load"
    # Written each second; sent to all domains.
    DOMAIN = "domain"


@frozen
class RecordName:
    """The kind and name that identify a record."""

    kind: RecordKind
    name: str


@frozen
class Record:
    """A record with its body in MessagePack.

    A record with a larger (version, writer) replaces one with a smaller.
    """

    kind: RecordKind
    name: str
    version: int
    body: bytes
    writer: str = ""
    # Time since the record was written, in milliseconds.
    age_ms: float = 0.0


@frozen
class InstanceRecord:
    """The properties of an instance that rarely change."""

    name: str
    failure_domain: str
    # Incarnation of the entry process; 0 before its first report.
    incarnation: int
    public_address: str
    peer_address: str
    control_address: str
    state: LifeState
    ready: bool
    # Key epoch at the time of writing; it grows by one per minute of the record's age.
    key_epoch: int = 0


@frozen
class LoadRecord:
    """The state of an instance, written each second; shows that its control is live."""

    name: str
    # Revision that the entry process reported as in force.
    rules_revision: int
    key_epoch: int
    services: tuple[ServiceLoad, ...] = ()
    # Backend servers that reported to the entry process that they are draining.
    draining: tuple[str, ...] = ()
    # True if the instance's control watches the platform and gets no answer.
    watch_failing: bool = False
    shifts: tuple[ShiftUsage, ...] = ()


@frozen
class InstanceRevision:
    """The revision in force on an instance's entry process."""

    name: str
    rules_revision: int


@frozen
class DomainSummary:
    """State of a failure domain, written by its lowest-named live control."""

    name: str
    region: str
    services: tuple[ServiceLoad, ...]
    # Newest revision known to the writer. All entry processes of the domain except
    # those in behind have it in force.
    rules_revision: int
    behind: tuple[InstanceRevision, ...]
    # Listed instances whose control process isn't live.
    silent: tuple[str, ...]
    # Version of the platform's list of instances that the summary is based on.
    listing_version: int
    shifts: tuple[ShiftUsage, ...] = ()

    def revision_of(self, instance: str) -> int:
        """Return the revision in force on an instance that the summary covers."""
        matches = (x.rules_revision for x in self.behind if x.name == instance)
        return next(matches, self.rules_revision)


@frozen
class RulesRecord:
    """The rules of one revision."""

    revision: int
    change_id: str
    text: str
    author: str
    reason: str
    # Time of acceptance, seconds since the epoch.
    at: float


@frozen
class DeploymentRecord:
    """The planned deployment, as the platform stores it."""

    deployment: Deployment


@frozen
class InstanceListing:
    """The platform's list of a failure domain's instances."""

    items: tuple[Instance, ...] = ()


@frozen
class ServerListing:
    """The platform's list of a failure domain's backend servers."""

    items: tuple[BackendServer, ...] = ()


@frozen
class ShardVersion:
    """A shard of the client map."""

    name: str
    version: int


@frozen
class ClientMapRecord:
    """The shards that make up the client map, in order."""

    shards: tuple[ShardVersion, ...] = ()


BODY_TYPES = {
    RecordKind.INSTANCE: InstanceRecord,
    RecordKind.RULES: RulesRecord,
    RecordKind.DEPLOYMENT: DeploymentRecord,
    RecordKind.INSTANCES: InstanceListing,
    RecordKind.SERVERS: ServerListing,
    RecordKind.CLIENT_MAP: ClientMapRecord,
    RecordKind.LOAD: LoadRecord,
    RecordKind.DOMAIN: DomainSummary,
}
# Kinds that are written each second; the records of other kinds are called slow.
FAST_KINDS = frozenset({RecordKind.LOAD, RecordKind.DOMAIN})
# The only rules record and the only deployment record have this name.
MAIN = "main"


@frozen
class SuspectRecord:
    """A request that was running when a backend server crashed."""

    fingerprint: str
    crashes: int
    refused: bool
    # Time since the last crash, in milliseconds.
    age_ms: float
    # Time since a success cleared the suspicion, in milliseconds; None if none did.
    cleared_age_ms: float | None = None
    # The servers that crashed. They distinguish two crashes from two reports of one.
    servers: tuple[str, ...] = ()


@frozen
class RecordVersion:
    """The version of a record."""

    kind: RecordKind
    name: str
    version: int


@frozen
class ExchangeRequest:
    """The versions that the sender has, and records that the receiver lacks."""

    sender: str
    failure_domain: str
    rules_revision: int
    # Checksum of the versions of all slow records except the rules.
    slow_digest: int
    suspects_digest: int
    # Versions of the domain summaries and, inside a domain, of the load records.
    domains: dict[str, int] = field(factory=dict)
    loads: dict[str, int] = field(factory=dict)
    records: tuple[Record, ...] = ()
    suspects: tuple[SuspectRecord, ...] = ()
    wanted: tuple[RecordName, ...] = ()


@frozen
class ExchangeReply:
    """Records that the requesting control lacks, and names of those wanted from it."""

    sender: str
    failure_domain: str
    records: tuple[Record, ...] = ()
    suspects: tuple[SuspectRecord, ...] = ()
    wanted: tuple[RecordName, ...] = ()
    # Versions of the replying control's slow records, if the digests differ.
    slow: tuple[RecordVersion, ...] = ()
    suspects_digest: int = 0
    # True if the replying control has synchronised since its start.
    ready: bool = False
