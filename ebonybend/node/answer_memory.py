"""Limit the memory that the answers of backend servers may take."""

# Largest answer, as a fraction of the memory of all answers.
MAX_ANSWER_FRACTION = 0.5
# Fraction of the process's memory limit for answers that are being received. An answer
# is copied up to twice on its way to the client.
PROCESS_MEMORY_FRACTION = 0.1
BYTES_PER_MB = 1 << 20


class AnswerMemory:
    """The bytes of all answers that are being received."""

    def __init__(self, max_bytes: float = float("inf")):
        # May change at any time; what is reserved stays.
        self.max_bytes = max_bytes
        self.reserved = 0

    def try_reserve(self, answer_bytes: int, more: int) -> bool:
        """Reserve memory for an answer that grows; return whether it may grow."""
        if answer_bytes + more > self.max_bytes * MAX_ANSWER_FRACTION:
            return False
        if self.reserved + more > self.max_bytes:
            return False
        self.reserved += more
        return True

    def release(self, answer_bytes: int) -> None:
        """Release the memory of an answer."""
        self.reserved -= answer_bytes


def answer_memory_bytes(process_memory_mb: int) -> float:
    """Return the limit for a process with a memory limit in MB."""
    return process_memory_mb * BYTES_PER_MB * PROCESS_MEMORY_FRACTION
