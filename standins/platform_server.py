"""Stub of a backend endpoint on the platform that runs the node."""

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
        answer_body = b"%s %s " % (self.command.encode(), self.path.encode()) + body
        headers = {"Attempt-Id": request_id, "Server-Stamp": server.instance}
        self._send(200, answer_body, {**headers, "Server-Load": "1,0,4"})

    def _send(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = _answer  # noqa: N815

    def log_message(self, *_arguments: Any) -> None:
        """Suppress the access log."""


class PlatformEndpoint:
    """An endpoint on a loopback port that counts its runs of each request id."""

    def __init__(self, instance: str, address: str = "127.0.0.1"):
        self.server = ThreadingHTTPServer((address, 0), _Handler)
        self.server.daemon_threads = True
        self.server.instance = instance
        self.server.lock = Lock()
        self.server.runs = self.runs = Counter()
        self.address = f"{address}:{self.server.server_port}"
        Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Stop serving and close the port."""
        self.server.shutdown()
        self.server.server_close()
