"""Fetch the shards of the client map and serve them to the entry and to peers."""

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

OBJECT_KIND = "clientmap"
# Number of peers of other domains that are asked if no local peer has a shard.
REMOTE_SOURCES = 2


@frozen
class ClientMapObject:
    """The value of a platform object of the kind clientmap."""

    # Base64 in JSON.
    body: bytes


class ClientMapShards:
    """Fetch and keep the newest complete set of shards."""

    def __init__(
        self,
        replica: Replica,
        members: Members,
        store: ObjectStore,
        transport: PeerTransport,
        find_watched: Callable[[str], StoredObject | None],
        timers: Timers,
        random: Random,
    ):
        self.replica = replica
        self.members = members
        self.store = store
        self.transport = transport
        # Returns a shard's object as last read by the local watch, or None.
        self.find_watched = find_watched
        self.random = random
        self.tasks = Tasks(timers)
        # Version and shard names of the newest complete set.
        self.version = 0
        self.names: tuple[str, ...] = ()
        self.bodies: dict[ShardVersion, bytes] = {}
        self.on_complete: Callable[[], None] = lambda: None
        self._fetching = False
        replica.add_listener(RecordKind.CLIENT_MAP, self._on_map_changed)

    def answer(self, request: ClientMapRequest) -> ClientMapShard:
        """Return a shard of the newest complete version."""
        shard_count = len(self.names)
        if not 0 <= request.shard < shard_count:
            return ClientMapShard(self.version, shard_count, b"")
        body = self.body(self.names[request.shard])
        return ClientMapShard(self.version, shard_count, body or b"")

    def body(self, name: str, version: int | None = None) -> bytes | None:
        """Return the body of a shard, of any version if none is given, or None."""
        for shard, body in self.bodies.items():
            if shard.name == name and version in (None, shard.version):
                return body
        return None

    def _on_map_changed(self, _name: str) -> None:
        if not self._fetching:
            self._fetching = True
            self.tasks.start(self._fetch_until_complete())

    async def _fetch_until_complete(self) -> None:
        """Fetch missing shards until the set of the newest version is complete."""
        backoff = Backoff(self.random)
        try:
            while not await self._try_fetch():
                await self.tasks.sleep(backoff.next())
        finally:
            self._fetching = False

    async def _try_fetch(self) -> bool:
        record: ClientMapRecord = self.replica.get(RecordKind.CLIENT_MAP)
        version = self.replica.version(RecordKind.CLIENT_MAP)
        fetched: dict[ShardVersion, bytes] = {}
        for shard in record.shards:
            body = self.bodies.get(shard)
            if body is None:
                body = await self._fetch_shard(shard)
            if body is None:
                return False
            fetched[shard] = body
        if version != self.replica.version(RecordKind.CLIENT_MAP):
            # The map changed meanwhile; the next try reuses the fetched shards.
            self.bodies.update(fetched)
            return False
        self.bodies = fetched
        self.names = tuple(shard.name for shard in record.shards)
        self.version = version
        get_logger().info("client_map", version=version, shards=len(self.names))
        self.on_complete()
        return True

    async def _fetch_shard(self, shard: ShardVersion) -> bytes | None:
        watched = self.find_watched(shard.name)
        if watched is not None and watched.version == shard.version:
            return _decode(watched)
        for peer in self._sources():
            body = await self.transport.fetch_shard(peer.address, shard)
            if body is not None:
                return body
        stored = await self.store.get(OBJECT_KIND, shard.name)
        if isinstance(stored, Success) and stored.unwrap().version == shard.version:
            return _decode(stored.unwrap())
        return None

    def _sources(self) -> list[Peer]:
        """Return the peers to ask: live local ones by name, then a few remote ones.

        Asking local peers first keeps platform reads from growing with the fleet.
        """
        domain = self.members.failure_domain
        peers = self.members.peers()
        local = [peer for peer in peers if peer.failure_domain == domain]
        remote = [peer for peer in peers if peer.failure_domain != domain]
        chosen = self.random.sample(remote, min(REMOTE_SOURCES, len(remote)))
        return [peer for peer in local if self.members.is_live(peer.name)] + chosen


def _decode(stored: StoredObject) -> bytes | None:
    try:
        return from_json(bytes(stored.value), ClientMapObject).body
    except SteeringError as error:
        get_logger().error(
            "platform_object_bad",
            kind=OBJECT_KIND,
            name=stored.name,
            error=error.message,
        )
        return None
