"""Options of sockets."""

from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
)
from typing import Any

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Unacknowledged bytes end a connection after this time.
UNACKNOWLEDGED_TIMEOUT_MS = 2000


def detect_silence(
    transport: Any, unacknowledged_ms: int = UNACKNOWLEDGED_TIMEOUT_MS
) -> None:
    """Let the kernel end a connection whose other side no longer answers."""
    handle = transport.getHandle()
    handle.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    handle.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
    handle.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms)
