"""The interface of the platform's object store, and a client over HTTP."""

from collections.abc import Awaitable, Callable, Mapping
from enum import Enum
from typing import Any, Protocol
from urllib.parse import quote

from attrs import evolve, frozen
from msgspec import Raw
from returns.result import Failure, Result, Success

from ebonybend.codec import from_json, to_json
from ebonybend.errors import SteeringError
from ebonybend.http_client import (
    HttpAnswer,
    HttpClient,
    NotSent,
    RequestCancelled,
    RequestFailed,
)
from ebonybend.json_scan import JsonText, scan, split_array, split_object
from ebonybend.logs import get_logger
from ebonybend.steps import Pause, Steps, complete_with_pauses

CALL_TIMEOUT_S = 2.0
# Added to the time for which the platform may hold a watch before it answers.
WATCH_MARGIN_S = 2.0
# Objects are below 1 MB; a list of many stays below this size.
MAX_ANSWER_BYTES = 64 << 20
# msgspec can't decode a Raw field whose default comes from a factory.
NULL = Raw(b"null")


class StoreFailureKind(Enum):
    """Why a call to the object store returned no result."""

    # The object's version isn't the one that was stated; nothing was written.
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    # The platform rejected the call for another reason; nothing was written.
    REJECTED = "rejected"
    # The call didn't reach the platform.
    UNAVAILABLE = "unavailable"
    # The platform takes no more calls now; nothing was done.
    THROTTLED = "throttled"
    # The call may have taken effect.
    ANSWER_LOST = "answer_lost"


@frozen
class StoredObject:
    """An object of the platform; its value is JSON."""

    name: str
    version: int
    value: Raw = NULL
    deleted: bool = False


@frozen
class ObjectList:
    """Objects of one kind, and the version up to which they are complete."""

    version: int
    items: tuple[StoredObject, ...] = ()
    # Whether these are all objects, though only changes were asked for.
    complete: bool = False
    # Era in which the version was given out; 0 if the store states none.
    era: int = 0


@frozen
class StoreFailure:
    """A failed call to the object store."""

    kind: StoreFailureKind
    message: str
    # On a conflict, the stored object; None if there is none.
    current: StoredObject | None = None
    # Whether this process cancelled the call.
    cancelled: bool = False


class ObjectStore(Protocol):
    """Versioned objects with conditional updates and watches."""

    async def list(self, kind: str) -> Result[ObjectList, StoreFailure]:
        """Return all objects of a kind."""
        ...

    async def get(self, kind: str, name: str) -> Result[StoredObject, StoreFailure]:
        """Return one object."""
        ...

    async def put(
        self, kind: str, name: str, value: bytes, version: int
    ) -> Result[int, StoreFailure]:
        """Write JSON if the version matches (0: no object); return the new version."""
        ...

    async def watch(
        self, kind: str, since: int, timeout_ms: int
    ) -> Result[ObjectList, StoreFailure]:
        """Return the objects changed since a version, or none after the timeout."""
        ...


@frozen
class _Written:
    """The answer to a successful write."""

    version: int


def _failure(answer: HttpAnswer) -> StoreFailure:
    message = f"platform answered {answer.status}"
    if answer.status == 404:
        return StoreFailure(StoreFailureKind.NOT_FOUND, message)
    if answer.status == 412:
        return StoreFailure(
            StoreFailureKind.CONFLICT, message, _decode_current(answer.body)
        )
    if answer.status >= 500:
        # A gateway may answer 5xx after the store has executed the call.
        return StoreFailure(StoreFailureKind.ANSWER_LOST, message)
    return StoreFailure(StoreFailureKind.REJECTED, message)


def _decode_current(body: bytes) -> StoredObject | None:
    try:
        return from_json(body, StoredObject | None)
    except SteeringError:
        return None


class PlatformClient:
    """A client of the platform's object store over HTTP."""

    def __init__(self, http: HttpClient, address: str, pause: Pause):
        self.http = http
        self.address = address
        # Lets the event loop do other work while a long answer is decoded.
        self.pause = pause
        # Calls since the start, for the metrics.
        self.platform_calls = 0

    async def list(self, kind: str) -> Result[ObjectList, StoreFailure]:
        """Return all objects of a kind."""
        answer = await self._call("GET", f"/v1/objects/{quote(kind)}")
        return await decode_with_pauses(answer, _decode_list, self.pause)

    async def get(self, kind: str, name: str) -> Result[StoredObject, StoreFailure]:
        """Return one object."""
        answer = await self._call("GET", _path(kind, name))
        return await decode_with_pauses(answer, _decode_stored, self.pause)

    async def put(
        self, kind: str, name: str, value: bytes, version: int
    ) -> Result[int, StoreFailure]:
        """Write JSON if the version matches (0: no object); return the new version."""
        headers = {"If-Match": str(version), "Content-Type": "application/json"}
        answer = await self._call("PUT", _path(kind, name), headers, value)
        written = answer.bind(lambda body: decode_answer(body, _Written))
        return written.map(lambda result: result.version)

    async def watch(
        self, kind: str, since: int, timeout_ms: int
    ) -> Result[ObjectList, StoreFailure]:
        """Return the objects changed since a version, or none after the timeout."""
        path = f"/v1/watch/{quote(kind)}?since={since}&timeout_ms={timeout_ms}"
        timeout = timeout_ms / 1000 + WATCH_MARGIN_S
        answer = await self._call("GET", path, timeout=timeout)
        return await decode_with_pauses(answer, _decode_list, self.pause)

    async def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout: float = CALL_TIMEOUT_S,
    ) -> Result[bytes, StoreFailure]:
        self.platform_calls += 1
        request = self.http.request(
            method, self.address, path, headers, body, timeout, MAX_ANSWER_BYTES
        )
        return await store_result(request, _failure)


