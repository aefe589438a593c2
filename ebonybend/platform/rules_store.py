"""The rules object of the platform and how a change is written to it."""

from attrs import frozen


@frozen
class Change:
    """An accepted change; it is its own audit entry."""

    revision: int
    change_id: str
    author: str
    reason: str
    # Time of acceptance, seconds since the epoch.
    at: float
    # Lines of the difference from the revision before.
    difference: tuple[str, ...] = ()


@frozen
class RulesObject:
    """The value of the platform object rules/main."""

    revision: int
    change_id: str
    text: str
    author: str
    reason: str
    # Time of acceptance, seconds since the epoch.
    at: float
    # The last changes, oldest first, up to this revision.
    recent: tuple[Change, ...] = ()
    # Changes up to this revision are also in the audit chunks.
    archived_revision: int = 0
