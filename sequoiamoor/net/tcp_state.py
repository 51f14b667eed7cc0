"""What the kernel tells of a TCP connection on Linux."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import Any

_TCP_ESTABLISHED = 1
_TCP_CLOSE = 7
_STATE_BYTES = 1


def count_unacknowledged(sock: Any) -> int | None:
    """Returns the sent bytes that the peer's kernel has not acknowledged.

    Bytes that wait in this kernel count too.

    Returns:
        None if the kernel does not tell.
    """
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except (OSError, ValueError):
        return None
    return int(struct.unpack("i", answer)[0])


def has_ended(sock: Any) -> bool:
    """Returns whether the connection has ended for the kernel.

    Closing its socket sends nothing then, no reset either. A connection that the peer
    alone has closed has not ended.
    """
    return _read_state(sock) == _TCP_CLOSE


def is_established(sock: Any) -> bool:
    """Returns whether no side has closed the connection, as far as the kernel knows."""
    return _read_state(sock) == _TCP_ESTABLISHED


def _read_state(sock: Any) -> int | None:
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _STATE_BYTES)
    except OSError:
        return None
    return int(state[0])
