"""Watch the rules revision in force on every instance of a fleet."""

import re
from threading import Event, Thread
from time import monotonic

from attrs import define, field

from bench.fleet import Fleet
from bench.http_calls import call

WATCH_PERIOD_S = 0.2
METRICS_TIMEOUT_S = 0.3
_ENTRY = re.compile(rb"^ebonybend_rules_revision ([0-9.e+]+)$", re.MULTILINE)
_CONTROL = re.compile(rb"^ebonybend_control_rules_revision ([0-9.e+]+)$", re.MULTILINE)


@define
class Sample:
    """A revision that a process showed."""

    # When the first poll that showed it ended, and the last such poll began.
    at: float
    until: float
    revision: int


def entry_revision(fleet: Fleet, name: str) -> int | None:
    """Return the revision in force on an entry; None if it has none or is silent."""
    return _revision(fleet.addresses.public(name).listen, _ENTRY)


def control_revision(fleet: Fleet, name: str) -> int | None:
    """Return the newest revision that a control knows; None if it has none."""
    return _revision(fleet.addresses.admin(name), _CONTROL)


def _revision(address: str, pattern: re.Pattern[bytes]) -> int | None:
    answer = call("GET", address, "/metrics", timeout=METRICS_TIMEOUT_S)
    found = pattern.search(answer.body) if answer.status == 200 else None
    # A new incarnation shows 0 until it has rules, and serves nothing until then.
    return int(float(found[1])) or None if found else None


@define
class RevisionWatch:
    """Poll the metrics of every process and keep each change of revision."""

    fleet: Fleet
    samples: dict[str, list[Sample]] = field(factory=dict)
    falls: list[str] = field(factory=list)
    ending: Event = field(factory=Event)
    threads: list[Thread] = field(factory=list)

    def __enter__(self) -> "RevisionWatch":
        for name in self.fleet.instances:
            thread = Thread(target=self._watch, args=(name,), daemon=True)
            self.threads.append(thread)
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.ending.set()
        for thread in self.threads:
            thread.join()

    def _watch(self, name: str) -> None:
        while not self.ending.wait(WATCH_PERIOD_S):
            for role, read in (
                ("entry", entry_revision),
                ("control", control_revision),
            ):
                began = monotonic()
                self._take(f"{name}-{role}", began, read(self.fleet, name))

    def _take(self, process: str, began: float, revision: int | None) -> None:
        if revision is None:
            return
        seen = self.samples.setdefault(process, [])
        if seen and revision < seen[-1].revision:
            self.falls.append(f"{process}: {seen[-1].revision} to {revision}")
        if not seen or revision != seen[-1].revision:
            seen.append(Sample(monotonic(), began, revision))
        else:
            seen[-1].until = began

    def reached(self, process: str, revision: int) -> float | None:
        """Return the time at which a process first showed a revision or a later one."""
        seen = self.samples.get(process, [])
        return next((x.at for x in seen if x.revision >= revision), None)

    def lacked(self, process: str, revision: int) -> float:
        """Return the last time at which a process surely lacked a revision."""
        seen = self.samples.get(process, [])
        return max((x.until for x in seen if x.revision < revision), default=0.0)
