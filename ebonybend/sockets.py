"""Socket options that detect an unresponsive peer, and that end listening."""

from ctypes import addressof, create_string_buffer
from math import ceil
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
    socket,
)
from struct import pack
from typing import Any

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
# Fewest probes without an answer after which a connection is closed.
KEEPALIVE_PROBES = 2
MS_PER_S = 1000
# Of <linux/socket.h>, which Python doesn't define.
SO_ATTACH_FILTER = 26
# Classic BPF instructions: code, jump if true, jump if false, operand.
DROP_SYN_FILTER = (
    # Load the flags of the TCP header.
    (0x30, 0, 0, 13),
    # Drop the packet if it opens a connection, and keep all others.
    (0x45, 0, 1, 0x02),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFFFFFF),
)
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
    set_unacknowledged_timeout(transport, unacknowledged_ms)


def set_unacknowledged_timeout(transport: Any, unacknowledged_ms: int) -> None:
    """Set the time for which a peer may acknowledge nothing."""
    tcp_socket = transport.getHandle()
    # Unanswered probes close the connection too.
    probes = ceil(unacknowledged_ms / MS_PER_S / KEEPALIVE_INTERVAL_S)
    tcp_socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, max(probes, KEEPALIVE_PROBES))
    tcp_socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms)


def drop_new_connections(listening: socket) -> None:
    """Ignore the packets that open connections to a listening socket.

    Connections that are being opened are not affected. Clients try again, and are
    refused once the socket is closed. Raises OSError where that isn't supported.
    """
    instructions = b"".join(pack("HBBI", *step) for step in DROP_SYN_FILTER)
    buffer = create_string_buffer(instructions)
    program = pack("HP", len(DROP_SYN_FILTER), addressof(buffer))
    listening.setsockopt(SOL_SOCKET, SO_ATTACH_FILTER, program)
