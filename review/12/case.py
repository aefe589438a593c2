"""One query that crashes endpoints takes a whole route away from its office."""

import asyncio
import itertools
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from review.small_fleet import (  # noqa: E402
    Endpoint,
    SmallFleet,
    ask,
    route,
    run_case,
)

ZONES = ("kingston-a", "kingston-b", "montego-a")
ENDPOINTS_PER_ZONE = 3
WORK_S = 0.096
DEADLINE_MS = 1500
# Requests a second of the office on each of its two routes.
RATE = 20.0
DEADLY_PATH = "/reports/search?parish=0"
# An endpoint that crashed is back after this time; its entry expires after that.
BACK_S, ENTRY_S = 3.0, 4.5
# The route is added, the query comes, and RecoveryS later the steady state is judged.
ADD_S, QUERY_S, RECOVERY_S, JUDGED_S = 4.0, 5.0, 15.0, 15.0
# CONFIG: 20 or more requests, served less than a quarter as often.
MIN_REQUESTS, FRACTION = 20, 0.25


class Office:
    """Clients behind one address."""

    def __init__(self, fleet: SmallFleet):
        self.fleet = fleet
        self.ip = f"{fleet.prefix}.9"
        # Time and status of each request, by the first segment of its path.
        self.outcomes: dict[str, list[tuple[float, int | None]]] = {}

    async def request(self, path: str, name: str) -> int | None:
        """Send one request; return the status of its answer."""
        began = time.monotonic()
        node = random.choice(self.fleet.nodes)
        answer = await ask(
            node.front,
            path,
            deadline_ms=DEADLINE_MS,
            request_id=name,
            client_ip=self.ip,
        )
        status = answer.status if answer else None
        segment = path.split("/")[1]
        if path != DEADLY_PATH:
            self.outcomes.setdefault(segment, []).append((began, status))
        if status != 200:
            self.fleet.record.write(f"office {name} {path}: {status}")
        return status

    async def work(self, prefix: str, until: float) -> None:
        """Send requests on a route until a time."""
        tasks = set()
        for number in itertools.count(1):
            if time.monotonic() > until:
                break
            path = f"/{prefix}/search?parish={number % 14 + 1}"
            task = asyncio.create_task(self.request(path, f"{prefix}-{number}"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*tasks)

    async def send_deadly(self) -> None:
        """Send the deadly query once, and once more after a failure."""
        for attempt in (1, 2):
            if await self.request(DEADLY_PATH, f"deadly-{attempt}") == 200:
                return

    def served(self, prefix: str, since: float) -> tuple[int, int]:
        """Return how many requests on a route were served and sent since a time."""
        statuses = [x for at, x in self.outcomes.get(prefix, ()) if at >= since]
        return sum(x == 200 for x in statuses), len(statuses)


class Supervisor:
    """Start endpoints again after a crash, as new incarnations."""

    def __init__(self, fleet: SmallFleet, trouble: bool):
        self.fleet, self.trouble = fleet, trouble
        self.crashes = 0
        self.tasks: list[asyncio.Task] = []

    async def add(self, service: str, zone: str) -> None:
        """Start an endpoint and list it."""
        endpoint = await self.fleet.add_endpoint(service, zone)
        endpoint.work_s, endpoint.on_crash = WORK_S, self.on_crash
        endpoint.deadly = DEADLY_PATH + " " if self.trouble else ""
        self.fleet.store.state.put("servers", endpoint.name, endpoint.entry())

    def on_crash(self, endpoint: Endpoint, request_id: str) -> None:
        """Record a crash; the endpoint is back after some seconds."""
        self.crashes += 1
        self.fleet.record.write(f"{endpoint.name} crashes under {request_id}")
        self.tasks.append(asyncio.create_task(self.replace(endpoint)))

    async def replace(self, endpoint: Endpoint) -> None:
        """Start the next incarnation; remove the entry of the one before."""
        await asyncio.sleep(BACK_S)
        await self.add(endpoint.service, endpoint.zone)
        await asyncio.sleep(ENTRY_S - BACK_S)
        self.fleet.store.state.remove("servers", endpoint.name)


async def case(fleet: SmallFleet, trouble: bool) -> bool:
    """Let one deadly query come on a route that was added."""
    supervisor = Supervisor(fleet, trouble)
    for zone in ZONES:
        fleet.add_node(zone)
        for service in ("history-svc", "registry-svc"):
            for _ in range(ENDPOINTS_PER_ZONE):
                await supervisor.add(service, zone)
    first = route("/rides/", "safe", "history-svc", 1000, 300, MaxAttempts=2)
    added = route("/reports/", "safe", "registry-svc", 1000, 200, MaxAttempts=2)
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
    await office.send_deadly()
    await asyncio.gather(rides, reports)
    fleet.record.write(f"{supervisor.crashes} crashes")
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
    sys.exit(run_case(case, FOLDER))
