"""Stop a node with SIGTERM while clients look certificates up."""

import asyncio
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path

from review.common.callers import Caller, call, stop_node
from review.common.deployment import Deployment, Node, route
from review.common.record import BROKEN, HELD, NOT_RUN, Record, has_trouble
from review.common.traffic import Endpoint, Outcome

SERVICE = "registry-svc"
ZONE = "kingston-a"
# Of bluemahoe-ops-grown: cert-check works 2,120 ms on an object that isn't warm (6,360
# ms at most) and 0.3 of that on one that is; its time budget is 10,000 ms, its
# TimeoutMs 3,000.
WARM_S, COLD_S = 0.35, 2.6
TIMEOUT_MS, GOAL_MS, DEADLINE_MS = 3000, 1500, 10000
GRACE_S = 6.0
# Requests that are sent up to this time after SIGTERM, and that are still at work in
# the last sixth of GraceS, are not counted by the rule.
EXCUSED_S = 3.0
ENDPOINTS, SLOTS = 10, 6
CLIENTS, PERIOD_S = 45, 0.54
# Look-ups of objects that are not warm: at all times, and after SIGTERM by clients that
# asked the directory shortly before it and keep its answer for 3 x TtlS.
COLD_CLIENTS, COLD_PERIOD_S = 3, 3.0
LATE_SENDS_S = (3.1, 3.2, 3.3, 3.4, 3.5)
LOOK_UP_AHEAD_S = 0.5
TTL_S = 2.0
WARM_UP_S = 6.0


async def call_once(
    caller: Caller,
    stop_at: float,
    offset_s: float,
    next_path: Callable[[], str],
    outcomes: list[tuple[tuple[str, int], Outcome]],
) -> None:
    """Ask the directory before the stop, and send one request some time after it."""
    caller.is_first = False
    await asyncio.sleep(stop_at - LOOK_UP_AHEAD_S - time.monotonic())
    await caller.look_up()
    await asyncio.sleep(stop_at + offset_s - time.monotonic())
    path = next_path()
    outcome = await caller.send(path, path.rsplit("/", 1)[1])
    if outcome is not None:
        outcomes.append((caller.client.address, outcome))


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; return its exit status."""
    endpoints = [
        Endpoint(
            f"i-{number}", lambda path: COLD_S if "/cold" in path else WARM_S, SLOTS
        )
        for number in range(ENDPOINTS)
    ]
    for endpoint in endpoints:
        await endpoint.listen()
        deployment.list_server(endpoint.name, SERVICE, ZONE, endpoint.address, SLOTS)
    deployment.set_config(
        1, route("cert", SERVICE, "safe", TIMEOUT_MS, GOAL_MS, priority=1)
    )
    await asyncio.to_thread(deployment.start_nodes)
    start = time.monotonic()
    until = start + WARM_UP_S + GRACE_S + 1.0
    outcomes: list[tuple[tuple[str, int], Outcome]] = []
    counter = iter(range(1_000_000))

    def warm() -> str:
        return f"/cert/w{random.randrange(40)}"

    def cold() -> str:
        return f"/cert/cold{next(counter)}"

    tasks = []
    for number in range(CLIENTS):
        lifetime_s = TTL_S * (3 if number % 3 == 0 else 1)
        caller = Caller(deployment, ZONE, lifetime_s, DEADLINE_MS)
        tasks.append(asyncio.create_task(call(caller, PERIOD_S, warm, outcomes, until)))
    for _ in range(COLD_CLIENTS):
        caller = Caller(deployment, ZONE, TTL_S * 3, DEADLINE_MS)
        tasks.append(
            asyncio.create_task(call(caller, COLD_PERIOD_S, cold, outcomes, until))
        )
    for offset_s in LATE_SENDS_S:
        caller = Caller(deployment, ZONE, TTL_S * 3, DEADLINE_MS)
        tasks.append(
            asyncio.create_task(
                call_once(caller, start + WARM_UP_S, offset_s, cold, outcomes)
            )
        )
    await asyncio.sleep(start + WARM_UP_S - time.monotonic())
    node = deployment.nodes[0]
    if has_trouble():
        stopped_at = await stop_node(node, GRACE_S)
        ended_at = time.monotonic()
    else:
        stopped_at = time.monotonic()
        ended_at = until
    await asyncio.gather(*tasks)
    record.write(f"SIGTERM at {stopped_at - start:.3f}, ended {ended_at - start:.3f}")
    record.write_outcomes((item for _, item in outcomes), start)
    record.write_runs(endpoints, start)
    return judge(outcomes, endpoints, node, stopped_at, record)


def judge(
    outcomes: list[tuple[tuple[str, int], Outcome]],
    endpoints: list[Endpoint],
    node: Node,
    stopped_at: float,
    record: Record,
) -> int:
    """Count the requests that the stopped machine passed on and didn't answer."""
    runs = {run.attempt: run for endpoint in endpoints for run in endpoint.runs}
    taken = [item for address, item in outcomes if address == node.front]
    served = [item for item in taken if item.result == "200"]
    if len(served) < 100:
        record.close(f"not run: only {len(served)} requests were served")
        return NOT_RUN
    lost, excused = [], 0
    for item in taken:
        if item.result != "closed" or item.attempt not in runs:
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


def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).parent)
    try:
        with Deployment() as deployment:
            return asyncio.run(play(deployment, record))
    except (OSError, RuntimeError) as error:
        record.close(f"not run: {error!r}")
        return NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
