"""A node gets SIGTERM while clients receive long answers over slower links."""

import signal
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.rig import (
    HOST,
    Answerer,
    Node,
    Record,
    Request,
    Rig,
    desired_state,
    route,
    run_case,
    send_answer,
)

FOLDER = Path(__file__).resolve().parent
CLIENTS = 3
ANSWER_BYTES = 12_000_000
# Of each client's link: 18 Mbit/s, so an answer takes 5.4 s.
BYTES_PER_S = 2_200_000
WINDOW_BYTES, PACKET_BYTES = 65_536, 1_400
WORK_S = 0.05
TIME_BUDGET_MS = 20_000
GRACE_S = 6.0
# SIGTERM comes when all answers have left their endpoints.
TERM_AT_S = 0.5


def long_answer(name: str) -> Answerer:
    """Return what an endpoint does that has long answers."""

    def answer(connection: socket.socket, request: Request) -> bool:
        time.sleep(WORK_S)
        body = b"x" * ANSWER_BYTES
        send_answer(connection, 200, request, {"Server-Stamp": name}, body)
        return True

    return answer


class SlowClient:
    """A client that receives an answer at the rate of its link."""

    def __init__(self, node: Node, number: int, record: Record):
        self.attempt = f"a{number}"
        self.record = record
        self.received = 0
        self.error = ""
        self.sent_at = self.ended_at = 0.0
        self.thread = threading.Thread(target=self._run, args=(node,), daemon=True)
        self.thread.start()

    @property
    def is_whole(self) -> bool:
        """Return whether the whole answer arrived."""
        return self.received >= ANSWER_BYTES and not self.error

    def _run(self, node: Node) -> None:
        with socket.socket() as connection:
            # A link to a client has a small window and small packets, unlike loopback.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, PACKET_BYTES)
            connection.settimeout(TIME_BUDGET_MS / 1000)
            connection.connect((node.ip, node.front))
            head = (
                f"GET /read/{self.attempt} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Attempt-Id: {self.attempt}\r\nDeadline-Ms: {TIME_BUDGET_MS}\r\n\r\n"
            )
            connection.sendall(head.encode())
            self.sent_at = time.monotonic()
            self.record.write(f"client sends {self.attempt}")
            try:
                self._receive(connection)
            except OSError as error:
                self.error = repr(error)
            self.ended_at = time.monotonic()
        found = "the whole answer" if self.is_whole else f"no whole answer {self.error}"
        self.record.write(
            f"client has {found} to {self.attempt}: {self.received} bytes after"
            f" {self.ended_at - self.sent_at:.2f} s"
        )

    def _receive(self, connection: socket.socket) -> None:
        head = b""
        while b"\r\n\r\n" not in head:
            head += connection.recv(1)
        self.record.write(f"client gets {head.split(b' ')[1].decode()}")
        started_at = time.monotonic()
        while self.received < ANSWER_BYTES:
            data = connection.recv(16384)
            if not data:
                self.error = "the connection was closed"
                return
            self.received += len(data)
            due_s = self.received / BYTES_PER_S - (time.monotonic() - started_at)
            time.sleep(max(due_s, 0.0))


def main(has_trouble: bool) -> bool:
    """Return whether a request that was passed on got no whole answer."""
    with Rig(FOLDER) as rig:
        timeout_ms = TIME_BUDGET_MS
        routes = [route("/read/", "safe", "history", timeout_ms)]
        rig.store.state.put("config", "main", desired_state(1, routes))
        for number in range(3):
            name = f"i-{number}"
            rig.add_endpoint(name, "history", long_answer(name))
        rig.start_nodes()
        node = rig.nodes[0]
        clients = [SlowClient(node, x, rig.record) for x in range(CLIENTS)]
        time.sleep(TERM_AT_S)
        if has_trouble:
            rig.record.write("SIGTERM to the node")
            node.signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            node.process.wait(GRACE_S + 2.0)
            seconds = time.monotonic() - stopped_at
            rig.record.write(f"the node has ended after {seconds:.2f} s of {GRACE_S} s")
        for client in clients:
            client.thread.join(TIME_BUDGET_MS / 1000)
        runs = sum(len(endpoint.runs) for endpoint in rig.endpoints)
        cut = [x for x in clients if not x.is_whole]
        rig.record.write(f"{runs} requests ran, {len(cut)} got no whole answer")
        if runs < CLIENTS:
            raise RuntimeError("not all requests reached an endpoint")
        return bool(cut)


if __name__ == "__main__":
    run_case(main)
