"""Send copies of keyed requests to chosen entries and record what each was told."""

from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException, HTTPResponse
from itertools import count
from threading import Lock
from time import monotonic

from attrs import define, evolve, field

from bench.caller import LISTED_RESULTS, Wanted, answer_fault
from bench.fleet import Fleet
from bench.history import Report, check, read_server_events
from bench.http_calls import CallAnswer, must_call
from bench.load import Attempt, AttemptResult, Operation, OperationResult, Traffic
from bench.lookup_cache import LookupAnswer
from ebonybend.addresses import split_address
from ebonybend.codec import from_json

CONNECT_TIMEOUT_S = 1.0
# Time that a caller waits for an answer after its deadline.
ANSWER_GRACE_S = 0.2
CALLER_NUMBER = 77
MOST_COPIES_AT_ONCE = 32


@define(eq=False)
class KeyedRequest:
    """One write, its key, and all copies of it that were sent."""

    wanted: Wanted
    key: str
    attempts: list[Attempt] = field(factory=list)
    fault: str = ""
    lock: Lock = field(factory=Lock)
    numbers: count = field(factory=lambda: count(1))

    @property
    def results(self) -> list[AttemptResult]:
        """Return the results of the copies in the order of their ends."""
        return [x.result for x in self.attempts]

    @property
    def result(self) -> OperationResult:
        """Return what a caller may conclude from all copies."""
        if "answered" in self.results:
            return "wrong" if self.fault else "whole"
        if any(x.covers_key for x in self.attempts):
            return "not_run"
        unsent = all(x in ("not_sent", "not_run") for x in self.results)
        return "not_run" if unsent else "unknown"


class KeyedCaller:
    """A caller that decides itself which entry gets which copy."""

    def __init__(self, fleet: Fleet, case: str, service: str, region: str):
        self.fleet = fleet
        self.case = case
        self.region = region
        self.traffic = Traffic(service, "POST", 0.0, "/file")
        network = fleet.addresses.caller_network(region)
        self.source = f"{network}{CALLER_NUMBER}"
        self.requests: list[KeyedRequest] = []
        self.pool = ThreadPoolExecutor(MOST_COPIES_AT_ONCE)

    def prefix(self, owner: str, asked: str) -> str:
        """Return the start of an instance's keys as another one lists it, or ""."""
        address = self.fleet.addresses.public(asked).listen
        path = f"/v1/lookup?client={self.source}"
        answer = from_json(must_call("GET", address, path), LookupAnswer)
        return next((x.key_prefix for x in answer.instances if x.name == owner), "")

    def writes(
        self, owner: str, number: int, service_ms: int = 5, size: int = 300
    ) -> list[KeyedRequest]:
        """Return new writes under keys of an instance; nothing is sent yet."""
        prefix = self.prefix(owner, owner)
        made = []
        for _ in range(number):
            name = f"{self.case}-{len(self.requests) + 1}"
            path = f"/file?op={name}&size={size}&service_ms={service_ms}"
            body = f"body of {name}".encode()
            wanted = Wanted(name, self.traffic, path, body, monotonic())
            made.append(KeyedRequest(wanted, f"{prefix}~{name}"))
            self.requests.append(made[-1])
        return made

    def send(
        self, request: KeyedRequest, instance: str, deadline_ms: int = 1000
    ) -> Attempt:
        """Send one copy and wait for its answer."""
        request_id = f"{request.wanted.name}.{next(request.numbers)}"
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
        path = f"/s/{self.traffic.service}{request.wanted.path}"
        try:
            connection.request("POST", path, request.wanted.body, headers)
            response = connection.getresponse()
            body = response.read()
        except (OSError, HTTPException) as error:
            return evolve(attempt, error=repr(error))
        return self._conclude(request, attempt, response, body)

    def _conclude(
        self,
        request: KeyedRequest,
        attempt: Attempt,
        response: HTTPResponse,
        body: bytes,
    ) -> Attempt:
        outcome = response.getheader("Ebonybend-Outcome")
        error = response.getheader("Ebonybend-Error") or ""
        if outcome not in LISTED_RESULTS:
            request.fault = f"outcome {outcome!r}, status {response.status}"
            outcome = "answered"
        elif outcome == "answered" and not error:
            found = answer_fault(request.wanted, CallAnswer(response.status, body))
            request.fault = request.fault or found
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
        """Send the copies one after the other, so that none meets a full server."""
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
        """Send a copy of each request to each instance, all at the same time."""
        return [x.result() for x in self.start_all(requests, instances, deadline_ms)]

    def start_all(
        self,
        requests: Iterable[KeyedRequest],
        instances: Iterable[str],
        deadline_ms: int = 1000,
    ) -> list:
        """Send a copy of each request to each instance; return the futures."""
        targets = tuple(instances)
        return [
            self.pool.submit(self.send, request, instance, deadline_ms)
            for request in requests
            for instance in targets
        ]

    def check(self) -> Report:
        """Check what was told against what ran."""
        self.pool.shutdown()
        events = read_server_events(self.fleet.server_histories())
        return check([self._operation(x) for x in self.requests], events)

    def _operation(self, request: KeyedRequest) -> Operation:
        wanted = request.wanted
        return Operation(
            wanted.name,
            self.case,
            self.region,
            self.traffic.service,
            "POST",
            wanted.path,
            wanted.started_at,
            monotonic(),
            self.traffic.deadline_ms,
            request.result,
            tuple(request.attempts),
            request.fault,
        )
