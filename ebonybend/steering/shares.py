"""Split a cap between senders, count sends in a sliding window, and lend units."""

from collections import deque
from collections.abc import Iterable

from attrs import frozen

from ebonybend.clock import Clock

# Caps bound the sends in any window of this length.
WINDOW_S = 1.0
# A borrower uses a loan for this time after it sent its request.
LEASE_S = 2.0
# Covers the difference in rate between two clocks over a lease.
MARGIN_S = 0.25
# A lender keeps lent units unused until sends under the loan have left the window.
LOAN_HOLD_S = LEASE_S + WINDOW_S + MARGIN_S
# A lender keeps one unit in this many for its own next requests.
RESERVE_DIVISOR = 10
# Members receive a changed cap within this time of each other.
CHANGE_SPREAD_S = 5.0

RAMP_FRACTION = 0.1
RAMP_STEP_S = 1.0
RAMP_PAUSE_S = 5.0
LATENCY_RISE_LIMIT = 1.5
REFUSAL_RATE_LIMIT = 0.05


def split_units(total: int, names: Iterable[str]) -> dict[str, int]:
    """Return whole shares of a total that differ by at most one and sum to it."""
    ordered = sorted(set(names))
    if not ordered:
        return {}
    base, rest = divmod(total, len(ordered))
    return {name: base + (index < rest) for index, name in enumerate(ordered)}


class WindowLimiter:
    """A log of send times that bounds the sends in any window."""

    def __init__(self, clock: Clock, window_s: float = WINDOW_S):
        self.clock = clock
        self.window_s = window_s
        self.sent_at: deque[float] = deque()

    def try_acquire(self, units: int) -> bool:
        """Log a send if fewer than the given units are in the window."""
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
    """Units of a cap that a sender may use in place of another."""

    lender: str
    # The whole loan to the borrower; it replaces earlier loans rather than adding.
    units: int


@frozen
class Grant:
    """A loan until a time of the holder's clock."""

    units: int
    until: float


@frozen
class CapUsage:
    """What a sender sent under a cap in the last window."""

    sent: int
    # What it may send now, loans included.
    units: int
    # Requests refused in the last window.
    refused: int


