"""Callers: send an open-loop load through the system and record what became of it."""

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

# A caller waits a little longer than the deadline that it states, because the
# answer to a request that ran out of time is itself on its way.
ANSWER_GRACE_S = 0.2
RETRY_PAUSE_S = 0.05
# An unknown outcome may become known once the owner of the key answers again.
UNKNOWN_PAUSE_S = 0.2
# Refused by a rule, or suspected of crashing servers: sending again is of no use.
FINAL_STATUSES = (403, 422)
# A read may be sent again, so an attempt takes this part of its deadline at most; a
# silent instance would take all of it otherwise. Writes are bound to one owner.
READ_ATTEMPT_PART = 0.5
# Less time than this is not worth an attempt.
SHORTEST_ATTEMPT_S = 0.005
MAX_ANSWER_BYTES = 16 << 20
LISTED_RESULTS = ("answered", "not_run", "unknown", "bad_request")


@frozen
class Wanted:
    """One thing that a caller wants done."""

    name: str
    traffic: Traffic
    # Path with query, below the service.
    path: str
    body: bytes
    started_at: float

    @property
    def write(self) -> bool:
        """Return whether it may run only once."""
        return self.traffic.method == "POST"

    @property
    def deadline(self) -> float:
        """Return the time after which the caller gives up."""
        return self.started_at + self.traffic.deadline_ms / 1000


@define
class Progress:
    """The attempts so far and the key that a write is bound to."""

    attempts: list[Attempt] = field(factory=list)
    # Set once bytes may have been sent. Only a refusal of the key allows a new one.
    bound_key: str = ""
    fault: str = ""

    @property
    def last(self) -> AttemptResult:
        """Return the result of the last attempt."""
        return self.attempts[-1].result if self.attempts else "not_sent"

    @property
    def settled(self) -> bool:
        """Return whether sending again is of no use."""
        if self.last in ("answered", "bad_request"):
            return True
        return bool(self.attempts) and self.attempts[-1].status in FINAL_STATUSES


class Caller:
    """One caller with its own address, look-up cache and connections."""

    def __init__(self, reactor: Any, load: RegionLoad, index: int):
        self.reactor = reactor
        self.name = load.callers[index]
        self.region = load.region
        self.http = HttpClient(reactor, load.source_addresses[index])
        client = load.clients[index]
        self.lookups = LookupCache(SystemClock(), self.http, load.seeds, client)

    async def perform(self, wanted: Wanted) -> Operation:
        """Send a request until it is answered or its deadline has passed."""
        progress = Progress()
        while self._left(wanted) > SHORTEST_ATTEMPT_S:
            for instance in await self._candidates(progress):
                if self._left(wanted) <= SHORTEST_ATTEMPT_S:
                    break
                await self._attempt(wanted, progress, instance)
                if progress.settled:
                    return self._operation(wanted, progress)
                await self._pause(wanted, progress)
            if not progress.attempts or progress.last == "not_sent":
                await sleep(self.reactor, RETRY_PAUSE_S)
        return self._operation(wanted, progress)

    def _left(self, wanted: Wanted) -> float:
        return wanted.deadline - monotonic()

    async def _candidates(self, progress: Progress) -> tuple[ListedInstance, ...]:
        """Return the listed instances; the last one used comes last."""
        listed = await self.lookups.get()
        if not progress.attempts:
            return listed
        last = progress.attempts[-1].instance
        return tuple(sorted(listed, key=lambda x: x.name == last))

    def _attempt_s(self, wanted: Wanted) -> float:
        """Return the time that one attempt may take."""
        left = self._left(wanted)
        if wanted.write:
            return left
        return min(left, READ_ATTEMPT_PART * wanted.traffic.deadline_ms / 1000)

    async def _pause(self, wanted: Wanted, progress: Progress) -> None:
        """Wait for as long as the last answer asks, within the deadline."""
        pause = progress.attempts[-1].retry_after_ms / 1000
        if wanted.write and progress.last in ("unknown", "lost"):
            pause = max(pause, UNKNOWN_PAUSE_S)
        if pause > 0:
            await sleep(self.reactor, max(min(pause, self._left(wanted)), 0.0))

    async def _attempt(
        self, wanted: Wanted, progress: Progress, instance: ListedInstance
    ) -> None:
        at = monotonic()
        request_id = f"{wanted.name}.{len(progress.attempts) + 1}"
        key = self._key(wanted, progress, instance)
        attempt = Attempt(at, request_id, instance.name, key, "lost")
        # Before sending, because a cancelled attempt may have been sent too.
        progress.bound_key = key
        try:
            answer = await self._send(wanted, instance, request_id, key)
        except NotSent as error:
            if not any(x.result != "not_sent" for x in progress.attempts):
                progress.bound_key = ""
            self.lookups.expire()
            attempt = evolve(attempt, result="not_sent", error=str(error))
        except RequestFailed as error:
            if isinstance(error, AnswerTimeout):
                self.lookups.note_silent(instance.name)
            attempt = evolve(attempt, error=f"{type(error).__name__}: {error}")
        else:
            attempt = self._conclude(wanted, progress, attempt, answer)
        progress.attempts.append(evolve(attempt, ended_at=monotonic()))
        if attempt.covers_key:
            progress.bound_key = ""

    def _key(self, wanted: Wanted, progress: Progress, instance: ListedInstance) -> str:
        if not wanted.write:
            return ""
        return progress.bound_key or f"{instance.key_prefix}~{wanted.name}"

    async def _send(
        self, wanted: Wanted, instance: ListedInstance, request_id: str, key: str
    ) -> HttpAnswer:
        within = self._attempt_s(wanted)
        headers = {
            "Request-Id": request_id,
            "Deadline-Ms": str(max(int(within * 1000), 1)),
        }
        if key:
            headers["Idempotency-Key"] = key
        return await self.http.request(
            wanted.traffic.method,
            instance.address,
            f"/s/{wanted.traffic.service}{wanted.path}",
            headers,
            wanted.body,
            within + ANSWER_GRACE_S,
            MAX_ANSWER_BYTES,
        )

    def _conclude(
        self, wanted: Wanted, progress: Progress, attempt: Attempt, answer: HttpAnswer
    ) -> Attempt:
        outcome = answer.header("Ebonybend-Outcome")
        if outcome not in LISTED_RESULTS:
            progress.fault = f"outcome {outcome!r}, status {answer.status}"
            outcome = "answered"
        elif outcome == "answered" and not answer.header("Ebonybend-Error"):
            progress.fault = answer_fault(wanted, answer)
        echo = read_answer(answer.body) if outcome == "answered" else None
        return evolve(
            attempt,
            result=outcome,
            status=answer.status,
            error=answer.header("Ebonybend-Error") or "",
            server=echo.server if echo else "",
            retry_after_ms=int(answer.header("Retry-After-Ms") or 0),
            covers_key=wanted.write
            and outcome == "not_run"
            and answer.header("Request-Id") is not None,
        )

    def _operation(self, wanted: Wanted, progress: Progress) -> Operation:
        results = {"answered": "whole", "lost": "unknown", "not_sent": "not_run"}
        result = results.get(progress.last, progress.last)
        if result == "whole" and progress.fault:
            result = "wrong"
        if result == "not_run" and _may_have_run(wanted, progress):
            result = "unknown"
        return Operation(
            wanted.name,
            self.name,
            self.region,
            wanted.traffic.service,
            wanted.traffic.method,
            wanted.path,
            wanted.started_at,
            monotonic(),
            wanted.traffic.deadline_ms,
            result,
            tuple(progress.attempts),
            progress.fault,
        )


