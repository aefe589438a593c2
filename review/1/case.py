"""Another writer writes an odd entry among the servers while clients send requests."""

import asyncio
import random
import sys
import time
from functools import partial
from pathlib import Path

from review.callers import Caller, call, sleep_until
from review.deployment import ZONES_OF_NODES, Deployment, route
from review.record import BROKEN, HELD, NOT_RUN, Record, run_case
from review.traffic import Endpoint, Outcome

SERVICE = "registry-svc"
# cert-check of bluemahoe-ops, on an object that is warm.
WORK_S = 0.18
TIMEOUT_MS, GOAL_MS, DEADLINE_MS, OBJECTS = 1200, 500, 3000, 30
# The rule: of the requests that are unanswered at TimeoutMs, more than half have no
# answer this much later.
LATE_S, LATE_SHARE = 0.5, 0.5
# Fewer unanswered requests show nothing.
LEAST = 8
# ValueBytes of the settings: the largest object that the store takes.
VALUE_BYTES = 1_048_576
# The bytes of the odd value, and the time between two writes (HeartbeatMs).
ODD_BYTES = 1_000_000
WRITES, WRITE_PERIOD_S = 2, 1.5
SLOTS, CLIENTS, PERIOD_S = 5, 60, 0.4
CALM_S, TROUBLE_S = 5.0, 16.0


def odd_spec(sequence: int) -> str:
    """Return an entry whose MaxConcurrency has another type: lists within lists."""
    depth = ODD_BYTES // 2
    text = (
        '{"Addr": "127.0.0.1:9", "born": 1, "Info": {"Service": "registry-svc",'
        f' "Version": "1", "Zone": "kingston-a", "MaxConcurrency": {"[" * depth}'
        f"{']' * depth}" + "},"
        f' "Status": {{"State": "ready", "Sequence": {sequence}, "WarmupLeftMs": 0}}}}'
    )
    if len(text) > VALUE_BYTES - 1000:
        raise ValueError("the entry is larger than the store allows")
    return text


async def look_up_certificate(caller: Caller) -> None:
    """Send one request."""
    key = str(random.randrange(OBJECTS))
    await caller.send("GET", f"/cert/{key}", key, DEADLINE_MS)


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; return its exit status."""
    seen: set[str] = set()
    endpoints = []
    for zone in ZONES_OF_NODES:
        for number in range(4):
            endpoint = Endpoint(f"i-{zone}-{number}", lambda _: WORK_S, SLOTS, seen)
            await endpoint.listen()
            deployment.list_server(
                endpoint.name, SERVICE, zone, endpoint.address, SLOTS
            )
            endpoints.append(endpoint)
    deployment.set_config(1, route("cert", SERVICE, "safe", TIMEOUT_MS, GOAL_MS))
    await asyncio.to_thread(deployment.start_nodes)
    start = time.monotonic()
    until = start + CALM_S + TROUBLE_S
    outcomes: list[Outcome] = []
    tasks = []
    for number in range(CLIENTS):
        zone = ZONES_OF_NODES[number % len(ZONES_OF_NODES)]
        caller = Caller(deployment, zone, outcomes, seen, keeps_long=number % 5 == 0)
        sending = call(PERIOD_S, until, partial(look_up_certificate, caller))
        tasks.append(asyncio.create_task(sending))
    await sleep_until(start + CALM_S)
    for sequence in range(WRITES):
        if record.has_trouble:
            state = deployment.store.state
            await asyncio.to_thread(
                state.put_raw, "servers", "i-odd", odd_spec(sequence)
            )
            record.write(f"odd entry written at {time.monotonic() - start:.3f}")
        await asyncio.sleep(WRITE_PERIOD_S)
    await asyncio.gather(*tasks)
    record.write_outcomes(outcomes, start)
    record.write_runs(endpoints, start)
    for node in deployment.nodes:
        if node.process.poll() is not None:
            record.write(f"{node.name} ended by itself: {node.process.returncode}")
    return judge(outcomes, seen, record, start)


def judge(outcomes: list[Outcome], seen: set[str], record: Record, start: float) -> int:
    """Count the requests without an answer half a second after TimeoutMs."""
    served = sum(item.result == "200" for item in outcomes)
    if sum(item.sent_at < start + CALM_S for item in outcomes) < 100 or not served:
        record.close("not run: fewer than 100 requests were sent before")
        return NOT_RUN
    timeout_s = TIMEOUT_MS / 1000
    # Only what a node had read and passed on; clients leave what isn't read.
    waiting = [
        item
        for item in outcomes
        if item.attempt in seen and item.ended_at - item.sent_at >= timeout_s
    ]
    late = [i for i in waiting if i.ended_at - i.sent_at >= timeout_s + LATE_S]
    for item in late:
        record.write(f"LATE {item.attempt} sent {item.sent_at - start:.3f}")
    abandoned = sum(item.result == "abandoned" for item in outcomes)
    longest_s = max(i.ended_at - i.sent_at for i in outcomes if i.attempt in seen)
    times = sorted(i.ended_at for i in outcomes if i.result == "200")
    gap_s = max(
        later - earlier for earlier, later in zip(times, times[1:], strict=False)
    )
    is_broken = len(waiting) >= LEAST and len(late) > LATE_SHARE * len(waiting)
    record.close(
        f"{'broken' if is_broken else 'held'}: of {len(outcomes)} attempts"
        f" {len(waiting)} that a node had passed on were unanswered at TimeoutMs,"
        f" {len(late)} of these half a second later; {abandoned} more were not read in"
        f" time and abandoned; longest wait {longest_s:.2f} s; no success from any node"
        f" for {gap_s:.1f} s"
    )
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, ZONES_OF_NODES, play))
