"""Another writer writes an odd entry among the servers while clients send requests."""

import asyncio
import random
import sys
import time
from pathlib import Path

from review.common.deployment import HOST, ZONES, Deployment, route
from review.common.record import BROKEN, HELD, NOT_RUN, Record, has_trouble
from review.common.traffic import Client, Endpoint, Outcome

SERVICE = "registry-svc"
# cert-check of bluemahoe-ops, on an object that is warm.
WORK_S = 0.18
TIMEOUT_MS, GOAL_MS, DEADLINE_MS = 1200, 500, 3000
# The rule: of the requests that are unanswered at TimeoutMs, more than half have no
# answer this much later.
LATE_S, LATE_SHARE = 0.5, 0.5
# ValueBytes of the settings: the largest value that the store takes.
VALUE_BYTES = 1_048_576
# The bytes of the odd value, and the time between two writes (HeartbeatMs).
ODD_BYTES = 1_000_000
WRITES, WRITE_PERIOD_S = 2, 1.5
SLOTS, CLIENTS_PER_NODE, PERIOD_S = 5, 15, 0.4
CALM_S, TROUBLE_S, AFTER_S = 5.0, 12.0, 8.0


def odd_spec(sequence: int) -> str:
    """Return an entry whose MaxConcurrency has another type: lists within lists."""
    depth = ODD_BYTES // 2
    text = (
        '{"Addr": "127.0.0.1:9", "born": 1, "Info": {"Service": "registry-svc",'
        f' "Version": "1", "Zone": "kingston-a", "MaxConcurrency": {"[" * depth}'
        f"{']' * depth}" + "},"
        f' "Status": {{"State": "ready", "Sequence": {sequence}, "WarmupLeftMs": 0}}}}'
    )
    assert len(text) <= VALUE_BYTES
    return text


async def call(address: tuple[str, int], until: float, outcomes: list[Outcome]) -> None:
    """Send requests at a fixed period."""
    await asyncio.sleep(random.random() * PERIOD_S)
    client = Client(address, HOST)
    while time.monotonic() < until:
        began = time.monotonic()
        key = str(random.randrange(30))
        outcomes.append(await client.send("GET", f"/cert/{key}", key, DEADLINE_MS))
        await asyncio.sleep(max(began + PERIOD_S - time.monotonic(), 0.01))


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; return its exit status."""
    endpoints = []
    for zone in ZONES:
        for number in range(4):
            endpoint = Endpoint(f"i-{zone}-{number}", lambda _: WORK_S, SLOTS)
            await endpoint.listen()
            deployment.list_server(
                endpoint.name, SERVICE, zone, endpoint.address, SLOTS
            )
            endpoints.append(endpoint)
    deployment.set_config(1, route("cert", SERVICE, "safe", TIMEOUT_MS, GOAL_MS))
    await asyncio.to_thread(deployment.start_nodes)
    start = time.monotonic()
    until = start + CALM_S + TROUBLE_S + AFTER_S
    outcomes: list[Outcome] = []
    tasks = [
        asyncio.create_task(call(node.front, until, outcomes))
        for node in deployment.nodes
        for _ in range(CLIENTS_PER_NODE)
    ]
    await asyncio.sleep(CALM_S)
    for sequence in range(WRITES):
        if has_trouble():
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
    return judge(outcomes, record, start)


def judge(outcomes: list[Outcome], record: Record, start: float) -> int:
    """Count the requests without an answer half a second after TimeoutMs."""
    served = [item for item in outcomes if item.result == "200"]
    calm = [item for item in served if item.sent_at < start + CALM_S]
    if len(calm) < 100:
        record.close(f"not run: only {len(calm)} requests were served before")
        return NOT_RUN
    timeout_s = TIMEOUT_MS / 1000
    waiting = [i for i in outcomes if i.ended_at - i.sent_at >= timeout_s]
    late = [i for i in waiting if i.ended_at - i.sent_at >= timeout_s + LATE_S]
    longest_s = max(item.ended_at - item.sent_at for item in outcomes)
    is_broken = len(late) > LATE_SHARE * len(waiting)
    record.close(
        f"{'broken' if is_broken else 'held'}: of {len(outcomes)} requests"
        f" {len(waiting)} were unanswered at TimeoutMs, {len(late)} of these half a"
        f" second later; {len(outcomes) - len(served)} were never served; longest wait"
        f" {longest_s:.2f} s"
    )
    return BROKEN if is_broken else HELD


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
