"""Monitor the rules revision in force on every instance of a fleet."""

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
    """A revision that a process reported in its metrics."""

    # End of the first poll that returned it, and start of the last such poll.
    at: float
    until: float
    revision: int


def entry_revision(fleet: Fleet, name: str) -> int | None:
    """Return the revision in force on an entry; None if it has none or is down."""
    return _revision(fleet.addresses.public(name).listen, _ENTRY)


def control_revision(fleet: Fleet, name: str) -> int | None:
    """Return a control's newest revision; None if it has none or is down."""
    return _revision(fleet.addresses.admin(name), _CONTROL)


def _revision(address: str, pattern: re.Pattern[bytes]) -> int | None:
    answer = call("GET", address, "/metrics", timeout=METRICS_TIMEOUT_S)
    found = pattern.search(answer.body) if answer.status == 200 else None
    # A new incarnation reports 0 until it has rules, and serves nothing until then.
    return int(float(found[1])) or None if found else None


@define
class RevisionWatch:
    """Poll the metrics of every process and record each change of revision."""

    fleet: Fleet
    samples: dict[str, list[Sample]] = field(factory=dict)
    falls: list[str] = field(factory=list)
    stopping: Event = field(factory=Event)
    threads: list[Thread] = field(factory=list)

    def __enter__(self) -> "RevisionWatch":
        for name in self.fleet.instances:
            thread = Thread(target=self._watch, args=(name,), daemon=True)
            self.threads.append(thread)
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _watch(self, name: str) -> None:
        while not self.stopping.wait(WATCH_PERIOD_S):
            for role, read in (
                ("entry", entry_revision),
                ("control", control_revision),
            ):
                poll_started_at = monotonic()
                self._record_sample(
                    f"{name}-{role}", poll_started_at, read(self.fleet, name)
                )

    def _record_sample(
        self, process: str, poll_started_at: float, revision: int | None
    ) -> None:
        if revision is None:
            return
        process_samples = self.samples.setdefault(process, [])
        if process_samples and revision < process_samples[-1].revision:
            self.falls.append(
                f"{process}: {process_samples[-1].revision} to {revision}"
            )
        if not process_samples or revision != process_samples[-1].revision:
            process_samples.append(Sample(monotonic(), poll_started_at, revision))
        else:
            process_samples[-1].until = poll_started_at

    def first_seen_at(self, process: str, revision: int) -> float | None:
        """Return when a process first reported a revision or a later one, or None."""
        process_samples = self.samples.get(process, [])
        return next((x.at for x in process_samples if x.revision >= revision), None)

    def last_missing_at(self, process: str, revision: int) -> float:
        """Return the last time at which a process certainly had an older revision."""
        process_samples = self.samples.get(process, [])
        return max(
            (x.until for x in process_samples if x.revision < revision), default=0.0
        )