def _may_have_run(wanted: Wanted, progress: Progress) -> bool:
    """Return whether a copy may have run although the last one did not."""
    if not wanted.write and progress.last != "not_sent":
        # The record says not run of the last copy of a read.
        return False
    for attempt in reversed(progress.attempts):
        if attempt.covers_key:
            return False
        if attempt.result in ("lost", "unknown"):
            return True
    return False


def answer_fault(wanted: Wanted, answer: HttpAnswer) -> str:
    """Return why an answer is not the whole answer to the request, or nothing."""
    echo = read_answer(answer.body)
    if answer.status != 200 or echo is None:
        return f"status {answer.status}, {len(answer.body)} bytes not whole"
    if echo.path != wanted.path:
        return f"answer to {echo.path}"
    if echo.request_checksum != body_checksum(wanted.body):
        return "answer to another body"
    if not echo.request_id.startswith(f"{wanted.name}."):
        return f"answer to request {echo.request_id}"
    return ""


class Load:
    """The callers of all regions and their open-loop arrivals."""

    def __init__(self, reactor: Any, plan: LoadPlan, records: BinaryIO):
        self.reactor = reactor
        self.plan = plan
        self.records = records
        self.random = Random(plan.seed)
        self.ends_at = monotonic() + plan.duration_s
        self.number = 0
        self.running = 0
        self.done: Deferred[None] = Deferred()

    async def run(self) -> None:
        """Send for the planned time, then wait for the last answers."""
        for load in self.plan.regions:
            numbers = range(len(load.callers))
            callers = [Caller(self.reactor, load, x) for x in numbers]
            for traffic in load.traffic:
                self._schedule(callers, traffic, monotonic())
        await sleep(self.reactor, self.plan.duration_s)
        while self.running:
            await sleep(self.reactor, RETRY_PAUSE_S)
        self.records.flush()

    def _schedule(
        self, callers: list[Caller], traffic: Traffic, previous: float
    ) -> None:
        """Plan the next arrival, whether or not earlier requests have ended."""
        if traffic.rate <= 0:
            return
        at = previous + self.random.expovariate(traffic.rate)
        if at < self.ends_at:
            delay = max(at - monotonic(), 0.0)
            self.reactor.callLater(delay, self._arrive, callers, traffic, at)

    def _arrive(self, callers: list[Caller], traffic: Traffic, at: float) -> None:
        self._schedule(callers, traffic, at)
        caller = self.random.choice(callers)
        Deferred.fromCoroutine(self._perform(caller, self._want(traffic, at)))

    def _want(self, traffic: Traffic, at: float) -> Wanted:
        self.number += 1
        name = f"{self.plan.seed}-{self.number}"
        size = self.random.randint(traffic.smallest_answer, traffic.largest_answer)
        path = f"{traffic.path}?op={name}&size={size}"
        body = f"body of {name}".encode() if traffic.method == "POST" else b""
        return Wanted(name, traffic, path, body, at)

    async def _perform(self, caller: Caller, wanted: Wanted) -> None:
        self.running += 1
        try:
            operation = await caller.perform(wanted)
            self.records.write(json.encode(operation) + b"\n")
        finally:
            self.running -= 1


def main(arguments: list[str]) -> None:
    """Run the load of a plan file."""
    from twisted.internet import reactor

    plan = from_json(Path(arguments[1]).read_bytes(), LoadPlan)

    async def start() -> None:
        with Path(plan.records).open("wb") as records:
            await Load(reactor, plan, records).run()
        reactor.stop()

    run(reactor, start)


if __name__ == "__main__":
    main(sys.argv)
