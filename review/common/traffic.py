"""Clients and servers that speak the platform's protocol, on asyncio."""

import asyncio
import contextlib
import itertools
import json
import time
import zlib
from collections.abc import Callable

from attrs import define, field


@define
class Run:
    """One request that reached a server."""

    attempt: str
    method: str
    path: str
    body: bytes
    arrived_at: float
    # Who sent it, if the client says so.
    sender: str = ""
    # "running", "answered", "dropped" (its connection closed) or "turned away".
    state: str = "running"


class Server(asyncio.Protocol):
    """One connection to an endpoint; a request is dropped if the connection closes."""

    def __init__(self, endpoint: "Endpoint"):
        self.endpoint = endpoint
        self.buffer = b""
        self.task: asyncio.Task[None] | None = None
        self.run: Run | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Remember the connection."""
        self.transport = transport
        self.endpoint.connections.add(transport)

    def data_received(self, data: bytes) -> None:
        """Start the next request once it is complete."""
        self.buffer += data
        self._start_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the request that is running."""
        self.endpoint.connections.discard(self.transport)
        if self.task is not None:
            self.task.cancel()
        if self.run is not None and self.run.state == "running":
            self.run.state = "dropped"

    def _start_next(self) -> None:
        if self.task is not None or b"\r\n\r\n" not in self.buffer:
            return
        head, _, rest = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return
        body, self.buffer = rest[:length], rest[length:]
        self.task = asyncio.get_running_loop().create_task(
            self._answer(method, path, headers, body)
        )

    async def _answer(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        endpoint = self.endpoint
        attempt = headers.get("attempt-id", "")
        echo = f"Attempt-Id: {attempt}\r\n"
        if headers.get("expect-instance", endpoint.name) != endpoint.name:
            self.transport.write(
                f"HTTP/1.1 421 Misdirected\r\n{echo}Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
        else:
            name = headers.get("user-agent", "")
            run = self.run = Run(attempt, method, path, body, time.monotonic(), name)
            endpoint.runs.append(run)
            endpoint.on_run(run)
            await asyncio.sleep(endpoint.duration_s(path))
            answer = b"%s %s %08x\n" % (
                attempt.encode(),
                path.encode(),
                zlib.crc32(body),
            )
            self.transport.write(
                f"HTTP/1.1 200 OK\r\n{echo}Server-Stamp: {endpoint.name}\r\n"
                f"Server-Load: 1,0,{endpoint.slots}\r\n"
                f"Content-Length: {len(answer)}\r\n\r\n".encode()
                + answer
            )
            run.state = "answered"
        self.task = None
        self._start_next()


class Endpoint:
    """A sound endpoint that takes a time for each request."""

    def __init__(
        self, name: str, duration_s: Callable[[str], float], slots: int = 5
    ) -> None:
        self.name = name
        self.duration_s = duration_s
        self.slots = slots
        self.runs: list[Run] = []
        self.connections: set[asyncio.Transport] = set()
        self.address = ""
        # Called with each request that reaches the endpoint.
        self.on_run: Callable[[Run], None] = lambda run: None

    async def listen(self, ip: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a port, or on a free one."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Server(self), ip, port)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])


@define
class Outcome:
    """What a client saw of one attempt."""

    attempt: str
    path: str
    sent_at: float
    ended_at: float = 0.0
    # A status, or "closed", "gave up" or "not connected".
    result: str = ""
    body: bytes = b""
    headers: dict[str, str] = field(factory=dict)
    # The machine to which it was sent.
    machine: str = ""


_numbers = itertools.count(1)


def next_attempt() -> str:
    """Return the id of a new attempt."""
    return f"{time.time_ns():x}-{next(_numbers)}"


class Client:
    """A client that keeps its connection as long as the node does."""

    def __init__(
        self, address: tuple[str, int], host: str, source_ip: str = "", name: str = ""
    ):
        self.address = address
        self.host = host
        self.source = (source_ip, 0) if source_ip else None
        self.name = name
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        method: str,
        path: str,
        key: str,
        deadline_ms: int,
        body: bytes = b"",
    ) -> Outcome:
        """Send one attempt and wait for its answer until its deadline."""
        outcome = Outcome(next_attempt(), path, time.monotonic())
        outcome.machine = self.address[0]
        try:
            if self.streams is None or self.streams[0].at_eof():
                self.close()
                self.streams = await asyncio.wait_for(
                    asyncio.open_connection(*self.address, local_addr=self.source), 1.0
                )
        except (OSError, TimeoutError):
            outcome.result = "not connected"
            outcome.ended_at = time.monotonic()
            return outcome
        reader, writer = self.streams
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\n"
            f"Attempt-Id: {outcome.attempt}\r\nAffinity-Key: {key}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n"
        )
        if self.name:
            head += f"User-Agent: {self.name}\r\n"
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        outcome.sent_at = time.monotonic()
        try:
            await asyncio.wait_for(self._read(outcome), deadline_ms / 1000)
        except TimeoutError:
            outcome.result = "gave up"
            self.close()
        except (OSError, asyncio.IncompleteReadError):
            outcome.result = "closed"
            self.close()
        outcome.ended_at = time.monotonic()
        return outcome

    async def _read(self, outcome: Outcome) -> None:
        reader = self.streams[0]
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        for line in lines[1:]:
            name, _, value = line.partition(":")
            outcome.headers[name.lower()] = value.strip()
        length = int(outcome.headers.get("content-length", "0"))
        outcome.body = await reader.readexactly(length)
        outcome.result = lines[0].split(" ")[1]
        if outcome.headers.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.streams is not None:
            with contextlib.suppress(OSError):
                self.streams[1].close()
            self.streams = None


async def resolve(address: tuple[str, int], host: str, zone: str, region: str) -> list:
    """Return the addresses in a directory's answer; none if there is no answer."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
    except (OSError, TimeoutError):
        return []
    writer.write(
        f"GET /resolve?Name={host}&Region={region}&Zone={zone} HTTP/1.1\r\n"
        f"Host: {address[0]}\r\nConnection: close\r\n\r\n".encode()
    )
    try:
        answer = await asyncio.wait_for(reader.read(), 1.0)
    except (OSError, TimeoutError):
        return []
    finally:
        writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    if b" 200 " not in head.split(b"\r\n")[0] + b" ":
        return []
    found = []
    for text in json.loads(body)["Addrs"]:
        ip, _, port = text.rpartition(":")
        found.append((ip, int(port)))
    return found


async def crash(endpoint: Endpoint) -> None:
    """Close the port of an endpoint and reset its connections."""
    endpoint.server.close()
    for transport in list(endpoint.connections):
        transport.abort()
    await asyncio.sleep(0)
