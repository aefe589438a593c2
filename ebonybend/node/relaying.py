"""Read changes of the store from the relays of the region instead of the store."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol
from urllib.parse import quote

from attrs import field, frozen
from msgspec import Raw
from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred
from twisted.internet.protocol import DatagramProtocol
from twisted.internet.task import deferLater

from ebonybend.addresses import split_address
from ebonybend.codec import pack, unpack
from ebonybend.errors import SteeringError
from ebonybend.http_client import HttpClient, RequestFailed
from ebonybend.http_router import Router
from ebonybend.http_server import IncomingRequest, OutgoingAnswer
from ebonybend.logs import get_logger
from ebonybend.node.members import Members
from ebonybend.steering.relays import MIN_REGION_NODES, Pulse, Relays
from ebonybend.store.client import (
    ObjectList,
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreFailureKind,
)
from ebonybend.store.watcher import Watcher
from ebonybend.tasks import Timers

CHANGES_PATH = "/changes"
# Several round trips within a region.
FETCH_TIMEOUT_S = 0.5
# Time within which the store has to answer a relay's ping.
PING_TIMEOUT_S = 0.5
# Time for which a node reads from relays after a call to the store failed.
STORE_RETRY_S = 5.0
# Status for a version whose changes are no longer known.
GONE = 410

Fetch = Callable[[str, str, int], Awaitable[Result[ObjectList, StoreFailure]]]


@frozen
class RelayedObject:
    """One changed object; a deleted one has no value."""

    name: str
    version: int
    value: bytes
    deleted: bool = False


@frozen
class RelayedChanges:
    """The changes of one kind, and the version up to which they are complete."""

    version: int
    items: list[RelayedObject] = field(factory=list)


def relay_router(watchers: Callable[[], Mapping[str, Watcher]]) -> Router:
    """Return the handler that serves the changes that this node has read."""

    async def changes(incoming: IncomingRequest) -> OutgoingAnswer:
        watcher = watchers().get(incoming.argument("kind") or "")
        since = incoming.argument("since") or ""
        if watcher is None or not since.isdigit():
            return OutgoingAnswer(400, b"no such kind, or since is no number\n")
        found = watcher.changes_since(int(since))
        if found is None:
            return OutgoingAnswer(GONE)
        items = [
            RelayedObject(item.name, item.version, bytes(item.value), item.deleted)
            for item in found.items
        ]
        return OutgoingAnswer(200, pack(RelayedChanges(found.version, items)))

    router = Router()
    router.add("GET", CHANGES_PATH, changes)
    return router


class NodeStore(ObjectStore, Protocol):
    """The object store as a node uses it."""

    async def ping(self, kind: str, name: str, timeout_s: float) -> bool:
        """Return whether the store answers a cheap call for an object in time."""
        ...


class RelayClient:
    """Read changes from a relay."""

    def __init__(self, http: HttpClient):
        self.http = http

    async def fetch(
        self, address: str, kind: str, since: int
    ) -> Result[ObjectList, StoreFailure]:
        """Return the changes of a kind since a version."""
        path = f"{CHANGES_PATH}?kind={quote(kind, safe='')}&since={since}"
        try:
            answer = await self.http.request(
                "GET", address, path, timeout=FETCH_TIMEOUT_S
            )
            if answer.status != 200:
                message = f"the relay answered {answer.status}"
                return Failure(StoreFailure(StoreFailureKind.REJECTED, message))
            changes = unpack(answer.body, RelayedChanges)
        except RequestFailed as error:
            return Failure(StoreFailure(StoreFailureKind.UNAVAILABLE, str(error)))
        except SteeringError as error:
            return Failure(StoreFailure(StoreFailureKind.REJECTED, error.message))
        items = (
            StoredObject(item.name, item.version, Raw(item.value), item.deleted)
            for item in changes.items
        )
        return Success(ObjectList(changes.version, tuple(items)))


class RelayedStore:
    """The object store, whose changes are read from relays while there are enough."""

    def __init__(
        self,
        store: ObjectStore,
        relays: Relays,
        fetch: Fetch,
        timers: Timers,
        batch_delay_s: float,
    ):
        self.store = store
        self.relays = relays
        self.fetch = fetch
        self.timers = timers
        # Shortest time between two watches of a kind, so that one call reads the
        # changes of that time.
        self.batch_delay_s = batch_delay_s
        self.last_watch_at: dict[str, float] = {}
        self.was_following = False
        # Until then the store counts as out of reach.
        self.cut_off_until = float("-inf")
        # Fired by the next pulse.
        self.waiting: list[Deferred[None]] = []

    def is_following(self) -> bool:
        """Return whether this node relies on relays, or doesn't reach the store."""
        now = self.timers.seconds()
        return now < self.cut_off_until or self.relays.follow_until(now) > now

    def wake(self) -> None:
        """Compare the own versions with those of a pulse."""
        waiting, self.waiting = self.waiting, []
        for deferred in waiting:
            deferred.callback(None)

    async def list(self, kind: str) -> Result[ObjectList, StoreFailure]:
        """Return all objects of a kind."""
        return await self.store.list(kind)

    async def get(self, kind: str, name: str) -> Result[StoredObject, StoreFailure]:
        """Return one object."""
        return await self.store.get(kind, name)

    async def put(
        self, kind: str, name: str, value: bytes, version: int
    ) -> Result[int, StoreFailure]:
        """Write JSON if the version matches (0: no object); return the new version."""
        return await self.store.put(kind, name, value, version)

    async def watch(
        self, kind: str, since: int, timeout_ms: int
    ) -> Result[ObjectList, StoreFailure]:
        """Return the objects changed since a version, from a relay or the store.

        Without a timeout, the store itself is asked if it may be reached.
        """
        if timeout_ms or self.timers.seconds() < self.cut_off_until:
            relayed = await self._watch_relays(kind, since)
            if relayed is not None:
                return relayed
        if timeout_ms:
            await self._wait_for_batch(kind)
        answer = await self.store.watch(kind, since, timeout_ms)
        now = self.last_watch_at[kind] = self.timers.seconds()
        if not _is_cut_off(answer):
            self.cut_off_until = now
        elif not timeout_ms:
            # A waiting watch may be cut off by a store that answers the next call.
            self.cut_off_until = now + STORE_RETRY_S
        return answer

    async def _watch_relays(
        self, kind: str, since: int
    ) -> Result[ObjectList, StoreFailure] | None:
        """Return the next changes that a relay has; None if this node has to watch."""
        while True:
            now = self.timers.seconds()
            is_cut_off = now < self.cut_off_until
            until = self.relays.follow_until(now, is_cut_off)
            if is_cut_off:
                until = min(until, self.cut_off_until)
            self._log_mode(until > now)
            if until <= now:
                return None
            source = self.relays.source(kind, since, now)
            if source is None:
                await self._wait_for_pulse(until - now)
                continue
            answer = await self.fetch(source.address, kind, since)
            if isinstance(answer, Success) and answer.unwrap().version > since:
                return answer
            message = (
                "no changes"
                if isinstance(answer, Success)
                else answer.failure().message
            )
            get_logger().warning(
                "relay_failed", relay=source.name, kind=kind, error=message
            )
            self.relays.record_failure(source.name, self.timers.seconds())

    def _log_mode(self, following: bool) -> None:
        if following is not self.was_following:
            self.was_following = following
            get_logger().info("relays_followed" if following else "store_watched")

    async def _wait_for_pulse(self, timeout_s: float) -> None:
        waiting: Deferred[None] = Deferred()
        self.waiting.append(waiting)
        timer = self.timers.callLater(timeout_s, self.wake)
        try:
            await waiting
        finally:
            if timer.active():
                timer.cancel()
            if waiting in self.waiting:
                self.waiting.remove(waiting)

    async def _wait_for_batch(self, kind: str) -> None:
        last = self.last_watch_at.get(kind, float("-inf"))
        delay_s = last + self.batch_delay_s - self.timers.seconds()
        if delay_s > 0:
            await deferLater(self.timers, delay_s)


