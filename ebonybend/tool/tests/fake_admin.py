"""A fake administration API that can lose, truncate and refuse requests."""

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
from ebonybend.http_answers import ErrorBody
from ebonybend.rules import RuleError, diff_rules, parse_rules

NOW = 1_800_000_000.0


@define
class FakeAdmin:
    """The state of one or more fake servers, with the faults to inject."""

    rules: RulesAnswer = field(factory=lambda: RulesAnswer(0, "", "", "", "", 0.0, NOW))
    status: StatusAnswer = field(factory=lambda: StatusAnswer(0, True))
    where: WhereAnswer = field(factory=WhereAnswer)
    history: HistoryAnswer = field(
        factory=lambda: HistoryAnswer((AuditEntry(NOW, "Ben", "rules_applied", 3),))
    )
    # Instances that stay on their revision when a change is accepted.
    lagging: frozenset[str] = frozenset()
    # Instances that are planned but not listed by the platform.
    unlisted: frozenset[str] = frozenset()
    # Number of the next PUTs that take effect but get no answer.
    lost_answers: int = 0
    # Number of the next PUTs that have no effect and get no answer.
    lost_requests: int = 0
    # Number of the next PUTs before which another operator's change is accepted.
    conflicts: int = 0
    # Errors returned for each text that can be parsed, as if only the API found them.
    errors: tuple[RuleError, ...] = ()
    # Sent as the body of each answer in place of the correct one.
    body_override: bytes | None = None
    # Number of bytes missing at the end of each answer.
    truncated_bytes: int = 0
    # Status, error kind and outcome in the answers to the next PUTs, last item first.
    # The PUTs take effect.
    error_answers: list[tuple[int, str, str]] = field(factory=list)
    revisions_by_change_id: dict[str, int] = field(factory=dict)
    requests: list[str] = field(factory=list)

    def accept(self, text: str, author: str, reason: str, change_id: str) -> int:
        """Make a text the next revision, in force on all but the lagging instances."""
        revision = self.rules.revision + 1
        self.rules = RulesAnswer(revision, text, author, reason, change_id, NOW, NOW)
        self.revisions_by_change_id[change_id] = revision
        self.status = evolve(
            self.status,
            revision=revision,
            instances=tuple(
                self._with_revision(i, revision) for i in self.status.instances
            ),
        )
        return revision

    def _with_revision(self, instance: InstanceStatus, revision: int) -> InstanceStatus:
        is_lagging = instance.name in self.lagging
        return instance if is_lagging else evolve(instance, rules_revision=revision)

    def put(self, headers: dict[str, str], text: str) -> tuple[int, object]:
        """Apply a PUT as the real API does; return the answer's status and body."""
        if self.conflicts:
            self.conflicts -= 1
            other_text = (
                f"{self.rules.text}# Eva: first\ndrain backend=e{self.conflicts}\n"
            )
            self.accept(other_text, "Eva", "first", f"e{self.conflicts}")
        change_id = headers["Change-Id"]
        if change_id in self.revisions_by_change_id:
            return 200, ApplyAnswer(self.revisions_by_change_id[change_id], change_id)
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
        """Return the status; it waits for the listed instances without the revision."""
        unconfirmed = tuple(
            i.name
            for i in self.status.instances
            if i.rules_revision < self.status.revision and i.name not in self.unlisted
        )
        listed = len(self.status.instances) > len(self.unlisted)
        return evolve(
            self.status,
            in_force_everywhere=listed and not unconfirmed,
            waiting_for=unconfirmed,
        )

    def get(self, path: str) -> tuple[int, object]:
        """Return the status and the body of the answer to a GET."""
        name = path.removeprefix("/v1/").partition("?")[0]
        if name == "status":
            return 200, self.current_status()
        if name in ("rules", "history", "where"):
            return 200, getattr(self, name)
        return 404, ErrorBody("unknown_path", "bad_request", path, "")


def start_server(admin: FakeAdmin, add_cleanup: Callable) -> str:
    """Start a server on loopback and return its address; stop it on cleanup."""
    server = ThreadingHTTPServer(("127.0.0.1", 0), _Handler)
    server.admin = admin
    thread = Thread(target=server.serve_forever, args=(0.01,), daemon=True)
    thread.start()
    add_cleanup(server.server_close)
    add_cleanup(server.shutdown)
    host, port = server.server_address
    return f"{host}:{port}"


class _Handler(BaseHTTPRequestHandler):
    def do_GET(self):
        self.server.admin.requests.append(f"GET {self.path}")
        self.answer(*self.server.admin.get(self.path))

    def do_PUT(self):
        admin = self.server.admin
        admin.requests.append(f"PUT {self.path}")
        text = self.rfile.read(int(self.headers["Content-Length"])).decode()
        if admin.lost_requests:
            admin.lost_requests -= 1
            return
        answer = admin.put(self.headers, text)
        if admin.lost_answers:
            admin.lost_answers -= 1
            return
        if admin.error_answers:
            status, kind, outcome = admin.error_answers.pop()
            answer = status, ErrorBody(kind, outcome, kind, "")
        self.answer(*answer)

    def answer(self, status, value):
        admin = self.server.admin
        body = to_json(value) if admin.body_override is None else admin.body_override
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body[: len(body) - admin.truncated_bytes])

    def log_message(self, *_):
        pass
