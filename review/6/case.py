"""A node freezes for four seconds, and wakes again while its endpoints are sound."""

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from attrs import frozen

from review.rig import Node, Rig, answer_after, call, desired_state, route, run_case

FOLDER = Path(__file__).resolve().parent
# As ride-history of the site.
GOAL_MS, TIMEOUT_MS, TIME_BUDGET_MS = 300, 800, 1200
CLIENT_TRIES = 2
# A client waits for Retry-After, up to this part of the time that it has left.
MAX_WAIT_FRACTION = 1 / 3
READS_PER_S, FILES_PER_S = 80.0, 10.0
WORK_S = 0.1
ENDPOINTS, SLOTS = 3, 5
# The route for reads is added this long after the start of traffic.
ADDED_AT_S = 2.0
FREEZE_AT_S, FREEZE_S = 10.0, 4.0
# RecoveryS of the site.
RECOVERY_S = 15.0
END_S = FREEZE_AT_S + FREEZE_S + RECOVERY_S + 10.0
SERVED_FRACTION = 0.25
MIN_REQUESTS = 20


@frozen
class Sent:
    """A request of a client, with its retries."""

    is_read: bool
    sent_s: float
    served: bool


class Clients:
    """Clients that send at a steady rate, and retry as PROTOCOL.md says."""

    def __init__(self, rig: Rig, node: Node):
        self.rig = rig
        self.node = node
        self.started_at = time.monotonic()
        self.sent: list[Sent] = []
        self.threads: list[threading.Thread] = []

    def seconds(self) -> float:
        """Return the time since the start of traffic."""
        return time.monotonic() - self.started_at

    def run(self, is_read: bool, per_s: float, from_s: float) -> None:
        """Send requests of one kind until the end."""
        number = 0
        while self.seconds() < END_S:
            time.sleep(max(from_s + number / per_s - self.seconds(), 0.0))
            number += 1
            thread = threading.Thread(target=self._request, args=(is_read, number))
            thread.start()
            self.threads.append(thread)

    def _request(self, is_read: bool, number: int) -> None:
        method, prefix = ("GET", "/read/") if is_read else ("POST", "/file/")
        sent_s = self.seconds()
        served = False
        for attempt in range(CLIENT_TRIES):
            left_s = TIME_BUDGET_MS / 1000 - (self.seconds() - sent_s)
            if left_s <= 0.05:
                break
            name = f"{'r' if is_read else 'f'}{number}-{attempt}"
            answer = call(
                self.node,
                method,
                f"{prefix}{number % 71}",
                name,
                int(left_s * 1000),
                b"" if is_read else b"sign-off",
                {"Affinity-Key": str(number % 71)},
                wait_s=left_s,
            )
            self.rig.record.write(f"{name} got {answer.status or answer.error}")
            served = answer.status == 200
            if served or (not is_read and answer.status != 503):
                break
            retry_s = float(answer.headers.get("retry-after", 0))
            left_s = TIME_BUDGET_MS / 1000 - (self.seconds() - sent_s)
            time.sleep(max(min(retry_s, left_s * MAX_WAIT_FRACTION), 0.0))
        self.sent.append(Sent(is_read, sent_s, served))


def served_part(sent: list[Sent]) -> float:
    """Return the part of some requests that was served."""
    return sum(request.served for request in sent) / max(len(sent), 1)


def main(has_trouble: bool) -> bool:
    """Return whether the route that was added later is hardly served."""
    with Rig(FOLDER) as rig:
        first = route("/file/", "unsafe", "signoff", 1000, GoalMs=GOAL_MS)
        added = route("/read/", "safe", "history", TIMEOUT_MS, GoalMs=GOAL_MS)
        rig.store.state.put("config", "main", desired_state(1, [first]))
        for service in ("history", "signoff"):
            for number in range(ENDPOINTS):
                name = f"i-{service}-{number}"
                rig.add_endpoint(name, service, answer_after(WORK_S, name), SLOTS)
        rig.start_nodes()
        node = rig.nodes[0]
        clients = Clients(rig, node)
        runs = (
            (False, FILES_PER_S, 0.0),
            # Later than ApplyMs after the route was added.
            (True, READS_PER_S, ADDED_AT_S + 3.0),
        )
        senders = [threading.Thread(target=clients.run, args=run) for run in runs]
        for sender in senders:
            sender.start()
        time.sleep(ADDED_AT_S)
        rig.record.write("the operator adds the route /read/")
        rig.store.state.put("config", "main", desired_state(2, [first, added]))
        time.sleep(FREEZE_AT_S - clients.seconds())
        if has_trouble:
            rig.record.write("the node freezes")
            node.signal(signal.SIGSTOP)
        time.sleep(FREEZE_S)
        if has_trouble:
            node.signal(signal.SIGCONT)
            rig.record.write("the node wakes")
        for thread in senders:
            thread.join()
        for thread in clients.threads:
            thread.join()
        state = "200" if node.is_ready() else "no 200"
        rig.record.write(f"/ready of the node answers {state}")
        steady_from_s = FREEZE_AT_S + FREEZE_S + RECOVERY_S
        before = [x for x in clients.sent if x.sent_s < FREEZE_AT_S - 2.0]
        after = [x for x in clients.sent if x.sent_s > steady_from_s]
        reads = [x for x in after if x.is_read]
        files = [x for x in after if not x.is_read]
        rig.record.write(
            f"served of all before {served_part(before):.3f},"
            f" later than {RECOVERY_S} s after the freeze {served_part(after):.3f};"
            f" then of {len(reads)} on the route added later"
            f" {served_part(reads):.3f}, of {len(files)} on the first route"
            f" {served_part(files):.3f}"
        )
        if served_part(before) < SERVED_FRACTION or len(reads) < MIN_REQUESTS:
            raise RuntimeError("too little was served before, or sent afterwards")
        return served_part(reads) < SERVED_FRACTION * served_part(files)


if __name__ == "__main__":
    run_case(main)
