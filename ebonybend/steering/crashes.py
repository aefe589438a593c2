"""Detect which requests were running on a server when its process ended.

A request without an answer shows nothing by itself: the answer may have been lost. It
stays pending until the process is known to live, by a later answer or a connection, or
to have ended, by a refused connection, another server at its address, or a list without
it. Each process counts once, whichever nodes saw its end.

A node owns the crashes of the requests that it lost, and tells each of them to all
other nodes a few times; nodes merge them by union, in any order, and each judges by
itself (steering/culprits.py). Besides, a node tells which requests it refuses, for
nodes that start later. A crash is forgotten SUSPECT_LIFETIME_S after the last one of
its request, or REFUSED_LIFETIME_S if the request is refused. A node that is cut off
goes by what it knows.

A refusal ends earlier if the request is cleared: a trial of it was answered
(steering/refusal_trials.py), or an operator lifted it. Crashes and refusals from before
that count no longer, on any node.
"""

from collections.abc import Iterable
from math import isfinite

from ebonybend.clock import Clock
from ebonybend.steering.crash_evidence import CrashEvidence, EvidenceQueue
from ebonybend.steering.crash_suspects import (
    SUSPECT_LIFETIME_S,
    CrashReport,
    EndReport,
    Suspect,
)
from ebonybend.steering.culprits import content_of, find_culprits, has_caller
from ebonybend.steering.recent_successes import RecentSuccesses
from ebonybend.world.backend_server import ServerProcess

# Time for which a lost request may be explained by the end of its server. The list
# removes an entry after several missed reports.
LOSS_LIFETIME_S = 10.0
# Content isn't refused if more of its runs than this for each crash succeeded.
SUCCESSES_PER_CRASH = 0.5
# The same for one caller's request. It may run well on some servers, but each that
# crashes takes requests of others with it.
CALLER_SUCCESSES_PER_CRASH = 4.0
# Time after a crash for which a refusal isn't told to nodes without the evidence, since
# more of it may clear the request.
SETTLE_S = 0.5
# Shortest time between two searches for losses or suspects that are forgotten.
EXPIRY_PERIOD_S = 1.0
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


