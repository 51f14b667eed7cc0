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

# The beginning of tcp_info: eight bytes, of which the fourth counts the probes of a
# closed window that were not answered, and then four words before the one with the
# segments that were sent and not acknowledged.
_TCP_INFO = struct.Struct("=8B5I")
_PROBES_INDEX = 3
_UNACKNOWLEDGED_INDEX = 12

MAX_UNANSWERED_PROBES = 1
"""Probes without an answer with which a window counts as closed by a peer that is
there: the answer to one may be on its way."""


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


def is_window_closed(sock: Any) -> bool:
    """Returns whether the peer acknowledges all that is sent and has no room for more.

    Its process reads nothing then, and its kernel answers for it. What waits here to be
    sent is no sign that the peer is gone.
    """
    try:
        answer = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    except OSError:
        return False
    if len(answer) < _TCP_INFO.size:
        return False
    fields = _TCP_INFO.unpack(answer)
    return (
        bool(count_unacknowledged(sock))
        and not fields[_UNACKNOWLEDGED_INDEX]
        and fields[_PROBES_INDEX] <= MAX_UNANSWERED_PROBES
    )


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
