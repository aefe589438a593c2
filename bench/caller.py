"""Send an open-loop load through the system and record the result of each request."""

import sys
from pathlib import Path
from random import Random
from time import monotonic
from typing import Any, BinaryIO

from attrs import define, evolve, field, frozen
from msgspec import json
from twisted.internet.defer import Deferred

from bench.load import Attempt, AttemptResult, LoadPlan, Operation, RegionLoad, Traffic
from bench.lookup_cache import ListedInstance, LookupCache
from ebonybend.clock import SystemClock
from ebonybend.codec import from_json
from ebonybend.http_client import (
    AnswerTimeout,
    HttpAnswer,
    HttpClient,
    NotSent,
    RequestFailed,
)
from standins.command import run, sleep
from standins.echo import body_checksum, read_answer

# A client waits longer than the deadline that it sends, so that an answer
# reporting an exceeded deadline can still arrive.
ANSWER_GRACE_S = 0.2
RETRY_DELAY_S = 0.05
# An unknown outcome may become known once the owner of the key is reachable again.
UNKNOWN_RETRY_DELAY_S = 0.2
# Refused by a rule, or suspected of crashing servers: a retry can't succeed.
FINAL_STATUSES = (403, 422)
# Fraction of the deadline that one attempt of a read may take, so that time remains
# for a retry if an instance is unresponsive. Writes are bound to one owner.
MAX_READ_ATTEMPT_FRACTION = 0.5
# No attempt starts with less time than this remaining.
MIN_ATTEMPT_S = 0.005
MAX_ANSWER_BYTES = 16 << 20
VALID_OUTCOMES = ("answered", "not_run", "unknown", "bad_request")


@frozen
class PlannedOperation:
    """A read or write to be performed, by one or more attempts."""

    name: str
    traffic: Traffic
    # Path with query, relative to the service.
    path: str
    body: bytes
    started_at: float

    @property
    def is_write(self) -> bool:
        """Return whether the operation is a write, which must run at most once."""
        return self.traffic.method == "POST"

    @property
    def deadline(self) -> float:
        """Return the time after which the client gives up."""
        return self.started_at + self.traffic.deadline_ms / 1000


@define
class AttemptHistory:
    """The attempts of an operation and the key that a write is bound to."""

    attempts: list[Attempt] = field(factory=list)
    # Set before an attempt. Cleared by a refusal that covers the key, or if no attempt
    # so far has sent a byte.
    bound_key: str = ""
    fault: str = ""

    @property
    def last_result(self) -> AttemptResult:
        """Return the result of the last attempt; "not_sent" if there is none."""
        return self.attempts[-1].result if self.attempts else "not_sent"

    @property
    def is_final(self) -> bool:
        """Return whether a retry can't change the result."""
        if self.last_result in ("answered", "bad_request"):
            return True
        return bool(self.attempts) and self.attempts[-1].status in FINAL_STATUSES


