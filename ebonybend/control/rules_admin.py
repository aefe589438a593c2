"""Handle the requests of operators that show, check and change the rules."""

from urllib.parse import unquote
from uuid import uuid4

from returns.result import Success

from ebonybend.control.admin_messages import (
    ApplyAnswer,
    CheckAnswer,
    ConflictAnswer,
    HistoryAnswer,
    RulesAnswer,
)
from ebonybend.control.audit import AuditQueue
from ebonybend.control.platform_feed import rules_record
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_answers import IncomingRequest, OutgoingAnswer, json_answer
from ebonybend.peers.merge import Replica
from ebonybend.peers.records import MAIN, RecordKind
from ebonybend.rules.check import check_rules
from ebonybend.rules.model import RuleError
from ebonybend.rules.parse import parse_rules
from ebonybend.store.audit_entry import AuditEntry
from ebonybend.store.rules_store import (
    ApplyFailure,
    ApplyFailureKind,
    ProposedChange,
    RulesObject,
    RulesStore,
    bounded_difference,
)

DEFAULT_HISTORY_LIMIT = 50
MAX_HISTORY_LIMIT = 1000
# Maximum length of the headers Author, Change-Id and Reason.
MAX_NAME = 200


class RulesAdmin:
    """Handle the rules requests of the administration API."""

    def __init__(self, replica: Replica, store: RulesStore, audit: AuditQueue):
        self.replica = replica
        self.store = store
        self.audit = audit

    async def show(self, _request: IncomingRequest) -> OutgoingAnswer:
        """Return the newest known rules; the ETag is the revision."""
        record = self.replica.get(RecordKind.RULES)
        answer = RulesAnswer(0, "", "", "", "", 0.0)
        if record is not None:
            answer = RulesAnswer(
                record.revision,
                record.text,
                record.author,
                record.reason,
                record.change_id,
                record.at,
            )
        return json_answer(answer, headers={"ETag": f'"{answer.revision}"'})

    async def check(self, request: IncomingRequest) -> OutgoingAnswer:
        """Return the errors of a rules text."""
        return json_answer(CheckAnswer(self._find_errors(_decode_text(request))))

    async def change(self, request: IncomingRequest) -> OutgoingAnswer:
        """Apply a change, or return why it was refused."""
        change = _parse_change(request)
        newest = self.replica.get(RecordKind.RULES)
        if newest is not None and newest.change_id == change.change_id:
            return json_answer(ApplyAnswer(newest.revision, change.change_id))
        errors = self._find_errors(change.text)
        if errors:
            self._audit_refusal("rules_refused", change, errors[0].message)
            return json_answer(CheckAnswer(errors), 422)
        applied = await self.store.apply(change)
        if not isinstance(applied, Success):
            return self._failure_answer(change, applied.failure())
        rules = applied.unwrap()
        self.replica.write(RecordKind.RULES, MAIN, rules.revision, rules_record(rules))
        revision = rules.accepted_revision(change.change_id) or rules.revision
        return json_answer(ApplyAnswer(revision, change.change_id))

    async def history(self, request: IncomingRequest) -> OutgoingAnswer:
        """Return recorded changes and events, newest first."""
        limit = _parse_limit(request.argument("limit"))
        read = await self.store.read()
        logged = await self.store.audit.newest(limit)
        if not (isinstance(read, Success) and isinstance(logged, Success)):
            raise SteeringError(
                ErrorKind.PLATFORM_UNAVAILABLE, "the history can't be read"
            )
        recent = (change.audit_entry() for change in read.unwrap().rules.recent)
        return json_answer(
            HistoryAnswer(_merge_entries(recent, logged.unwrap(), limit))
        )

    def _find_errors(self, text: str) -> tuple[RuleError, ...]:
        parsed = parse_rules(text)
        if not isinstance(parsed, Success):
            return parsed.failure()
        deployment_record = self.replica.get(RecordKind.DEPLOYMENT)
        if deployment_record is None:
            raise SteeringError(ErrorKind.NOT_READY, "the deployment is not known yet")
        listings = self.replica.bodies(RecordKind.SERVERS).values()
        servers = tuple(item for listing in listings for item in listing.items)
        return check_rules(parsed.unwrap(), deployment_record.deployment, servers)

    def _failure_answer(
        self, change: ProposedChange, failure: ApplyFailure
    ) -> OutgoingAnswer:
        if failure.kind is ApplyFailureKind.CONFLICT and failure.current is not None:
            self._audit_refusal("rules_conflict", change, failure.message)
            return json_answer(_conflict_answer(change, failure.current), 412)
        if failure.kind is ApplyFailureKind.REJECTED:
            raise SteeringError(ErrorKind.BAD_REQUEST, failure.message)
        outcome = "nothing was written"
        if failure.kind is ApplyFailureKind.UNRESOLVED:
            outcome = "the change may have been accepted"
        raise SteeringError(
            ErrorKind.PLATFORM_UNAVAILABLE,
            f"{failure.message}; {outcome}; repeat with Change-Id {change.change_id}",
        )

    def _audit_refusal(self, event: str, change: ProposedChange, detail: str) -> None:
        self.audit.add(
            event,
            change.author,
            detail,
            change.base_revision,
            change.change_id,
            change.reason,
        )


def _conflict_answer(change: ProposedChange, current: RulesObject) -> ConflictAnswer:
    return ConflictAnswer(
        current.revision,
        current.author,
        current.reason,
        bounded_difference(current.text, change.text),
    )


def _merge_entries(
    recent: tuple[AuditEntry, ...], logged: tuple[AuditEntry, ...], limit: int
) -> tuple[AuditEntry, ...]:
    """Return entries newest first; drop the second copy of an archived change."""
    unique = dict.fromkeys((*recent, *logged))
    ordered = sorted(unique, key=lambda entry: entry.at, reverse=True)
    return tuple(ordered[:limit])


def _decode_text(request: IncomingRequest) -> str:
    try:
        return request.body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise SteeringError(
            ErrorKind.BAD_REQUEST, f"the rules text is not UTF-8: {error}"
        ) from error


def _parse_change(request: IncomingRequest) -> ProposedChange:
    author = _read_header(request, "Author")
    if not author:
        raise SteeringError(ErrorKind.BAD_REQUEST, "the header Author is missing")
    return ProposedChange(
        _read_header(request, "Change-Id") or uuid4().hex,
        _parse_revision(request.header("If-Match")),
        _decode_text(request),
        author,
        _read_header(request, "Reason"),
    )


def _parse_revision(text: str | None) -> int:
    digits = (text or "").strip().strip('"')
    if not digits.isascii() or not digits.isdigit() or len(digits) > 18:
        raise SteeringError(
            ErrorKind.BAD_REQUEST, f"If-Match {text!r} is no revision, for example 17"
        )
    return int(digits)


def _read_header(request: IncomingRequest, header: str) -> str:
    text = unquote(request.header(header) or "").strip()
    if len(text) > MAX_NAME or not text.isprintable():
        raise SteeringError(
            ErrorKind.BAD_REQUEST,
            f"the header {header} must be one line of at most {MAX_NAME} characters",
        )
    return text


def _parse_limit(text: str | None) -> int:
    if text is None:
        return DEFAULT_HISTORY_LIMIT
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise SteeringError(ErrorKind.BAD_REQUEST, f"limit {text!r} is no number")
    return max(1, min(int(text), MAX_HISTORY_LIMIT))
