"""Detect which requests were running on a server when its process ended.

A request without an answer shows nothing by itself: the answer may have been lost. It
stays pending until the process is known to live, by a later answer or a connection, or
to have ended, by a refused connection, another server at its address, or a list without
it. Each process counts once, whichever nodes saw its end, so nodes merge what they know
by union, in any order. A suspect is forgotten SUSPECT_LIFETIME_S after its last crash;
one that is refused, after REFUSED_LIFETIME_S.
"""

from collections.abc import Iterable
from math import isfinite

from attrs import define, field, frozen

from ebonybend.clock import Clock
from ebonybend.world.backend_server import ServerProcess

# Time for which a lost request may be explained by the end of its server. The list
# removes an entry after several missed reports.
LOSS_LIFETIME_S = 10.0
# Other requests run beside the one that crashes a server, so one or two crashes don't
# identify it.
CRASHES_TO_REFUSE = 3
# Clients may send the same content, which crashes servers for one of them only, and
# innocent requests run beside it. A request isn't refused if more of its runs than this
# for each crash succeeded.
SUCCESSES_PER_CRASH = 0.5
SUSPECT_LIFETIME_S = 60.0
REFUSED_LIFETIME_S = 3600.0
# Longest time between the ends of one suspicion on two nodes.
FORGETTING_S = 5.0
# Ends of a process without a start time that are closer to one another count once.
SAME_END_S = 1.0
# Bounds the memory when many different requests are in flight on crashing servers.
MAX_SUSPECTS = 10_000
MAX_LOST_PER_SERVER = 200
# Suspects, their crashes and ended servers in a heartbeat, whose datagram has to stay
# below 1400 bytes.
MAX_REPORTED_SUSPECTS = 3
MAX_REPORTED_CRASHES = 2
MAX_REPORTED_ENDS = 3
# Time for which the end of a process is reported to other nodes.
END_REPORT_S = 3.0
MS_PER_S = 1000.0


@frozen
class CrashReport:
    """A suspect as a node reports it to others."""

    fingerprint: str
    # The crashes that the node knows of; none for a request that is refused.
    crashes: tuple[str, ...] = ()
    # Runs that succeeded on the reporting node since the first crash.
    successes: int = 0
    refused: bool = False
    # Time since the last crash, in milliseconds.
    age_ms: float = 0.0


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
    # Names and start times of the processes that ended.
    crashes: set[str] = field(factory=set)
    successes: int = 0
    # Successes on other nodes, by node.
    reported_successes: dict[str, int] = field(factory=dict)
    refused: bool = False

    def lifetime_s(self) -> float:
        """Return how long the suspicion lasts after the last crash."""
        return REFUSED_LIFETIME_S if self.refused else SUSPECT_LIFETIME_S

    def judge(self) -> None:
        """Refuse the request from now on if it crashed too many servers."""
        successes = self.successes + sum(self.reported_successes.values())
        count = len(self.crashes)
        if count >= CRASHES_TO_REFUSE and successes <= count * SUCCESSES_PER_CRASH:
            self.refused = True