def _is_cut_off(answer: Result[ObjectList, StoreFailure]) -> bool:
    """Return whether a call did not reach the store, or its answer was lost."""
    return not isinstance(answer, Success) and answer.failure().kind in (
        StoreFailureKind.UNAVAILABLE,
        StoreFailureKind.ANSWER_LOST,
    )


class PulseProtocol(DatagramProtocol):
    """Send pulses to the nodes of the region while this node is a relay."""

    def __init__(
        self,
        members: Members,
        relays: Relays,
        address: str,
        versions: Callable[[], dict[str, int] | None],
        ping: Callable[[], Awaitable[bool]],
        clock: Callable[[], float],
        on_pulse: Callable[[], None],
    ):
        self.members = members
        self.relays = relays
        self.address = address
        # Returns the versions that this node has read from the store itself; None if
        # it is no relay.
        self.versions = versions
        # Returns whether the store answers.
        self.ping = ping
        self.clock = clock
        self.on_pulse = on_pulse
        self.count = 0

    def has_readers(self) -> bool:
        """Return whether the region has enough nodes to read from relays."""
        local, _ = self.members.local_and_remote_peers()
        return len(local) + 1 >= MIN_REGION_NODES

    async def send_if_in_contact(self) -> None:
        """Send a pulse if this node is a relay and the store answers."""
        if self.has_readers() and self.versions() is not None and await self.ping():
            self.send()

    def send(self) -> None:
        """Send a pulse if this node is a relay; the store has just answered."""
        versions = self.versions()
        if self.transport is None or versions is None or not self.has_readers():
            return
        own = self.members.own
        self.count += 1
        pulse = Pulse(
            name=own.name,
            incarnation=own.incarnation,
            count=self.count,
            address=self.address,
            versions=versions,
        )
        data = pack(pulse)
        for member in self.members.local_and_remote_peers()[0]:
            host, port = split_address(relay_address(member.peer_address))
            try:
                self.transport.write(data, (host, port))
            except OSError as error:
                get_logger().info("pulse_not_sent", peer=member.name, error=str(error))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Decode and record a pulse."""
        try:
            pulse = unpack(datagram, Pulse)
        except SteeringError as error:
            get_logger().warning("bad_pulse", sender=str(addr), error=error.message)
            return
        if self.relays.record_pulse(pulse, self.clock()):
            self.on_pulse()


def relay_address(peer_address: str) -> str:
    """Return the address of a node's pulses and changes, next to its heartbeats."""
    host, port = split_address(peer_address)
    return f"{host}:{port + 1}"
