"""The history file in which a backend server records its requests."""

import os
from typing import Literal

from attrs import frozen
from msgspec import json

# "broken" follows "finished" where the answer is outside the grammar.
EventKind = Literal["received", "started", "finished", "broken", "cancelled", "refused"]


@frozen
class ServerEvent:
    """One event of one request on one backend server."""

    # Seconds of the monotonic clock of the machine, comparable between processes.
    at: float
    server: str
    # Process id, to distinguish the runs of a restarted server.
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
    """A file of events as JSON lines, each written immediately."""

    def __init__(self, path: str):
        # Unbuffered, so that a crash loses no event.
        self.descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def write(self, event: ServerEvent) -> None:
        """Append one event."""
        os.write(self.descriptor, json.encode(event) + b"\n")
