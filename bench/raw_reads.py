"""Send reads over one connection, several at a time, and record their answers."""

from collections.abc import Iterable
from socket import create_connection
from time import monotonic

from attrs import frozen

from bench.caller import LISTED_RESULTS, Wanted, answer_fault
from bench.fleet import Fleet
from bench.history import Report, check, read_server_events
from bench.http_calls import CallAnswer
from bench.load import Attempt, AttemptResult, Operation, OperationResult, Traffic
from ebonybend.addresses import split_address

TIMEOUT_S = 5.0
CALLER_NUMBER = 78


@frozen
class RawRead:
    """A read to send."""

    size: int = 300
    service_ms: int = 5
    deadline_ms: int = 1500


@frozen
class RawAnswer:
    """An answer that arrived whole as far as its length says."""

    status: int
    headers: dict[str, str]
    body: bytes


class RawReader:
    """A caller that writes requests to one connection without waiting."""

    def __init__(self, fleet: Fleet, case: str, service: str, region: str):
        self.fleet = fleet
        self.case = case
        self.region = region
        self.traffic = Traffic(service, "GET", 0.0, "/item")
        self.source = f"{fleet.addresses.caller_network(region)}{CALLER_NUMBER}"
        self.operations: list[Operation] = []

    def exchange(self, instance: str, reads: Iterable[RawRead]) -> None:
        """Send all reads at once over one connection, then take the answers."""
        address = split_address(self.fleet.addresses.public(instance).advertise)
        first = len(self.operations) + 1
        numbered = list(enumerate(reads, first))
        wanted = [self._wanted(number, read) for number, read in numbered]
        with create_connection(address, TIMEOUT_S, (self.source, 0)) as connection:
            requests = zip(wanted, numbered, strict=True)
            connection.sendall(b"".join(self._text(w, r[1]) for w, r in requests))
            with connection.makefile("rb") as stream:
                for one in wanted:
                    self._record(one, instance, _read_answer(stream))

    def _wanted(self, number: int, read: RawRead) -> Wanted:
        name = f"{self.case}-{number}"
        path = f"/item?op={name}&size={read.size}&service_ms={read.service_ms}"
        return Wanted(name, self.traffic, path, b"", monotonic())

    def _text(self, wanted: Wanted, read: RawRead) -> bytes:
        lines = (
            f"GET /s/{self.traffic.service}{wanted.path} HTTP/1.1",
            "Host: entry",
            f"Request-Id: {wanted.name}.1",
            f"Deadline-Ms: {read.deadline_ms}",
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _record(self, wanted: Wanted, instance: str, answer: RawAnswer | None) -> None:
        result: AttemptResult = "lost"
        status, error, fault = 0, "", ""
        if answer is not None:
            status = answer.status
            result, fault = _judge(wanted, answer)
            error = answer.headers.get("ebonybend-error", "")
        attempt = Attempt(
            wanted.started_at, f"{wanted.name}.1", instance, "", result, status, error
        )
        results: dict[str, OperationResult] = {"answered": "whole", "lost": "unknown"}
        concluded = "wrong" if fault else results.get(result, result)
        self.operations.append(
            Operation(
                wanted.name,
                self.case,
                self.region,
                self.traffic.service,
                "GET",
                wanted.path,
                wanted.started_at,
                monotonic(),
                self.traffic.deadline_ms,
                concluded,
                (attempt,),
                fault,
            )
        )

    def check(self) -> Report:
        """Check the answers against what ran."""
        events = read_server_events(self.fleet.server_histories())
        return check(self.operations, events)


def _judge(wanted: Wanted, answer: RawAnswer) -> tuple[AttemptResult, str]:
    """Return the result of an answer, and why it is wrong or nothing."""
    if answer.headers.get("request-id") != f"{wanted.name}.1":
        return "answered", f"answer to request {answer.headers.get('request-id')}"
    outcome = answer.headers.get("ebonybend-outcome", "")
    if outcome not in LISTED_RESULTS:
        return "answered", f"outcome {outcome!r}"
    if outcome != "answered":
        return outcome, ""
    return outcome, answer_fault(wanted, CallAnswer(answer.status, answer.body))


def _read_answer(stream) -> RawAnswer | None:
    """Return the next answer, or None if the connection ends before its end."""
    try:
        head = stream.readline()
        headers = {}
        while line := stream.readline().strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", -1))
        body = stream.read(length) if length > 0 else b""
    except OSError:
        return None
    if not head.endswith(b"\n") or len(body) != length:
        return None
    return RawAnswer(int(head.split()[1]), headers, body)
