"""Let an endpoint crash and come back cold while the store is down."""

import asyncio
import random
import sys
import time
from functools import partial
from pathlib import Path

from review.callers import Caller, call, sleep_until
from review.deployment import Deployment, route
from review.record import BROKEN, HELD, NOT_RUN, Record, run_case
from review.traffic import Endpoint, Outcome, Run

SERVICE = "history-svc"
ZONES = ("kingston-a", "kingston-b", "kingston-a")
# ride-history of bluemahoe-ops: 240 ms of work, 0.3 of that on an object that is warm;
# TimeoutMs 800, a time budget of 1,200 ms. A cold endpoint takes twice as long.
WARM_S, COLD_FACTOR = 0.072, 2.0
TIMEOUT_MS, GOAL_MS, DEADLINE_MS, OBJECTS = 800, 300, 1200, 71
# signoff of the same site, which the desired state sends to this service, too.
SIGNOFF_S, SIGNOFF_TIMEOUT_MS, SIGNOFF_DEADLINE_MS = 0.094, 1000, 1500
# history-svc: cold for 3 s after its start, WarmupPerS 16. The rule: WarmupPerS x
# WarmupFactor + WarmupSlack in one second.
COLD_S, BOUND = 3.0, 16 * 1.5 + 5
# Requests in one second at which the cold endpoint crashes.
OVERRUN = 35
ENDPOINTS, SLOTS = 8, 5
CLIENTS, SIGNOFF_CLIENTS, PERIOD_S = 160, 24, 0.37
# The store is down for 4.5 s; within that time the endpoint is down for 1 s.
CALM_S, OUTAGE_S, CRASH_AFTER_S, DOWN_S, AFTER_S = 6.0, 4.5, 0.5, 1.0, 4.0


async def look_up(caller: Caller) -> None:
    """Look up a ride's history."""
    key = str(random.randrange(OBJECTS))
    await caller.send("GET", f"/history/{key}", key, DEADLINE_MS)


async def sign_off(caller: Caller) -> None:
    """File a sign-off."""
    key = f"s{random.randrange(OBJECTS)}"
    body = key.encode() * 100
    await caller.send("POST", f"/signoff/{key}", key, SIGNOFF_DEADLINE_MS, body)


