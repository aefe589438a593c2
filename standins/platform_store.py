"""Stand-in for the store of the users' platform, as its published pages describe it."""

import json
from collections.abc import Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Condition, Thread
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

PAGE = 500


class PlatformStoreState:
    """Objects by kind and name, and the history of their changes."""

    def __init__(self) -> None:
        self.changed = Condition()
        self.revision = 1
        self.kinds: dict[str, dict[str, Any]] = {}
        # (revision, kind, object, whether it was removed)
        self.history: list[tuple[int, str, Any, bool]] = []
        # Revision up to which the history is gone.
        self.forgotten = 0
        # Answer every call with this status, if set.
        self.refuse_with: int | None = None

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object whatever its revision."""
        with self.changed:
            return self._write(kind, name, spec)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self.changed:
            self.revision += 1
            gone = self.kinds[kind].pop(name)
            gone["Metadata"]["Rev"] = self.revision
            self._note(kind, gone, True)

    def forget_history(self) -> None:
        """Drop the history; watches from before get 410."""
        with self.changed:
            self.revision += 1
            self.forgotten = self.revision
            self.history.clear()
            self.changed.notify_all()

    def _write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        self.revision += 1
        metadata = {"Name": name, "Rev": self.revision, "Finalizers": []}
        written = {"Metadata": metadata, "Spec": spec, "Status": None}
        self.kinds.setdefault(kind, {})[name] = written
        self._note(kind, written, False)
        return written

    def _note(self, kind: str, value: Any, removed: bool) -> None:
        snapshot = json.loads(json.dumps(value))
        self.history.append((self.revision, kind, snapshot, removed))
        self.changed.notify_all()

    def create(self, kind: str, body: Mapping[str, Any]) -> tuple[int, Any]:
        """Create an object; 409 if it exists."""
        name = body["Metadata"]["Name"]
        with self.changed:
            known = self.kinds.get(kind, {}).get(name)
            if known is not None:
                return 409, known
            return 201, self._write(kind, name, body["Spec"])

    def replace(self, kind: str, name: str, body: Mapping[str, Any]) -> tuple[int, Any]:
        """Replace an object; 409 if it has another revision."""
        with self.changed:
            known = self.kinds.get(kind, {}).get(name)
            if known is None:
                return 404, {"Error": "no such object"}
            told = body["Metadata"].get("Rev")
            if told is not None and told != known["Metadata"]["Rev"]:
                return 409, known
            return 200, self._write(kind, name, body["Spec"])

    def page(self, kind: str, after: str) -> tuple[int, Any]:
        """List the objects of a kind."""
        with self.changed:
            names = sorted(n for n in self.kinds.get(kind, {}) if n > after)
            items = [self.kinds[kind][name] for name in names[:PAGE]]
            more = len(names) > PAGE
            return 200, {
                "items": items,
                "HasMore": more,
                "StoreRevision": self.revision,
            }

    def watch(self, kind: str, since: int, wait_s: float) -> tuple[int, Any]:
        """Return the changes after a revision, or none after a time."""
        with self.changed:
            self.changed.wait_for(
                lambda: since < self.forgotten or self._events(kind, since), wait_s
            )
            if since < self.forgotten:
                return 410, {"Error": "the history is gone"}
            events = self._events(kind, since)
            return 200, {"events": events, "StoreRevision": self.revision}

    def _events(self, kind: str, since: int) -> list[Any]:
        return [
            {"Object": value, "Deleted": removed}
            for revision, changed, value, removed in self.history
            if changed == kind and revision > since
        ]


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def _answer(self) -> None:
        length = int(self.headers.get("Content-Length", 0))
        body = json.loads(self.rfile.read(length)) if length else {}
        state: PlatformStoreState = self.server.state
        if state.refuse_with is not None:
            status, value = state.refuse_with, {"Error": "refused"}
        else:
            status, value = self._call(state, body)
        data = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def _call(self, state: PlatformStoreState, body: Any) -> tuple[int, Any]:
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
        """Write no access log."""


class PlatformStoreServer:
    """The store on a port of the loopback interface."""

    def __init__(self, address: str = "127.0.0.1"):
        self.state = PlatformStoreState()
        self.server = ThreadingHTTPServer((address, 0), _Handler)
        self.server.daemon_threads = True
        self.server.state = self.state
        self.address = f"{address}:{self.server.server_port}"
        self.thread = Thread(target=self.server.serve_forever, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Close the port."""
        self.server.shutdown()
        self.server.server_close()
