"""Send copies of keyed requests to chosen entries and record each answer."""

from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException, HTTPResponse
from itertools import count
from threading import Lock
from time import monotonic

from attrs import define, evolve, field

from bench.caller import VALID_OUTCOMES, PlannedOperation, find_answer_fault
from bench.fleet import Fleet
from bench.history import Report, check, read_server_events
from bench.http_calls import CallAnswer, must_call
from bench.load import Attempt, AttemptResult, Operation, OperationResult, Traffic
from bench.lookup_cache import LookupAnswer
from ebonybend.addresses import split_address
from ebonybend.codec import from_json

CONNECT_TIMEOUT_S = 1.0
# Time that a client waits for an answer after its deadline.
ANSWER_GRACE_S = 0.2
CLIENT_NUMBER = 77
MAX_CONCURRENT_COPIES = 32


@define(eq=False)
class KeyedRequest:
    """A write, its key, and the attempts for all copies that were sent."""

    planned: PlannedOperation
    key: str
    attempts: list[Attempt] = field(factory=list)
    fault: str = ""
    lock: Lock = field(factory=Lock)
    attempt_numbers: count = field(factory=lambda: count(1))

    @property
    def results(self) -> list[AttemptResult]:
        """Return the results of the copies in the order in which they ended."""
        return [x.result for x in self.attempts]

    @property
    def result(self) -> OperationResult:
        """Return the result that the attempts together imply."""
        if "answered" in self.results:
            return "wrong" if self.fault else "whole"
        if any(x.covers_key for x in self.attempts):
            return "not_run"
        none_ran = all(x in ("not_sent", "not_run") for x in self.results)
        return "not_run" if none_ran else "unknown"


class KeyedClient:
    """A client that sends each copy of a request to a chosen entry."""

    def __init__(self, fleet: Fleet, case: str, service: str, region: str):
        self.fleet = fleet
        self.case = case
        self.region = region
        self.traffic = Traffic(service, "POST", 0.0, "/file")
        network = fleet.addresses.client_network(region)
        self.source = f"{network}{CLIENT_NUMBER}"
        self.requests: list[KeyedRequest] = []
        self.pool = ThreadPoolExecutor(MAX_CONCURRENT_COPIES)

    def prefix(self, owner: str, queried: str) -> str:
        """Return an owner's key prefix from the queried instance's lookup, or ""."""
        address = self.fleet.addresses.public(queried).listen
        path = f"/v1/lookup?client={self.source}"
        answer = from_json(must_call("GET", address, path), LookupAnswer)
        return next((x.key_prefix for x in answer.instances if x.name == owner), "")

    def writes(
        self, owner: str, number: int, service_ms: int = 5, size: int = 300
    ) -> list[KeyedRequest]:
        """Create writes with keys owned by an instance, without sending them."""
        prefix = self.prefix(owner, owner)
        created = []
        for _ in range(number):
            name = f"{self.case}-{len(self.requests) + 1}"
            path = f"/file?op={name}&size={size}&service_ms={service_ms}"
            body = f"body of {name}".encode()
            planned = PlannedOperation(name, self.traffic, path, body, monotonic())
            created.append(KeyedRequest(planned, f"{prefix}~{name}"))
            self.requests.append(created[-1])
        return created

    def send(
        self, request: KeyedRequest, instance: str, deadline_ms: int = 1000
    ) -> Attempt:
        """Send one copy and wait for its answer."""
        request_id = f"{request.planned.name}.{next(request.attempt_numbers)}"
        attempt = Attempt(monotonic(), request_id, instance, request.key, "lost")
        host, port = split_address(self.fleet.addresses.public(instance).advertise)
        connection = HTTPConnection(
            host, port, CONNECT_TIMEOUT_S, source_address=(self.source, 0)
        )
        try:
            connection.connect()
        except OSError as error:
            attempt = evolve(attempt, result="not_sent", error=repr(error))
        else:
            attempt = self._exchange(request, attempt, connection, deadline_ms)
        finally:
            connection.close()
        with request.lock:
            request.attempts.append(attempt)
        return attempt

    def _exchange(
        self,
        request: KeyedRequest,
        attempt: Attempt,
        connection: HTTPConnection,
        deadline_ms: int,
    ) -> Attempt:
        headers = {
            "Request-Id": attempt.request_id,
            "Idempotency-Key": request.key,
            "Deadline-Ms": str(deadline_ms),
        }
        connection.sock.settimeout(deadline_ms / 1000 + ANSWER_GRACE_S)
        path = f"/s/{self.traffic.service}{request.planned.path}"
        try:
            connection.request("POST", path, request.planned.body, headers)
            response = connection.getresponse()
            body = response.read()
        except (OSError, HTTPException) as error:
            return evolve(attempt, error=repr(error))
        return self._evaluate_answer(request, attempt, response, body)

    def _evaluate_answer(
        self,
        request: KeyedRequest,
        attempt: Attempt,
        response: HTTPResponse,
        body: bytes,
    ) -> Attempt:
        outcome = response.getheader("Ebonybend-Outcome")
        error = response.getheader("Ebonybend-Error") or ""
        if outcome not in VALID_OUTCOMES:
            request.fault = f"outcome {outcome!r}, status {response.status}"
            outcome = "answered"
        elif outcome == "answered" and not error:
            fault = find_answer_fault(
                request.planned, CallAnswer(response.status, body)
            )
            request.fault = request.fault or fault
        return evolve(
            attempt,
            result=outcome,
            status=response.status,
            error=error,
            covers_key=outcome == "not_run" and bool(response.getheader("Request-Id")),
        )

    def send_each(
        self,
        requests: Iterable[KeyedRequest],
        instances: Iterable[str],
        deadline_ms: int = 1000,
    ) -> None:
        """Send the copies sequentially, so that none is refused by a full server."""
        targets = tuple(instances)
        for request in requests:
            for instance in targets:
                self.send(request, instance, deadline_ms)

    def send_all(
        self,
        requests: Iterable[KeyedRequest],
        instances: Iterable[str],
        deadline_ms: int = 1000,
    ) -> list[Attempt]:
        """Send a copy of each request to each instance concurrently; await all."""
        return [x.result() for x in self.start_all(requests, instances, deadline_ms)]

    def start_all(
        self,
        requests: Iterable[KeyedRequest],
        instances: Iterable[str],
        deadline_ms: int = 1000,
    ) -> list:
        """Start sending a copy of each request to each instance; return the futures."""
        targets = tuple(instances)
        return [
            self.pool.submit(self.send, request, instance, deadline_ms)
            for request in requests
            for instance in targets
        ]

    def check(self) -> Report:
        """Check the answers against the histories of the backend servers."""
        self.pool.shutdown()
        events = read_server_events(self.fleet.server_histories())
        return check([self._operation(x) for x in self.requests], events)

    def _operation(self, request: KeyedRequest) -> Operation:
        planned = request.planned
        return Operation(
            planned.name,
            self.case,
            self.region,
            self.traffic.service,
            "POST",
            planned.path,
            planned.started_at,
            monotonic(),
            self.traffic.deadline_ms,
            request.result,
            tuple(request.attempts),
            request.fault,
        )
