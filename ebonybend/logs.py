"""Structured logs as JSON lines on standard error."""

import logging
import sys
from typing import Any

import structlog
from structlog.contextvars import merge_contextvars
from structlog.processors import JSONRenderer, TimeStamper, add_log_level


def configure_logs(level: str, **identity: Any) -> None:
    """Write JSON lines at or above a level, each with the process's identity."""
    minimum = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            merge_contextvars,
            add_log_level,
            TimeStamper(fmt="iso", utc=True),
            JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(minimum),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**identity)


def get_logger() -> Any:
    """Return a structured logger."""
    return structlog.get_logger()
