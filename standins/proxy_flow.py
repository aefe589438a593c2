"""One direction of a proxied connection, with delay, rate limit and truncation."""

from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import define, frozen

from standins.proxy_rules import DirectionEffect

# Reading pauses above this size, so that a slow link slows down its sender.
MAX_QUEUED_BYTES = 256 << 10
# epoll rounds timers up to whole milliseconds. Sending half a millisecond early
# centres the timing error on zero.
TIMER_SLACK_S = 0.0005


@define
class LinkSchedule:
    """The time at which a shared link becomes free, and the bytes it has carried."""

    bytes_per_second: float
    free_at: float = 0.0
    carried_bytes: int = 0

    def schedule_send(self, size: int, now: float) -> float:
        """Occupy the link for some bytes; return when the last byte is sent."""
        start = max(now, self.free_at)
        self.free_at = start + size / self.bytes_per_second
        self.carried_bytes += size
        return self.free_at


@frozen
class _Chunk:
    """Bytes with the time to forward them; None is the end of the stream."""

    due_at: float
    data: bytes | None
    clean: bool = True


class Flow:
    """Forward bytes in order from a source to a sink, each after its delay."""

    def __init__(self, reactor: Any, links: dict[str, LinkSchedule], reset: Callable):
        self.reactor = reactor
        self.links = links
        # Resets the connection in both directions.
        self.reset = reset
        self.effect = DirectionEffect()
        self.queue: deque[_Chunk] = deque()
        self.queued_bytes = 0
        self.forwarded_bytes = 0
        self.last_due_at = 0.0
        self.timer: Any = None
        self.source: Any = None
        self.sink: Any = None
        self.is_source_closed = False

    def receive(self, data: bytes) -> None:
        """Queue bytes from the source; pause it if the queue is too long."""
        now = self.reactor.seconds()
        sent_at = now
        for name in self.effect.links:
            sent_at = max(sent_at, self.links[name].schedule_send(len(data), now))
        self._append(data, sent_at + self.effect.delay_s)
        self.queued_bytes += len(data)
        if self.queued_bytes > MAX_QUEUED_BYTES and self.source is not None:
            self.source.pauseProducing()
        self.send_due()

    def record_source_close(self, clean: bool) -> None:
        """Queue the end of the stream; reset the sink unless the close was clean."""
        if self.is_source_closed:
            return
        self.is_source_closed = True
        self._append(None, self.reactor.seconds() + self.effect.delay_s, clean)
        self.send_due()

    def _append(self, data: bytes | None, due_at: float, clean: bool = True) -> None:
        # Bytes stay in order when the delay becomes shorter.
        self.last_due_at = max(due_at, self.last_due_at)
        self.queue.append(_Chunk(self.last_due_at, data, clean))

    def set_effect(self, effect: DirectionEffect) -> None:
        """Replace the effect of the rules on this direction."""
        self.effect = effect
        self.send_due()

    def send_due(self) -> None:
        """Forward the chunks that are due and set a timer for the next one."""
        if self.effect.frozen or self.sink is None:
            return
        due_until = self.reactor.seconds() + TIMER_SLACK_S
        while self.queue and self.queue[0].due_at <= due_until:
            self._forward_chunk(self.queue.popleft())
        if self.queue and self.timer is None:
            delay = max(self.queue[0].due_at - due_until, 0.0)
            self.timer = self.reactor.callLater(delay, self._timer_fired)

    def _timer_fired(self) -> None:
        self.timer = None
        self.send_due()

    def _forward_chunk(self, chunk: _Chunk) -> None:
        if chunk.data is None:
            self._close(chunk.clean)
            return
        self.queued_bytes -= len(chunk.data)
        data = self._truncate(chunk.data)
        self.forwarded_bytes += len(data)
        self.sink.write(data)
        if len(data) < len(chunk.data):
            # The reset is delayed so that the bytes before the limit arrive first.
            self.reactor.callLater(0.01, self.reset)
            self.queue.clear()
        if self.queued_bytes <= MAX_QUEUED_BYTES and self.source is not None:
            self.source.resumeProducing()

    def _truncate(self, data: bytes) -> bytes:
        if self.effect.truncate_after is None:
            return data
        return data[: max(self.effect.truncate_after - self.forwarded_bytes, 0)]

    def _close(self, clean: bool) -> None:
        if clean:
            self.sink.loseConnection()
        else:
            self.sink.abortConnection()

    def stop(self) -> None:
        """Drop the queued bytes and stop the timer."""
        self.queue.clear()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
