"""A client of the platform's object store."""

import re
from collections.abc import Awaitable, Callable
from urllib.parse import quote

from attrs import evolve, field, frozen
from msgspec import Raw
from returns.result import Failure, Result, Success

from ebonybend.codec import from_json, to_json
from ebonybend.errors import SteeringError
from ebonybend.http_client import AnswerLost, HttpAnswer, HttpClient
from ebonybend.json_scan import JsonText, scan, split_object
from ebonybend.steps import Pause, Steps, complete
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
    decode_with_pauses,
    store_result,
)
from ebonybend.store.era import UNKNOWN_ERA, EraTracker

# Limit on the pages of one list; the store puts about 500 objects on a page.
MAX_PAGES = 10_000
# Rises each time the store comes back from an older copy.
ERA_HEADER = "Store-Era"
ERA_PATTERN = re.compile(r"[0-9]{1,18}")
# Statuses that state that the call was not carried out: the rate of calls is too high,
# or the store is unavailable.
REFUSALS = {
    429: StoreFailureKind.THROTTLED,
    503: StoreFailureKind.UNAVAILABLE,
}


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
class _ObjectPage:
    """One decoded page of a list."""

    version: int
    items: tuple[StoredObject, ...]
    has_more: bool


@frozen
class _Head:
    """The part of an object that this client reads."""

    Metadata: _Metadata


class PlatformStore:
    """The object store behind the platform's HTTP API; values are whole objects."""

    def __init__(
        self, http: HttpClient, address: str, clock: Callable[[], float], pause: Pause
    ):
        self.http = http
        self.address = address
        self.eras = EraTracker(clock)
        # Lets the event loop do other work while a long answer is decoded.
        self.pause = pause
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
            answered_era = self.eras.current
            page = await decode_with_pauses(answer, _decode_page, self.pause)
            if not isinstance(page, Success):
                return Failure(page.failure())
            found = page.unwrap()
            # The first revision; the next watch reads changes made between two pages.
            if revision is None:
                revision, era = found.version, answered_era
            if era != answered_era:
                message = "the store came back from a copy between two pages"
                return Failure(StoreFailure(StoreFailureKind.ANSWER_LOST, message))
            items += found.items
            if not found.has_more or not items:
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
        return await decode_with_pauses(answer, _decode_body, self.pause)

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
        written = await decode_with_pauses(answer, _decode_body, self.pause)
        return written.map(lambda stored: stored.version)

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
        era = self.eras.current
        changes = await decode_with_pauses(answer, _decode_changes, self.pause)
        return changes.map(lambda found: evolve(found, era=era))

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
        current = complete(_decode_body(answer.body)).value_or(None)
        return StoreFailure(StoreFailureKind.CONFLICT, message, current)
    if answer.status in REFUSALS:
        return StoreFailure(REFUSALS[answer.status], message)
    if answer.status >= 500:
        return StoreFailure(StoreFailureKind.ANSWER_LOST, message)
    # Includes 410: the store no longer has the history since the given revision.
    return StoreFailure(StoreFailureKind.REJECTED, message)


def _path(kind: str, name: str) -> str:
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _decode_object(data: bytes, deleted: bool = False) -> StoredObject | None:
    """Return an object, or None if the text can't be decoded."""
    try:
        metadata = from_json(data, _Head).Metadata
    except SteeringError:
        return None
    return StoredObject(metadata.Name, metadata.Rev, Raw(data), deleted)


def _decode_object_part(
    text: JsonText, deleted: bool = False
) -> Steps[StoredObject | None]:
    """Return an object, or None if its name or revision can't be decoded.

    Another part of it, which isn't decoded here, may be malformed.
    """
    stored = _decode_object(text.data, deleted)
    if stored is not None:
        return stored
    try:
        members = yield from split_object(text)
        metadata = from_json(members["Metadata"].data, _Metadata)
    except (SteeringError, ValueError, KeyError):
        return None
    return StoredObject(metadata.Name, metadata.Rev, Raw(text.data), deleted)


def _decode_event_part(text: JsonText) -> Steps[StoredObject | None]:
    """Return the object of an event, or None if it can't be decoded."""
    try:
        members = yield from split_object(text)
        deleted = members.get("Deleted")
        is_deleted = deleted is not None and from_json(deleted.data, bool)
        return (yield from _decode_object_part(members["Object"], is_deleted))
    except (SteeringError, ValueError, KeyError):
        return None


def _decode_page(body: bytes) -> Steps[Result[_ObjectPage, StoreFailure]]:
    """Return a page; malformed objects on it don't invalidate the others."""
    decoded = decode_answer(body, _Page)
    if isinstance(decoded, Success):
        found = [_decode_object(bytes(raw)) for raw in decoded.unwrap().items]
    if not isinstance(decoded, Success) or None in found:
        decoded, parts = yield from decode_parts(body, _Page, "items")
        found = []
        for part in parts:
            found.append((yield from _decode_object_part(part)))
    objects = tuple(stored for stored in found if stored is not None)
    return decoded.map(
        lambda page: _ObjectPage(page.StoreRevision, objects, page.HasMore)
    )


def _decode_changes(body: bytes) -> Steps[Result[ObjectList, StoreFailure]]:
    """Return changes; malformed objects in them don't invalidate the others."""
    decoded = decode_answer(body, _Changes)
    if isinstance(decoded, Success):
        events = decoded.unwrap().events
        found = [_decode_object(bytes(x.Object), x.Deleted) for x in events]
    if not isinstance(decoded, Success) or None in found:
        decoded, parts = yield from decode_parts(body, _Changes, "events")
        found = []
        for part in parts:
            found.append((yield from _decode_event_part(part)))
    objects = tuple(stored for stored in found if stored is not None)
    return decoded.map(lambda changes: ObjectList(changes.StoreRevision, objects))


def _decode_body(body: bytes) -> Steps[Result[StoredObject, StoreFailure]]:
    stored = _decode_object(body)
    if stored is None:
        text = yield from scan(body)
        stored = yield from _decode_object_part(text)
    if stored is None:
        message = "the store's answer is no object"
        return Failure(StoreFailure(StoreFailureKind.ANSWER_LOST, message))
    return Success(stored)
