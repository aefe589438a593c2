"""Structured logs as JSON lines."""

import logging
import os
import sys
from typing import Any, Protocol

import structlog
from structlog.contextvars import merge_contextvars
from structlog.processors import JSONRenderer, TimeStamper, add_log_level


class LogFile(Protocol):
    """Where lines are written."""

    def write(self, text: str) -> Any:
        """Write a line."""
        ...

    def flush(self) -> None:
        """Hand on what is buffered."""
        ...


class LossyFile:
    """Write to a descriptor without waiting; drop lines that its reader doesn't take.

    The descriptor is made non-blocking, so a reader that stops can't stop the process.
    """

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        # The rest of a line of which a part was written.
        self.rest = b""
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line, or drop it and count it."""
        data = text.encode("utf-8", "backslashreplace")
        if self.rest and not self._send(self.rest):
            self.dropped += 1
            return
        self._send(data, fresh=True)

    def flush(self) -> None:
        """Do nothing; nothing is buffered that could be written."""

    def _send(self, data: bytes, fresh: bool = False) -> bool:
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            if fresh:
                self.dropped += 1
            return False
        except OSError:
            # The reader is gone, so there is nowhere to report it.
            self.dropped += 1
            return False
        self.rest = data[written:]
        return not self.rest


def configure_logs(level: str, file: LogFile | None = None, **identity: Any) -> None:
    """Write JSON lines at or above a level, each with the process's identity.

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
