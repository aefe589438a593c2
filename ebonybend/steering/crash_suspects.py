"""Requests that ran on servers when these crashed, and how nodes report them."""

from attrs import define, field, frozen

# Other requests run beside the one that crashes a server, so one or two crashes don't
# identify it.
CRASHES_TO_REFUSE = 3
# Several callers may send the same content, which crashes servers for one of them only,
# and content that many send runs on most servers that end for another reason. So it
# isn't refused for all if its known crashes are those of fewer callers than this.
CALLERS_TO_REFUSE = 3
SUSPECT_LIFETIME_S = 600.0
REFUSED_LIFETIME_S = 3600.0


@frozen
class CrashReport:
    """A suspect as a node reports it to others."""

    fingerprint: str
    # Some of the crashes that the node knows of; none for a request that is refused.
    crashes: tuple[str, ...] = ()
    # Runs that succeeded on the reporting node since the first crash.
    successes: int = 0
    refused: bool = False
    # Time since the last crash, in milliseconds.
    age_ms: float = 0.0
    # Time since the request was cleared, in milliseconds; None if it wasn't.
    cleared_ms: float | None = None


@frozen
class EndReport:
    """A process of a server that ended, as a node reports it to others."""

    name: str
    started_ms: int = 0
    # Time since the node found it, in milliseconds; None in reports of earlier builds.
    age_ms: float | None = None


@define
class Suspect:
    """A request that was running when servers crashed."""

    crashed_at: float
    # Names of the processes that ended.
    crashes: set[str] = field(factory=set)
    # For content, the requests of the first callers that crashed servers, if known.
    callers: set[str] = field(factory=set)
    successes: int = 0
    # Successes on other nodes, by node.
    reported_successes: dict[str, int] = field(factory=dict)
    # Whether the known crashes show that it is a culprit.
    is_culprit: bool = False
    # Whether another node, or the store, says that it is refused.
    is_told: bool = False
    # Time at which a trial or an operator cleared it.
    cleared_at: float | None = None

    @property
    def has_evidence(self) -> bool:
        """Return whether enough crashes are known to judge the request by them."""
        is_of_few = 0 < len(self.callers) < CALLERS_TO_REFUSE
        return len(self.crashes) >= CRASHES_TO_REFUSE and not is_of_few

    @property
    def changed_at(self) -> float:
        """Return the time of the last crash, or of the clearing if it is later."""
        return max(self.crashed_at, self.cleared_at or self.crashed_at)

    @property
    def refused(self) -> bool:
        """Return whether the request is refused."""
        return self.is_culprit or (self.is_told and not self.has_evidence)

    @property
    def is_decided(self) -> bool:
        """Return whether it is refused, or was cleared after a refusal."""
        return self.refused or self.cleared_at is not None

    def lifetime_s(self) -> float:
        """Return how long it is remembered after the last change.

        That it was cleared is remembered as long as others may refuse it.
        """
        return REFUSED_LIFETIME_S if self.is_decided else SUSPECT_LIFETIME_S

    def add_crash(self, crash: str, caller: str) -> bool:
        """Add a crash, for content with the identity of the caller's request.

        Returns whether anything of it is new.
        """
        is_known = crash in self.crashes
        self.crashes.add(crash)
        if caller and caller not in self.callers:
            is_known &= len(self.callers) >= CALLERS_TO_REFUSE
            if len(self.callers) < CALLERS_TO_REFUSE:
                self.callers.add(caller)
        return not is_known

    def precedes_clearing(self, at: float) -> bool:
        """Return whether a crash at a time no longer counts."""
        return self.cleared_at is not None and at <= self.cleared_at

    def clear(self, at: float) -> None:
        """Drop what is known from before a time at which the request was cleared."""
        self.cleared_at = at
        self.crashes.clear()
        self.callers.clear()
        self.successes = 0
        self.reported_successes.clear()
        self.is_culprit = self.is_told = False

    def has_succeeded(self, per_crash: float) -> bool:
        """Return whether more than a number of runs succeeded for each crash."""
        successes = self.successes + sum(self.reported_successes.values())
        return successes > len(self.crashes) * per_crash
