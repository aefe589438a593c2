"""Serve and read the changes that a relay has read from the store."""

from collections.abc import Callable, Mapping
from urllib.parse import quote

from attrs import field, frozen
from msgspec import Raw
from returns.result import Failure, Result, Success

from ebonybend.codec import pack, unpack
from ebonybend.errors import SteeringError
from ebonybend.http_answers import IncomingRequest, OutgoingAnswer
from ebonybend.http_client import HttpAnswer, HttpClient
from ebonybend.http_router import Router
from ebonybend.store.client import (
    MAX_ANSWER_BYTES,
    ObjectList,
    StoredObject,
    StoreFailure,
    StoreFailureKind,
    store_result,
)
from ebonybend.store.watcher import Watcher

CHANGES_PATH = "/changes"
# Several round trips within a region.
FETCH_TIMEOUT_S = 0.5
# Status for a version whose changes are no longer known.
GONE = 410
# Of a version or an era.
MAX_DIGITS = 18


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
    # Whether these are all objects, because the reader's version is too old.
    complete: bool = False
    # Era of the store in which the version was given out.
    era: int = 0


def relay_router(watchers: Callable[[], Mapping[str, Watcher]]) -> Router:
    """Return the handler that serves the changes that this node has read."""

    async def changes(incoming: IncomingRequest) -> OutgoingAnswer:
        watcher = watchers().get(incoming.argument("kind") or "")
        since = incoming.argument("since") or ""
        era = incoming.argument("era") or "0"
        if watcher is None or not (_is_number(since) and _is_number(era)):
            message = b"no such kind, or since or era is no number\n"
            return OutgoingAnswer(400, message)
        found = watcher.changes_since(int(since), int(era))
        if found is None:
            return OutgoingAnswer(GONE)
        items = [
            RelayedObject(item.name, item.version, bytes(item.value), item.deleted)
            for item in found.items
        ]
        return OutgoingAnswer(
            200, pack(RelayedChanges(found.version, items, found.complete, found.era))
        )

    router = Router()
    router.add("GET", CHANGES_PATH, changes)
    return router


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


class RelayClient:
    """Read changes from a relay."""

    def __init__(self, http: HttpClient):
        self.http = http

    async def fetch(
        self, address: str, kind: str, since: int, era: int = 0
    ) -> Result[ObjectList, StoreFailure]:
        """Return the changes of a kind since a version of an era."""
        path = f"{CHANGES_PATH}?kind={quote(kind, safe='')}&since={since}&era={era}"
        request = self.http.request(
            "GET", address, path, timeout=FETCH_TIMEOUT_S, max_body=MAX_ANSWER_BYTES
        )
        answer = await store_result(request, _failure)
        return answer.bind(_decode_changes)


def _failure(answer: HttpAnswer) -> StoreFailure:
    message = f"the relay answered {answer.status}"
    return StoreFailure(StoreFailureKind.REJECTED, message)


def _decode_changes(body: bytes) -> Result[ObjectList, StoreFailure]:
    try:
        changes = unpack(body, RelayedChanges)
    except SteeringError as error:
        return Failure(StoreFailure(StoreFailureKind.REJECTED, error.message))
    items = (
        StoredObject(item.name, item.version, Raw(item.value), item.deleted)
        for item in changes.items
    )
    return Success(
        ObjectList(changes.version, tuple(items), changes.complete, changes.era)
    )