async def store_result(
    request: Awaitable[HttpAnswer], failure_of: Callable[[HttpAnswer], StoreFailure]
) -> Result[bytes, StoreFailure]:
    """Return the body of the answer to a store call, or the kind of its failure."""
    try:
        answer = await request
    except NotSent as error:
        return Failure(StoreFailure(StoreFailureKind.UNAVAILABLE, str(error)))
    except RequestFailed as error:
        failure = StoreFailure(
            StoreFailureKind.ANSWER_LOST,
            str(error),
            cancelled=isinstance(error, RequestCancelled),
        )
        return Failure(failure)
    if 200 <= answer.status < 300:
        return Success(answer.body)
    return Failure(failure_of(answer))


def decode_answer(body: bytes, kind: type) -> Result[Any, StoreFailure]:
    """Return a decoded body; on an undecodable one, the call may have taken effect."""
    try:
        return Success(from_json(body, kind))
    except SteeringError as error:
        return Failure(StoreFailure(StoreFailureKind.ANSWER_LOST, error.message))


async def decode_with_pauses(
    answer: Result[bytes, StoreFailure],
    decode: Callable[[bytes], Steps[Result[Any, StoreFailure]]],
    pause: Pause,
) -> Result[Any, StoreFailure]:
    """Return a decoded answer; let the event loop do other work meanwhile."""
    if not isinstance(answer, Success):
        return answer
    return await complete_with_pauses(decode(answer.unwrap()), pause)


def decode_parts(
    body: bytes, kind: type, name: str
) -> Steps[tuple[Result[Any, StoreFailure], list[JsonText]]]:
    """Return an answer without one of its arrays, and the elements of the array."""
    try:
        text = yield from scan(body)
        members = yield from split_object(text)
        array = members.pop(name, None)
        parts = (yield from split_array(array)) if array else []
    except ValueError as error:
        failure = StoreFailure(StoreFailureKind.ANSWER_LOST, str(error))
        return Failure(failure), []
    get_logger().warning("store_answer_split", bytes=len(body), parts=len(parts))
    return decode_answer(_join_object(members), kind), parts


def _join_object(members: Mapping[str, JsonText]) -> bytes:
    pairs = (to_json(name) + b":" + value.data for name, value in members.items())
    return b"{" + b",".join(pairs) + b"}"


def _decode_list(body: bytes) -> Steps[Result[ObjectList, StoreFailure]]:
    whole = decode_answer(body, ObjectList)
    return whole if isinstance(whole, Success) else (yield from _split_list(body))


def _split_list(body: bytes) -> Steps[Result[ObjectList, StoreFailure]]:
    """Return a list with malformed objects, which don't invalidate the others."""
    found, parts = yield from decode_parts(body, ObjectList, "items")
    items = []
    for part in parts:
        item = yield from _decode_part(part)
        if item is not None:
            items.append(item)
    return found.map(lambda objects: evolve(objects, items=tuple(items)))


def _decode_stored(body: bytes) -> Steps[Result[StoredObject, StoreFailure]]:
    stored = _decode_whole(body)
    if stored is None:
        text = yield from scan(body)
        stored = yield from _decode_part(text)
    if stored is None:
        message = "the platform's answer is no object"
        return Failure(StoreFailure(StoreFailureKind.ANSWER_LOST, message))
    return Success(stored)


def _decode_whole(data: bytes) -> StoredObject | None:
    try:
        return from_json(data, StoredObject)
    except SteeringError:
        return None


def _decode_part(text: JsonText) -> Steps[StoredObject | None]:
    """Return an object, whose value may be malformed; None if another part is."""
    stored = _decode_whole(text.data)
    if stored is not None:
        return stored
    try:
        members = yield from split_object(text)
        value = members.pop("value", None)
        stored = from_json(_join_object(members), StoredObject)
    except (SteeringError, ValueError):
        return None
    return evolve(stored, value=Raw(value.data)) if value else stored


def _path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"
