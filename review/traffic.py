"""Clients and servers that speak the platform's protocol, on asyncio."""

import asyncio
import contextlib
import itertools
import json
import time
import zlib
from collections.abc import Callable

from attrs import define, field

# Waiting requests for each slot, as in the site files.
QUEUE_PER_SLOT = 3
IDLE_CLOSE_S = 10
# Four fifths of the IdleTimeoutMs that the cases set.
CLIENT_IDLE_S = 12.0
CONNECT_S = 1.0


@define
class Run:
    """One request that reached an endpoint, which didn't answer it with 421."""

    attempt: str
    path: str
    arrived_at: float
    # Name of the endpoint's incarnation.
    endpoint: str
    # Who sent it, if the client says so.
    sender: str = ""
    # "waiting", "running", "answered", "expired", "rejected", or "dropped": its
    # connection closed.
    state: str = "waiting"


class Server(asyncio.Protocol):
    """One connection to an endpoint; a request is dropped if the connection closes."""

    def __init__(self, endpoint: "Endpoint"):
        self.endpoint = endpoint
        self.buffer = b""
        self.task: asyncio.Task[None] | None = None
        self.run: Run | None = None
        self.idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Remember the connection."""
        self.transport = transport
        self.endpoint.connections.add(transport)

    def data_received(self, data: bytes) -> None:
        """Start the next request once it is complete."""
        if self.idle is not None:
            self.idle.cancel()
        self.buffer += data
        self._start_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the request that waits or runs."""
        self.endpoint.connections.discard(self.transport)
        if self.task is not None:
            self.task.cancel()
        if self.run is not None and self.run.state in ("waiting", "running"):
            self.run.state = "dropped"

    def _start_next(self) -> None:
        if self.task is not None or b"\r\n\r\n" not in self.buffer:
            return
        head, _, rest = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        _, path, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return
        body, self.buffer = rest[:length], rest[length:]
        self.task = asyncio.get_running_loop().create_task(
            self._answer(path, headers, body)
        )

    async def _answer(self, path: str, headers: dict[str, str], body: bytes) -> None:
        endpoint = self.endpoint
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", endpoint.name) != endpoint.name:
            self._send("421 Misdirected Request", attempt, "Not-Executed: 1\r\n")
        else:
            now = time.monotonic()
            run = Run(attempt, path, now, endpoint.name, headers.get("user-agent", ""))
            self.run = run
            endpoint.record_arrival(run)
            left_s = float(headers.get("deadline-ms", "60000")) / 1000
            await self._run(run, now + left_s, body)
        self.task = None
        loop = asyncio.get_running_loop()
        self.idle = loop.call_later(IDLE_CLOSE_S, self.transport.close)
        self._start_next()

    async def _run(self, run: Run, deadline: float, body: bytes) -> None:
        endpoint = self.endpoint
        if endpoint.waiting >= endpoint.slots * QUEUE_PER_SLOT:
            run.state = "rejected"
            self._send("503 Full", run.attempt, "Not-Executed: 1\r\n")
            return
        endpoint.waiting += 1
        try:
            async with asyncio.timeout_at(deadline):
                await endpoint.free_slots.acquire()
        except TimeoutError:
            run.state = "rejected"
            self._send("503 Late", run.attempt, "Not-Executed: 1\r\n")
            return
        finally:
            endpoint.waiting -= 1
        endpoint.running += 1
        run.state = "running"
        endpoint.on_start(run)
        duration_s = endpoint.duration_s(run.path)
        is_late = time.monotonic() + duration_s > deadline
        try:
            await asyncio.sleep(min(duration_s, max(deadline - time.monotonic(), 0.0)))
        finally:
            endpoint.running -= 1
            endpoint.free_slots.release()
        stamp = f"Server-Stamp: {endpoint.name}\r\n"
        if is_late:
            run.state = "expired"
            self._send("504 Deadline", run.attempt, stamp)
            return
        run.state = "answered"
        answer = f"{run.attempt} {run.path} {zlib.crc32(body):08x}\n".encode()
        self._send("200 OK", run.attempt, stamp, answer)

    def _send(
        self, status: str, attempt: str, extra: str = "", body: bytes = b""
    ) -> None:
        endpoint = self.endpoint
        if endpoint.is_leaving:
            extra += "Server-Leaving: 1\r\n"
        head = (
            f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\n{extra}"
            f"Server-Load: {endpoint.running},{endpoint.waiting},{endpoint.slots}\r\n"
            f"Keep-Alive: timeout={IDLE_CLOSE_S}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.transport.write(head.encode() + body)


class Endpoint:
    """A sound endpoint with slots and a queue."""

    def __init__(
        self, name: str, duration_s: Callable[[str], float], slots: int, seen: set[str]
    ):
        self.name = name
        self.duration_s = duration_s
        self.slots = slots
        # Attempts that reached any endpoint.
        self.seen = seen
        self.running = 0
        self.waiting = 0
        self.free_slots = asyncio.Semaphore(slots)
        self.runs: list[Run] = []
        self.connections: set[asyncio.Transport] = set()
        self.address = ""
        # Whether it says in its answers that it leaves.
        self.is_leaving = False
        # Called with each request that arrives, and that begins to run.
        self.on_arrival: Callable[[Run], None] = lambda run: None
        self.on_start: Callable[[Run], None] = lambda run: None

    def record_arrival(self, run: Run) -> None:
        """Record a request that reached this endpoint."""
        self.runs.append(run)
        self.seen.add(run.attempt)
        self.on_arrival(run)

    async def listen(self, ip: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a port, or on a free one."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Server(self), ip, port)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def end(self) -> None:
        """Close the port and all connections, as when the process ends."""
        self.server.close()
        for transport in list(self.connections):
            transport.abort()
        await asyncio.sleep(0)

    async def start_again(self, name: str) -> None:
        """Listen at the same address as a new incarnation that knows nothing."""
        self.name = name
        self.running = self.waiting = 0
        self.free_slots = asyncio.Semaphore(self.slots)
        host, _, port = self.address.rpartition(":")
        await self.listen(host, int(port))


@define
class Outcome:
    """What a client saw of one attempt."""

    attempt: str
    path: str
    machine: tuple[str, int]
    sent_at: float
    ended_at: float = 0.0
    # A status, or "closed", "gave up", "not connected", or "abandoned": the node
    # didn't read it in time.
    result: str = ""
    body: bytes = b""
    headers: dict[str, str] = field(factory=dict)


_numbers = itertools.count(1)


class Connection:
    """A client's connection to a node, for many requests."""

    def __init__(self, address: tuple[str, int], source_ip: str = ""):
        self.address = address
        self.source = (source_ip, 0) if source_ip else None
        self.reader: asyncio.StreamReader | None = None
        self.used_at = 0.0

    def is_open(self) -> bool:
        """Return whether the connection can carry another request."""
        if self.reader is None or self.reader.at_eof():
            return False
        return time.monotonic() - self.used_at < CLIENT_IDLE_S

    async def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        deadline_ms: int,
        body: bytes,
        was_read: Callable[[str], bool] | None,
    ) -> Outcome:
        """Send one attempt and wait for its answer until its deadline.

        The attempt is abandoned if it was not read in time; was_read is None for a
        request that isn't idempotent.
        """
        attempt = f"{time.time_ns():x}-{next(_numbers)}"
        outcome = Outcome(attempt, path, self.address, time.monotonic())
        try:
            if not self.is_open():
                self.close()
                connecting = asyncio.open_connection(
                    *self.address, local_addr=self.source
                )
                self.reader, self.writer = await asyncio.wait_for(connecting, CONNECT_S)
        except (OSError, TimeoutError):
            outcome.result = "not connected"
            outcome.ended_at = time.monotonic()
            return outcome
        fields = {**headers, "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms)}
        if body:
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        outcome.sent_at = self.used_at = time.monotonic()
        reading = asyncio.ensure_future(self._read(outcome))
        budget_s = deadline_ms / 1000
        if was_read is not None:
            await asyncio.wait({reading}, timeout=min(1.0, budget_s / 3))
            if not reading.done() and not was_read(attempt):
                outcome.result = "abandoned"
        if not outcome.result:
            left_s = outcome.sent_at + budget_s - time.monotonic()
            await asyncio.wait({reading}, timeout=max(left_s, 0.0))
        outcome.ended_at = self.used_at = time.monotonic()
        if not reading.done():
            reading.cancel()
            outcome.result = outcome.result or "gave up"
        elif reading.exception() is not None:
            outcome.result = "closed"
        is_status = outcome.result.isdigit()
        if not is_status or outcome.headers.get("connection", "").lower() == "close":
            self.close()
        return outcome

    async def _read(self, outcome: Outcome) -> None:
        head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        for line in lines[1:]:
            name, _, value = line.partition(":")
            outcome.headers[name.lower()] = value.strip()
        length = int(outcome.headers.get("content-length", "0"))
        outcome.body = await self.reader.readexactly(length)
        outcome.result = lines[0].split(" ")[1]

    def close(self) -> None:
        """Close the connection."""
        if self.reader is not None:
            with contextlib.suppress(OSError):
                self.writer.close()
            self.reader = None


async def resolve(
    address: tuple[str, int], host: str, zone: str, region: str
) -> list[tuple[str, int]]:
    """Return the addresses in a directory's answer; none if there is no answer."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                f"GET /resolve?Name={host}&Region={region}&Zone={zone} HTTP/1.1\r\n"
                f"Host: {address[0]}\r\nConnection: close\r\n\r\n".encode()
            )
            answer = await reader.read()
            writer.close()
    except OSError:
        return []
    head, _, body = answer.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        return []
    found = []
    for text in json.loads(body)["Addrs"]:
        ip, _, port = text.rpartition(":")
        found.append((ip, int(port)))
    return found
