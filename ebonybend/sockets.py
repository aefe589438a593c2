"""Socket options that detect an unresponsive peer."""

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
# A connection is closed if sent bytes stay unacknowledged for this time.
UNACKNOWLEDGED_TIMEOUT_MS = 2000


def enable_dead_peer_detection(
    transport: Any, unacknowledged_ms: int = UNACKNOWLEDGED_TIMEOUT_MS
) -> None:
    """Let the kernel close a connection whose peer no longer acknowledges packets."""
    tcp_socket = transport.getHandle()
    tcp_socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    tcp_socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    tcp_socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
    tcp_socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms)
