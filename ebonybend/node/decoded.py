"""Decode the objects of one kind, each version of an object once."""

from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

from ebonybend.store.client import StoredObject

T = TypeVar("T")


class DecodedObjects(Generic[T]):
    """The decoded objects of one kind, by name; those that can't be are left out."""

    def __init__(self, decode: Callable[[StoredObject], T | None]):
        # Returns None for an object that can't be decoded.
        self.decode = decode
        # Era and version of each object that was seen last, and what it decodes to.
        self.known: dict[str, tuple[tuple[int, int], T | None]] = {}

    def update(self, era: int, objects: Mapping[str, StoredObject]) -> dict[str, T]:
        """Return the decoded objects; decode those that are new or changed."""
        self.known = {
            name: self._entry((era, stored.version), stored)
            for name, stored in objects.items()
        }
        return {
            name: value for name, (_, value) in self.known.items() if value is not None
        }

    def clear(self) -> None:
        """Decode all objects again at the next update."""
        self.known.clear()

    def _entry(
        self, version: tuple[int, int], stored: StoredObject
    ) -> tuple[tuple[int, int], T | None]:
        known = self.known.get(stored.name)
        if known is None or known[0] != version:
            known = version, self.decode(stored)
        return known