class CapShare:
    """One sender's part of a cap on requests per second."""

    def __init__(
        self, cap: int, own: str, names: Iterable[str], clock: Clock, hold_s: float
    ):
        self.own = own
        self.clock = clock
        self.cap = cap
        self.changed_at = clock.monotonic()
        self.configured = split_units(cap, names).get(own, 0)
        self.effective = self.configured
        # Share of a changed configuration and the time when it may be used.
        self.raised: tuple[int, float] | None = None
        # Loans of an earlier incarnation are used until the lease ends, and sends
        # under them stay in the window after that.
        self.open_at = clock.monotonic() + max(hold_s, LOAN_HOLD_S)
        self.sends = WindowLimiter(clock)
        self.refusals = WindowLimiter(clock)
        self.lent: dict[str, list[Grant]] = {}
        self.borrowed: dict[str, list[Grant]] = {}

    def try_acquire(self) -> bool:
        """Count a send if the share allows it; return whether it does."""
        if self.sends.try_acquire(self.units()):
            return True
        # The log of refusals needs no more entries than could have been lent.
        self.refusals.try_acquire(max(10, 10 * self.configured))
        return False

    def units(self) -> int:
        """Return how many sends the share allows in any window now."""
        now = self.clock.monotonic()
        if now < self.open_at:
            return 0
        return max(0, self._own_units(now) - self._lent(now)) + self._borrowed(now)

    def spare(self) -> int:
        """Return how many own units could be lent now."""
        now = self.clock.monotonic()
        if now < self.open_at or self.refusals.used():
            return 0
        own = self._own_units(now)
        reserve = own // RESERVE_DIVISOR
        return max(0, own - reserve - self._lent(now) - self.sends.used())

    def shortage(self) -> int:
        """Return how many requests were refused in the last window."""
        return self.refusals.used()

    def grant_lease(self, units: int, borrower: str) -> QuotaLease:
        """Grant or renew a loan of up to the given units in all."""
        now = self.clock.monotonic()
        held = _most(self.lent.get(borrower, []), now)
        # A lender that refuses its own requests ends its loans.
        renewed = 0 if self.refusals.used() else held
        # A renewal is no larger than a share that was lowered since.
        most = self._own_units(now) - (self._lent(now) - held)
        granted = max(0, min(units, renewed + self.spare(), most))
        if granted:
            grants = [g for g in self.lent.get(borrower, []) if g.until > now]
            self.lent[borrower] = [*grants, Grant(granted, now + LOAN_HOLD_S)]
        return QuotaLease(self.own, granted)

    def use_lease(self, loan: QuotaLease, sent_at: float) -> None:
        """Use a loan that was asked for at a time of the own clock."""
        if sent_at < self.changed_at:
            return
        now = self.clock.monotonic()
        grants = [g for g in self.borrowed.get(loan.lender, []) if g.until > now]
        self.borrowed[loan.lender] = [*grants, Grant(loan.units, sent_at + LEASE_S)]

    def loans(self) -> dict[str, int]:
        """Return the units that are borrowed now, by lender."""
        now = self.clock.monotonic()
        current = {
            lender: _most(grants, now) for lender, grants in self.borrowed.items()
        }
        return {lender: units for lender, units in current.items() if units}

    def usage(self) -> CapUsage:
        """Return the sends and the allowance of the last window."""
        return CapUsage(self.sends.used(), self.units(), self.refusals.used())

    def configure(self, cap: int, names: Iterable[str]) -> None:
        """Change the cap or the senders; a smaller share counts at once.

        Loans end with a changed cap: they may be more than the lender's smaller share.

        A larger share waits until all senders have the change, so that the old and new
        shares together stay within the larger cap.
        """
        share = split_units(cap, names).get(self.own, 0)
        now = self.clock.monotonic()
        if cap != self.cap:
            self.cap = cap
            self.changed_at = now
            self.borrowed.clear()
        self._apply_raise(now)
        if self.raised is not None and self.raised[0] == share:
            return
        self.raised = None
        if share > self.configured:
            self.raised = (share, now + CHANGE_SPREAD_S)
            return
        self.configured = share
        self.effective = min(self.effective, share)

    def throttle(self, cap: int, names: Iterable[str]) -> None:
        """Use a smaller cap than the configured one, as a ramp gives it."""
        share = split_units(cap, names).get(self.own, 0)
        self._apply_raise(self.clock.monotonic())
        self.effective = min(share, self.configured)

    def _own_units(self, now: float) -> int:
        if self.raised is not None:
            self._apply_raise(now)
        return self.effective

    def _apply_raise(self, now: float) -> None:
        if self.raised is None or now < self.raised[1]:
            return
        throttled = self.effective < self.configured
        self.configured = self.raised[0]
        self.raised = None
        if not throttled:
            self.effective = self.configured

    def _lent(self, now: float) -> int:
        return sum(_most(grants, now) for grants in self.lent.values())

    def _borrowed(self, now: float) -> int:
        return sum(_most(grants, now) for grants in self.borrowed.values())


def _most(grants: list[Grant], now: float) -> int:
    """Return the largest grant that has not ended."""
    return max((grant.units for grant in grants if grant.until > now), default=0)


class Ramp:
    """Raises a shift's cap step by step while the receiver copes with it."""

    def __init__(self, cap: int, clock: Clock):
        self.cap = cap
        self.clock = clock
        # Part of the cap at the start of the last step.
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

    def observe(self, latency_ms: float, refusal_rate: float) -> None:
        """Take in the receiver's latency and its part of refused requests."""
        self._step()
        self.latency_ms = latency_ms
        if self.base_latency_ms is None:
            self.base_latency_ms = latency_ms
        slower = latency_ms > LATENCY_RISE_LIMIT * self.base_latency_ms
        if slower or refusal_rate > REFUSAL_RATE_LIMIT:
            self._cut()

    def _step(self) -> None:
        steps = int((self.clock.monotonic() - self.stepped_at) / RAMP_STEP_S)
        if steps <= 0:
            return
        self.stepped_at += steps * RAMP_STEP_S
        if self.fraction < 1.0:
            self.fraction = min(1.0, self.fraction + steps * RAMP_FRACTION)
        # Slow growth over many steps is the load's own, so each step has its base.
        self.base_latency_ms = self.latency_ms

    def _cut(self) -> None:
        now = self.clock.monotonic()
        # Answers to requests sent before a cut still arrive during the pause.
        if now < self.paused_until:
            return
        self.fraction /= 2
        self.paused_until = now + RAMP_PAUSE_S
        self.stepped_at = self.paused_until - RAMP_STEP_S