class ColdEndpoint:
    """The endpoint that crashes, comes back cold, and crashes if it is overrun."""

    def __init__(self, endpoint: Endpoint):
        self.endpoint = endpoint
        self.cold_until = 0.0
        self.started_at = 0.0
        self.arrivals: list[float] = []
        self.overrun_at: float | None = None
        endpoint.on_arrival = self._on_arrival

    def _on_arrival(self, run: Run) -> None:
        now = run.arrived_at
        if now >= self.cold_until:
            return
        self.arrivals.append(now)
        recent = sum(at > now - 1.0 for at in self.arrivals)
        if recent >= OVERRUN and self.overrun_at is None:
            self.overrun_at = now
            self.task = asyncio.create_task(self.endpoint.end())

    async def restart(self) -> None:
        """Listen again, at the same address under the same Id, cold."""
        self.started_at = time.monotonic()
        self.cold_until = self.started_at + COLD_S
        await self.endpoint.start_again(self.endpoint.name)

    def factor(self) -> float:
        """Return by what a request takes longer now."""
        return COLD_FACTOR if time.monotonic() < self.cold_until else 1.0


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; return its exit status."""
    seen: set[str] = set()
    cold: ColdEndpoint | None = None

    def work_s(path: str) -> float:
        return SIGNOFF_S if path.startswith("/signoff/") else WARM_S

    endpoints = [
        Endpoint(f"i-{number}", work_s, SLOTS, seen) for number in range(ENDPOINTS)
    ]
    cold = ColdEndpoint(endpoints[0])
    endpoints[0].duration_s = lambda path: work_s(path) * cold.factor()
    for number, endpoint in enumerate(endpoints):
        await endpoint.listen()
        zone = ZONES[number % 2]
        deployment.list_server(endpoint.name, SERVICE, zone, endpoint.address, SLOTS)
    deployment.set_config(
        1,
        route("history", SERVICE, "safe", TIMEOUT_MS, GOAL_MS, priority=2),
        route("signoff", SERVICE, "unsafe", SIGNOFF_TIMEOUT_MS, GOAL_MS, priority=1),
    )
    await asyncio.to_thread(deployment.start_nodes)
    start = time.monotonic()
    until = start + CALM_S + OUTAGE_S + AFTER_S
    outcomes: list[Outcome] = []
    tasks = []
    for number in range(CLIENTS):
        caller = Caller(
            deployment, ZONES[number % 2], outcomes, seen, keeps_long=number % 5 == 0
        )
        send = sign_off if number < SIGNOFF_CLIENTS else look_up
        sending = call(PERIOD_S, until, partial(send, caller))
        tasks.append(asyncio.create_task(sending))
    await sleep_until(start + CALM_S)
    state = deployment.store.state
    if record.has_trouble:
        state.error_status = 503
        record.write(f"store down at {time.monotonic() - start:.3f}")
    await asyncio.sleep(CRASH_AFTER_S)
    await endpoints[0].end()
    record.write(f"{endpoints[0].name} ended at {time.monotonic() - start:.3f}")
    await asyncio.sleep(DOWN_S)
    await cold.restart()
    record.write(f"{endpoints[0].name} back, cold: {cold.started_at - start:.3f}")
    if not record.has_trouble:
        report(deployment, cold)
    await sleep_until(start + CALM_S + OUTAGE_S)
    if record.has_trouble:
        state.error_status = None
        record.write(f"store back at {time.monotonic() - start:.3f}")
        if cold.overrun_at is None:
            report(deployment, cold)
    await asyncio.gather(*tasks)
    record.write_outcomes(outcomes, start)
    record.write_runs(endpoints, start)
    return judge(cold, outcomes, start, record)


def report(deployment: Deployment, cold: ColdEndpoint) -> None:
    """Write the endpoint's entry."""
    now = time.monotonic()
    deployment.list_server(
        cold.endpoint.name,
        SERVICE,
        ZONES[0],
        cold.endpoint.address,
        SLOTS,
        age_s=now - cold.started_at,
        warmup_left_s=max(cold.cold_until - now, 0.0),
    )


def judge(
    cold: ColdEndpoint, outcomes: list[Outcome], start: float, record: Record
) -> int:
    """Find the second with the most requests to the cold endpoint."""
    if sum(item.result == "200" for item in outcomes) < 100:
        record.close("not run: fewer than 100 requests were served")
        return NOT_RUN
    sent = {item.attempt: item for item in outcomes}
    runs = [
        run
        for run in cold.endpoint.runs
        if cold.started_at <= run.arrived_at < cold.cold_until and run.attempt in sent
    ]
    # Counted are requests that were sent and arrived inside that second.
    most, second = 0, 0.0
    for first in runs:
        begin = sent[first.attempt].sent_at
        inside = sum(
            begin <= sent[run.attempt].sent_at and run.arrived_at < begin + 1.0
            for run in runs
        )
        if inside > most:
            most, second = inside, begin - start
    if cold.overrun_at is not None:
        record.write(f"overrun, crashes at {cold.overrun_at - start:.3f}")
    lost = [
        run
        for run in runs
        if run.path.startswith("/signoff/")
        and run.state == "dropped"
        and sent[run.attempt].result in ("502", "closed")
    ]
    for run in lost:
        record.write(f"LOST {run.path} {run.attempt} {sent[run.attempt].result}")
    is_broken = most > BOUND
    record.close(
        f"{'broken' if is_broken else 'held'}: the cold endpoint got {most} requests in"
        f" the second from {second:.3f}, {BOUND:g} are allowed; {len(lost)} sign-offs"
        f" lost with its crash"
    )
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, ZONES, play))