class LoadClient:
    """A client with its own address, lookup cache and connections."""

    def __init__(self, reactor: Any, load: RegionLoad, index: int):
        self.reactor = reactor
        self.name = load.callers[index]
        self.region = load.region
        self.http = HttpClient(reactor, load.source_addresses[index])
        client = load.clients[index]
        self.lookups = LookupCache(SystemClock(), self.http, load.seeds, client)

    async def perform(self, planned: PlannedOperation) -> Operation:
        """Send a request, with retries, until its result is final or time is up."""
        history = AttemptHistory()
        while self._remaining_s(planned) > MIN_ATTEMPT_S:
            for instance in await self._candidates(history):
                if self._remaining_s(planned) <= MIN_ATTEMPT_S:
                    break
                await self._attempt(planned, history, instance)
                if history.is_final:
                    return self._operation(planned, history)
                await self._wait_before_retry(planned, history)
            if not history.attempts or history.last_result == "not_sent":
                await sleep(self.reactor, RETRY_DELAY_S)
        return self._operation(planned, history)

    def _remaining_s(self, planned: PlannedOperation) -> float:
        return planned.deadline - monotonic()

    async def _candidates(self, history: AttemptHistory) -> tuple[ListedInstance, ...]:
        """Return the listed instances, the one of the last attempt last."""
        listed = await self.lookups.get()
        if not history.attempts:
            return listed
        last_instance = history.attempts[-1].instance
        return tuple(sorted(listed, key=lambda x: x.name == last_instance))

    def _attempt_timeout_s(self, planned: PlannedOperation) -> float:
        """Return the timeout of one attempt in seconds."""
        remaining_s = self._remaining_s(planned)
        if planned.is_write:
            return remaining_s
        return min(
            remaining_s, MAX_READ_ATTEMPT_FRACTION * planned.traffic.deadline_ms / 1000
        )

    async def _wait_before_retry(
        self, planned: PlannedOperation, history: AttemptHistory
    ) -> None:
        """Wait for the delay that the last answer requests, within the deadline."""
        delay_s = history.attempts[-1].retry_after_ms / 1000
        if planned.is_write and history.last_result in ("unknown", "lost"):
            delay_s = max(delay_s, UNKNOWN_RETRY_DELAY_S)
        if delay_s > 0:
            await sleep(
                self.reactor, max(min(delay_s, self._remaining_s(planned)), 0.0)
            )

    async def _attempt(
        self,
        planned: PlannedOperation,
        history: AttemptHistory,
        instance: ListedInstance,
    ) -> None:
        at = monotonic()
        request_id = f"{planned.name}.{len(history.attempts) + 1}"
        key = self._key(planned, history, instance)
        attempt = Attempt(at, request_id, instance.name, key, "lost")
        # Set before sending, because a cancelled attempt may have been sent too.
        history.bound_key = key
        try:
            answer = await self._send(planned, instance, request_id, key)
        except NotSent as error:
            if not any(x.result != "not_sent" for x in history.attempts):
                history.bound_key = ""
            self.lookups.expire()
            attempt = evolve(attempt, result="not_sent", error=str(error))
        except RequestFailed as error:
            if isinstance(error, AnswerTimeout):
                self.lookups.mark_unresponsive(instance.name)
            attempt = evolve(attempt, error=f"{type(error).__name__}: {error}")
        else:
            attempt = self._evaluate_answer(planned, history, attempt, answer)
        history.attempts.append(evolve(attempt, ended_at=monotonic()))
        if attempt.covers_key:
            history.bound_key = ""

    def _key(
        self,
        planned: PlannedOperation,
        history: AttemptHistory,
        instance: ListedInstance,
    ) -> str:
        if not planned.is_write:
            return ""
        return history.bound_key or f"{instance.key_prefix}~{planned.name}"

    async def _send(
        self,
        planned: PlannedOperation,
        instance: ListedInstance,
        request_id: str,
        key: str,
    ) -> HttpAnswer:
        timeout_s = self._attempt_timeout_s(planned)
        headers = {
            "Request-Id": request_id,
            "Deadline-Ms": str(max(int(timeout_s * 1000), 1)),
        }
        if key:
            headers["Idempotency-Key"] = key
        return await self.http.request(
            planned.traffic.method,
            instance.address,
            f"/s/{planned.traffic.service}{planned.path}",
            headers,
            planned.body,
            timeout_s + ANSWER_GRACE_S,
            MAX_ANSWER_BYTES,
        )

    def _evaluate_answer(
        self,
        planned: PlannedOperation,
        history: AttemptHistory,
        attempt: Attempt,
        answer: HttpAnswer,
    ) -> Attempt:
        outcome = answer.header("Ebonybend-Outcome")
        if outcome not in VALID_OUTCOMES:
            # Recorded as an answer, so that the attempts end and the result is "wrong".
            history.fault = f"outcome {outcome!r}, status {answer.status}"
            outcome = "answered"
        elif outcome == "answered" and not answer.header("Ebonybend-Error"):
            history.fault = find_answer_fault(planned, answer)
        echo = read_answer(answer.body) if outcome == "answered" else None
        return evolve(
            attempt,
            result=outcome,
            status=answer.status,
            error=answer.header("Ebonybend-Error") or "",
            server=echo.server if echo else "",
            retry_after_ms=int(answer.header("Retry-After-Ms") or 0),
            covers_key=planned.is_write
            and outcome == "not_run"
            and answer.header("Request-Id") is not None,
        )

    def _operation(
        self, planned: PlannedOperation, history: AttemptHistory
    ) -> Operation:
        results = {"answered": "whole", "lost": "unknown", "not_sent": "not_run"}
        result = results.get(history.last_result, history.last_result)
        if result == "whole" and history.fault:
            result = "wrong"
        if result == "not_run" and _may_have_run(planned, history):
            result = "unknown"
        return Operation(
            planned.name,
            self.name,
            self.region,
            planned.traffic.service,
            planned.traffic.method,
            planned.path,
            planned.started_at,
            monotonic(),
            planned.traffic.deadline_ms,
            result,
            tuple(history.attempts),
            history.fault,
        )


