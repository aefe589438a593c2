"""Stub of a backend endpoint on the platform that runs the node."""

import socket
import struct
from collections import Counter
from http.server import BaseHTTPRequestHandler
from threading import Lock, Thread
from time import monotonic, sleep
from typing import Any

from standins.broken_answers import BROKEN_ANSWERS, AnswerChange
from standins.threaded_server import ThreadedServer

# Closes a connection with a reset.
NO_LINGER = struct.pack("ii", 1, 0)


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
            fields = {"Instance-Id": endpoint.instance}
            self._send(421, b"", {**fields, **endpoint.answer_headers})
            return
        headers = {"Attempt-Id": request_id, **endpoint.answer_headers}
        with endpoint.lock:
            endpoint.arrived.append((monotonic(), request_id))
            retry_after = endpoint.retry_after
            if retry_after is None:
                endpoint.runs[request_id] += 1
                endpoint.started.append((monotonic(), request_id))
        if retry_after is not None:
            endpoint.turned_away.append(monotonic())
            fields = {"Not-Executed": "1", "Retry-After": retry_after}
            self._send(503, b"", {**headers, **fields})
            return
        if endpoint.crashes_under(self.path, self.headers["User-Agent"]):
            self.close_connection = True
            endpoint.crash()
            return
        is_long = endpoint.long_marker and endpoint.long_marker in self.path
        sleep(endpoint.long_service_s if is_long else endpoint.service_s)
        if endpoint.use_up("answers_to_lose"):
            self.close_connection = True
            return
        answer_body = b"%s %s " % (self.command.encode(), self.path.encode()) + body
        headers["Server-Stamp"] = endpoint.instance
        self._send(200, answer_body, {**headers, "Server-Load": "1,0,4"})

    def _send(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        lines = [f"HTTP/1.1 {status} {self.responses[status][0]}"]
        fields = {**headers, "Content-Length": str(len(body))}
        lines += [f"{name}: {value}" for name, value in fields.items()]
        answer = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        endpoint: PlatformEndpoint = self.server.endpoint
        if endpoint.use_up("answers_to_break"):
            answer = endpoint.break_answer(answer)
            endpoint.broken[headers.get("Attempt-Id")] += 1
        self.wfile.write(self.late_copies + answer)
        repeats = endpoint.use_up("answers_to_repeat")
        self.late_copies = answer if repeats else b""

    do_GET = do_POST = _answer  # noqa: N815

    def log_message(self, *_arguments: Any) -> None:
        """Suppress the access log."""


class _EndpointServer(ThreadedServer):
    """A server that can reset its open connections."""

    # The address is used again at once after a crash.
    allow_reuse_address = True

    def __init__(self, address: tuple[str, int]):
        super().__init__(address, _Handler)
        self.connections: set[socket.socket] = set()

    def process_request(self, request: Any, client_address: Any) -> None:
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        self.connections.discard(request)
        super().shutdown_request(request)

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                # Closed meanwhile by its own thread.
                self.connections.discard(connection)


class PlatformEndpoint:
    """An endpoint on a loopback port that counts its runs of each request id."""

    def __init__(
        self, instance: str, address: str = "127.0.0.1", service_s: float = 0.0
    ):
        self.instance = instance
        self.service_s = service_s
        self.lock = Lock()
        self.runs: Counter[str] = Counter()
        # Time and id of each run, and of each request that it received.
        self.started: list[tuple[float, str]] = []
        self.arrived: list[tuple[float, str]] = []
        # Answers that get lost after the run, and that are sent a second time, late.
        self.answers_to_lose = 0
        self.answers_to_repeat = 0
        # Answers that are changed before they are sent, and how.
        self.answers_to_break = 0
        self.break_answer: AnswerChange = BROKEN_ANSWERS["status b'000'"]
        # Number of changed answers by request id.
        self.broken: Counter[str] = Counter()
        # Added to each answer, such as Server-Leaving and Server-Limit.
        self.answer_headers: dict[str, str] = {}
        # If set, requests are turned away with 503 and this Retry-After.
        self.retry_after: str | None = None
        # Times at which requests were turned away.
        self.turned_away: list[float] = []
        # A request whose path contains it crashes the endpoint when it begins to run.
        self.crash_marker = ""
        # So does each request of a caller with this name.
        self.crash_sender = ""
        # A request whose path contains the marker needs this time.
        self.long_marker = ""
        self.long_service_s = 0.0
        # Times of the crashes.
        self.crashed: list[float] = []
        self._listen((address, 0))
        self.address = f"{address}:{self.server.server_port}"

    def _listen(self, address: tuple[str, int]) -> None:
        self.server = _EndpointServer(address)
        self.server.endpoint = self
        Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    def use_up(self, fault: str) -> bool:
        """Return whether a fault applies to this answer, and count it down."""
        with self.lock:
            remaining = getattr(self, fault)
            if remaining:
                setattr(self, fault, remaining - 1)
            return remaining > 0

    def crashes_under(self, path: str, sender: str | None) -> bool:
        """Return whether the endpoint crashes when it begins to run a request."""
        has_marker = self.crash_marker != "" and self.crash_marker in path
        return has_marker or (self.crash_sender != "" and sender == self.crash_sender)

    def is_listening(self) -> bool:
        """Return whether the endpoint accepts connections."""
        return self.server.socket.fileno() >= 0

    def crash(self) -> None:
        """Close the port and reset all connections, as when the process ends."""
        self.crashed.append(monotonic())
        server = self.server
        server.socket.close()
        server.reset_connections()
        server.shutdown()

    def restart(self, instance: str) -> None:
        """Listen on the same address again, as a new incarnation."""
        self.instance = instance
        host, _, port = self.address.rpartition(":")
        self._listen((host, int(port)))

    def stop(self) -> None:
        """Stop serving and close the port."""
        self.server.shutdown()
        self.server.server_close()
