"""Start, watch, pause and end child processes by id."""

import os
import signal
import sys
from pathlib import Path
from subprocess import DEVNULL, Popen, TimeoutExpired
from threading import Event, RLock, Thread, current_thread, main_thread
from time import monotonic
from typing import Any

from attrs import define, frozen

ROOT = Path(__file__).resolve().parent.parent
WATCH_INTERVAL_S = 0.05
# A process that was killed is gone from the process table within this time.
KILL_WAIT_S = 5.0


@frozen
class ProcessSpec:
    """How to start one process of a fleet."""

    name: str
    module: str
    arguments: tuple[str, ...]
    # Start it again this long after it ended by itself; None for never.
    restart_after_s: float | None = None


@define
class RunningProcess:
    """A child process."""

    spec: ProcessSpec
    popen: Popen
    started_at: float
    # The fleet ends this process itself, or it has done its work.
    ending: bool = False
    restart_at: float | None = None

    @property
    def alive(self) -> bool:
        """Return whether the process has not ended."""
        return self.popen.poll() is None


def _exit_on_signal(number: int, _frame: Any) -> None:
    raise SystemExit(128 + number)


class ProcessGroup:
    """The child processes of one fleet; leaving the context ends them all."""

    def __init__(self, directory: Path):
        self.directory = directory
        self.processes: dict[str, RunningProcess] = {}
        # Crashes as (time of the monotonic clock, name).
        self.crashes: list[tuple[float, str]] = []
        self.lock = RLock()
        self.closing = Event()
        self.watcher = Thread(target=self._watch, daemon=True)
        self.old_handler: Any = None

    def __enter__(self) -> "ProcessGroup":
        self.watcher.start()
        # Otherwise SIGTERM ends this process without ending its children.
        if current_thread() is main_thread():
            self.old_handler = signal.signal(signal.SIGTERM, _exit_on_signal)
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
        if self.old_handler is not None:
            signal.signal(signal.SIGTERM, self.old_handler)

    def start(self, spec: ProcessSpec) -> RunningProcess:
        """Start a process with its output in a log file."""
        with self.lock:
            if self.closing.is_set():
                raise RuntimeError("the fleet is closing")
            log = self.directory / f"{spec.name}.log"
            with log.open("ab") as output:
                popen = Popen(
                    (sys.executable, "-m", spec.module, *spec.arguments),
                    cwd=ROOT,
                    stdin=DEVNULL,
                    stdout=output,
                    stderr=output,
                )
            running = RunningProcess(spec, popen, monotonic())
            self.processes[spec.name] = running
            return running

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process that has not ended."""
        with self.lock:
            running = self.processes[name]
            if running.alive:
                os.kill(running.popen.pid, number)

    def kill(self, name: str) -> None:
        """End a process at once and wait until it is gone."""
        with self.lock:
            running = self.processes[name]
            running.ending = True
            if running.alive:
                running.popen.kill()
        running.popen.wait(KILL_WAIT_S)

    def terminate(self, name: str) -> None:
        """Ask a process to stop gracefully."""
        with self.lock:
            self.processes[name].ending = True
            self.signal(name, signal.SIGTERM)

    def wait(self, name: str, timeout_s: float) -> int | None:
        """Return a process's exit status, or None if it doesn't end in time."""
        try:
            return self.processes[name].popen.wait(timeout_s)
        except TimeoutExpired:
            return None

    def restart(self, name: str) -> RunningProcess:
        """Start a process again after it has ended."""
        return self.start(self.processes[name].spec)

    def alive(self, name: str) -> bool:
        """Return whether a process runs."""
        return name in self.processes and self.processes[name].alive

    def _watch(self) -> None:
        """Note crashes and start crashed processes again after their delay."""
        while not self.closing.wait(WATCH_INTERVAL_S):
            with self.lock:
                for running in tuple(self.processes.values()):
                    self._check(running)

    def _check(self, running: RunningProcess) -> None:
        if running.alive or running.ending:
            return
        if running.popen.returncode == 0:
            running.ending = True
            return
        now = monotonic()
        if running.restart_at is None:
            self.crashes.append((now, running.spec.name))
            delay = running.spec.restart_after_s
            running.restart_at = float("inf") if delay is None else now + delay
        elif now >= running.restart_at:
            self.start(running.spec)

    def close(self) -> None:
        """End every process and wait until all are gone."""
        self.closing.set()
        with self.lock:
            running = tuple(self.processes.values())
            for process in running:
                process.ending = True
                if process.alive:
                    process.popen.kill()
        for process in running:
            process.popen.wait(KILL_WAIT_S)
