"""Hold the shards of the client map and serve them to the entry and to peers."""

from collections.abc import Callable
from random import Random

from attrs import frozen
from returns.result import Success

from ebonybend.codec import from_json
from ebonybend.control.members import Members, Peer
from ebonybend.errors import SteeringError
from ebonybend.logs import get_logger
from ebonybend.peers.exchange import PeerTransport
from ebonybend.peers.merge import Replica
from ebonybend.peers.records import ClientMapRecord, RecordKind, ShardVersion
from ebonybend.steering.table import ClientMapRequest, ClientMapShard
from ebonybend.store.client import ObjectStore, StoredObject
from ebonybend.store.watcher import Backoff
from ebonybend.tasks import Tasks, Timers

KIND = "clientmap"
# Peers of other domains that are asked when no near source has a shard.
FAR_SOURCES = 2


@frozen
class ClientMapObject:
    """The value of a platform object of the kind clientmap."""

    # In JSON, base64.
    body: bytes


class ClientMapShards:
    """The newest complete set of shards."""

    def __init__(
        self,
        replica: Replica,
        members: Members,
        store: ObjectStore,
        transport: PeerTransport,
        watched: Callable[[str], StoredObject | None],
        timers: Timers,
        random: Random,
    ):
        self.replica = replica
        self.members = members
        self.store = store
        self.transport = transport
        # What the own watch of the platform has read.
        self.watched = watched
        self.random = random
        self.tasks = Tasks(timers)
        # The complete set that is offered, and its version.
        self.version = 0
        self.names: tuple[str, ...] = ()
        self.held: dict[ShardVersion, bytes] = {}
        self.on_complete: Callable[[], None] = lambda: None
        self._fetching = False
        replica.listen(RecordKind.CLIENT_MAP, self._changed)

    def answer(self, request: ClientMapRequest) -> ClientMapShard:
        """Return a shard of the newest complete version."""
        shards = len(self.names)
        if not 0 <= request.shard < shards:
            return ClientMapShard(self.version, shards, b"")
        body = self.body(self.names[request.shard])
        return ClientMapShard(self.version, shards, body or b"")

    def body(self, name: str, version: int | None = None) -> bytes | None:
        """Return a shard that is held, of a version or of any."""
        for shard, body in self.held.items():
            if shard.name == name and version in (None, shard.version):
                return body
        return None

    def _changed(self, _name: str) -> None:
        if not self._fetching:
            self._fetching = True
            self.tasks.start(self._complete())

    async def _complete(self) -> None:
        """Fetch what is missing, until the newest version is whole."""
        backoff = Backoff(self.random)
        try:
            while not await self._try_complete():
                await self.tasks.sleep(backoff.next())
        finally:
            self._fetching = False

    async def _try_complete(self) -> bool:
        record: ClientMapRecord = self.replica.get(RecordKind.CLIENT_MAP)
        version = self.replica.version(RecordKind.CLIENT_MAP)
        found: dict[ShardVersion, bytes] = {}
        for shard in record.shards:
            body = self.held.get(shard)
            if body is None:
                body = await self._fetch(shard)
            if body is None:
                return False
            found[shard] = body
        if version != self.replica.version(RecordKind.CLIENT_MAP):
            # It changed meanwhile; what was fetched is kept for the next try.
            self.held.update(found)
            return False
        self.held = found
        self.names = tuple(shard.name for shard in record.shards)
        self.version = version
        get_logger().info("client_map", version=version, shards=len(self.names))
        self.on_complete()
        return True

    async def _fetch(self, shard: ShardVersion) -> bytes | None:
        watched = self.watched(shard.name)
        if watched is not None and watched.version == shard.version:
            return _decode(watched)
        for peer in self._sources():
            body = await self.transport.fetch_shard(peer.address, shard)
            if body is not None:
                return body
        stored = await self.store.get(KIND, shard.name)
        if isinstance(stored, Success) and stored.unwrap().version == shard.version:
            return _decode(stored.unwrap())
        return None

    def _sources(self) -> list[Peer]:
        """Return the peers to ask: the own domain's, lowest name first, then others.

        Fetching near first keeps the reads of the platform from growing with the fleet.
        """
        domain = self.members.failure_domain
        peers = self.members.peers()
        near = [peer for peer in peers if peer.failure_domain == domain]
        far = [peer for peer in peers if peer.failure_domain != domain]
        chosen = self.random.sample(far, min(FAR_SOURCES, len(far)))
        return [peer for peer in near if self.members.is_live(peer.name)] + chosen


def _decode(stored: StoredObject) -> bytes | None:
    try:
        return from_json(bytes(stored.value), ClientMapObject).body
    except SteeringError as error:
        get_logger().error(
            "platform_object_bad", kind=KIND, name=stored.name, error=error.message
        )
        return None
