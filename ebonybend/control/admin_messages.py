"""The answers of the administration API.

GET  /v1/rules        RulesAnswer, ETag: "<revision>"
PUT  /v1/rules        body: rules text (UTF-8); If-Match: "<revision>", Author, Reason,
                      Change-Id. 200 ApplyAnswer; 412 ConflictAnswer; 422 CheckAnswer.
                      Author and Reason are percent-encoded UTF-8. A Change-Id that
                      was accepted before is answered 200 with its revision, whatever
                      If-Match says; 503 platform_unavailable if it is not known
                      whether the change was accepted.
POST /v1/rules/check  body: rules text (UTF-8). 200 CheckAnswer.
GET  /v1/status       StatusAnswer
GET  /v1/history      HistoryAnswer; ?limit=N, newest first
GET  /v1/where        WhereAnswer; ?client=IP&service=NAME&method=GET, each optional,
                      but at least one of client and service
Every other error is an ErrorBody of ebonybend.http_server.
"""

from attrs import frozen

from ebonybend.rules.model import RuleError
from ebonybend.store.audit_entry import AuditEntry


@frozen
class RulesAnswer:
    """The newest accepted rules text."""

    revision: int
    text: str
    author: str
    reason: str
    change_id: str
    # Time of acceptance, seconds since the epoch.
    at: float
    # The control's time, seconds since the epoch; 0 if not given. The tool decides by
    # it which rules have expired, since an operator's clock may be wrong.
    now: float = 0.0


@frozen
class ApplyAnswer:
    """The change was accepted as a revision."""

    revision: int
    change_id: str


@frozen
class ConflictAnswer:
    """Another change was accepted first."""

    # The revision stored in the platform, with its author and reason.
    revision: int
    author: str
    reason: str
    # Lines of diff_rules from the accepted text to the refused one.
    difference: tuple[str, ...] = ()


@frozen
class CheckAnswer:
    """The errors of a rules text; empty if it can be applied."""

    errors: tuple[RuleError, ...] = ()


@frozen
class InstanceStatus:
    """One instance of the planned deployment or of the platform's list."""

    name: str
    failure_domain: str
    # live, leaving, or unknown if it was never seen.
    state: str
    # Revision that its entry process reported; 0 if it was never seen.
    rules_revision: int
    # Time since it was last seen; negative if never.
    age_ms: float
    reachable: bool


@frozen
class ServerStatus:
    """One backend server as seen by the entries of its failure domain."""

    name: str
    service: str
    failure_domain: str
    # ready, cold, draining or down.
    state: str
    in_flight: int
    limit: int


@frozen
class ShiftStatus:
    """Traffic sent under one shift or cap by all senders."""

    # Canonical text of the rule.
    rule: str
    cap_per_second: int
    sent_last_second: int


@frozen
class SuspectStatus:
    """One request that was running when a backend server crashed."""

    fingerprint: str
    crashes: int
    refused: bool
    # Time since the last crash.
    age_ms: float


@frozen
class StatusAnswer:
    """The state of the whole system as one control sees it."""

    # The newest accepted revision that this control knows.
    revision: int
    # True if there are listed instances and waiting_for is empty.
    in_force_everywhere: bool
    # The planned and the listed instances.
    instances: tuple[InstanceStatus, ...] = ()
    servers: tuple[ServerStatus, ...] = ()
    shifts: tuple[ShiftStatus, ...] = ()
    suspects: tuple[SuspectStatus, ...] = ()
    platform_reachable: bool = True
    # Listed instances whose entry process has not reported the revision as in force.
    waiting_for: tuple[str, ...] = ()


@frozen
class HistoryAnswer:
    """Recorded changes and events, newest first."""

    entries: tuple[AuditEntry, ...] = ()


@frozen
class DomainChoice:
    """One failure domain, in order of preference."""

    name: str
    score: float
    # Human-readable figures and rules behind the score.
    why: str = ""


@frozen
class ServerChoice:
    """One backend server of the chosen failure domain, in order of preference."""

    name: str
    score: float
    why: str = ""


@frozen
class WhereAnswer:
    """How a lookup is answered and a request is routed, and why."""

    client: str | None = None
    # Site of the client's address block, or None if the block isn't known.
    site: str | None = None
    # Names of the instances that a lookup returns, best first.
    instances: tuple[str, ...] = ()
    service: str | None = None
    # Rules that affect the choice, with author and reason.
    rules: tuple[str, ...] = ()
    domains: tuple[DomainChoice, ...] = ()
    servers: tuple[ServerChoice, ...] = ()
    # Human-readable explanation, one line each.
    explanation: tuple[str, ...] = ()
