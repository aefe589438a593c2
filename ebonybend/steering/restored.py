"""Hold what a node knew when the store comes back from an older copy.

The copy may list servers that have left since, or an earlier process of a server, and
lack evacuations. Those who wrote the newer state write it again within seconds; until
then, what the node knew is used. The node owns this knowledge and doesn't pass it on; a
restarted node has none.
"""

from collections.abc import Callable, Collection, Mapping

from ebonybend.world import BackendServer, LifeState

# Time after which the copy's entry of a server is believed. The store removes an entry
# whose server doesn't write for several reports.
ENTRY_LIFETIME_S = 6.0


class RestoredServers:
    """The entries of an older copy that contradict what the node knew."""

    def __init__(self) -> None:
        # Version of each such entry; with another one it was written again.
        self.outdated: dict[str, int] = {}
        self.until = float("-inf")

    def begin_era(
        self,
        known: Mapping[str, BackendServer],
        gone: Mapping[str, BackendServer],
        listed: Mapping[str, BackendServer],
        versions: Mapping[str, int],
        now: float,
    ) -> None:
        """Compare the first list of an era with the servers known before it.

        The servers that are gone were listed some time before.
        """
        self.until = now + ENTRY_LIFETIME_S
        self.outdated = {
            name: versions[name]
            for name, server in listed.items()
            if _is_older(server, known.get(name), gone.get(name))
        }

    def merge(
        self,
        known: Mapping[str, BackendServer],
        listed: Mapping[str, BackendServer],
        versions: Mapping[str, int],
        now: float,
    ) -> dict[str, BackendServer]:
        """Return the listed servers, with known ones in place of outdated entries."""
        if now >= self.until:
            self.outdated.clear()
        self.outdated = {
            name: version
            for name, version in self.outdated.items()
            if versions.get(name) == version
        }
        current = {n: s for n, s in listed.items() if n not in self.outdated}
        held = {n: known[n] for n in self.outdated if n in known}
        return {**current, **held}


def _is_older(
    listed: BackendServer, known: BackendServer | None, gone: BackendServer | None
) -> bool:
    if known is None:
        return gone is not None and gone.started_ms >= listed.started_ms
    if known.process != listed.process:
        return known.started_ms > listed.started_ms
    return known.state is not LifeState.LIVE and listed.state is LifeState.LIVE


class HeldEvacuations:
    """The evacuations that an older copy lacks."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        # Times until which evacuated domains stay evacuated without an entry.
        self.until: dict[str, float] = {}

    def begin_era(
        self, known: Collection[str], listed: Collection[str], seconds: float
    ) -> None:
        """Hold the evacuations that the first list of an era lacks."""
        until = self.clock() + seconds
        self.until = {name: until for name in known if name not in listed}

    def merge(self, listed: Collection[str]) -> frozenset[str]:
        """Return the listed and the held evacuations."""
        now = self.clock()
        self.until = {
            name: until
            for name, until in self.until.items()
            if now < until and name not in listed
        }
        return frozenset(listed) | self.until.keys()
