"""The file in which a backend server records what it ran."""

import os
from typing import Literal

from attrs import frozen
from msgspec import json

EventKind = Literal["received", "started", "finished", "cancelled", "refused"]


@frozen
class ServerEvent:
    """One event of one request on one backend server."""

    # Seconds of the machine's monotonic clock, comparable between processes.
    at: float
    server: str
    # Process id, so that two runs of a server can be told apart.
    process: int
    event: EventKind
    request_id: str
    key: str
    fingerprint: str
    method: str
    path: str
    # Requests running on the server after the event.
    in_flight: int
    slots: int
    draining: bool = False
    # Open connections to the server's port.
    connections: int = 0


class HistoryFile:
    """Append events as JSON lines; each is written at once."""

    def __init__(self, path: str):
        # Without a buffer, so that a crash loses no event.
        self.descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def write(self, event: ServerEvent) -> None:
        """Append one event."""
        os.write(self.descriptor, json.encode(event) + b"\n")
