"""One direction of a proxied connection: delay, shared rate, order, truncation."""

from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import define, frozen

from standins.proxy_rules import DirectionEffect

# Reading pauses above this, so that a slow link holds back its sender.
MAX_QUEUED_BYTES = 256 << 10
# epoll rounds timers up to whole milliseconds. Sending half a millisecond early
# centres the error on zero.
TIMER_SLACK_S = 0.0005


@define
class LinkClock:
    """When a shared link is free again, and what it carried."""

    bytes_per_second: float
    free_at: float = 0.0
    carried_bytes: int = 0

    def carry(self, size: int, now: float) -> float:
        """Return the time at which the last byte has been sent."""
        start = max(now, self.free_at)
        self.free_at = start + size / self.bytes_per_second
        self.carried_bytes += size
        return self.free_at


@frozen
class _Chunk:
    """Bytes to pass on; None is the end of the stream."""

    due: float
    data: bytes | None
    clean: bool = True


class Flow:
    """Pass bytes on from one side to the other, each after its delay."""

    def __init__(self, reactor: Any, links: dict[str, LinkClock], cut: Callable):
        self.reactor = reactor
        self.links = links
        self.cut = cut
        self.effect = DirectionEffect()
        self.queue: deque[_Chunk] = deque()
        self.queued_bytes = 0
        self.passed_bytes = 0
        self.last_due = 0.0
        self.timer: Any = None
        self.source: Any = None
        self.sink: Any = None
        self.ended = False

    def receive(self, data: bytes) -> None:
        """Take bytes from the source."""
        now = self.reactor.seconds()
        sent = now
        for name in self.effect.links:
            sent = max(sent, self.links[name].carry(len(data), now))
        self._append(data, sent + self.effect.delay_s)
        self.queued_bytes += len(data)
        if self.queued_bytes > MAX_QUEUED_BYTES and self.source is not None:
            self.source.pauseProducing()
        self.wake()

    def end(self, clean: bool) -> None:
        """Note that the source has closed its side."""
        if self.ended:
            return
        self.ended = True
        self._append(None, self.reactor.seconds() + self.effect.delay_s, clean)
        self.wake()

    def _append(self, data: bytes | None, due: float, clean: bool = True) -> None:
        # Never before earlier bytes, also when the delay has become shorter.
        self.last_due = max(due, self.last_due)
        self.queue.append(_Chunk(self.last_due, data, clean))

    def set_effect(self, effect: DirectionEffect) -> None:
        """Change what applies to the direction."""
        self.effect = effect
        self.wake()

    def wake(self) -> None:
        """Pass on what is due and set a timer for the rest."""
        if self.effect.frozen or self.sink is None:
            return
        limit = self.reactor.seconds() + TIMER_SLACK_S
        while self.queue and self.queue[0].due <= limit:
            self._pass(self.queue.popleft())
        if self.queue and self.timer is None:
            delay = max(self.queue[0].due - limit, 0.0)
            self.timer = self.reactor.callLater(delay, self._timer_fired)

    def _timer_fired(self) -> None:
        self.timer = None
        self.wake()

    def _pass(self, chunk: _Chunk) -> None:
        if chunk.data is None:
            self._close(chunk.clean)
            return
        self.queued_bytes -= len(chunk.data)
        data = self._truncated(chunk.data)
        self.passed_bytes += len(data)
        self.sink.write(data)
        if len(data) < len(chunk.data):
            # The bytes before the limit have to arrive, so the reset comes after them.
            self.reactor.callLater(0.01, self.cut)
            self.queue.clear()
        if self.queued_bytes <= MAX_QUEUED_BYTES and self.source is not None:
            self.source.resumeProducing()

    def _truncated(self, data: bytes) -> bytes:
        if self.effect.truncate_after is None:
            return data
        return data[: max(self.effect.truncate_after - self.passed_bytes, 0)]

    def _close(self, clean: bool) -> None:
        if clean:
            self.sink.loseConnection()
        else:
            self.sink.abortConnection()

    def stop(self) -> None:
        """Drop what is queued."""
        self.queue.clear()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
