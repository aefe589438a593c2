"""Stub of a backend endpoint on the platform that runs the node."""

from collections import Counter
from http.server import BaseHTTPRequestHandler
from threading import Lock, Thread
from time import monotonic, sleep
from typing import Any

from standins.threaded_server import ThreadedServer


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    # Copies of answers that are sent before the next answer on the connection.
    late_copies = b""

    def _answer(self) -> None:
        endpoint: PlatformEndpoint = self.server.endpoint
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        request_id = self.headers["Attempt-Id"]
        if self.headers["Expect-Instance"] != endpoint.instance:
            self._send(421, b"", {"Instance-Id": endpoint.instance})
            return
        with endpoint.lock:
            endpoint.runs[request_id] += 1
            endpoint.started.append((monotonic(), request_id))
        sleep(endpoint.service_s)
        if endpoint.use_up("answers_to_lose"):
            self.close_connection = True
            return
        answer_body = b"%s %s " % (self.command.encode(), self.path.encode()) + body
        headers = {"Attempt-Id": request_id, "Server-Stamp": endpoint.instance}
        self._send(200, answer_body, {**headers, "Server-Load": "1,0,4"})

    def _send(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        lines = [f"HTTP/1.1 {status} {self.responses[status][0]}"]
        fields = {**headers, "Content-Length": str(len(body))}
        lines += [f"{name}: {value}" for name, value in fields.items()]
        answer = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.wfile.write(self.late_copies + answer)
        repeats = self.server.endpoint.use_up("answers_to_repeat")
        self.late_copies = answer if repeats else b""

    do_GET = do_POST = _answer  # noqa: N815

    def log_message(self, *_arguments: Any) -> None:
        """Suppress the access log."""


class PlatformEndpoint:
    """An endpoint on a loopback port that counts its runs of each request id."""

    def __init__(
        self, instance: str, address: str = "127.0.0.1", service_s: float = 0.0
    ):
        self.instance = instance
        self.service_s = service_s
        self.lock = Lock()
        self.runs: Counter[str] = Counter()
        # Time and id of each run.
        self.started: list[tuple[float, str]] = []
        # Answers that get lost after the run, and that are sent a second time, late.
        self.answers_to_lose = 0
        self.answers_to_repeat = 0
        self.server = ThreadedServer((address, 0), _Handler)
        self.server.endpoint = self
        self.address = f"{address}:{self.server.server_port}"
        Thread(target=self.server.serve_forever, daemon=True).start()

    def use_up(self, fault: str) -> bool:
        """Return whether a fault applies to this answer, and count it down."""
        with self.lock:
            remaining = getattr(self, fault)
            if remaining:
                setattr(self, fault, remaining - 1)
            return remaining > 0

    def stop(self) -> None:
        """Stop serving and close the port."""
        self.server.shutdown()
        self.server.server_close()
