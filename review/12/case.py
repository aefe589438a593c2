"""One query that crashes endpoints takes a whole route away from its office."""

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.small_fleet import (  # noqa: E402
    Clients,
    SmallFleet,
    Supervisor,
    route,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("kingston-a", "kingston-b", "montego-a")
ENDPOINTS_PER_ZONE = 3
# The work time, the route's timeout and the time budget of defect reports.
WORK_S, TIMEOUT_MS, BUDGET_MS = 0.096, 1000, 500
# Requests a second of the office on each of its two routes.
RATE = 20.0
DEADLY_PATH = "/reports/search?parish=0"
# The route is added, the query comes, and RecoveryS later the steady state is judged.
ADD_S, QUERY_S, RECOVERY_S, JUDGED_S = 4.0, 5.0, 15.0, 15.0
# CONFIG: 20 or more requests, served less than a quarter as often.
MIN_REQUESTS, FRACTION = 20, 0.25


class Office:
    """Clients behind one address, on two routes."""

    def __init__(self, fleet: SmallFleet):
        self.clients = Clients(fleet, "kingston-a", f"{fleet.prefix}.9")
        # Time and outcome of each request, by the first segment of its path.
        self.outcomes: dict[str, list[tuple[float, bool]]] = {}

    async def work(self, prefix: str, until: float) -> None:
        """Send requests on a route until a time."""
        tasks = set()
        for number in itertools.count(1):
            if time.monotonic() > until:
                break
            task = asyncio.create_task(self.search(prefix, number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*tasks)

    async def search(self, prefix: str, number: int) -> None:
        """Send one request; a client that gets no answer sends it once more."""
        began = time.monotonic()
        path = f"/{prefix}/search?parish={number % 14 + 1}"
        attempts = await self.clients.request(
            path, "GET", BUDGET_MS, f"{prefix}-{number}"
        )
        is_served = any(status == 200 for _, status in attempts)
        self.outcomes.setdefault(prefix, []).append((began, is_served))

    def served(self, prefix: str, since: float) -> tuple[int, int]:
        """Return how many requests on a route were served and sent since a time."""
        found = [x for at, x in self.outcomes.get(prefix, ()) if at >= since]
        return sum(found), len(found)


async def case(fleet: SmallFleet, trouble: bool) -> bool:
    """Let one deadly query come on a route that was added."""
    supervisor = Supervisor(fleet, DEADLY_PATH + " " if trouble else "")
    for zone in ZONES:
        fleet.add_node(zone)
        for service in ("history-svc", "registry-svc"):
            for _ in range(ENDPOINTS_PER_ZONE):
                await supervisor.add(service, zone, WORK_S)
    first = route("/rides/", "safe", "history-svc", TIMEOUT_MS, 200)
    added = route("/reports/", "safe", "registry-svc", TIMEOUT_MS, 200)
    fleet.set_config(first)
    await fleet.start_nodes()
    office = Office(fleet)
    began = time.monotonic()
    queried_at = began + ADD_S + QUERY_S
    judged_from = queried_at + RECOVERY_S
    until = judged_from + JUDGED_S
    rides = asyncio.create_task(office.work("rides", until))
    await asyncio.sleep(1.0)
    fleet.set_config(first, added)
    fleet.record.write(f"version {fleet.version} adds /reports/")
    await asyncio.sleep(began + ADD_S - time.monotonic())
    reports = asyncio.create_task(office.work("reports", until))
    await asyncio.sleep(queried_at - time.monotonic())
    await office.clients.request(DEADLY_PATH, "GET", BUDGET_MS, "deadly")
    await asyncio.gather(rides, reports)
    fleet.record.write(f"{len(supervisor.crashes)} crashes")
    for prefix in ("rides", "reports"):
        before = office.served(prefix, began)
        after = office.served(prefix, judged_from)
        fleet.record.write(f"/{prefix}/ in all: {before[0]} of {before[1]} served")
        fleet.record.write(f"/{prefix}/ judged: {after[0]} of {after[1]} served")
    served, sent = office.served("reports", judged_from)
    first_served, first_sent = office.served("rides", judged_from)
    if sent < MIN_REQUESTS or not first_served:
        return False
    return served / sent >= FRACTION * first_served / first_sent


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER, TROUBLE))
