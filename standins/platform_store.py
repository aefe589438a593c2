"""Stub of the object store on the platform that runs the node.

It follows the published description of the platform.
"""

import json
from collections.abc import Mapping
from copy import deepcopy
from http.server import BaseHTTPRequestHandler
from threading import Condition, Thread
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from attrs import frozen

from standins.threaded_server import ThreadedServer

PAGE_SIZE = 500
ERA_HEADER = "Store-Era"


@frozen
class StoreCopy:
    """The contents of a store at some time."""

    revision: int
    kinds: dict[str, dict[str, Any]]
    history: list[tuple[int, str, Any, bool]]


class PlatformStoreState:
    """Objects by kind and name, and the history of their changes."""

    def __init__(self) -> None:
        self.changed = Condition()
        self.revision = 1
        # Rises each time the store comes back from an older copy.
        self.era = 1
        # Rises each time the waiting watches are cut off.
        self.watch_cuts = 0
        self.kinds: dict[str, dict[str, Any]] = {}
        # Entries: revision, kind, object, whether the object was removed.
        self.history: list[tuple[int, str, Any, bool]] = []
        # Watches from below this revision get 410.
        self.compacted_revision = 0
        # Status with which every call is answered, if set.
        self.error_status: int | None = None
        # JSON text of specs that json.dumps can't write, by the marker in its place.
        self.raw_specs: dict[str, str] = {}

    def put_raw(self, kind: str, name: str, text: str) -> None:
        """Write an object whose spec is any JSON text, as another writer may."""
        marker = f"raw spec {len(self.raw_specs)}"
        self.raw_specs[marker] = text
        self.put(kind, name, marker)

    def encode(self, value: Any) -> bytes:
        """Return the JSON text of an answer."""
        text = json.dumps(value)
        for marker, raw in self.raw_specs.items():
            text = text.replace(f'"{marker}"', raw)
        return text.encode()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object, regardless of its revision."""
        with self.changed:
            return self._write(kind, name, spec)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self.changed:
            self.revision += 1
            removed = self.kinds[kind].pop(name)
            removed["Metadata"]["Rev"] = self.revision
            self._record_change(kind, removed, True)

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        with self.changed:
            return deepcopy(StoreCopy(self.revision, self.kinds, self.history))

    def restore(self, copy: StoreCopy) -> None:
        """Come back from an older copy; revisions since then are given out again.

        Watches that wait are cut off.
        """
        with self.changed:
            restored = deepcopy(copy)
            self.era += 1
            self.revision = restored.revision
            self.kinds = restored.kinds
            self.history = restored.history
            self.changed.notify_all()

    def cut_watches(self) -> None:
        """Close the connections of the watches that wait."""
        with self.changed:
            self.watch_cuts += 1
            self.changed.notify_all()

    def drop_history(self) -> None:
        """Drop the history, so that watches from earlier revisions get 410."""
        with self.changed:
            self.revision += 1
            self.compacted_revision = self.revision
            self.history.clear()
            self.changed.notify_all()

    def _write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        self.revision += 1
        metadata = {"Name": name, "Rev": self.revision, "Finalizers": []}
        written = {"Metadata": metadata, "Spec": spec, "Status": None}
        self.kinds.setdefault(kind, {})[name] = written
        self._record_change(kind, written, False)
        return written

    def _record_change(self, kind: str, value: Any, removed: bool) -> None:
        snapshot = json.loads(json.dumps(value))
        self.history.append((self.revision, kind, snapshot, removed))
        self.changed.notify_all()

    def create(self, kind: str, body: Mapping[str, Any]) -> tuple[int, Any]:
        """Create an object; return 409 if it exists."""
        name = body["Metadata"]["Name"]
        with self.changed:
            current = self.kinds.get(kind, {}).get(name)
            if current is not None:
                return 409, current
            return 201, self._write(kind, name, body["Spec"])

    def replace(self, kind: str, name: str, body: Mapping[str, Any]) -> tuple[int, Any]:
        """Replace an object; return 409 if the expected revision doesn't match."""
        with self.changed:
            current = self.kinds.get(kind, {}).get(name)
            if current is None:
                return 404, {"Error": "no such object"}
            expected = body["Metadata"].get("Rev")
            if expected is not None and expected != current["Metadata"]["Rev"]:
                return 409, current
            return 200, self._write(kind, name, body["Spec"])

    def page(self, kind: str, after: str) -> tuple[int, Any]:
        """Return one page of the objects of a kind, by name after a given one."""
        with self.changed:
            names = sorted(n for n in self.kinds.get(kind, {}) if n > after)
            items = [self.kinds[kind][name] for name in names[:PAGE_SIZE]]
            has_more = len(names) > PAGE_SIZE
            return 200, {
                "items": items,
                "HasMore": has_more,
                "StoreRevision": self.revision,
            }

    def watch(self, kind: str, since: int, wait_s: float) -> tuple[int, Any]:
        """Return the changes after a revision; wait up to wait_s for the first."""
        with self.changed:
            era, cuts = self.era, self.watch_cuts

            def is_unknown() -> bool:
                return not self.compacted_revision <= since <= self.revision

            self.changed.wait_for(
                lambda: (
                    self.era != era
                    or self.watch_cuts != cuts
                    or is_unknown()
                    or self._events(kind, since)
                ),
                wait_s,
            )
            if self.era != era or self.watch_cuts != cuts:
                raise ConnectionAbortedError
            if is_unknown():
                return 410, {"Error": "the history is gone"}
            events = self._events(kind, since)
            return 200, {"events": events, "StoreRevision": self.revision}

    def _events(self, kind: str, since: int) -> list[Any]:
        return [
            {"Object": value, "Deleted": removed}
            for revision, changed_kind, value, removed in self.history
            if changed_kind == kind and revision > since
        ]


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def _answer(self) -> None:
        length = int(self.headers.get("Content-Length", 0))
        body = json.loads(self.rfile.read(length)) if length else {}
        state: PlatformStoreState = self.server.state
        if state.error_status is not None:
            status, value = state.error_status, {"Error": "refused"}
        else:
            status, value = self._dispatch(state, body)
        data = state.encode(value)
        self.send_response(status)
        self.send_header(ERA_HEADER, str(state.era))
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def _dispatch(self, state: PlatformStoreState, body: Any) -> tuple[int, Any]:
        url = urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[2:]]
        if self.command == "POST":
            return state.create(parts[0], body)
        if self.command == "PUT":
            return state.replace(parts[0], parts[1], body)
        if "Watch" in query:
            wait_s = int(query.get("WaitMs", 0)) / 1000
            return state.watch(parts[0], int(query["Watch"]), wait_s)
        if len(parts) == 1:
            return state.page(parts[0], query.get("after", ""))
        found = state.kinds.get(parts[0], {}).get(parts[1])
        return (200, found) if found else (404, {"Error": "no such object"})

    do_GET = do_POST = do_PUT = _answer  # noqa: N815

    def log_message(self, *_arguments: Any) -> None:
        """Suppress the access log."""


class PlatformStoreServer:
    """The store on a loopback port."""

    def __init__(self, address: str = "127.0.0.1"):
        self.state = PlatformStoreState()
        self.server = ThreadedServer((address, 0), _Handler)
        self.server.state = self.state
        self.address = f"{address}:{self.server.server_port}"
        self.thread = Thread(target=self.server.serve_forever, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Stop serving and close the port."""
        self.server.shutdown()
        self.server.server_close()
