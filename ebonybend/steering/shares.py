"""Split a cap between senders, enforce it in a sliding window, and lease units."""

from collections import deque
from collections.abc import Iterable

from attrs import frozen

from ebonybend.clock import Clock

# A cap limits the sends in any window of this length.
WINDOW_S = 1.0
# Time for which a borrower uses a lease, from the time of its request.
LEASE_S = 2.0
# Covers the drift between the two clocks over a lease.
CLOCK_DRIFT_MARGIN_S = 0.25
# A lender doesn't use leased units until sends under the lease have left the window.
LEASE_HOLD_S = LEASE_S + WINDOW_S + CLOCK_DRIFT_MARGIN_S
# A lender reserves one unit in this many for its own next requests.
RESERVE_DIVISOR = 10
# All senders receive a changed cap within this time of one another.
CHANGE_SPREAD_S = 5.0

RAMP_FRACTION = 0.1
RAMP_STEP_S = 1.0
RAMP_PAUSE_S = 5.0
LATENCY_RISE_LIMIT = 1.5
REFUSAL_RATE_LIMIT = 0.05


def split_units(total: int, names: Iterable[str]) -> dict[str, int]:
    """Split a total into whole shares that sum to it and differ by at most one."""
    ordered = sorted(set(names))
    if not ordered:
        return {}
    base, rest = divmod(total, len(ordered))
    return {name: base + (index < rest) for index, name in enumerate(ordered)}


class WindowLimiter:
    """Limit the sends in any window by a log of send times."""

    def __init__(self, clock: Clock, window_s: float = WINDOW_S):
        self.clock = clock
        self.window_s = window_s
        self.sent_at: deque[float] = deque()

    def try_acquire(self, units: int) -> bool:
        """Record a send if fewer than the given units are in the window."""
        if self.used() >= units:
            return False
        self.sent_at.append(self.clock.monotonic())
        return True

    def used(self) -> int:
        """Return the number of sends in the window that ends now."""
        limit = self.clock.monotonic() - self.window_s
        sent_at = self.sent_at
        while sent_at and sent_at[0] <= limit:
            sent_at.popleft()
        return len(sent_at)


@frozen
class QuotaLease:
    """Units of a cap that a sender may use in place of the lender."""

    lender: str
    # All units leased to the borrower; this replaces earlier leases.
    units: int


@frozen
class TimedLease:
    """A lease and its expiry by the holder's clock."""

    units: int
    expires_at: float


@frozen
class CapUsage:
    """A sender's use of a cap in the last window."""

    sent: int
    # Sends allowed now, including leased units.
    units: int
    # Requests refused in the last window.
    refused: int


