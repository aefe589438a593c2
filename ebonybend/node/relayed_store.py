"""The object store, whose changes are read from the relays of the region."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from attrs import evolve
from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from ebonybend.logs import get_logger
from ebonybend.steering.relays import Pulse, Relays
from ebonybend.store.availability import StoreAvailability
from ebonybend.store.client import (
    ObjectList,
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreFailureKind,
)
from ebonybend.store.contact import OnReturn, StoreContact, ignore_return
from ebonybend.store.era import EraTracker
from ebonybend.tasks import Timers

# Time for which a node reads from relays after a call to the store failed.
STORE_RETRY_S = 5.0
# Time for which a node lets the relays of its region find out first whether the store
# answers again. With a call and a retry, below the time to catch up after an outage.
RELAY_LEAD_S = 1.2
# Longest time for which a call waits for one for another kind to find that out.
PROBE_TIMEOUT_S = 4.0

# Time in which a dead connection of a waiting watch is detected: the interval of
# keep-alive probes and the time to connect.
DETECTION_DELAY_S = 1.0

# Returns the changes of a kind since a version of an era from the relay with an
# address.
Fetch = Callable[[str, str, int, int], Awaitable[Result[ObjectList, StoreFailure]]]


class NodeStore(ObjectStore, Protocol):
    """The object store as a node uses it."""

    eras: EraTracker

    async def ping(self, kind: str, name: str, timeout_s: float) -> bool:
        """Return whether the store answers a cheap call for an object in time."""
        ...


class RelayedStore:
    """The object store, whose changes are read from relays while there are enough."""

    def __init__(
        self,
        store: NodeStore,
        relays: Relays,
        fetch: Fetch,
        timers: Timers,
        batch_delay_s: float,
        is_relay_candidate: Callable[[], bool] = lambda: True,
        on_return: OnReturn = ignore_return,
        shortest_outage_s: Callable[[], float] = lambda: 0.0,
    ):
        self.store = store
        self.eras = store.eras
        self.relays = relays
        self.fetch = fetch
        self.timers = timers
        # Shortest time between two watches of a kind, so that one call reads the
        # changes of that time.
        self.batch_delay_s = batch_delay_s
        # Returns whether this node would be a relay if the store answered.
        self.is_relay_candidate = is_relay_candidate
        self.contact = StoreContact(on_return)
        self.availability = StoreAvailability(timers.seconds, shortest_outage_s)
        self.last_watch_at: dict[str, float] = {}
        # Kind whose calls show when the store answers again; None while it answers.
        self.probing_kind: str | None = None
        self.was_following = False
        # Until then the store counts as out of reach.
        self.cut_off_until = float("-inf")
        # Fired by the next pulse, or when the store answers again.
        self.waiting: list[Deferred[None]] = []

    def is_following(self) -> bool:
        """Return whether this node relies on relays, or doesn't reach the store."""
        now = self.timers.seconds()
        return now < self.cut_off_until or self.relays.follow_until(now) > now

    async def ping(self, kind: str, name: str, timeout_s: float) -> bool:
        """Return whether the store answers a cheap call for an object in time.

        Nothing is sent if the answer would change nothing for this node.
        """
        if not self._needs_ping():
            return False
        asked_at = self.timers.seconds()
        answered = await self.store.ping(kind, name, timeout_s)
        if answered:
            self.availability.record_answer()
            self.contact.record_answer()
            self._end_probing()
        else:
            self.availability.record_loss(asked_at)
            self.contact.record_loss(self.timers.seconds())
        return answered

    def _needs_ping(self) -> bool:
        """Return whether this node finds out by itself whether the store answers."""
        if self.probing_kind is not None:
            return self.is_relay_candidate()
        return self.contact.lost_at is not None or not self.is_following()

    def on_pulse(self) -> None:
        """Handle a pulse, which shows that the store answers the relay."""
        self.availability.record_answer()
        self.wake()

    def wake(self) -> None:
        """Compare the own versions with those of a pulse."""
        waiting, self.waiting = self.waiting, []
        for deferred in waiting:
            deferred.callback(None)

    async def list(self, kind: str) -> Result[ObjectList, StoreFailure]:
        """Return all objects of a kind, from a relay if the store is out of reach."""
        until = self.timers.seconds() + PROBE_TIMEOUT_S
        while self._is_out_of_reach():
            relayed = await self._list_from_relay(kind)
            if relayed is not None:
                return relayed
            wait_s = until - self.timers.seconds()
            if not self._is_probing_other(kind) or wait_s <= 0:
                break
            await self._wait_for_pulse(wait_s)
        asked_at = self.timers.seconds()
        answer = await self.store.list(kind)
        if not _is_cancelled(answer):
            self._record_contact(kind, answer, asked_at)
            is_cut_off = _is_cut_off(answer)
            retry_s = STORE_RETRY_S if is_cut_off else 0.0
            self.cut_off_until = self.timers.seconds() + retry_s
        return answer

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
        else:
            relayed = await self._wait_during_outage(kind, since)
            if relayed is not None:
                return relayed
        asked_at = self.timers.seconds()
        answer = await self.store.watch(kind, since, timeout_ms)
        now = self.last_watch_at[kind] = self.timers.seconds()
        if _is_cancelled(answer):
            return answer
        # The watch may have waited for long before it was lost.
        lost_at = max(asked_at, now - DETECTION_DELAY_S) if timeout_ms else asked_at
        self._record_contact(kind, answer, lost_at)
        if not _is_cut_off(answer):
            self.cut_off_until = now
        elif not timeout_ms:
            # A waiting watch may be cut off by a store that answers the next call.
            self.cut_off_until = now + STORE_RETRY_S
        return answer

    def _record_contact(
        self, kind: str, answer: Result[Any, StoreFailure], lost_at: float
    ) -> None:
        """Record whether a call, which may have been lost at a time, was answered."""
        if _shows_store(answer):
            self.availability.record_answer()
        else:
            self.availability.record_loss(lost_at)
        if not _is_cut_off(answer):
            self.contact.record_answer(kind)
            self._end_probing()
            return
        self.contact.record_loss(self.timers.seconds())
        if self.probing_kind is None:
            self.probing_kind = kind

    def _end_probing(self) -> None:
        """Let the calls proceed that wait until the store answers again."""
        was_probing, self.probing_kind = self.probing_kind, None
        if was_probing is not None:
            self.wake()

    def _is_out_of_reach(self) -> bool:
        """Return whether the last calls, or those of another kind, got no answer."""
        is_cut_off = self.timers.seconds() < self.cut_off_until
        return is_cut_off or self.probing_kind is not None

    def _is_probing_other(self, kind: str) -> bool:
        """Return whether calls for another kind show when the store answers again."""
        return self.probing_kind not in (None, kind)

    def _outage_wait_s(self, kind: str) -> float:
        """Return for how long a call waits for others to reach the store first."""
        if self._is_probing_other(kind):
            return PROBE_TIMEOUT_S
        if self.probing_kind is None or self.is_relay_candidate():
            return 0.0
        return RELAY_LEAD_S

    async def _wait_during_outage(
        self, kind: str, since: int
    ) -> Result[ObjectList, StoreFailure] | None:
        """Wait until a call for another kind, or a relay, reaches the store again.

        Calls of all nodes for all kinds would load the store during its outage. Returns
        the changes if a relay has them.
        """
        until = self.timers.seconds() + self._outage_wait_s(kind)
        while self.probing_kind is not None and self.timers.seconds() < until:
            await self._wait_for_pulse(until - self.timers.seconds())
            relayed = await self._watch_relays(kind, since)
            if relayed is not None:
                return relayed
        return None

    async def _list_from_relay(
        self, kind: str
    ) -> Result[ObjectList, StoreFailure] | None:
        """Return all objects that a relay has; None without such a relay."""
        now = self.timers.seconds()
        source = self.relays.source(kind, 0, now, self.eras.current)
        if source is None:
            return None
        answer = await self._fetch(source, kind, 0)
        is_list = isinstance(answer, Success) and answer.unwrap().complete
        return answer if is_list or _is_cancelled(answer) else None

    async def _fetch(
        self, relay: Pulse, kind: str, since: int
    ) -> Result[ObjectList, StoreFailure]:
        """Return the changes of a kind that a relay has, and record its era."""
        asked_at = self.timers.seconds()
        answer = await self.fetch(relay.address, kind, since, self.eras.current)
        if not isinstance(answer, Success):
            return answer
        if not self.eras.record(answer.unwrap().era, asked_at):
            message = "the relay's changes are older than the store's last return"
            return Failure(StoreFailure(StoreFailureKind.REJECTED, message))
        # A relay that knows no eras follows the store as well.
        return answer.map(lambda found: evolve(found, era=self.eras.current))

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
            source = self.relays.source(kind, since, now, self.eras.current)
            if source is None:
                await self._wait_for_pulse(until - now)
                continue
            answer = await self._fetch(source, kind, since)
            if _is_cancelled(answer) or _has_changes(answer, since):
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


def _is_cancelled(answer: Result[Any, StoreFailure]) -> bool:
    """Return whether this node cancelled a call, which shows nothing of the store."""
    return not isinstance(answer, Success) and answer.failure().cancelled


def _has_changes(answer: Result[ObjectList, StoreFailure], since: int) -> bool:
    """Return whether a relay delivered changes since a version, or all objects."""
    if not isinstance(answer, Success):
        return False
    return answer.unwrap().complete or answer.unwrap().version > since


def _shows_store(answer: Result[Any, StoreFailure]) -> bool:
    """Return whether an answer shows that the store is available."""
    is_throttled = not isinstance(answer, Success) and (
        answer.failure().kind is StoreFailureKind.THROTTLED
    )
    return is_throttled or not _is_cut_off(answer)


def _is_cut_off(answer: Result[Any, StoreFailure]) -> bool:
    """Return whether a call did not reach the store, or its answer was lost."""
    return not isinstance(answer, Success) and answer.failure().kind in (
        StoreFailureKind.UNAVAILABLE,
        StoreFailureKind.THROTTLED,
        StoreFailureKind.ANSWER_LOST,
    )
