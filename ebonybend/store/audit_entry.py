"""One entry of the audit log; the command-line tool reads it too."""

from attrs import frozen


@frozen
class AuditEntry:
    """One recorded change or event."""

    # Seconds since the epoch.
    at: float
    author: str
    # For example rules_applied, instance_draining, suspect_refused.
    event: str
    # 0 if the event is not a change of the rules.
    revision: int = 0
    change_id: str = ""
    reason: str = ""
    detail: str = ""
