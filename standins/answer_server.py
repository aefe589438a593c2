"""Stub server that answers every request with bytes of a test's choice."""

import socket
from collections.abc import Callable
from socketserver import StreamRequestHandler, ThreadingTCPServer
from threading import Thread
from typing import Any

# Returns the bytes to answer a request's head with.
Answer = Callable[[bytes], bytes]


class _Handler(StreamRequestHandler):
    def handle(self) -> None:
        while head := self._read_head():
            self.server.requests += 1
            self.wfile.write(self.server.answer(head))

    def _read_head(self) -> bytes:
        """Return the head of the next request, or nothing at the connection's end."""
        lines = []
        length = 0
        while line := self.rfile.readline():
            lines.append(line)
            if line == b"\r\n":
                break
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        self.rfile.read(length)
        return b"".join(lines)


class AnswerServer(ThreadingTCPServer):
    """A server on a loopback port, with one thread for each connection."""

    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, answer: Answer):
        super().__init__(("127.0.0.1", 0), _Handler)
        self.answer = answer
        # Number of requests received.
        self.requests = 0
        self.address = f"127.0.0.1:{self.server_address[1]}"
        Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    def handle_error(self, request: socket.socket, client_address: Any) -> None:
        """Ignore connections that their clients close."""

    def stop(self) -> None:
        """Stop serving and close the port."""
        self.shutdown()
        self.server_close()
