"""Start, monitor, signal and terminate child processes."""

import os
import re
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
# A killed process has terminated within this time.
KILL_WAIT_S = 5.0


@frozen
class ProcessSpec:
    """How to start one process of a fleet."""

    name: str
    module: str
    arguments: tuple[str, ...]
    # Delay before a restart after a crash; None for no restart.
    restart_after_s: float | None = None
    # Variables that are added to the environment.
    environment: tuple[tuple[str, str], ...] = ()


@define
class RunningProcess:
    """A child process."""

    spec: ProcessSpec
    popen: Popen
    started_at: float
    # Whether the fleet terminates the process, or it has exited with status 0.
    expected_end: bool = False
    restart_at: float | None = None

    @property
    def alive(self) -> bool:
        """Return whether the process has not ended."""
        return self.popen.poll() is None


def _exit_on_signal(number: int, _frame: Any) -> None:
    raise SystemExit(128 + number)


class ProcessGroup:
    """The child processes of one fleet; leaving the context kills them all."""

    def __init__(self, directory: Path):
        self.directory = directory
        self.processes: dict[str, RunningProcess] = {}
        # Crashes as (monotonic time, process name).
        self.crashes: list[tuple[float, str]] = []
        self.lock = RLock()
        self.closing = Event()
        self.watcher = Thread(target=self._watch, daemon=True)
        self.previous_handler: Any = None

    def __enter__(self) -> "ProcessGroup":
        self.watcher.start()
        # Without a handler, SIGTERM ends this process but not its children.
        if current_thread() is main_thread():
            self.previous_handler = signal.signal(signal.SIGTERM, _exit_on_signal)
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
        if self.previous_handler is not None:
            signal.signal(signal.SIGTERM, self.previous_handler)

    def start(self, spec: ProcessSpec) -> RunningProcess:
        """Start a process with its output appended to a log file."""
        with self.lock:
            if self.closing.is_set():
                raise RuntimeError("the fleet is closing")
            log = self.directory / f"{spec.name}.log"
            with log.open("ab") as output:
                popen = Popen(
                    (sys.executable, "-m", spec.module, *spec.arguments),
                    cwd=ROOT,
                    env={**os.environ, **dict(spec.environment)},
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

    def maps(self, name: str, library: str) -> bool:
        """Return whether a process has loaded a library; True if it has ended."""
        try:
            maps = Path(f"/proc/{self.processes[name].popen.pid}/maps").read_text()
        except OSError:
            return True
        return library in maps or not maps

    def peak_memory_mb(self, name: str) -> float:
        """Return the most memory that a process has used; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.processes[name].popen.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0.0

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has terminated."""
        with self.lock:
            running = self.processes[name]
            running.expected_end = True
            if running.alive:
                running.popen.kill()
        running.popen.wait(KILL_WAIT_S)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process, for a graceful stop."""
        with self.lock:
            self.processes[name].expected_end = True
            self.signal(name, signal.SIGTERM)

    def wait(self, name: str, timeout_s: float) -> int | None:
        """Wait for a process; return its exit status, or None on timeout."""
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
        """Record crashes and restart crashed processes after their delay."""
        while not self.closing.wait(WATCH_INTERVAL_S):
            with self.lock:
                for running in tuple(self.processes.values()):
                    self._check(running)

    def _check(self, running: RunningProcess) -> None:
        if running.alive or running.expected_end:
            return
        if running.popen.returncode == 0:
            running.expected_end = True
            return
        now = monotonic()
        if running.restart_at is None:
            self.crashes.append((now, running.spec.name))
            delay = running.spec.restart_after_s
            running.restart_at = float("inf") if delay is None else now + delay
        elif now >= running.restart_at:
            self.start(running.spec)

    def close(self) -> None:
        """Kill every process and wait until all have terminated."""
        self.closing.set()
        with self.lock:
            running = tuple(self.processes.values())
            for process in running:
                process.expected_end = True
                if process.alive:
                    process.popen.kill()
        for process in running:
            process.popen.wait(KILL_WAIT_S)
