"""Structured logs as JSON lines."""

import logging
import os
import sys
from typing import Any, Protocol

import structlog
from structlog.contextvars import merge_contextvars
from structlog.processors import JSONRenderer, TimeStamper, add_log_level


class LogFile(Protocol):
    """A file for log lines."""

    def write(self, text: str) -> Any:
        """Write a line."""
        ...

    def flush(self) -> None:
        """Write out buffered lines."""
        ...


class NonBlockingLogFile:
    """Write to a descriptor without blocking; drop lines while its buffer is full.

    The descriptor is made non-blocking, because a write to a pipe whose reader has
    stopped would otherwise block the whole process.
    """

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        # Remaining bytes of a line that was written in part.
        self.unsent = b""
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line, or drop it and count it."""
        data = text.encode("utf-8", "backslashreplace")
        if self.unsent and not self._write_available(self.unsent):
            self.dropped += 1
            return
        self._write_available(data, is_new_line=True)

    def flush(self) -> None:
        """Do nothing; each write goes to the descriptor at once."""

    def _write_available(self, data: bytes, is_new_line: bool = False) -> bool:
        """Write what fits into the buffer; return whether all of it was written."""
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            if is_new_line:
                self.dropped += 1
            return False
        except OSError:
            # The reader has closed its end, so the error can't be logged.
            self.dropped += 1
            return False
        self.unsent = data[written:]
        return not self.unsent


def configure_logs(level: str, file: LogFile | None = None, **identity: Any) -> None:
    """Write log lines at or above a level as JSON, each with the identity's fields.

    Lines go to standard error unless a file is given.
    """
    minimum = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            merge_contextvars,
            add_log_level,
            TimeStamper(fmt="iso", utc=True),
            JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(minimum),
        logger_factory=structlog.WriteLoggerFactory(file=file or sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**identity)


def get_logger() -> Any:
    """Return a structured logger."""
    return structlog.get_logger()
