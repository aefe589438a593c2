"""A closed-loop load generator with little overhead of its own.

Keep one request in flight on each connection and print one JSON object.
"""

import sys
from time import perf_counter

from absl import app, flags
from attrs import define, field
from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone

from ebonybend.addresses import split_address
from ebonybend.codec import to_json

_TARGET = flags.DEFINE_string("target", None, 'Address "ip:port".', required=True)
_PATH = flags.DEFINE_string("path", "/", "Path to read.")
_CONNECTIONS = flags.DEFINE_integer("connections", 1, "Requests in flight.")
_SECONDS = flags.DEFINE_float("seconds", 2.0, "Time to measure.")
_WARM_UP = flags.DEFINE_float("warm_up", 0.3, "Time before measuring, in seconds.")

HEADER_END = b"\r\n\r\n"
LENGTH_HEADER = b"content-length:"


@define
class Measurements:
    """The requests of one run and their latencies."""

    requests: int = 0
    failures: int = 0
    seconds: float = 0.0
    latencies_ms: list[float] = field(factory=list)

    def percentile(self, fraction: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        if not self.latencies_ms:
            return float("nan")
        ordered = sorted(self.latencies_ms)
        return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


@define
class LoadSummary:
    """The rate and latency percentiles of one run."""

    requests: int
    failures: int
    per_second: float
    median_ms: float
    p99_ms: float


class _Connection(Protocol):
    """Send the request again after each whole answer."""

    def connectionMade(self) -> None:
        self.buffer = b""
        self.transport.setTcpNoDelay(True)
        self.send()

    def send(self) -> None:
        self.sent_at = perf_counter()
        self.transport.write(self.factory.request)

    def dataReceived(self, data: bytes) -> None:
        self.buffer += data
        end = self.buffer.find(HEADER_END)
        if end < 0:
            return
        head = self.buffer[:end].lower()
        start = head.find(LENGTH_HEADER) + len(LENGTH_HEADER)
        length = int(head[start:].split(b"\r\n", 1)[0])
        if len(self.buffer) < end + len(HEADER_END) + length:
            return
        self.buffer = b""
        self.factory.record_answer(
            perf_counter() - self.sent_at, head.split(b" ", 2)[1]
        )
        self.send()

    def connectionLost(self, reason=connectionDone) -> None:
        self.factory.record_lost_connection()


class _LoadFactory(ClientFactory):
    protocol = _Connection
    noisy = False

    def __init__(self, request: bytes):
        self.request = request
        self.measurements = Measurements()
        self.measuring = False

    def record_answer(self, seconds: float, status: bytes) -> None:
        if not self.measuring:
            return
        self.measurements.requests += 1
        self.measurements.failures += status != b"200"
        self.measurements.latencies_ms.append(seconds * 1e3)

    def record_lost_connection(self) -> None:
        if self.measuring:
            self.measurements.failures += 1

    def start_measuring(self) -> None:
        self.measuring = True
        self.started_at = perf_counter()

    def stop_measuring(self) -> None:
        self.measuring = False
        self.measurements.seconds = perf_counter() - self.started_at
        reactor.stop()


def main(_arguments: list[str]) -> None:
    """Run the load and print its summary."""
    host, port = split_address(_TARGET.value)
    request = f"GET {_PATH.value} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
    factory = _LoadFactory(request)
    for _ in range(_CONNECTIONS.value):
        reactor.connectTCP(host, port, factory)
    reactor.callLater(_WARM_UP.value, factory.start_measuring)
    reactor.callLater(_WARM_UP.value + _SECONDS.value, factory.stop_measuring)
    reactor.run()
    measurements = factory.measurements
    summary = LoadSummary(
        measurements.requests,
        measurements.failures,
        measurements.requests / measurements.seconds,
        measurements.percentile(0.5),
        measurements.percentile(0.99),
    )
    sys.stdout.buffer.write(to_json(summary) + b"\n")


if __name__ == "__main__":
    app.run(main)
