"""A failure of an endpoint that ran a sign-off reaches its client as a promise."""

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
ENDPOINTS_PER_ZONE = 2
# The work time and the time budget of the site's sign-offs.
WORK_S = 0.312
DEADLINE_MS = 1500
CLIENTS = 6
# The dose of srv_grey in the site file: one of six endpoints, for 6.5 s, fails 45 of
# 100 requests.
GREY_SHARE, GREY_S = 0.45, 6.5
BEFORE_S, AFTER_S = 3.0, 3.0
# These statuses promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)


class Client:
    """A client that files one sign-off after the other, as PROTOCOL.md says."""

    def __init__(self, fleet: SmallFleet, number: int):
        self.fleet, self.number = fleet, number
        self.filed = 0
        # Attempts that were answered with a promise, and the attempts of each sign-off.
        self.promised: list[str] = []
        self.attempts: dict[str, list[str]] = {}

    async def run(self, until: float) -> None:
        """File sign-offs until a time; retry once, and only after a promise."""
        for count in itertools.count(1):
            if time.monotonic() > until:
                return
            name = f"signoff-{self.number}-{count}"
            self.attempts[name] = []
            for attempt in (1, 2):
                request_id = f"{name}/{attempt}"
                self.attempts[name].append(request_id)
                node = random.choice(self.fleet.nodes)
                answer = await ask(
                    node.front, "/file/1", "POST", DEADLINE_MS, request_id
                )
                status = answer.status if answer else None
                self.fleet.record.write(f"client {request_id}: {status}")
                if status not in PROMISES:
                    break
                self.promised.append(request_id)
                await asyncio.sleep(float(answer.headers.get("retry-after", "0.1")))
            self.filed += status == 200


def make_grey(endpoint: Endpoint) -> None:
    """Let a share of the requests fail after they ran; nothing says Not-Executed."""
    endpoint.status = lambda: 503 if random.random() < GREY_SHARE else 200


async def case(fleet: SmallFleet, trouble: bool) -> bool:
    """Let one endpoint fail a part of the requests that it runs."""
    for zone in ZONES:
        fleet.add_node(zone)
        for _ in range(ENDPOINTS_PER_ZONE):
            endpoint = await fleet.add_endpoint("signoff-svc", zone)
            endpoint.work_s = WORK_S
    fleet.list_endpoints()
    fleet.set_config(route("/file/", "unsafe", "signoff-svc", 1000, 300))
    await fleet.start_nodes()
    clients = [Client(fleet, number) for number in range(CLIENTS)]
    until = time.monotonic() + BEFORE_S + GREY_S + AFTER_S
    running = asyncio.gather(*(x.run(until) for x in clients))
    await asyncio.sleep(BEFORE_S)
    grey = random.choice(fleet.endpoints)
    if trouble:
        fleet.record.write(f"{grey.name} fails {GREY_SHARE:.0%} of its requests")
        make_grey(grey)
    await asyncio.sleep(GREY_S)
    grey.status = lambda: 200
    await running
    ran = {request_id for x in fleet.endpoints for _, request_id in x.ran}
    broken = [x for client in clients for x in client.promised if x in ran]
    twice = [
        name
        for client in clients
        for name, attempts in client.attempts.items()
        if sum(x in ran for x in attempts) > 1
    ]
    filed = sum(client.filed for client in clients)
    fleet.record.write(f"{filed} sign-offs were filed")
    fleet.record.write(f"answered as not run, and ran: {broken}")
    fleet.record.write(f"ran twice, as the client believed the answer: {twice}")
    return filed > 0 and not broken


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