class CapShare:
    """One sender's share of a cap on requests per second."""

    def __init__(
        self, cap: int, own: str, names: Iterable[str], clock: Clock, hold_s: float
    ):
        self.own = own
        self.clock = clock
        self.cap = cap
        self.changed_at = clock.monotonic()
        self.configured = split_units(cap, names).get(own, 0)
        self.effective = self.configured
        # Larger share of a changed configuration, and the time from which it applies.
        self.pending_raise: tuple[int, float] | None = None
        # Leases that an earlier incarnation granted are used until they expire, and
        # sends under them stay in the window after that.
        self.usable_at = clock.monotonic() + max(hold_s, LEASE_HOLD_S)
        self.sends = WindowLimiter(clock)
        self.refusals = WindowLimiter(clock)
        self.leased_out: dict[str, list[TimedLease]] = {}
        self.leased_in: dict[str, list[TimedLease]] = {}

    def try_acquire(self) -> bool:
        """Record a send if the share allows it; return whether it does."""
        if self.sends.try_acquire(self.units()):
            return True
        # The log of refusals needs no more entries than units could be leased.
        self.refusals.try_acquire(max(10, 10 * self.configured))
        return False

    def units(self) -> int:
        """Return how many sends the share allows in any window now."""
        now = self.clock.monotonic()
        if now < self.usable_at:
            return 0
        return max(
            0, self._own_units(now) - self._leased_out_units(now)
        ) + self._leased_in_units(now)

    def leasable_units(self) -> int:
        """Return how many own units could be leased out now."""
        now = self.clock.monotonic()
        if now < self.usable_at or self.refusals.used():
            return 0
        own = self._own_units(now)
        reserve = own // RESERVE_DIVISOR
        return max(0, own - reserve - self._leased_out_units(now) - self.sends.used())

    def recent_refusals(self) -> int:
        """Return how many requests were refused in the last window."""
        return self.refusals.used()

    def grant_lease(self, units: int, borrower: str) -> QuotaLease:
        """Grant or renew a lease of up to the given units in total."""
        now = self.clock.monotonic()
        current_units = _largest_units(self.leased_out.get(borrower, []), now)
        # A lender that refuses its own requests ends its leases.
        renewable = 0 if self.refusals.used() else current_units
        # A renewal can't exceed a share that was lowered in the meantime.
        max_units = self._own_units(now) - (self._leased_out_units(now) - current_units)
        granted = max(0, min(units, renewable + self.leasable_units(), max_units))
        if granted:
            leases = [
                x for x in self.leased_out.get(borrower, []) if x.expires_at > now
            ]
            self.leased_out[borrower] = [
                *leases,
                TimedLease(granted, now + LEASE_HOLD_S),
            ]
        return QuotaLease(self.own, granted)

    def use_lease(self, lease: QuotaLease, sent_at: float) -> None:
        """Use a lease that was requested at a time of the own clock."""
        if sent_at < self.changed_at:
            return
        now = self.clock.monotonic()
        leases = [x for x in self.leased_in.get(lease.lender, []) if x.expires_at > now]
        self.leased_in[lease.lender] = [
            *leases,
            TimedLease(lease.units, sent_at + LEASE_S),
        ]

    def leased_units(self) -> dict[str, int]:
        """Return the units leased from other senders now, by lender."""
        now = self.clock.monotonic()
        current = {
            lender: _largest_units(leases, now)
            for lender, leases in self.leased_in.items()
        }
        return {lender: units for lender, units in current.items() if units}

    def usage(self) -> CapUsage:
        """Return the sends, allowed units and refusals of the last window."""
        return CapUsage(self.sends.used(), self.units(), self.refusals.used())

    def configure(self, cap: int, names: Iterable[str]) -> None:
        """Change the cap or the senders; a smaller share applies at once.

        A changed cap ends the leases from other senders, which may exceed the lender's
        smaller share. A larger share applies only when all senders have the change, so
        that the old and new shares together stay within the larger cap.
        """
        share = split_units(cap, names).get(self.own, 0)
        now = self.clock.monotonic()
        if cap != self.cap:
            self.cap = cap
            self.changed_at = now
            self.leased_in.clear()
        self._apply_raise(now)
        if self.pending_raise is not None and self.pending_raise[0] == share:
            return
        self.pending_raise = None
        if share > self.configured:
            self.pending_raise = (share, now + CHANGE_SPREAD_S)
            return
        self.configured = share
        self.effective = min(self.effective, share)

    def throttle(self, cap: int, names: Iterable[str]) -> None:
        """Apply a cap below the configured one, as a ramp does."""
        share = split_units(cap, names).get(self.own, 0)
        self._apply_raise(self.clock.monotonic())
        self.effective = min(share, self.configured)

    def _own_units(self, now: float) -> int:
        if self.pending_raise is not None:
            self._apply_raise(now)
        return self.effective

    def _apply_raise(self, now: float) -> None:
        if self.pending_raise is None or now < self.pending_raise[1]:
            return
        throttled = self.effective < self.configured
        self.configured = self.pending_raise[0]
        self.pending_raise = None
        if not throttled:
            self.effective = self.configured

    def _leased_out_units(self, now: float) -> int:
        return sum(_largest_units(leases, now) for leases in self.leased_out.values())

    def _leased_in_units(self, now: float) -> int:
        return sum(_largest_units(leases, now) for leases in self.leased_in.values())


def _largest_units(leases: list[TimedLease], now: float) -> int:
    """Return the units of the largest lease that has not expired."""
    return max((x.units for x in leases if x.expires_at > now), default=0)


class Ramp:
    """Raise a shift's cap step by step while the receiver isn't overloaded."""

    def __init__(self, cap: int, clock: Clock):
        self.cap = cap
        self.clock = clock
        # Fraction of the cap that is in effect since the last step.
        self.fraction = RAMP_FRACTION
        self.stepped_at = clock.monotonic()
        self.paused_until = self.stepped_at
        # Latency before the last step, or None until it is measured.
        self.base_latency_ms: float | None = None
        self.latency_ms: float | None = None

    def current(self) -> int:
        """Return the cap that is in effect now, at least 1."""
        self._step()
        # A product such as 0.3 * 10 may be just below the whole number.
        return min(self.cap, max(1, int(self.fraction * self.cap + 1e-6)))

    def adjust(self, latency_ms: float, refusal_rate: float) -> None:
        """Record the receiver's latency and refusal rate; halve the cap if too high."""
        self._step()
        self.latency_ms = latency_ms
        if self.base_latency_ms is None:
            self.base_latency_ms = latency_ms
        slower = latency_ms > LATENCY_RISE_LIMIT * self.base_latency_ms
        if slower or refusal_rate > REFUSAL_RATE_LIMIT:
            self._halve()

    def _step(self) -> None:
        steps = int((self.clock.monotonic() - self.stepped_at) / RAMP_STEP_S)
        if steps <= 0:
            return
        self.stepped_at += steps * RAMP_STEP_S
        if self.fraction < 1.0:
            self.fraction = min(1.0, self.fraction + steps * RAMP_FRACTION)
        # Latency that grows slowly over many steps is due to the load itself, so each
        # step is compared with the latency before it.
        self.base_latency_ms = self.latency_ms

    def _halve(self) -> None:
        now = self.clock.monotonic()
        # Answers to requests sent before the last cut still arrive during the pause.
        if now < self.paused_until:
            return
        self.fraction /= 2
        self.paused_until = now + RAMP_PAUSE_S
        self.stepped_at = self.paused_until - RAMP_STEP_S
