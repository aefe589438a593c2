"""Clients that follow the directory, and the planned stop of a machine."""

import asyncio
import random
import signal
import time
from collections.abc import Callable

from review.common.deployment import HOST, ZONES, Deployment, Node
from review.common.traffic import Client, Outcome, resolve


class Caller:
    """A client that follows the directory; some keep an answer three times as long."""

    def __init__(
        self, deployment: Deployment, zone: str, lifetime_s: float, deadline_ms: int
    ):
        self.zone = zone
        self.deadline_ms = deadline_ms
        self.directories = [
            (node.ip, deployment.ports["directory"]) for node in deployment.nodes
        ]
        self.lifetime_s = lifetime_s
        self.expires_at = 0.0
        self.is_first = True
        self.addresses: list[tuple[str, int]] = []
        self.client: Client | None = None
        self.failed: set[tuple[str, int]] = set()

    async def send(self, path: str, key: str) -> Outcome | None:
        """Send one request to a node that the directory named."""
        if time.monotonic() >= self.expires_at:
            await self.look_up()
        addresses = [item for item in self.addresses if item not in self.failed]
        if not addresses:
            return None
        if self.client is None or self.client.address not in addresses:
            self.client = Client(random.choice(addresses), HOST)
        outcome = await self.client.send("GET", path, key, self.deadline_ms)
        if outcome.result == "not connected":
            self.failed.add(self.client.address)
        return outcome

    async def look_up(self) -> None:
        """Ask a directory for the addresses to use."""
        for address in self.directories:
            found = await resolve(address, HOST, self.zone, ZONES[self.zone])
            if found:
                self.addresses = found
                self.failed.clear()
                # The first answer was received at some time before the day began.
                age_s = random.random() * self.lifetime_s if self.is_first else 0.0
                self.is_first = False
                self.expires_at = time.monotonic() + self.lifetime_s - age_s
                return


async def call(
    caller: Caller,
    period_s: float,
    next_path: Callable[[], str],
    outcomes: list[tuple[tuple[str, int], Outcome]],
    until: float,
) -> None:
    """Send requests at a fixed period."""
    await asyncio.sleep(random.random() * period_s)
    while time.monotonic() < until:
        began = time.monotonic()
        path = next_path()
        outcome = await caller.send(path, path.rsplit("/", 1)[1])
        if outcome is not None:
            outcomes.append((caller.client.address, outcome))
        await asyncio.sleep(max(began + period_s - time.monotonic(), 0.01))


async def stop_node(node: Node, grace_s: float) -> float:
    """Stop a node as the platform does; return the time of SIGTERM."""
    stopped_at = time.monotonic()
    node.signal(signal.SIGTERM)
    while node.process.poll() is None and time.monotonic() < stopped_at + grace_s:
        await asyncio.sleep(0.02)
    node.end()
    return stopped_at
