"""Send pipelined reads over one connection and record their answers."""

from collections.abc import Iterable
from socket import create_connection
from time import monotonic

from attrs import frozen

from bench.caller import VALID_OUTCOMES, PlannedOperation, find_answer_fault
from bench.fleet import Fleet
from bench.history import Report, check, read_server_events
from bench.http_calls import CallAnswer
from bench.load import Attempt, AttemptResult, Operation, OperationResult, Traffic
from ebonybend.addresses import split_address

TIMEOUT_S = 5.0
CLIENT_NUMBER = 78


@frozen
class RawRead:
    """The parameters of a read."""

    size: int = 300
    service_ms: int = 5
    deadline_ms: int = 1500


@frozen
class RawAnswer:
    """An answer whose body has the length in its header."""

    status: int
    headers: dict[str, str]
    body: bytes


class RawReader:
    """A client that pipelines requests over one connection."""

    def __init__(self, fleet: Fleet, case: str, service: str, region: str):
        self.fleet = fleet
        self.case = case
        self.region = region
        self.traffic = Traffic(service, "GET", 0.0, "/item")
        self.source = f"{fleet.addresses.client_network(region)}{CLIENT_NUMBER}"
        self.operations: list[Operation] = []

    def exchange(self, instance: str, reads: Iterable[RawRead]) -> None:
        """Send all reads over one connection, then read the answers."""
        address = split_address(self.fleet.addresses.public(instance).advertise)
        first = len(self.operations) + 1
        numbered = list(enumerate(reads, first))
        planned_reads = [self._plan_read(number, read) for number, read in numbered]
        with create_connection(address, TIMEOUT_S, (self.source, 0)) as connection:
            requests = zip(planned_reads, numbered, strict=True)
            connection.sendall(
                b"".join(self._encode_request(sent, r[1]) for sent, r in requests)
            )
            with connection.makefile("rb") as stream:
                for planned in planned_reads:
                    self._record_operation(planned, instance, _read_answer(stream))

    def _plan_read(self, number: int, read: RawRead) -> PlannedOperation:
        name = f"{self.case}-{number}"
        path = f"/item?op={name}&size={read.size}&service_ms={read.service_ms}"
        return PlannedOperation(name, self.traffic, path, b"", monotonic())

    def _encode_request(self, planned: PlannedOperation, read: RawRead) -> bytes:
        lines = (
            f"GET /s/{self.traffic.service}{planned.path} HTTP/1.1",
            "Host: entry",
            f"Request-Id: {planned.name}.1",
            f"Deadline-Ms: {read.deadline_ms}",
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _record_operation(
        self, planned: PlannedOperation, instance: str, answer: RawAnswer | None
    ) -> None:
        result: AttemptResult = "lost"
        status, error, fault = 0, "", ""
        if answer is not None:
            status = answer.status
            result, fault = _evaluate_answer(planned, answer)
            error = answer.headers.get("ebonybend-error", "")
        attempt = Attempt(
            planned.started_at, f"{planned.name}.1", instance, "", result, status, error
        )
        results: dict[str, OperationResult] = {"answered": "whole", "lost": "unknown"}
        operation_result = "wrong" if fault else results.get(result, result)
        self.operations.append(
            Operation(
                planned.name,
                self.case,
                self.region,
                self.traffic.service,
                "GET",
                planned.path,
                planned.started_at,
                monotonic(),
                self.traffic.deadline_ms,
                operation_result,
                (attempt,),
                fault,
            )
        )

    def check(self) -> Report:
        """Check the answers against the histories of the backend servers."""
        events = read_server_events(self.fleet.server_histories())
        return check(self.operations, events)


def _evaluate_answer(
    planned: PlannedOperation, answer: RawAnswer
) -> tuple[AttemptResult, str]:
    """Return the result of an answer, and why it is wrong or ""."""
    if answer.headers.get("request-id") != f"{planned.name}.1":
        return "answered", f"answer to request {answer.headers.get('request-id')}"
    outcome = answer.headers.get("ebonybend-outcome", "")
    if outcome not in VALID_OUTCOMES:
        return "answered", f"outcome {outcome!r}"
    if outcome != "answered":
        return outcome, ""
    return outcome, find_answer_fault(planned, CallAnswer(answer.status, answer.body))


def _read_answer(stream) -> RawAnswer | None:
    """Return the next answer, or None if the connection ends before it is complete."""
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