class CrashDetector:
    """The suspects of a node, from its own requests and from other nodes."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.suspects: dict[str, Suspect] = {}
        self.recent_successes = RecentSuccesses()
        # Times of pending losses by the request's fingerprint, for each process.
        self.lost: dict[ServerProcess, dict[str, float]] = {}
        # Times at which processes were found to have ended by this node.
        self.ended: dict[ServerProcess, float] = {}
        # Crashes of requests that this node lost, to be told to other nodes.
        self.untold = EvidenceQueue()
        # For processes that the list names alike: how many ended before, and when the
        # last one was found to have ended.
        self.earlier_ends: dict[ServerProcess, tuple[int, float]] = {}
        # Suspects with enough crashes to judge them.
        self.judged: set[str] = set()
        self.expired_at = self.losses_expired_at = clock.monotonic()
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

    def record_return(self, server: ServerProcess) -> None:
        """Record the first sign of another process that the list names alike."""
        count, ended_at = self.earlier_ends.get(server, (0, self.clock.monotonic()))
        self.earlier_ends[server] = count + 1, ended_at

    def record_end(self, server: ServerProcess) -> dict[str, int]:
        """Record that a process has ended, and count a crash for what it ran.

        Returns the number of crashes known for each of these requests.
        """
        now = self.clock.monotonic()
        self._expire_losses(now)
        crashes = self._count_crash(server, now)
        if not crashes and server not in self.ended:
            self.untold.add(CrashEvidence(server.name, server.started_ms), now)
        self.ended[server] = now
        return crashes

    def forget_losses(self, server: ServerProcess) -> None:
        """Drop the losses on a server whose end was planned."""
        self.lost.pop(server, None)

    def record_success(self, fingerprint: str) -> None:
        """Record that a request ran without a crash."""
        self.recent_successes.record(content_of(fingerprint))
        for name in {fingerprint, content_of(fingerprint)} & self.suspects.keys():
            suspect = self.suspects[name]
            was_excused = self._is_excused(name)
            suspect.successes += 1
            if suspect.has_evidence and not was_excused and self._is_excused(name):
                self._judge()

    def crashes_of(self, fingerprint: str) -> tuple[str, ...]:
        """Return the ends of servers that are known to have happened under it."""
        suspect = self.suspects.get(fingerprint)
        return tuple(sorted(suspect.crashes)) if suspect else ()

    def crash_count(self, fingerprint: str) -> int:
        """Return the number of servers that are known to have crashed under it."""
        return len(self.crashes_of(fingerprint))

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request has crashed too many servers."""
        return bool(self.refusing(fingerprint))

    def refusing(self, fingerprint: str) -> list[str]:
        """Return the suspects for which a request is refused: itself, its content."""
        now = self.clock.monotonic()
        return [
            name
            for name in dict.fromkeys((fingerprint, content_of(fingerprint)))
            if (suspect := self.suspects.get(name)) is not None
            and suspect.refused
            and now - suspect.crashed_at <= suspect.lifetime_s()
        ]

    def since_crash_s(self, fingerprint: str) -> float:
        """Return the time since the last crash of a suspect."""
        return self.clock.monotonic() - self.suspects[fingerprint].crashed_at

    def clear(self, fingerprint: str, age_s: float = 0.0) -> bool:
        """End the refusal of a request by a decision of some seconds ago.

        Returns whether it was refused, and no crash is known from after the decision.
        """
        suspect = self.suspects.get(fingerprint)
        cleared_at = self.clock.monotonic() - age_s
        if (
            suspect is None
            or not suspect.refused
            or suspect.crashed_at > cleared_at
            or suspect.precedes_clearing(cleared_at)
        ):
            return False
        suspect.clear(cleared_at)
        self.judged.discard(fingerprint)
        self._judge()
        return True

    def is_cleared(self, fingerprint: str) -> bool:
        """Return whether a request is served although it ran on crashing servers."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or suspect.refused:
            return False
        return suspect.has_evidence or suspect.cleared_at is not None

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
        Requests that ran on a single crashing server aren't reported.
        """
        now = self.clock.monotonic()
        self._expire_suspects(now)
        suspects = self.suspects
        names = [
            name
            for name, suspect in suspects.items()
            if suspect.is_decided or len(suspect.crashes) > 1
        ]
        names.sort(
            key=lambda name: (not suspects[name].is_decided, -suspects[name].changed_at)
        )
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
            self._merge_clearing(report, suspect, now)
            if suspect.precedes_clearing(crashed_at):
                if now - suspect.changed_at <= suspect.lifetime_s():
                    self.suspects[report.fingerprint] = suspect
                continue
            was_refused = suspect.refused
            # A report that says nothing new doesn't renew the suspicion, since its age
            # lacks the time that it travelled.
            if not suspect.crashes.issuperset(report.crashes):
                suspect.crashed_at = max(suspect.crashed_at, crashed_at)
                suspect.crashes.update(report.crashes)
            if report.successes:
                suspect.reported_successes[node] = report.successes
            suspect.is_told |= report.refused
            # Near its end, a node that has just forgotten the suspicion would take it
            # over again from one that forgets it a little later.
            forgetting_s = 0.0 if known else FORGETTING_S
            if now - suspect.crashed_at > suspect.lifetime_s() - forgetting_s:
                continue
            self.suspects[report.fingerprint] = suspect
            if suspect.has_evidence:
                self.judged.add(report.fingerprint)
            elif suspect.refused and not was_refused:
                found.append(report.fingerprint)
        found += self._judge()
        self._expire_suspects(now)
        return found

    def _merge_clearing(
        self, report: CrashReport, suspect: Suspect, now: float
    ) -> None:
        """Clear a suspect that another node has cleared since its last crash."""
        age_ms = report.cleared_ms
        if age_ms is None or not isfinite(age_ms):
            return
        cleared_at = now - max(age_ms, 0.0) / MS_PER_S
        # The age lacks the time that the report travelled.
        is_known = suspect.precedes_clearing(cleared_at - FORGETTING_S)
        if not is_known and suspect.crashed_at <= cleared_at:
            suspect.clear(cleared_at)
            self.judged.discard(report.fingerprint)

    def merge_evidence(self, evidence: CrashEvidence) -> list[str]:
        """Merge crashes that another node counted; return those refused from now on."""
        now = self.clock.monotonic()
        if not isfinite(evidence.age_ms):
            return []
        crashed_at = now - max(evidence.age_ms, 0.0) / MS_PER_S
        if now - crashed_at > SUSPECT_LIFETIME_S - FORGETTING_S:
            return []
        return self._add_crash(evidence, crashed_at)

    def merge_end(self, report: EndReport) -> dict[str, int]:
        """Count a crash for what was lost on a process that another node saw end.

        Returns the number of crashes known for each of these requests.
        """
        now = self.clock.monotonic()
        self._expire_losses(now)
        return self._count_crash(ServerProcess(report.name, report.started_ms), now)

    def _count_crash(self, server: ServerProcess, now: float) -> dict[str, int]:
        lost = self.lost.pop(server, {})
        fingerprints = tuple(n for n, at in lost.items() if now - at < LOSS_LIFETIME_S)
        if not fingerprints:
            return {}
        evidence = CrashEvidence(
            server.name,
            server.started_ms,
            self._count_earlier_ends(server, now),
            requests=fingerprints,
        )
        self.untold.add(evidence, now)
        self._add_crash(evidence, now)
        return {name: self.crash_count(name) for name in fingerprints}

    def _add_crash(self, evidence: CrashEvidence, at: float) -> list[str]:
        """Count a crash for some requests; return those refused from now on."""
        is_judged = False
        pairs = [(n, x) for x in evidence.requests for n in {x, content_of(x)}]
        for name, request in pairs:
            suspect = self.suspects.get(name)
            if suspect is None:
                suspect = self.suspects[name] = self._new_suspect(name, at)
            if suspect.precedes_clearing(at):
                continue
            if not suspect.add_crash(
                evidence.crash, request if name != request else ""
            ):
                continue
            suspect.crashed_at = max(suspect.crashed_at, at)
            if suspect.has_evidence:
                self.judged.add(name)
                is_judged = True
        found = self._judge() if is_judged else []
        self._expire_suspects(self.clock.monotonic())
        return found

    def _new_suspect(self, name: str, crashed_at: float) -> Suspect:
        suspect = Suspect(crashed_at)
        if not has_caller(name):
            suspect.successes = self.recent_successes.counted_before_a_crash(name)
        return suspect

    def _count_earlier_ends(self, server: ServerProcess, now: float) -> int:
        """Return how many processes ended before that the list names alike."""
        self.earlier_ends = {
            process: (count, at)
            for process, (count, at) in self.earlier_ends.items()
            if now - at <= SUSPECT_LIFETIME_S
        }
        count, ended_at = self.earlier_ends.get(server, (0, now))
        if not server.started_ms and now - ended_at >= SAME_END_S:
            count += 1
        self.earlier_ends[server] = count, now
        return count

    def _judge(self) -> list[str]:
        """Find the culprits by all crashes and successes; return the new ones."""
        suspects = self.suspects
        culprits = find_culprits(
            {name: suspects[name].crashes for name in self.judged},
            self._is_excused,
        )
        found = [name for name in culprits if not suspects[name].refused]
        for name in self.judged:
            suspects[name].is_culprit = name in culprits
        return found

    def _is_excused(self, name: str) -> bool:
        """Return whether too many runs succeeded for a request that crashes servers."""
        per_crash = SUCCESSES_PER_CRASH
        if has_caller(name):
            per_crash = CALLER_SUCCESSES_PER_CRASH
        return self.suspects[name].has_succeeded(per_crash)

    def _report(self, name: str, now: float) -> CrashReport:
        suspect = self.suspects[name]
        is_settled = suspect.refused and now - suspect.crashed_at >= SETTLE_S
        crashes = () if is_settled else sorted(suspect.crashes)
        return CrashReport(
            name,
            tuple(crashes[:MAX_REPORTED_CRASHES]),
            suspect.successes,
            is_settled,
            (now - suspect.crashed_at) * MS_PER_S,
            None
            if suspect.cleared_at is None
            else (now - suspect.cleared_at) * MS_PER_S,
        )

    def _expire_losses(self, now: float) -> None:
        if now - self.losses_expired_at < EXPIRY_PERIOD_S:
            return
        self.losses_expired_at = now
        for server in list(self.lost):
            self.record_alive(server, now - LOSS_LIFETIME_S)

    def _expire_suspects(self, now: float) -> None:
        suspects = self.suspects
        excess = len(suspects) - MAX_SUSPECTS
        if excess <= 0 and now - self.expired_at < EXPIRY_PERIOD_S:
            return
        self.expired_at = now
        for name, suspect in list(suspects.items()):
            if now - suspect.changed_at > suspect.lifetime_s():
                del suspects[name]
        excess = len(suspects) - MAX_SUSPECTS
        if excess > 0:
            least = sorted(
                suspects, key=lambda x: (suspects[x].is_decided, suspects[x].changed_at)
            )
            for name in least[:excess]:
                del suspects[name]
        self.judged &= suspects.keys()
