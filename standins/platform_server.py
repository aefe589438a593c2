"""Stand-in for an endpoint of the users' platform."""

from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Lock, Thread
from typing import Any


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def _answer(self) -> None:
        server = self.server
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        request_id = self.headers["Attempt-Id"]
        if self.headers["Expect-Instance"] != server.instance:
            self._send(421, b"", {"Instance-Id": server.instance})
            return
        with server.lock:
            server.runs[request_id] += 1
        text = b"%s %s " % (self.command.encode(), self.path.encode()) + body
        stamp = {"Attempt-Id": request_id, "Server-Stamp": server.instance}
        self._send(200, text, {**stamp, "Server-Load": "1,0,4"})

    def _send(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = _answer  # noqa: N815

    def log_message(self, *_arguments: Any) -> None:
        """Write no access log."""


class PlatformEndpoint:
    """An endpoint on a port of the loopback interface; counts what it runs."""

    def __init__(self, instance: str, address: str = "127.0.0.1"):
        self.server = ThreadingHTTPServer((address, 0), _Handler)
        self.server.daemon_threads = True
        self.server.instance = instance
        self.server.lock = Lock()
        self.server.runs = self.runs = Counter()
        self.address = f"{address}:{self.server.server_port}"
        Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Close the port."""
        self.server.shutdown()
        self.server.server_close()
