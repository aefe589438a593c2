"""A client of the platform's object store."""

import re
from collections.abc import Awaitable, Callable
from time import monotonic
from urllib.parse import quote

from attrs import evolve, field, frozen
from msgspec import Raw
from returns.result import Failure, Result, Success

from ebonybend.codec import from_json, to_json
from ebonybend.errors import SteeringError
from ebonybend.http_client import AnswerLost, HttpAnswer, HttpClient
from ebonybend.json_scan import split_object
from ebonybend.store.client import (
    CALL_TIMEOUT_S,
    MAX_ANSWER_BYTES,
    WATCH_MARGIN_S,
    ObjectList,
    StoredObject,
    StoreFailure,
    StoreFailureKind,
    decode_answer,
    decode_parts,
    store_result,
)
from ebonybend.store.era import UNKNOWN_ERA, EraTracker

# Limit on the pages of one list; the store puts about 500 objects on a page.
MAX_PAGES = 10_000
# Rises each time the store comes back from an older copy.
ERA_HEADER = "Store-Era"
ERA_PATTERN = re.compile(r"[0-9]{1,18}")
# Statuses that state that the call was not carried out.
REFUSALS = frozenset({429, 503})


@frozen
class _Metadata:
    """The part of an object that the store writes."""

    Name: str
    # Revision of the object's last change.
    Rev: int = 0


@frozen
class _Event:
    """One change that a watch reports."""

    Object: Raw
    Deleted: bool = False


@frozen
class _Page:
    """One page of the answer to a list."""

    StoreRevision: int
    items: list[Raw] = field(factory=list)
    HasMore: bool = False


@frozen
class _Changes:
    """The answer to a watch."""

    StoreRevision: int
    events: list[_Event] = field(factory=list)


@frozen
class _Head:
    """The part of an object that this client reads."""

    Metadata: _Metadata


class PlatformStore:
    """The object store behind the platform's HTTP API; values are whole objects."""

    def __init__(
        self, http: HttpClient, address: str, clock: Callable[[], float] = monotonic
    ):
        self.http = http
        self.address = address
        self.eras = EraTracker(clock)
        # Calls since the start, for metrics.
        self.platform_calls = 0

    async def list(self, kind: str) -> Result[ObjectList, StoreFailure]:
        """Return all objects of a kind."""
        items: list[StoredObject] = []
        revision: int | None = None
        era = UNKNOWN_ERA
        path = f"/objects/{quote(kind, safe='')}"
        cursor, last_name = "", None
        for _ in range(MAX_PAGES):
            answer = await self._call("GET", path + cursor)
            page = answer.bind(_decode_page)
            if not isinstance(page, Success):
                return Failure(page.failure())
            found = page.unwrap()
            # The first revision; the next watch reads changes made between two pages.
            if revision is None:
                revision, era = found.StoreRevision, self.eras.current
            if era != self.eras.current:
                message = "the store came back from a copy between two pages"
                return Failure(StoreFailure(StoreFailureKind.ANSWER_LOST, message))
            items += [stored for raw in found.items if (stored := _decode_object(raw))]
            if not found.HasMore or not items:
                return Success(ObjectList(revision, tuple(items), era=era))
            if items[-1].name == last_name:
                message = "a page of the list has no readable object"
                return Failure(StoreFailure(StoreFailureKind.REJECTED, message))
            last_name = items[-1].name
            cursor = f"?after={quote(last_name, safe='')}"
        message = f"list of {kind!r} has more than {MAX_PAGES} pages"
        return Failure(StoreFailure(StoreFailureKind.REJECTED, message))

    async def get(self, kind: str, name: str) -> Result[StoredObject, StoreFailure]:
        """Return one object."""
        answer = await self._call("GET", _path(kind, name))
        return answer.bind(_decode_body)

    async def put(
        self, kind: str, name: str, value: bytes, version: int
    ) -> Result[int, StoreFailure]:
        """Write a spec if the object has a version; return the new one.

        Version 0 states that the object doesn't exist.
        """
        if version == 0:
            method, path = "POST", f"/objects/{quote(kind, safe='')}"
            prefix = b'{"Metadata":{"Name":%s},"Spec":' % to_json(name)
        else:
            method, path = "PUT", _path(kind, name)
            prefix = b'{"Metadata":{"Name":%s,"Rev":%d},"Spec":' % (
                to_json(name),
                version,
            )
        answer = await self._call(method, path, prefix + value + b"}")
        return answer.bind(_decode_body).map(lambda stored: stored.version)

    async def delete(
        self, kind: str, name: str, version: int
    ) -> Result[bytes, StoreFailure]:
        """Delete an object if it has a version."""
        return await self._call("DELETE", f"{_path(kind, name)}?Rev={version}")

    async def watch(
        self, kind: str, since: int, timeout_ms: int
    ) -> Result[ObjectList, StoreFailure]:
        """Return the objects changed since a revision, or none after the timeout."""
        path = f"/objects/{quote(kind, safe='')}?Watch={since}&WaitMs={timeout_ms}"
        timeout = timeout_ms / 1000 + WATCH_MARGIN_S
        answer = await self._call("GET", path, timeout=timeout)
        changes = answer.bind(_decode_changes)
        return changes.map(lambda found: evolve(found, era=self.eras.current))

    async def ping(self, kind: str, name: str, timeout_s: float) -> bool:
        """Return whether the store answers a cheap call for an object in time."""
        path = f"{_path(kind, name)}?AllowStale=1"
        answer = await self._call("GET", path, timeout=timeout_s)
        return isinstance(answer, Success) or (
            answer.failure().kind is StoreFailureKind.NOT_FOUND
        )

    async def _call(
        self, method: str, path: str, body: bytes = b"", timeout: float = CALL_TIMEOUT_S
    ) -> Result[bytes, StoreFailure]:
        self.platform_calls += 1
        headers = {"Content-Type": "application/json"} if body else {}
        request = self.http.request(
            method, self.address, path, headers, body, timeout, MAX_ANSWER_BYTES
        )
        return await store_result(self._checked(request), _decode_failure)

    async def _checked(self, request: Awaitable[HttpAnswer]) -> HttpAnswer:
        """Return an answer; raise AnswerLost if it is of an earlier era."""
        asked_at = self.eras.clock()
        answer = await request
        if not self.eras.record(_era(answer), asked_at):
            raise AnswerLost("the answer is older than the store's last return")
        return answer


