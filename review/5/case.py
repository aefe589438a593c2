"""Let an endpoint crash and come back cold while the store is down."""

import asyncio
import random
import sys
import time
from pathlib import Path

from review.common.deployment import HOST, Deployment, route
from review.common.record import BROKEN, HELD, NOT_RUN, Record, has_trouble
from review.common.traffic import Client, Endpoint, Outcome, Run, crash

SERVICE = "history-svc"
NODE_ZONES = ("kingston-a", "kingston-b", "kingston-a")
# ride-history of bluemahoe-ops: 240 ms of work, 0.3 of that on an object that is warm;
# TimeoutMs 800, a time budget of 1,200 ms. A cold endpoint takes twice as long.
WARM_S, COLD_FACTOR = 0.072, 2.0
TIMEOUT_MS, GOAL_MS, DEADLINE_MS = 800, 300, 1200
# history-svc: cold for 3 s after its start, WarmupPerS 16. The rule: WarmupPerS x
# WarmupFactor + WarmupSlack in one second.
COLD_S, BOUND = 3.0, 16 * 1.5 + 5
# Requests in one second at which the cold endpoint crashes.
OVERRUN = 35
ENDPOINTS, SLOTS = 4, 5
CLIENTS, PERIOD_S, OBJECTS = 60, 0.32, 71
# signoff of the same site, which the desired state sends to this service, too.
SIGNOFF_S, SIGNOFF_TIMEOUT_MS, SIGNOFF_DEADLINE_MS = 0.094, 1000, 1500
SIGNOFF_CLIENTS, SIGNOFF_OBJECTS = 12, 25
# The store is down for 4.5 s; within that time the endpoint is down for 1 s.
CALM_S, OUTAGE_S, CRASH_AFTER_S, DOWN_S, AFTER_S = 6.0, 4.5, 0.5, 1.0, 6.0


async def call(
    address: tuple[str, int], until: float, outcomes: list[Outcome], is_signoff: bool
) -> None:
    """Send requests at a fixed period."""
    await asyncio.sleep(random.random() * PERIOD_S)
    client = Client(address, HOST)
    while time.monotonic() < until:
        began = time.monotonic()
        if is_signoff:
            key = f"s{random.randrange(SIGNOFF_OBJECTS)}"
            path, body = f"/signoff/{key}", key.encode() * 100
            sending = client.send("POST", path, key, SIGNOFF_DEADLINE_MS, body)
        else:
            key = str(random.randrange(OBJECTS))
            sending = client.send("GET", f"/history/{key}", key, DEADLINE_MS)
        outcomes.append(await sending)
        await asyncio.sleep(max(began + PERIOD_S - time.monotonic(), 0.01))


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; return its exit status."""
    cold_until = 0.0
    endpoints = [
        Endpoint(
            f"i-{number}",
            lambda path, number=number: (
                (SIGNOFF_S if path.startswith("/signoff/") else WARM_S)
                * (COLD_FACTOR if number == 0 and time.monotonic() < cold_until else 1)
            ),
            SLOTS,
        )
        for number in range(ENDPOINTS)
    ]
    for number, endpoint in enumerate(endpoints):
        await endpoint.listen()
        zone = NODE_ZONES[number % 2]
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
    tasks = [
        asyncio.create_task(
            call(
                deployment.nodes[number % len(deployment.nodes)].front,
                until,
                outcomes,
                number < SIGNOFF_CLIENTS,
            )
        )
        for number in range(CLIENTS + SIGNOFF_CLIENTS)
    ]
    await asyncio.sleep(CALM_S)
    state = deployment.store.state
    endpoint = endpoints[0]
    host, port = endpoint.address.split(":")
    if has_trouble():
        state.error_status = 503
        record.write(f"store down at {time.monotonic() - start:.3f}")
    await asyncio.sleep(CRASH_AFTER_S)
    await crash(endpoint)
    record.write(f"{endpoint.name} ended at {time.monotonic() - start:.3f}")
    await asyncio.sleep(DOWN_S)
    started_at = time.monotonic()
    cold_until = started_at + COLD_S
    await endpoint.listen(host, int(port))
    record.write(f"{endpoint.name} back, cold, at {started_at - start:.3f}")

    arrivals: list[float] = []
    crashes: list[float] = []

    def crash_if_overrun(run: Run) -> None:
        """Crash at a rate well above WarmupPerS, as cold endpoints do."""
        arrivals.append(run.arrived_at)
        recent = sum(at > run.arrived_at - 1.0 for at in arrivals)
        if run.arrived_at < cold_until and recent >= OVERRUN and not crashes:
            crashes.append(run.arrived_at)
            asyncio.create_task(crash(endpoint))

    endpoint.on_run = crash_if_overrun

    def report() -> None:
        left_s = max(cold_until - time.monotonic(), 0.0)
        deployment.list_server(
            endpoint.name,
            SERVICE,
            NODE_ZONES[0],
            endpoint.address,
            SLOTS,
            age_s=time.monotonic() - started_at,
            warmup_left_s=left_s,
        )

    if not has_trouble():
        report()
    await asyncio.sleep(start + CALM_S + OUTAGE_S - time.monotonic())
    if has_trouble():
        state.error_status = None
        record.write(f"store back at {time.monotonic() - start:.3f}")
        if not crashes:
            report()
    await asyncio.gather(*tasks)
    record.write_outcomes(outcomes, start)
    record.write_runs(endpoints, start)
    cold = [r for r in endpoint.runs if started_at <= r.arrived_at < cold_until]
    for at in crashes:
        record.write(f"{endpoint.name} overrun, crashes at {at - start:.3f}")
    ran = {run.attempt for item in endpoints for run in item.runs}
    for item in outcomes:
        is_lost = item.attempt in ran and item.result in ("502", "closed", "gave up")
        if item.path.startswith("/signoff/") and is_lost and item.sent_at > started_at:
            record.write(
                f"sign-off {item.attempt} sent {item.sent_at - start:.3f} has run and"
                f" ended with {item.result}"
            )
    return judge(cold, outcomes, start, record)


def judge(
    cold: list[Run], outcomes: list[Outcome], start: float, record: Record
) -> int:
    """Find the second with the most requests to the cold endpoint."""
    if sum(item.result == "200" for item in outcomes) < 100:
        record.close("not run: fewer than 100 requests were served")
        return NOT_RUN
    sent_at = {item.attempt: item.sent_at for item in outcomes}
    # Counted are requests that were sent and arrived inside that second.
    most, second = 0, 0.0
    for first in cold:
        begin = sent_at.get(first.attempt, first.arrived_at)
        inside = [
            run
            for run in cold
            if begin <= sent_at.get(run.attempt, 0.0) and run.arrived_at < begin + 1.0
        ]
        if len(inside) > most:
            most, second = len(inside), begin - start
    is_broken = most > BOUND
    record.close(
        f"{'broken' if is_broken else 'held'}: the cold endpoint got {most} requests in"
        f" the second from {second:.3f}, {BOUND:g} are allowed; {len(cold)} while cold"
    )
    return BROKEN if is_broken else HELD


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
