"""Remember deletions, so that the changes since a version can be read from a copy."""

from collections import deque
from collections.abc import Mapping

from ebonybend.store.client import ObjectList, StoredObject

# Deletions remembered for each kind of object.
MAX_DELETIONS = 1000


class ChangeLog:
    """The deletions that a watcher has seen."""

    def __init__(self) -> None:
        # Version up to which the copy was complete when the log started; changes since
        # an older one are not known.
        self.start: int | None = None
        # Version of the copy after each deletion, and the name of the object.
        self.deletions: deque[tuple[int, str]] = deque()

    def restart(self, version: int) -> None:
        """Forget all deletions, because some may have been missed."""
        self.start = version
        self.deletions.clear()

    def record_deletion(self, name: str, version: int) -> None:
        """Record a deletion, with the version of the copy without the object."""
        self.deletions.append((version, name))
        if len(self.deletions) > MAX_DELETIONS:
            self.start = self.deletions.popleft()[0]

    def changes_since(
        self, since: int, version: int, objects: Mapping[str, StoredObject]
    ) -> ObjectList | None:
        """Return the changes of a copy since a version; None if they are not known."""
        if self.start is None or since < self.start:
            return None
        deleted = {
            name: StoredObject(name, at, deleted=True)
            for at, name in self.deletions
            if at > since and name not in objects
        }
        changed = [item for item in objects.values() if item.version > since]
        return ObjectList(version, (*deleted.values(), *changed))