def _may_have_run(planned: PlannedOperation, history: AttemptHistory) -> bool:
    """Return whether any attempt may have run although the last one did not."""
    if not planned.is_write and history.last_result != "not_sent":
        # The recorded result of a read is that of its last attempt.
        return False
    for attempt in reversed(history.attempts):
        if attempt.covers_key:
            return False
        if attempt.result in ("lost", "unknown"):
            return True
    return False


def find_answer_fault(planned: PlannedOperation, answer: HttpAnswer) -> str:
    """Return why an answer is not the whole answer to the request, or ""."""
    echo = read_answer(answer.body)
    if answer.status != 200 or echo is None:
        return f"status {answer.status}, {len(answer.body)} bytes not whole"
    if echo.path != planned.path:
        return f"answer to {echo.path}"
    if echo.request_checksum != body_checksum(planned.body):
        return "answer to another body"
    if not echo.request_id.startswith(f"{planned.name}."):
        return f"answer to request {echo.request_id}"
    return ""


class LoadGenerator:
    """Generate open-loop requests from the clients of all regions."""

    def __init__(self, reactor: Any, plan: LoadPlan, records: BinaryIO):
        self.reactor = reactor
        self.plan = plan
        self.records = records
        self.random = Random(plan.seed)
        self.ends_at = monotonic() + plan.duration_s
        self.operation_count = 0
        self.in_flight = 0
        self.done: Deferred[None] = Deferred()

    async def run(self) -> None:
        """Send requests for the planned time, then wait for the last answers."""
        for load in self.plan.regions:
            numbers = range(len(load.callers))
            clients = [LoadClient(self.reactor, load, x) for x in numbers]
            for traffic in load.traffic:
                self._schedule(clients, traffic, monotonic())
        await sleep(self.reactor, self.plan.duration_s)
        while self.in_flight:
            await sleep(self.reactor, RETRY_DELAY_S)
        self.records.flush()

    def _schedule(
        self, clients: list[LoadClient], traffic: Traffic, previous: float
    ) -> None:
        """Schedule the next request, whether or not earlier ones have ended."""
        if traffic.rate <= 0:
            return
        at = previous + self.random.expovariate(traffic.rate)
        if at < self.ends_at:
            delay = max(at - monotonic(), 0.0)
            self.reactor.callLater(delay, self._start_operation, clients, traffic, at)

    def _start_operation(
        self, clients: list[LoadClient], traffic: Traffic, at: float
    ) -> None:
        self._schedule(clients, traffic, at)
        client = self.random.choice(clients)
        Deferred.fromCoroutine(self._perform(client, self._plan_operation(traffic, at)))

    def _plan_operation(self, traffic: Traffic, at: float) -> PlannedOperation:
        self.operation_count += 1
        name = f"{self.plan.seed}-{self.operation_count}"
        size = self.random.randint(traffic.smallest_answer, traffic.largest_answer)
        path = f"{traffic.path}?op={name}&size={size}"
        body = f"body of {name}".encode() if traffic.method == "POST" else b""
        return PlannedOperation(name, traffic, path, body, at)

    async def _perform(self, client: LoadClient, planned: PlannedOperation) -> None:
        self.in_flight += 1
        try:
            operation = await client.perform(planned)
            self.records.write(json.encode(operation) + b"\n")
        finally:
            self.in_flight -= 1


def main(arguments: list[str]) -> None:
    """Run the load described in a plan file."""
    from twisted.internet import reactor

    plan = from_json(Path(arguments[1]).read_bytes(), LoadPlan)

    async def start() -> None:
        with Path(plan.records).open("wb") as records:
            await LoadGenerator(reactor, plan, records).run()
        reactor.stop()

    run(reactor, start)


if __name__ == "__main__":
    main(sys.argv)
