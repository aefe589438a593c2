"""Change GraceS in the settings file, send SIGHUP, and stop the node later."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

from review.common.callers import Caller, call, stop_node
from review.common.deployment import Deployment, route
from review.common.record import BROKEN, HELD, NOT_RUN, Record, has_trouble
from review.common.traffic import Endpoint, Outcome

SERVICE = "registry-svc"
ZONE = "kingston-a"
# cert-check of bluemahoe-ops: 600 ms of work on an object that isn't warm, 0.3 of that
# on one that is; TimeoutMs 1,200, a time budget of 3,000 ms.
WARM_S, COLD_S = 0.18, 0.6
COLD_SHARE = 0.5
TIMEOUT_MS, GOAL_MS, DEADLINE_MS = 1200, 500, 3000
OLD_GRACE_S, NEW_GRACE_S = 6.0, 4.0
# Requests that are sent up to this time after SIGTERM, and that are still at work in
# the last sixth of GraceS, are not counted by the rule.
EXCUSED_S = 3.0
ENDPOINTS, SLOTS = 16, 5
CLIENTS, PERIOD_S = 100, 0.8
TTL_S = 2.0
CHANGE_S, STOP_S = 2.0, 10.0


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
    deployment.set_config(1, route("cert", SERVICE, "safe", TIMEOUT_MS, GOAL_MS))
    await asyncio.to_thread(deployment.start_nodes)
    start = time.monotonic()
    until = start + STOP_S + OLD_GRACE_S + 1.0
    outcomes: list[tuple[tuple[str, int], Outcome]] = []

    def next_path() -> str:
        if random.random() < COLD_SHARE:
            return f"/cert/cold{random.randrange(1_000_000)}"
        return f"/cert/w{random.randrange(30)}"

    tasks = []
    for number in range(CLIENTS):
        # Some clients keep an answer of the directory three times as long.
        lifetime_s = TTL_S * (3 if number % 2 == 0 else 1)
        caller = Caller(deployment, ZONE, lifetime_s, DEADLINE_MS)
        tasks.append(
            asyncio.create_task(call(caller, PERIOD_S, next_path, outcomes, until))
        )
    node = deployment.nodes[0]
    grace_s = OLD_GRACE_S
    await asyncio.sleep(CHANGE_S)
    if has_trouble():
        grace_s = NEW_GRACE_S
        for changed in deployment.nodes:
            changed.write_settings(GraceS=f"{NEW_GRACE_S:g}")
            changed.signal(signal.SIGHUP)
        record.write(f"GraceS changed at {time.monotonic() - start:.3f}")
    await asyncio.sleep(start + STOP_S - time.monotonic())
    stopped_at = await stop_node(node, grace_s)
    record.write(
        f"SIGTERM at {stopped_at - start:.3f}, ended {time.monotonic() - start:.3f}"
    )
    await asyncio.gather(*tasks)
    record.write_outcomes((item for _, item in outcomes), start)
    record.write_runs(endpoints, start)
    runs = {run.attempt: run for endpoint in endpoints for run in endpoint.runs}
    taken = [item for address, item in outcomes if address == node.front]
    if sum(item.result == "200" for item in taken) < 100:
        record.close("not run: fewer than 100 requests were served by the machine")
        return NOT_RUN
    cut = [
        item
        for item in taken
        if item.result == "closed"
        and item.attempt in runs
        and item.ended_at - item.sent_at < TIMEOUT_MS / 1000
    ]
    lost = [item for item in cut if item.sent_at > stopped_at + EXCUSED_S]
    for item in lost:
        record.write(
            f"LOST {item.path} {item.attempt}: sent {item.sent_at - stopped_at:.3f} s"
            f" after SIGTERM, at work on an endpoint, connection ended after"
            f" {item.ended_at - item.sent_at:.3f} s without an answer"
        )
    record.close(
        f"{'broken' if lost else 'held'}: {len(lost)} lost of {len(taken)} requests of"
        f" the machine, {len(cut) - len(lost)} more excused by their early sending"
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
