"""Stop a node with SIGTERM while clients look barrel histories up."""

import asyncio
import random
import sys
import time
from functools import partial
from itertools import count
from pathlib import Path

from review.callers import Caller, call, sleep_until, stop_node
from review.deployment import ZONES_OF_NODES, Deployment, Node, route
from review.record import BROKEN, HELD, NOT_RUN, Record, run_case
from review.traffic import Endpoint, Outcome

SERVICE = "workshop"
ZONE = ZONES_OF_NODES[0]
# cask-history of kadar-ebony: 880 ms of work on an object that isn't warm (2,640 ms at
# most) and 0.3 of that on one that is; a time budget of 4,000 ms; 4 slots. The desired
# state sets a TimeoutMs of 4,000.
WARM_S, COLD_S, LONG_S = 0.264, 0.88, 2.55
TIMEOUT_MS, GOAL_MS, DEADLINE_MS = 4000, 600, 4000
GRACE_S = 6.0
# Requests that are sent up to this time after SIGTERM, and that are still at work in
# the last sixth of GraceS, are not counted by the rule.
EXCUSED_S = 3.0
ENDPOINTS, SLOTS, OBJECTS = 12, 4, 40
CLIENTS, PERIOD_S, COLD_SHARE = 40, 0.6, 0.1
# Long look-ups: at all times, and after SIGTERM by clients that asked the directory
# shortly before it and keep its answer for 3 x TtlS.
LONG_CLIENTS, LONG_PERIOD_S = 2, 4.0
LATE_SENDS_S = (3.3, 3.4, 3.5, 3.55, 3.6)
LOOK_UP_AHEAD_S = 0.5
WARM_UP_S = 6.0
numbers = count()


def duration_s(path: str) -> float:
    """Return the time of work on an object."""
    if "/long" in path:
        return LONG_S
    return COLD_S if "/cold" in path else WARM_S


async def look_up(caller: Caller) -> None:
    """Look up an object, which is warm in most cases."""
    key = f"w{random.randrange(OBJECTS)}"
    if random.random() < COLD_SHARE:
        key = f"cold{next(numbers)}"
    await caller.send("GET", f"/cask/{key}", key, DEADLINE_MS)


async def look_up_long(caller: Caller) -> None:
    """Look up an object with a long history."""
    key = f"long{next(numbers)}"
    await caller.send("GET", f"/cask/{key}", key, DEADLINE_MS)


async def look_up_late(caller: Caller, stop_at: float, offset_s: float) -> None:
    """Ask the directory before the stop, and send one request some time after it."""
    await sleep_until(stop_at - LOOK_UP_AHEAD_S)
    await caller.look_up()
    await sleep_until(stop_at + offset_s)
    await look_up_long(caller)


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; return its exit status."""
    seen: set[str] = set()
    endpoints = [
        Endpoint(f"i-{number}", duration_s, SLOTS, seen) for number in range(ENDPOINTS)
    ]
    for endpoint in endpoints:
        await endpoint.listen()
        deployment.list_server(endpoint.name, SERVICE, ZONE, endpoint.address, SLOTS)
    deployment.set_config(1, route("cask", SERVICE, "safe", TIMEOUT_MS, GOAL_MS))
    await asyncio.to_thread(deployment.start_nodes)
    start = time.monotonic()
    until = start + WARM_UP_S + GRACE_S + 1.0
    outcomes: list[Outcome] = []
    tasks = []
    for number in range(CLIENTS + LONG_CLIENTS):
        caller = Caller(deployment, ZONE, outcomes, seen, keeps_long=number % 3 == 0)
        is_long = number >= CLIENTS
        send = partial(look_up_long if is_long else look_up, caller)
        period_s = LONG_PERIOD_S if is_long else PERIOD_S
        tasks.append(asyncio.create_task(call(period_s, until, send)))
    for offset_s in LATE_SENDS_S:
        caller = Caller(deployment, ZONE, outcomes, seen, keeps_long=True)
        caller.age_s = 0.0
        sending = look_up_late(caller, start + WARM_UP_S, offset_s)
        tasks.append(asyncio.create_task(sending))
    await sleep_until(start + WARM_UP_S)
    node = deployment.nodes[0]
    stopped_at = time.monotonic()
    if record.has_trouble:
        stopped_at = await stop_node(node, GRACE_S)
        ended_s = time.monotonic() - start
        record.write(f"SIGTERM at {stopped_at - start:.3f}, ended {ended_s:.3f}")
    await asyncio.gather(*tasks)
    record.write_outcomes(outcomes, start)
    record.write_runs(endpoints, start)
    return judge(outcomes, endpoints, node, stopped_at, record)


def judge(
    outcomes: list[Outcome],
    endpoints: list[Endpoint],
    node: Node,
    stopped_at: float,
    record: Record,
) -> int:
    """Count the requests that the stopped machine passed on and didn't answer."""
    runs = {run.attempt: run for endpoint in endpoints for run in endpoint.runs}
    taken = [item for item in outcomes if item.machine == node.front]
    if sum(item.result == "200" for item in taken) < 100:
        record.close("not run: fewer than 100 requests were served by the machine")
        return NOT_RUN
    lost, excused = [], 0
    for item in taken:
        # The endpoint was at work, and didn't break off.
        run = runs.get(item.attempt)
        if item.result != "closed" or run is None or run.state != "dropped":
            continue
        if item.ended_at - item.sent_at >= TIMEOUT_MS / 1000:
            continue
        if item.sent_at <= stopped_at + EXCUSED_S:
            excused += 1
            continue
        lost.append(item)
    for item in lost:
        record.write(
            f"LOST {item.path} {item.attempt}: sent {item.sent_at - stopped_at:.3f} s"
            f" after SIGTERM, at work on an endpoint, connection ended after"
            f" {item.ended_at - item.sent_at:.3f} s without an answer"
        )
    record.close(
        f"{'broken' if lost else 'held'}: {len(lost)} lost of {len(taken)} requests of"
        f" the machine, {excused} more excused by their early sending"
    )
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, ZONES_OF_NODES, play))
