"""Receiving with bounded memory: buffers of the kernel and of this process."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from ..core.connection_memory import (
    BODY_BUFFER_BYTES,
    HEAD_BUFFER_BYTES,
    LARGE_BODY_BYTES,
    ConnectionKind,
    ConnectionMemory,
    ReceivingRequests,
)
from .http import RECEIVE_BYTES

PIECE_BYTES = 16_384
"""Bytes that are received at a time of a body in small chunks, and in a tunnel. They
stay allocated while the connection waits for its turn."""


class _Buffer(threading.local):
    """Memory that is received into, one for each thread.

    ``recv`` allocates the largest size for each call and shrinks the result, which
    leaves holes between the results that the allocator does not give back.
    """

    def __init__(self) -> None:
        self.view = memoryview(bytearray(RECEIVE_BYTES))


_buffer = _Buffer()


def receive_arrived(sock: Any, limit: int = RECEIVE_BYTES) -> bytes | None:
    """Receives what has arrived on a non-blocking socket.

    Args:
        sock: Standard socket.
        limit: Most bytes to receive, at most ``RECEIVE_BYTES``.

    Returns:
        None if nothing has, or ``b""`` if the peer closed its side.

    Raises:
        OSError: If the connection failed.
    """
    view = _buffer.view
    try:
        count = sock.recv_into(view, limit)
    except BlockingIOError:
        return None
    return bytes(view[:count])


async def receive(sock: Any, limit: int = RECEIVE_BYTES) -> bytes:
    """Receives some bytes on a curio socket; ``b""`` if the peer closed its side.

    Raises:
        OSError: If the connection failed.
    """
    view = _buffer.view
    # No other task runs between the return and the copy.
    count = await sock.recv_into(view, limit)
    return bytes(view[:count])


async def discard(sock: Any, limit: int = RECEIVE_BYTES) -> int:
    """Receives bytes on a curio socket and drops them.

    Returns:
        Their number; 0 if the peer closed its side.

    Raises:
        OSError: If the connection failed.
    """
    count: int = await sock.recv_into(_buffer.view, limit)
    return count


def limit_receive_buffer(sock: Any, size: int = HEAD_BUFFER_BYTES) -> None:
    """Bounds what the kernel keeps of a connection until it is read.

    Set for a listening socket, it holds for a connection from its first byte. Set
    later, it does not take back what the peer was allowed to send.

    Args:
        sock: Standard socket.
        size: Size in bytes, which the kernel doubles.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        if size > HEAD_BUFFER_BYTES:
            # The small size at the start set the bound of the window.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, size)


class Receiving:
    """Memory that one connection takes while a request arrives.

    Attributes:
        has_ended: Whether the request was ended to make room for another one.
    """

    def __init__(
        self,
        sock: Any,
        memory: ConnectionMemory,
        requests: ReceivingRequests[Receiving],
        *,
        release_body: Callable[[], None],
    ) -> None:
        """Initialises the state of a connection that was just accepted.

        Args:
            sock: Standard socket of the connection.
            memory: Account of the process.
            requests: Requests that are being received by the process.
            release_body: Gives back the room of the body.
        """
        self._sock = sock
        self._memory = memory
        self._requests = requests
        self._release_body = release_body
        self._is_taken = self._has_large_buffer = False
        self.has_ended = False

    def begin(self) -> bool:
        """Takes memory for a request that has arrived in part.

        Returns:
            Whether there was any, perhaps after another request was ended.
        """
        now = time.monotonic()
        if not self._is_taken:
            while not self._memory.has_room(ConnectionKind.RECEIVING):
                if not self._end_stalled(now):
                    break
            if not self._memory.take(ConnectionKind.RECEIVING, now):
                return False
            self._is_taken = True
        self._requests.move(self, now)
        return True

    def move(self) -> None:
        """Records that bytes have arrived."""
        if self._is_taken:
            self._requests.move(self, time.monotonic())

    def set_body(self, owner: str | None, size: int) -> None:
        """Records the room that the body takes; a large one may arrive faster."""
        if not self._is_taken:
            return
        self._requests.set_body(self, owner, size)
        if size < LARGE_BODY_BYTES or self._has_large_buffer:
            return
        if self._memory.take(ConnectionKind.BUFFER, time.monotonic()):
            self._has_large_buffer = True
            limit_receive_buffer(self._sock, BODY_BUFFER_BYTES)

    def make_room(self) -> bool:
        """Ends a request that has not moved for a while; returns whether one did."""
        now = time.monotonic()
        self._memory.refused_at = now
        return self._end_stalled(now)

    def _end_stalled(self, now: float) -> bool:
        stalled = self._requests.find_stalled(now)
        if stalled is None or stalled is self:
            return False
        stalled._end_request()
        return True

    def _end_request(self) -> None:
        """Ends the request, which never ran; its task refuses it when it is woken."""
        self.has_ended = True
        self.end()
        self._release_body()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RD)

    def end(self) -> None:
        """Gives the memory back; further calls do nothing."""
        self._requests.remove(self)
        if self._has_large_buffer:
            self._has_large_buffer = False
            limit_receive_buffer(self._sock)
            self._memory.give_back(ConnectionKind.BUFFER)
        if self._is_taken:
            self._is_taken = False
            self._memory.give_back(ConnectionKind.RECEIVING)
