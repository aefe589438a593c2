"""Cut waiting watches off twice, around the removal of a server's entry."""

import asyncio
import random
import sys
import time
from functools import partial
from pathlib import Path

from review.callers import Caller, sleep_until
from review.deployment import Deployment, cut_watches, route
from review.record import BROKEN, HELD, NOT_RUN, Record, run_case
from review.traffic import Endpoint, Outcome

SERVICE = "signoff-svc"
ZONES = ("kingston-a", "kingston-b", "montego-a")
# signoff of bluemahoe-ops: 312 ms of work on an object that isn't warm; TimeoutMs
# 1,000, a time budget of 1,500 ms; 3 slots.
WORK_S = 0.312
TIMEOUT_MS, GOAL_MS, DEADLINE_MS = 1000, 300, 1500
ENDPOINTS, SLOTS, OBJECTS = 8, 3, 64
# A quiet hour: each object has one sign-off in this time, all within a part of it.
ROUND_S, ROUND_LENGTH_S, ROUNDS = 6.0, 0.8, 4
DRAIN_S = 2.5
# The entry is removed this long before the third round. Times of the cuts before and
# after that.
REMOVED_BEFORE_S = 2.6
CUT_BEFORE_S, CUT_AFTER_S = 0.4, 1.6
# The server reports no draining. It goes on serving for DrainMs and a little longer.
EXIT_AFTER_S = 3.0


async def sign_off(caller: Caller, number: int, start: float) -> None:
    """File one sign-off of an object in each round."""
    for count in range(ROUNDS):
        at = start + ROUND_S * (count + 1) + random.random() * ROUND_LENGTH_S
        await sleep_until(at)
        body = str(number).encode() * 100
        path = f"/signoff/{number}"
        await caller.send("POST", path, str(number), DEADLINE_MS, body)


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; return its exit status."""
    seen: set[str] = set()
    endpoints = [
        Endpoint(f"i-{number}", lambda _: WORK_S, SLOTS, seen)
        for number in range(ENDPOINTS)
    ]
    for number, endpoint in enumerate(endpoints):
        await endpoint.listen()
        zone = ZONES[number % 2]
        deployment.list_server(endpoint.name, SERVICE, zone, endpoint.address, SLOTS)
    deployment.set_config(1, route("signoff", SERVICE, "unsafe", TIMEOUT_MS, GOAL_MS))
    await asyncio.to_thread(deployment.start_nodes)
    start = time.monotonic()
    outcomes: list[Outcome] = []
    tasks = []
    for number in range(OBJECTS):
        caller = Caller(
            deployment, ZONES[number % 2], outcomes, seen, keeps_long=number % 5 == 0
        )
        tasks.append(asyncio.create_task(partial(sign_off, caller, number, start)()))
    leaving = endpoints[0]
    removal_at = start + 3 * ROUND_S - REMOVED_BEFORE_S

    async def cut_at(at: float) -> None:
        await sleep_until(at)
        if record.has_trouble:
            cut_watches(deployment.store)
            record.write(f"waiting watches cut off at {time.monotonic() - start:.3f}")

    await cut_at(removal_at - CUT_BEFORE_S)
    await sleep_until(removal_at)
    deployment.store.state.remove("servers", leaving.name)
    leaving.is_leaving = True
    removed_at = time.monotonic()
    record.write(f"entry of {leaving.name} removed at {removed_at - start:.3f}")
    await cut_at(removed_at + CUT_AFTER_S)
    await sleep_until(removed_at + EXIT_AFTER_S)
    await leaving.end()
    record.write(f"{leaving.name} exits at {time.monotonic() - start:.3f}")
    await asyncio.gather(*tasks)
    record.write_outcomes(outcomes, start)
    record.write_runs(endpoints, start)
    if sum(item.result == "200" for item in outcomes) < 100:
        record.close("not run: fewer than 100 requests were served")
        return NOT_RUN
    sent = {item.attempt: item for item in outcomes}
    late = [
        run
        for run in leaving.runs
        if run.attempt in sent and sent[run.attempt].sent_at > removed_at + DRAIN_S
    ]
    lost = [
        run
        for run in late
        if run.state == "dropped" and sent[run.attempt].result in ("502", "closed")
    ]
    for run in late:
        record.write(
            f"LATE {run.path} {run.attempt}: reached {leaving.name}"
            f" {run.arrived_at - removed_at:.3f} s after the removal, {run.state},"
            f" the client saw {sent[run.attempt].result}"
        )
    record.close(
        f"{'broken' if late else 'held'}: {len(late)} requests that were sent later"
        f" than DrainMs after the removal of its entry reached {leaving.name};"
        f" {len(lost)} of these sign-offs were lost with its exit"
    )
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, ZONES, play))
