"""What control processes tell each other."""

from enum import Enum

from attrs import field, frozen

from ebonybend.steering.table import ServiceLoad, ShiftUsage
from ebonybend.world import BackendServer, Deployment, Instance, LifeState


class RecordKind(Enum):
    """Kinds of records."""

    # Changes rarely; sent to all domains.
    INSTANCE = "instance"
    RULES = "rules"
    DEPLOYMENT = "deployment"
    INSTANCES = "instances"
    SERVERS = "servers"
    CLIENT_MAP = "client_map"
    # Renewed each second; sent inside its failure domain.
    LOAD = "load"
    # Renewed each second; sent to all domains.
    DOMAIN = "domain"


@frozen
class RecordName:
    """Which record."""

    kind: RecordKind
    name: str


@frozen
class Record:
    """A body in MessagePack with its place in the order of versions.

    The larger (version, writer) replaces the smaller.
    """

    kind: RecordKind
    name: str
    version: int
    body: bytes
    writer: str = ""
    # Time since it was written, in milliseconds.
    age_ms: float = 0.0


@frozen
class InstanceRecord:
    """What rarely changes about an instance."""

    name: str
    failure_domain: str
    # Of the entry process; 0 before its first report.
    incarnation: int
    public_address: str
    peer_address: str
    control_address: str
    state: LifeState
    ready: bool
    # At the time of writing; it grows by one each minute of the record's age.
    key_epoch: int = 0


@frozen
class LoadRecord:
    """An instance's state of this second; proves that its control process lives."""

    name: str
    # Revision that its entry process reported as in force.
    rules_revision: int
    key_epoch: int
    services: tuple[ServiceLoad, ...] = ()
    # Backend servers that told its entry process that they are leaving.
    draining: tuple[str, ...] = ()
    # It tries to watch the platform and gets no answer.
    watch_failing: bool = False
    shifts: tuple[ShiftUsage, ...] = ()


@frozen
class InstanceRevision:
    """The revision in force on an instance's entry process."""

    name: str
    rules_revision: int


@frozen
class DomainSummary:
    """A failure domain as its lowest-named live control sees it."""

    name: str
    region: str
    services: tuple[ServiceLoad, ...]
    # Revision that the writer knows, and that its domain's entry processes have in
    # force except for those behind.
    rules_revision: int
    behind: tuple[InstanceRevision, ...]
    # Instances whose control process is silent.
    silent: tuple[str, ...]
    # Version of the list of instances that the summary covers.
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
    """The planned deployment."""

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


BODIES = {
    RecordKind.INSTANCE: InstanceRecord,
    RecordKind.RULES: RulesRecord,
    RecordKind.DEPLOYMENT: DeploymentRecord,
    RecordKind.INSTANCES: InstanceListing,
    RecordKind.SERVERS: ServerListing,
    RecordKind.CLIENT_MAP: ClientMapRecord,
    RecordKind.LOAD: LoadRecord,
    RecordKind.DOMAIN: DomainSummary,
}
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
    # Time since a success lifted the suspicion, or None.
    cleared_age_ms: float | None = None
    # The servers that crashed; they tell two crashes from two reports of one.
    servers: tuple[str, ...] = ()


@frozen
class VersionLine:
    """A record's place in the order of versions."""

    kind: RecordKind
    name: str
    version: int


@frozen
class ExchangeRequest:
    """What the sender has, and records that the receiver lacks."""

    sender: str
    failure_domain: str
    rules_revision: int
    # Of the versions of all slow records except the rules.
    slow_digest: int
    suspects_digest: int
    # Versions of the domain summaries and, inside a domain, of the loads.
    domains: dict[str, int] = field(factory=dict)
    loads: dict[str, int] = field(factory=dict)
    records: tuple[Record, ...] = ()
    suspects: tuple[SuspectRecord, ...] = ()
    wanted: tuple[RecordName, ...] = ()


@frozen
class ExchangeReply:
    """Records that the sender of the request lacks, and what is wanted from it."""

    sender: str
    failure_domain: str
    records: tuple[Record, ...] = ()
    suspects: tuple[SuspectRecord, ...] = ()
    wanted: tuple[RecordName, ...] = ()
    # The replier's slow versions, when the digests differ.
    slow: tuple[VersionLine, ...] = ()
    suspects_digest: int = 0
    # The replier itself has synchronised since its start.
    ready: bool = False
