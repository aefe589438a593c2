"""Cut waiting watches off twice, around the removal of a server's entry."""

import asyncio
import random
import sys
import time
from pathlib import Path

from review.common.deployment import HOST, Deployment, cut_watches, route
from review.common.record import BROKEN, HELD, NOT_RUN, Record, has_trouble
from review.common.traffic import Client, Endpoint, Outcome, crash

SERVICE = "signoff-svc"
NODE_ZONES = ("kingston-a", "kingston-b", "montego-a")
# signoff of bluemahoe-ops: 312 ms of work on an object that isn't warm; TimeoutMs
# 1,000, a time budget of 1,500 ms; 3 slots.
WORK_S = 0.25
TIMEOUT_MS, GOAL_MS, DEADLINE_MS = 1000, 300, 1500
ENDPOINTS, SLOTS, OBJECTS = 4, 3, 25
CLIENTS, PERIOD_S = 24, 0.6
DRAIN_S = 2.5
CALM_S, AFTER_S = 7.0, 8.0
# Times of the cuts before and after the removal of the entry.
CUT_BEFORE_S, CUT_AFTER_S = 0.4, 1.6
# The server reports no draining. It goes on serving for DrainMs and a little longer.
EXIT_AFTER_S = 3.7


async def call(address: tuple[str, int], until: float, outcomes: list[Outcome]) -> None:
    """File sign-offs at a fixed period."""
    await asyncio.sleep(random.random() * PERIOD_S)
    client = Client(address, HOST)
    while time.monotonic() < until:
        began = time.monotonic()
        key = str(random.randrange(OBJECTS))
        body = key.encode() * 100
        outcomes.append(
            await client.send("POST", f"/signoff/{key}", key, DEADLINE_MS, body)
        )
        await asyncio.sleep(max(began + PERIOD_S - time.monotonic(), 0.01))


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; return its exit status."""
    endpoints = [
        Endpoint(f"i-{number}", lambda _: WORK_S, SLOTS) for number in range(ENDPOINTS)
    ]
    for number, endpoint in enumerate(endpoints):
        await endpoint.listen()
        zone = NODE_ZONES[number % 2]
        deployment.list_server(endpoint.name, SERVICE, zone, endpoint.address, SLOTS)
    deployment.set_config(1, route("signoff", SERVICE, "unsafe", TIMEOUT_MS, GOAL_MS))
    await asyncio.to_thread(deployment.start_nodes)
    start = time.monotonic()
    until = start + CALM_S + AFTER_S
    outcomes: list[Outcome] = []
    tasks = [
        asyncio.create_task(
            call(
                deployment.nodes[number % len(deployment.nodes)].front, until, outcomes
            )
        )
        for number in range(CLIENTS)
    ]

    async def cut_at(at: float) -> None:
        await asyncio.sleep(at - time.monotonic())
        if has_trouble():
            cut_watches(deployment.store)
            record.write(f"waiting watches cut off at {time.monotonic() - start:.3f}")

    leaving = endpoints[0]
    await cut_at(start + CALM_S - CUT_BEFORE_S)
    await asyncio.sleep(start + CALM_S - time.monotonic())
    deployment.store.state.remove("servers", leaving.name)
    removed_at = time.monotonic()
    record.write(f"entry of {leaving.name} removed at {removed_at - start:.3f}")
    await cut_at(removed_at + CUT_AFTER_S)
    await asyncio.sleep(removed_at + EXIT_AFTER_S - time.monotonic())
    await crash(leaving)
    record.write(f"{leaving.name} exits at {time.monotonic() - start:.3f}")
    await asyncio.gather(*tasks)
    record.write_outcomes(outcomes, start)
    record.write_runs(endpoints, start)
    if sum(item.result == "200" for item in outcomes) < 100:
        record.close("not run: fewer than 100 requests were served")
        return NOT_RUN
    sent_at = {item.attempt: item.sent_at for item in outcomes}
    late = [r for r in leaving.runs if sent_at[r.attempt] > removed_at + DRAIN_S]
    lost = [
        run
        for run in late
        if run.state == "dropped"
        and any(i.attempt == run.attempt and i.result == "502" for i in outcomes)
    ]
    for run in late:
        record.write(
            f"LATE {run.path} {run.attempt}: sent {sent_at[run.attempt] - start:.3f},"
            f" reached {leaving.name} {run.arrived_at - removed_at:.3f} s after the"
            f" removal, {run.state}"
        )
    record.close(
        f"{'broken' if late else 'held'}: {len(late)} requests that were sent later"
        f" than DrainMs after the removal of its entry reached {leaving.name};"
        f" {len(lost)} of these sign-offs were lost with its exit"
    )
    return BROKEN if late else HELD


def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).parent)
    try:
        with Deployment(NODE_ZONES) as deployment:
            return asyncio.run(play(deployment, record))
    except (OSError, RuntimeError) as error:
        record.close(f"not run: {error!r}")
        return NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
