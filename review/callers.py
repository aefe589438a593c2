"""Clients that follow the directory, and the planned stop of a machine."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

from review.deployment import HOST, ZONES, Deployment, Node
from review.traffic import Connection, Outcome, resolve

TTL_S = 2.0
# Answers after which no client sends again.
FINAL = ("400", "401", "404", "413", "431")
PROMISES = ("408", "421", "429", "503")


class Caller:
    """A client of a zone; some keep an answer of the directory three times as long."""

    def __init__(
        self,
        deployment: Deployment,
        zone: str,
        outcomes: list[Outcome],
        seen: set[str],
        keeps_long: bool = False,
        source_ip: str = "",
        name: str = "",
    ):
        nodes = sorted(
            deployment.nodes,
            key=lambda n: (n.zone != zone, ZONES[n.zone] != ZONES[zone]),
        )
        self.directories = [(n.ip, deployment.ports["directory"]) for n in nodes[:3]]
        self.zone = zone
        self.outcomes = outcomes
        self.seen = seen
        self.lifetime_s = TTL_S * (3 if keeps_long else 1)
        self.source_ip = source_ip
        self.name = name
        self.addresses: list[tuple[str, int]] = []
        self.failed: set[tuple[str, int]] = set()
        # The first answer was received at some time before the day began.
        self.age_s = random.random() * self.lifetime_s
        self.expires_at = 0.0
        self.connection: Connection | None = None

    async def look_up(self) -> None:
        """Ask a directory for the addresses to use."""
        for address in self.directories:
            found = await resolve(address, HOST, self.zone, ZONES[self.zone])
            if found:
                self.addresses = found
                self.failed.clear()
                self.expires_at = time.monotonic() + self.lifetime_s - self.age_s
                self.age_s = 0.0
                return

    async def send(
        self,
        method: str,
        path: str,
        key: str,
        deadline_ms: int,
        body: bytes = b"",
        retries: int = 1,
    ) -> None:
        """Send a request, again where the protocol allows it."""
        ends_at = time.monotonic() + deadline_ms / 1000
        is_safe = method == "GET"
        for _ in range(retries + 1):
            left_s = ends_at - time.monotonic()
            if left_s < 0.05:
                return
            outcome = await self._send_once(
                method, path, key, int(left_s * 1000), body, is_safe
            )
            if outcome is None:
                return
            self.outcomes.append(outcome)
            result = outcome.result
            was_not_run = result in (*PROMISES, "not connected") or (
                result == "closed" and outcome.attempt not in self.seen
            )
            if result.startswith("2") or result in FINAL:
                return
            if not is_safe and not was_not_run:
                return
            left_s = max(ends_at - time.monotonic(), 0.0)
            pause_s = float(outcome.headers.get("retry-after", "0"))
            await asyncio.sleep(min(pause_s, left_s / 3))
            # Each retry is made on a new connection.
            self._drop_connection()

    def _drop_connection(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def _send_once(
        self,
        method: str,
        path: str,
        key: str,
        deadline_ms: int,
        body: bytes,
        is_safe: bool,
    ) -> Outcome | None:
        if time.monotonic() >= self.expires_at:
            await self.look_up()
        connection = self.connection
        if connection is None or connection.address not in self.addresses:
            self._drop_connection()
            usable = [a for a in self.addresses if a not in self.failed]
            if not usable:
                return None
            connection = Connection(random.choice(usable), self.source_ip)
            self.connection = connection
        headers = {"Host": HOST, "Affinity-Key": key}
        if self.name:
            headers["User-Agent"] = self.name
        was_read = self.seen.__contains__ if is_safe else None
        outcome = await connection.send(
            method, path, headers, deadline_ms, body, was_read
        )
        if not outcome.result.isdigit():
            self.failed.add(connection.address)
            self._drop_connection()
        return outcome


async def call(
    period_s: float, until: float, send: Callable[[], Awaitable[None]]
) -> None:
    """Send requests at a fixed period."""
    await asyncio.sleep(random.random() * period_s)
    while time.monotonic() < until:
        began = time.monotonic()
        await send()
        await asyncio.sleep(max(began + period_s - time.monotonic(), 0.01))


async def sleep_until(at: float) -> None:
    """Sleep until a time."""
    await asyncio.sleep(max(at - time.monotonic(), 0.0))


async def stop_node(node: Node, grace_s: float) -> float:
    """Stop a node as the platform does; return the time of SIGTERM."""
    stopped_at = time.monotonic()
    node.signal(signal.SIGTERM)
    while node.process.poll() is None and time.monotonic() < stopped_at + grace_s:
        await asyncio.sleep(0.02)
    node.end()
    return stopped_at
