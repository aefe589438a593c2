"""A threaded HTTP server for stubs in the process of a test."""

import sys
from http.server import ThreadingHTTPServer
from typing import Any


class ThreadedServer(ThreadingHTTPServer):
    """A server with one thread for each connection."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that their callers close, and report other errors."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)
