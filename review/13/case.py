"""After the limit on headers was raised, kept connections still have the old one."""

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.small_fleet import (  # noqa: E402
    FRONT_PORT,
    HOST,
    Node,
    SmallFleet,
    read_head,
    route,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("kingston-a", "kingston-b", "montego-a")
CLIENTS_PER_NODE = 10
# Requests a second of each client.
RATE = 2.0
OLD_LIMIT, NEW_LIMIT = 16384, 32768
# The headers of a client's requests, in each of the two times.
SMALL_BYTES, LARGE_BYTES = 1_000, 20_000
LINE_BYTES = 4_000
APPLY_S = 2.5
BEFORE_S, WAIT_S, AFTER_S = 4.0, 4.0, 6.0
# DENIED: more than 5 + one in 500 of all requests, with these statuses.
SLACK, FRACTION = 5, 1 / 500
NOT_COUNTED = (408, 421, 429)


class Client:
    """A client that keeps its connection until an answer closes it."""

    def __init__(self, fleet: SmallFleet, node: Node, number: int):
        self.record, self.node, self.number = fleet.record, node, number
        self.connection = None
        self.header_bytes = SMALL_BYTES
        self.statuses: list[int | None] = []
        # Whether the last answer was the node's own.
        self.is_own = False
        self.denied: list[str] = []

    async def run(self, until: float) -> None:
        """Send one request after the other until a time."""
        await asyncio.sleep(self.number % CLIENTS_PER_NODE / CLIENTS_PER_NODE / RATE)
        for count in itertools.count(1):
            if time.monotonic() > until:
                return
            name = f"r-{self.number}-{count}"
            size = self.header_bytes
            status = await self.send(name, size)
            self.statuses.append(status)
            is_denial = status is not None and 300 <= status < 500
            if is_denial and self.is_own and status not in NOT_COUNTED:
                self.denied.append(name)
            self.record.write(f"{name} with {size} bytes of headers: {status}")
            await asyncio.sleep(1 / RATE)

    async def send(self, name: str, size: int) -> int | None:
        """Send a request; return the status of its answer."""
        if self.connection is None:
            self.connection = await asyncio.open_connection(self.node.ip, FRONT_PORT)
        reader, writer = self.connection
        head = (
            f"GET /read/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {name}\r\n"
            f"Deadline-Ms: 1200\r\n"
        )
        for number in range(-(-size // LINE_BYTES)):
            start = f"Record-{number}: "
            left = min(size - len(head), LINE_BYTES) - len(start) - len("\r\n\r\n")
            head += f"{start}{'c' * max(left, 1)}\r\n"
        writer.write(f"{head}\r\n".encode())
        try:
            line, headers = await read_head(reader)
            await reader.readexactly(int(headers["content-length"]))
        except (OSError, asyncio.IncompleteReadError):
            status, ends = None, True
        else:
            status = int(line.split()[1])
            self.is_own = "server-stamp" not in headers
            ends = headers.get("connection", "").lower() == "close"
        if ends:
            writer.close()
            self.connection = None
        return status


def set_config(fleet: SmallFleet, max_header_bytes: int) -> None:
    """Write the next desired state, with a limit on headers."""
    fleet.set_config(
        route("/read/", "safe", "history-svc", 800, 300),
        max_header_bytes=max_header_bytes,
    )
    fleet.record.write(f"version {fleet.version}: MaxHeaderBytes {max_header_bytes}")


async def case(fleet: SmallFleet, trouble: bool) -> bool:
    """Raise the limit on headers while clients keep their connections."""
    for zone in ZONES:
        fleet.add_node(zone)
        for _ in range(2):
            await fleet.add_endpoint("history-svc", zone)
    fleet.list_endpoints()
    set_config(fleet, OLD_LIMIT if trouble else NEW_LIMIT)
    await fleet.start_nodes()
    clients = [
        Client(fleet, node, number * CLIENTS_PER_NODE + index)
        for number, node in enumerate(fleet.nodes)
        for index in range(CLIENTS_PER_NODE)
    ]
    until = time.monotonic() + BEFORE_S + WAIT_S + AFTER_S
    running = asyncio.gather(*(x.run(until) for x in clients))
    await asyncio.sleep(BEFORE_S)
    if trouble:
        set_config(fleet, NEW_LIMIT)
    # Longer than ApplyMs, so that only the new limit is in force.
    assert WAIT_S > APPLY_S
    await asyncio.sleep(WAIT_S)
    for client in clients:
        client.header_bytes = LARGE_BYTES
    await running
    sent = sum(len(client.statuses) for client in clients)
    denied = [name for client in clients for name in client.denied]
    answered = sum(x == 200 for client in clients for x in client.statuses)
    allowed = SLACK + sent * FRACTION
    fleet.record.write(f"{answered} of {sent} requests were served")
    fleet.record.write(f"{len(denied)} denied; allowed: {allowed:.1f}: {denied}")
    return answered > 0 and len(denied) <= allowed


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER, TROUBLE))
