"""Keep the bytes that an entry sends over a link within its part of the budget."""

from collections import deque

from ebonybend.clock import Clock

WINDOW_S = 1.0
BUCKET_S = 0.1
# A window of 1 s can overlap this many buckets, so all of them are counted.
BUCKETS = round(WINDOW_S / BUCKET_S) + 1
# Charges of at most this fraction of the budget keep the pacing smooth.
CHUNKS_PER_WINDOW = 10


class LinkBudget:
    """One entry's byte budget for an ordered pair of regions."""

    def __init__(self, bytes_per_second: float, senders: int, clock: Clock):
        self.clock = clock
        # Maximum number of bytes in any window of 1 s.
        self.budget = int(bytes_per_second / max(1, senders))
        self.used = 0
        # Bucket numbers and their bytes, oldest first.
        self.buckets: deque[list[int]] = deque()
        # An earlier incarnation may have used the budget of the current window.
        self.first_bucket = self._bucket() + BUCKETS

    def charge(self, size: int) -> bool:
        """Count bytes that are about to be sent if they fit; return whether they do."""
        bucket = self._expire()
        if bucket < self.first_bucket or self.used + size > self.budget:
            return False
        if not self.buckets or self.buckets[-1][0] != bucket:
            self.buckets.append([bucket, 0])
        self.buckets[-1][1] += size
        self.used += size
        return True

    def delay_for(self, size: int) -> float:
        """Return the seconds until a charge could fit, infinity if it never can."""
        bucket = self._expire()
        if size > self.budget:
            return float("inf")
        fits_from = max(bucket, self.first_bucket)
        used = self.used
        for number, count in self.buckets:
            if used + size <= self.budget:
                break
            used -= count
            fits_from = max(fits_from, number + BUCKETS)
        if fits_from == bucket:
            return 0.0
        return max(0.0, fits_from * BUCKET_S - self.clock.monotonic())

    def chunk_bytes(self) -> int:
        """Return the size in which to charge and send a paced answer."""
        return max(1, self.budget // CHUNKS_PER_WINDOW)

    def utilisation(self) -> float:
        """Return the used part of the budget, 0 to 1."""
        bucket = self._expire()
        if self.budget == 0 or bucket < self.first_bucket:
            return 1.0
        return self.used / self.budget

    def _bucket(self) -> int:
        return int(self.clock.monotonic() / BUCKET_S)

    def _expire(self) -> int:
        """Drop the buckets that left the window and return the current one."""
        bucket = self._bucket()
        while self.buckets and self.buckets[0][0] <= bucket - BUCKETS:
            self.used -= self.buckets.popleft()[1]
        return bucket
