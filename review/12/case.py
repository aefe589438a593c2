"""Clients on a slow link lose their answers when their node is stopped as planned."""

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.small_fleet import (  # noqa: E402
    FRONT_PORT,
    SmallFleet,
    request_bytes,
    route,
    run_case,
)

# The largest answer of a class of the site, and the work time of its sign-offs.
BODY_BYTES = 30_000
WORK_S = 0.3
# The link of each client: 100 kbit/s, so an answer needs 2.4 s.
LINK_BYTES_PER_S = 12_500
STEP_S = 0.05
DEADLINE_MS = 4000
CLIENTS = 6


class SlowClient:
    """A client with one kept connection, whose link carries little."""

    def __init__(self, fleet: SmallFleet, ip: str, number: int):
        self.record, self.ip, self.number = fleet.record, ip, number
        self.socket = socket.socket()
        # What the link holds: less than the client reads in half a second.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.socket.setblocking(False)

    async def connect(self) -> None:
        """Open the connection that all requests use."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.socket, (self.ip, FRONT_PORT))

    async def sign_off(self, name: str) -> bool:
        """Send a request; return whether a complete answer arrived in time."""
        loop = asyncio.get_running_loop()
        request_id = f"{name}-{self.number}"
        began = time.monotonic()
        data = b""
        await loop.sock_sendall(
            self.socket, request_bytes("/file/1", "POST", DEADLINE_MS, request_id)
        )
        self.record.write(f"client {self.number} sent {request_id}")
        missing = 1
        while missing > 0:
            await asyncio.sleep(STEP_S)
            try:
                part = await asyncio.wait_for(
                    loop.sock_recv(self.socket, int(LINK_BYTES_PER_S * STEP_S)), 10
                )
            except (OSError, TimeoutError) as error:
                part, reason = b"", repr(error)
            else:
                reason = "end of the connection"
            if not part:
                self.record.write(
                    f"client {self.number} {request_id}: {reason} after {len(data)}"
                    f" bytes, {time.monotonic() - began:.2f} s after the request"
                )
                return False
            data += part
            head, found, body = data.partition(b"\r\n\r\n")
            if found:
                length = head.lower().partition(b"content-length:")[2].split()[0]
                missing = int(length) - len(body)
        status = data.split()[1].decode()
        self.record.write(
            f"client {self.number} {request_id}: {status} with {len(body)} bytes,"
            f" {time.monotonic() - began:.2f} s after the request"
        )
        return True


async def case(fleet: SmallFleet, trouble: bool) -> bool:
    """Stop a node as planned while its endpoints work on requests."""
    for zone in ("kingston-a", "kingston-b", "montego-a"):
        fleet.add_node(zone)
        for _ in range(2):
            endpoint = await fleet.add_endpoint("signoff-svc", zone)
            endpoint.work_s, endpoint.body_bytes = WORK_S, BODY_BYTES
    fleet.list_endpoints()
    fleet.set_config(route("/file/", "unsafe", "signoff-svc", DEADLINE_MS, 3000))
    await fleet.start_nodes()
    node = fleet.nodes[0]
    clients = [SlowClient(fleet, node.ip, number) for number in range(CLIENTS)]
    for client in clients:
        await client.connect()
    before = await asyncio.gather(*(x.sign_off("before") for x in clients))
    asking = asyncio.gather(*(x.sign_off("around") for x in clients))
    await asyncio.sleep(WORK_S / 2)
    if trouble:
        fleet.record.write(f"SIGTERM to {node.name}")
        node.signal(signal.SIGTERM)
    around = await asking
    ran = {request_id for x in fleet.endpoints for _, request_id in x.ran}
    lost = [
        f"around-{x.number}"
        for x, answered in zip(clients, around, strict=True)
        if not answered and f"around-{x.number}" in ran
    ]
    fleet.record.write(f"before the stop {sum(before)} of {CLIENTS} were answered")
    fleet.record.write(f"ran, and not answered completely: {lost}")
    return not lost and all(before)


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