def _era(answer: HttpAnswer) -> int:
    text = answer.header(ERA_HEADER) or ""
    return int(text) if ERA_PATTERN.fullmatch(text) else UNKNOWN_ERA


def _decode_failure(answer: HttpAnswer) -> StoreFailure:
    message = f"the store answered {answer.status}"
    if answer.status == 404:
        return StoreFailure(StoreFailureKind.NOT_FOUND, message)
    if answer.status == 409:
        current = _decode_body(answer.body).value_or(None)
        return StoreFailure(StoreFailureKind.CONFLICT, message, current)
    if answer.status in REFUSALS:
        return StoreFailure(StoreFailureKind.UNAVAILABLE, message)
    if answer.status >= 500:
        return StoreFailure(StoreFailureKind.ANSWER_LOST, message)
    # Includes 410: the store no longer has the history since the given revision.
    return StoreFailure(StoreFailureKind.REJECTED, message)


def _path(kind: str, name: str) -> str:
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _decode_object(raw: Raw, deleted: bool = False) -> StoredObject | None:
    """Return an object, or None if its name or revision can't be decoded.

    Another part of it, which isn't decoded here, may be malformed.
    """
    data = bytes(raw)
    try:
        metadata = from_json(data, _Head).Metadata
    except SteeringError:
        try:
            metadata = from_json(split_object(data)["Metadata"], _Metadata)
        except (SteeringError, ValueError, KeyError):
            return None
    return StoredObject(metadata.Name, metadata.Rev, raw, deleted)


def _decode_page(body: bytes) -> Result[_Page, StoreFailure]:
    return decode_answer(body, _Page).lash(lambda _: _split_page(body))


def _split_page(body: bytes) -> Result[_Page, StoreFailure]:
    """Return a page with malformed objects, which don't invalidate the others."""
    page, items = decode_parts(body, _Page, "items")
    return page.map(lambda found: evolve(found, items=[Raw(x) for x in items]))


def _split_changes(body: bytes) -> Result[_Changes, StoreFailure]:
    """Return changes with malformed objects, which don't invalidate the others."""
    changes, parts = decode_parts(body, _Changes, "events")
    events = [event for part in parts if (event := _decode_event(part)) is not None]
    return changes.map(lambda found: evolve(found, events=events))


def _decode_event(data: bytes) -> _Event | None:
    """Return an event, or None if it can't be decoded."""
    try:
        return from_json(data, _Event)
    except SteeringError:
        pass
    try:
        members = split_object(data)
        deleted = from_json(members.get("Deleted", b"false"), bool)
        return _Event(Raw(members["Object"]), deleted)
    except (SteeringError, ValueError, KeyError):
        return None


def _decode_body(body: bytes) -> Result[StoredObject, StoreFailure]:
    stored = _decode_object(Raw(body))
    if stored is None:
        message = "the store's answer is no object"
        return Failure(StoreFailure(StoreFailureKind.ANSWER_LOST, message))
    return Success(stored)


def _decode_changes(body: bytes) -> Result[ObjectList, StoreFailure]:
    decoded = decode_answer(body, _Changes).lash(lambda _: _split_changes(body))
    if not isinstance(decoded, Success):
        return decoded
    changes = decoded.unwrap()
    found = (_decode_object(event.Object, event.Deleted) for event in changes.events)
    items = tuple(stored for stored in found if stored is not None)
    return Success(ObjectList(changes.StoreRevision, items))