class CrashDetector:
    """The suspects of a node, from its own requests and from other nodes."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.suspects: dict[str, Suspect] = {}
        # Times of pending losses by the request's fingerprint, for each process.
        self.lost: dict[ServerProcess, dict[str, float]] = {}
        # Times at which processes were found to have ended by this node.
        self.ended: dict[ServerProcess, float] = {}
        # Reports sent so far, so that the next ones follow by round-robin.
        self.reports_sent = 0

    def record_lost_request(self, server: ServerProcess, fingerprint: str) -> None:
        """Record a request that a server received and didn't answer."""
        now = self.clock.monotonic()
        self._expire_losses(now)
        lost = self.lost.setdefault(server, {})
        lost[fingerprint] = now
        if len(lost) > MAX_LOST_PER_SERVER:
            del lost[min(lost, key=lost.__getitem__)]

    def record_alive(self, server: ServerProcess, since: float) -> None:
        """Record that a process lived at a time; earlier losses were no crash."""
        lost = self.lost.get(server)
        if lost is None or min(lost.values()) > since:
            return
        later = {name: at for name, at in lost.items() if at > since}
        if later:
            self.lost[server] = later
        else:
            del self.lost[server]

    def record_end(self, server: ServerProcess) -> dict[str, int]:
        """Record that a process has ended, and count a crash for what it ran.

        Returns the number of crashes known for each of these requests.
        """
        now = self.clock.monotonic()
        self._expire_losses(now)
        self.ended[server] = now
        return self._count_crash(server, now)

    def forget_losses(self, server: ServerProcess) -> None:
        """Drop the losses on a server whose end was planned."""
        self.lost.pop(server, None)

    def record_success(self, fingerprint: str) -> None:
        """Record that a request ran without a crash."""
        suspect = self.suspects.get(fingerprint)
        if suspect is not None:
            suspect.successes += 1

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request has crashed too many servers."""
        suspect = self.suspects.get(fingerprint)
        return (
            suspect is not None
            and suspect.refused
            and self.clock.monotonic() - suspect.crashed_at <= suspect.lifetime_s()
        )

    def refused_ages_s(self) -> dict[str, float]:
        """Return the times since the last crash of all refused requests."""
        now = self.clock.monotonic()
        self._expire_suspects(now)
        return {
            name: now - suspect.crashed_at
            for name, suspect in self.suspects.items()
            if suspect.refused
        }

    def restore_refused(self, fingerprint: str, age_s: float) -> None:
        """Refuse a request whose last crash is some seconds ago."""
        report = CrashReport(fingerprint, refused=True, age_ms=age_s * MS_PER_S)
        self.merge("", [report])

    def has_suspects(self) -> bool:
        """Return whether there is any suspect."""
        return bool(self.suspects)

    def reports(self) -> tuple[CrashReport, ...]:
        """Return the next suspects to report.

        The first is the one that crashed servers last; the others follow in turn.
        """
        now = self.clock.monotonic()
        self._expire_suspects(now)
        names = sorted(self.suspects, key=lambda name: -self.suspects[name].crashed_at)
        latest = names[:1]
        rest = names[len(latest) :]
        count = min(MAX_REPORTED_SUSPECTS - len(latest), len(rest))
        start = self.reports_sent
        self.reports_sent += count
        chosen = [rest[(start + step) % len(rest)] for step in range(count)]
        return tuple(self._report(name, now) for name in latest + chosen)

    def end_reports(self) -> tuple[EndReport, ...]:
        """Return the processes that this node lately found to have ended."""
        now = self.clock.monotonic()
        self.ended = {
            process: at for process, at in self.ended.items() if now - at < END_REPORT_S
        }
        latest = sorted(self.ended, key=lambda process: -self.ended[process])
        return tuple(
            EndReport(
                process.name,
                process.started_ms,
                (now - self.ended[process]) * MS_PER_S,
            )
            for process in latest[:MAX_REPORTED_ENDS]
        )

    def merge(self, node: str, reports: Iterable[CrashReport]) -> list[str]:
        """Merge the suspects of another node; return those refused from now on."""
        now = self.clock.monotonic()
        found = []
        for report in reports:
            if not isfinite(report.age_ms):
                continue
            crashed_at = now - max(report.age_ms, 0.0) / MS_PER_S
            known = self.suspects.get(report.fingerprint)
            suspect = known or Suspect(crashed_at)
            was_refused = suspect.refused
            # A report that says nothing new doesn't renew the suspicion, since its age
            # lacks the time that it travelled.
            if not suspect.crashes.issuperset(report.crashes):
                suspect.crashed_at = max(suspect.crashed_at, crashed_at)
                suspect.crashes.update(report.crashes)
            if report.successes:
                suspect.reported_successes[node] = report.successes
            suspect.refused |= report.refused
            suspect.judge()
            # Near its end, a node that has just forgotten the suspicion would take it
            # over again from one that forgets it a little later.
            forgetting_s = 0.0 if known else FORGETTING_S
            if now - suspect.crashed_at > suspect.lifetime_s() - forgetting_s:
                continue
            self.suspects[report.fingerprint] = suspect
            if suspect.refused and not was_refused:
                found.append(report.fingerprint)
        self._expire_suspects(now)
        return found

    def merge_end(self, report: EndReport) -> dict[str, int]:
        """Count a crash for what was lost on a process that another node saw end.

        Returns the number of crashes known for each of these requests.
        """
        now = self.clock.monotonic()
        self._expire_losses(now)
        return self._count_crash(ServerProcess(report.name, report.started_ms), now)

    def _count_crash(self, server: ServerProcess, now: float) -> dict[str, int]:
        counted = {}
        for fingerprint in self.lost.pop(server, ()):
            suspect = self.suspects.setdefault(fingerprint, Suspect(now))
            suspect.crashes.add(_crash_name(suspect, server, now))
            suspect.crashed_at = now
            suspect.judge()
            counted[fingerprint] = len(suspect.crashes)
        self._expire_suspects(now)
        return counted

    def _report(self, name: str, now: float) -> CrashReport:
        suspect = self.suspects[name]
        crashes = () if suspect.refused else sorted(suspect.crashes)
        return CrashReport(
            name,
            tuple(crashes[:MAX_REPORTED_CRASHES]),
            suspect.successes,
            suspect.refused,
            (now - suspect.crashed_at) * MS_PER_S,
        )

    def _expire_losses(self, now: float) -> None:
        for server in list(self.lost):
            self.record_alive(server, now - LOSS_LIFETIME_S)

    def _expire_suspects(self, now: float) -> None:
        suspects = self.suspects
        for name, suspect in list(suspects.items()):
            if now - suspect.crashed_at > suspect.lifetime_s():
                del suspects[name]
        excess = len(suspects) - MAX_SUSPECTS
        if excess > 0:
            least = sorted(
                suspects, key=lambda x: (suspects[x].refused, suspects[x].crashed_at)
            )
            for name in least[:excess]:
                del suspects[name]


def _crash_name(suspect: Suspect, server: ServerProcess, now: float) -> str:
    """Return the same name for one crash on all nodes that know of it."""
    if server.started_ms:
        return f"{server.name}/{server.started_ms}"
    earlier = sum(crash.startswith(f"{server.name}/~") for crash in suspect.crashes)
    is_same = earlier > 0 and now - suspect.crashed_at < SAME_END_S
    return f"{server.name}/~{earlier - is_same}"
