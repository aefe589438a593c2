"""A small administration API whose answers tests can lose, delay and refuse."""

from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread
from urllib.parse import unquote

from attrs import define, evolve, field

from ebonybend.codec import to_json
from ebonybend.control.admin_messages import (
    ApplyAnswer,
    AuditEntry,
    CheckAnswer,
    ConflictAnswer,
    HistoryAnswer,
    InstanceStatus,
    RulesAnswer,
    StatusAnswer,
    WhereAnswer,
)
from ebonybend.http_server import ErrorBody
from ebonybend.rules import RuleError, diff_rules, parse_rules

NOW = 1_800_000_000.0


@define
class FakeAdmin:
    """The state behind one or more listening fake servers."""

    rules: RulesAnswer = field(factory=lambda: RulesAnswer(0, "", "", "", "", 0.0, NOW))
    status: StatusAnswer = field(factory=lambda: StatusAnswer(0, True))
    where: WhereAnswer = field(factory=WhereAnswer)
    history: HistoryAnswer = field(
        factory=lambda: HistoryAnswer((AuditEntry(NOW, "Ben", "rules_applied", 3),))
    )
    # Instances that keep their revision when a change is accepted.
    stuck: frozenset[str] = frozenset()
    # Instances that are planned but not listed by the platform.
    unlisted: frozenset[str] = frozenset()
    # Number of next PUTs whose answer is lost after they took effect.
    lose_after: int = 0
    # Number of next PUTs that are lost before they take effect.
    lose_before: int = 0
    # Number of next PUTs that another operator's change goes before.
    overtaken: int = 0
    # Errors that only the control can find.
    errors: tuple[RuleError, ...] = ()
    # Sent as the body of the next PUTs and GETs in place of the right one.
    garbled: bytes | None = None
    # Bytes that are missing at the end of each answer.
    cut: int = 0
    # Status and error kind of the next PUT, after it took effect.
    failing: list[tuple[int, str, str]] = field(factory=list)
    accepted: dict[str, int] = field(factory=dict)
    calls: list[str] = field(factory=list)

    def accept(self, text: str, author: str, reason: str, change_id: str) -> int:
        """Make a text the next revision and report it by all but stuck instances."""
        revision = self.rules.revision + 1
        self.rules = RulesAnswer(revision, text, author, reason, change_id, NOW, NOW)
        self.accepted[change_id] = revision
        self.status = evolve(
            self.status,
            revision=revision,
            instances=tuple(self._reported(i, revision) for i in self.status.instances),
        )
        return revision

    def _reported(self, instance: InstanceStatus, revision: int) -> InstanceStatus:
        kept = instance.name in self.stuck
        return instance if kept else evolve(instance, rules_revision=revision)

    def put(self, headers: dict[str, str], text: str) -> tuple[int, object]:
        """Answer a PUT as the administration API is specified to."""
        if self.overtaken:
            self.overtaken -= 1
            other = f"{self.rules.text}# Eva: first\ndrain backend=e{self.overtaken}\n"
            self.accept(other, "Eva", "first", f"e{self.overtaken}")
        change_id = headers["Change-Id"]
        if change_id in self.accepted:
            return 200, ApplyAnswer(self.accepted[change_id], change_id)
        rules = self.rules
        if headers["If-Match"] != f'"{rules.revision}"':
            difference = diff_rules(rules.text, text)
            conflict = (rules.revision, rules.author, rules.reason, difference)
            return 412, ConflictAnswer(*conflict)
        errors = parse_rules(text).swap().value_or(()) or self.errors
        if errors:
            return 422, CheckAnswer(errors)
        author, reason = unquote(headers["Author"]), unquote(headers["Reason"])
        return 200, ApplyAnswer(self.accept(text, author, reason, change_id), change_id)

    def current_status(self) -> StatusAnswer:
        """Return the status with the listed instances that are waited for."""
        waiting = tuple(
            i.name
            for i in self.status.instances
            if i.rules_revision < self.status.revision and i.name not in self.unlisted
        )
        listed = len(self.status.instances) > len(self.unlisted)
        return evolve(
            self.status,
            in_force_everywhere=listed and not waiting,
            waiting_for=waiting,
        )

    def get(self, path: str) -> tuple[int, object]:
        """Answer a GET."""
        name = path.removeprefix("/v1/").partition("?")[0]
        if name == "status":
            return 200, self.current_status()
        if name in ("rules", "history", "where"):
            return 200, getattr(self, name)
        return 404, ErrorBody("unknown_path", "bad_request", path, "")


def serve(admin: FakeAdmin, clean_up: Callable) -> str:
    """Start a server on loopback; return its address; stop it on clean-up."""
    server = ThreadingHTTPServer(("127.0.0.1", 0), _Handler)
    server.admin = admin
    thread = Thread(target=server.serve_forever, args=(0.01,), daemon=True)
    thread.start()
    clean_up(server.server_close)
    clean_up(server.shutdown)
    host, port = server.server_address
    return f"{host}:{port}"


class _Handler(BaseHTTPRequestHandler):
    def do_GET(self):
        self.server.admin.calls.append(f"GET {self.path}")
        self.answer(*self.server.admin.get(self.path))

    def do_PUT(self):
        admin = self.server.admin
        admin.calls.append(f"PUT {self.path}")
        text = self.rfile.read(int(self.headers["Content-Length"])).decode()
        if admin.lose_before:
            admin.lose_before -= 1
            return
        answer = admin.put(self.headers, text)
        if admin.lose_after:
            admin.lose_after -= 1
            return
        if admin.failing:
            status, kind, outcome = admin.failing.pop()
            answer = status, ErrorBody(kind, outcome, kind, "")
        self.answer(*answer)

    def answer(self, status, value):
        admin = self.server.admin
        body = to_json(value) if admin.garbled is None else admin.garbled
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body[: len(body) - admin.cut])

    def log_message(self, *_):
        pass
