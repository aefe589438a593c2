"""Backend servers of the model: slots, a short queue, and caches of objects."""

from collections import OrderedDict, deque
from collections.abc import Callable
from random import Random

from attrs import define, field, frozen

from bench.model.clock import SimulatedCall, SimulatedClock

# Time of a request, relative to the mean, for objects that the server handled lately
# and for others.
WARM_FACTOR, COLD_FACTOR = 0.4, 1.4
# Objects that a server keeps warm, and the time for which it does.
CACHED_OBJECTS = 64
WARM_S = 8.0
# Requests that wait, relative to the slots, before the server refuses more.
QUEUE_FACTOR = 3.0
# Largest random deviation of a service time.
SPREAD = 0.25


@frozen
class ServerAnswer:
    """How a request ended on a server."""

    status: int
    running: int
    waiting: int
    # Whether the server refused the request without running it.
    not_run: bool = False


@define(eq=False)
class Job:
    """A request on a server."""

    work_s: float
    object_key: bytes
    on_end: Callable[[ServerAnswer], None]
    timer: SimulatedCall | None = None


@define(eq=False)
class ModelServer:
    """One server."""

    name: str
    service: str
    region: str
    zone: str
    slots: int
    clock: SimulatedClock
    random: Random
    # Service time relative to the other servers.
    speed: float = 1.0
    # Multiplier of the service time while the server is slow.
    slow_factor: float = 1.0
    # Fraction of the requests that fail although the server seems healthy.
    failing_fraction: float = 0.0
    is_up: bool = True
    running: set[Job] = field(factory=set)
    queue: deque[Job] = field(factory=deque)
    cache: OrderedDict[bytes, float] = field(factory=OrderedDict)
    warm_runs: int = 0
    runs: int = 0

    def receive(self, job: Job) -> None:
        """Run, queue or refuse a request."""
        if len(self.running) < self.slots:
            self._start(job)
        elif len(self.queue) < self.slots * QUEUE_FACTOR:
            self.queue.append(job)
        else:
            job.on_end(self._answer(503, not_run=True))

    def cancel(self, job: Job) -> None:
        """Drop a request whose connection was closed."""
        if job in self.running:
            job.timer.cancel()
            self._release(job)
        elif job in self.queue:
            self.queue.remove(job)

    def crash(self) -> None:
        """Lose all requests and the cache, and refuse connections."""
        self.is_up = False
        lost = [*self.running, *self.queue]
        for job in self.running:
            job.timer.cancel()
        self.running.clear()
        self.queue.clear()
        self.cache.clear()
        for job in lost:
            job.on_end(ServerAnswer(0, 0, 0))

    def _start(self, job: Job) -> None:
        now = self.clock.seconds()
        warm_at = self.cache.get(job.object_key)
        is_warm = warm_at is not None and now - warm_at < WARM_S
        self.runs += 1
        self.warm_runs += is_warm
        factor = WARM_FACTOR if is_warm else COLD_FACTOR
        factor *= self.speed * self.slow_factor
        factor *= self.random.uniform(1 - SPREAD, 1 + SPREAD)
        self.running.add(job)
        job.timer = self.clock.callLater(job.work_s * factor, self._finish, job)

    def _finish(self, job: Job) -> None:
        self.cache[job.object_key] = self.clock.seconds()
        self.cache.move_to_end(job.object_key)
        if len(self.cache) > CACHED_OBJECTS:
            self.cache.popitem(last=False)
        status = 500 if self.random.random() < self.failing_fraction else 200
        answer = self._answer(status)
        self._release(job)
        job.on_end(answer)

    def _release(self, job: Job) -> None:
        self.running.discard(job)
        while self.queue and len(self.running) < self.slots:
            self._start(self.queue.popleft())

    def _answer(self, status: int, not_run: bool = False) -> ServerAnswer:
        return ServerAnswer(status, len(self.running), len(self.queue), not_run)
