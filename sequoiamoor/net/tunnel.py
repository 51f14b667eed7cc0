"""Bytes of a caller's connection on their way to another router and back.

A router that hands a connection off connects to the other one, waits for its greeting,
and then passes the bytes of both sides on without reading them. Until the greeting is
there nothing of the caller was read, so it can still be served elsewhere.
"""

from __future__ import annotations

import contextlib
import enum
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

import curio

from ..core.connection_memory import BODY_BUFFER_BYTES, LARGE_BODY_BYTES
from ..timeouts import timeout_after, wait_for
from ..types import Address
from .http import (
    CALLER_SILENCE,
    UPSTREAM_SILENCE,
    disable_send_delay,
    limit_silence,
    peek,
)
from .http_client import RESET_ON_CLOSE
from .receiving import (
    PIECE_BYTES,
    discard,
    limit_receive_buffer,
    receive,
    receive_arrived,
)

_GREETING = struct.Struct("!BQ")
"""Sent by a router that takes a connection over, before anything else: the kind of the
message and the version of the configuration in force there."""

_TAKEN_OVER = 1

SEND_TIMEOUT_SECONDS = 30.0
"""Time without progress after which a send fails."""

LINGER_SECONDS = 1.0
"""Time for a caller to read its answer and close. The kernel resets a connection that
was closed with unread data or gets more, and a reset discards the answer."""


LEFT_SECONDS = 2.0
"""Time for the other router to end the request of a caller that has left."""


class TunnelEnd(enum.StrEnum):
    """How a handed-off connection ended."""

    CLOSED = "closed"
    """The other router closed it after an answer, or before a request."""
    CALLER_LEFT = "caller-left"
    UNANSWERED = "unanswered"
    """The other router ended it after bytes of a request and before any answer."""
    BROKEN = "broken"
    """The connection to the other router failed within an answer."""


def build_greeting(version: int) -> bytes:
    """Returns the greeting of a router that takes a connection over.

    Args:
        version: Version of the configuration in force there.
    """
    return _GREETING.pack(_TAKEN_OVER, version)


def create_socket(address: Address) -> Any:
    """Returns a curio socket that is not connected yet.

    Raises:
        OSError: If there are no descriptors left.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    return curio.socket.socket(family, socket.SOCK_STREAM)


async def open_tunnel(address: Address, *, version: int, timeout: float) -> Any:
    """Connects to a router that takes a connection over.

    Args:
        address: Address at which it takes connections over.
        version: Version of the configuration that must be in force there. Otherwise
            callers of one router could meet a newer one and then an older one again.
        timeout: Seconds until its greeting must be there.

    Returns:
        The curio socket, or None if the router refused, failed or was too slow.
    """
    try:
        sock = create_socket(address)
    except OSError:
        return None
    is_taken = False
    received = bytearray()
    try:
        disable_send_delay(sock._socket)
        limit_silence(sock._socket, UPSTREAM_SILENCE)
        await wait_for(timeout, _receive_greeting, sock, address, received)
        if len(received) < _GREETING.size:
            # A late event loop may notice the timer before the greeting.
            received += receive_arrived(sock._socket) or b""
        is_taken = received == build_greeting(version)
    except OSError:
        return None
    finally:
        if not is_taken:
            await sock.close()
    return sock if is_taken else None


async def _receive_greeting(sock: Any, address: Address, received: bytearray) -> None:
    await sock.connect((address.host, address.port))
    while len(received) < _GREETING.size:
        data = await sock.recv(_GREETING.size - len(received))
        if not data:
            return
        received += data


def greet(sock: Any, version: int) -> bool:
    """Tells the router at the other end of a new connection that it is taken over.

    Args:
        sock: Curio socket of the connection.
        version: Version of the configuration in force here.

    Returns:
        Whether the connection still works.
    """
    try:
        sock._socket.send(build_greeting(version))
    except OSError:
        return False
    return True


class Tunnel:
    """Passes the bytes of a caller and of the router that serves it on.

    Args:
        caller: Curio socket of the caller.
        router: Curio socket of the router that took the connection over.
        lost_refusal: Response to a request that the router left without any answer. It
            may have run.
        unsent_refusal: Response to a request that begins as the router shuts down.
        closed_refusal: Response to a request whose caller closed its side before
            anything of it was passed on.

    Attributes:
        has_request: Whether bytes of the caller were passed on.
        has_answer: Whether bytes of an answer were passed on, or of a refusal.
        is_refusing: Whether a request that begins now is refused.
        take_buffer: Takes memory for the larger receive buffer of a large body; returns
            whether there is any.
        has_large_buffer: Whether it was taken.
    """

    def __init__(
        self,
        caller: Any,
        router: Any,
        *,
        lost_refusal: bytes,
        unsent_refusal: bytes,
        closed_refusal: bytes,
    ) -> None:
        self._caller = caller
        self._router = router
        self._lost_refusal = lost_refusal
        self._unsent_refusal = unsent_refusal
        self._closed_refusal = closed_refusal
        self.is_refusing = False
        self.has_request = self.has_answer = False
        self.take_buffer: Callable[[], bool] = lambda: False
        self.has_large_buffer = False
        self._passed_bytes = 0
        self._has_caller_left = False
        # Monotonic times in seconds of the first request's first byte and of the end of
        # what the caller sends.
        self._requested_at = self._left_at = float("inf")

    def is_overdue(self, now: float, answer_timeout: float) -> bool:
        """Returns whether the other router should have answered or ended by now.

        Args:
            now: Monotonic time in seconds.
            answer_timeout: Seconds from the request to the first byte of its answer.
        """
        if now - self._left_at > LEFT_SECONDS:
            return True
        return not self.has_answer and now - self._requested_at > answer_timeout

    def end(self) -> None:
        """Ends the connection as if the other router had done so."""
        with contextlib.suppress(OSError):
            self._router._socket.shutdown(socket.SHUT_RDWR)

    async def run(self) -> TunnelEnd:
        """Passes bytes on until the router or the caller ends the connection.

        A task that is cancelled meanwhile answers a request that has no answer yet.
        """
        disable_send_delay(self._caller._socket)
        limit_silence(self._caller._socket, CALLER_SILENCE)
        sending = await curio.spawn(self._pass_requests)
        is_broken = False
        try:
            is_broken = not await self._pass_answers()
        finally:
            # What arrives before the other task ends must not begin elsewhere.
            self.is_refusing = True
            await sending.cancel()
            await self._router.close()
            end = self._find_end(is_broken)
            if end is TunnelEnd.UNANSWERED:
                self._refuse(self._lost_refusal)
            elif end is TunnelEnd.BROKEN:
                # An answer without a length must not end as a whole one.
                self._reset_on_close()
        return end

    def _refuse(self, response: bytes) -> None:
        with contextlib.suppress(OSError):
            self._caller._socket.send(response)

    def _find_end(self, is_broken: bool) -> TunnelEnd:
        if self._has_caller_left:
            return TunnelEnd.CALLER_LEFT
        if self.has_answer:
            return TunnelEnd.BROKEN if is_broken else TunnelEnd.CLOSED
        return TunnelEnd.UNANSWERED if self.has_request else TunnelEnd.CLOSED

    def _reset_on_close(self) -> None:
        with contextlib.suppress(OSError):
            self._caller._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )

    async def _pass_requests(self) -> None:
        """Passes on what the caller sends, until it closes its side."""
        try:
            while data := await receive(self._caller, PIECE_BYTES):
                self._note_size(len(data))
                if not self.has_request:
                    if (refusal := self._find_refusal()) is not None:
                        self.has_answer = True
                        self._refuse(refusal)
                        self.end()
                        return
                    self.has_request, self._requested_at = True, time.monotonic()
                try:
                    await _send(self._router, data)
                except OSError:
                    # The other direction finds out whether an answer is on its way.
                    return
        except OSError:
            pass
        # A caller that closes only its sending side may still wait for its answer.
        self._has_caller_left, self._left_at = True, time.monotonic()
        with contextlib.suppress(OSError):
            self._router._socket.shutdown(socket.SHUT_WR)

    def _note_size(self, count: int) -> None:
        """Lets a large body arrive faster if there is memory for that."""
        self._passed_bytes += count
        if not self.has_large_buffer and self._passed_bytes >= LARGE_BODY_BYTES:
            self.has_large_buffer = self.take_buffer()
            if self.has_large_buffer:
                limit_receive_buffer(self._caller._socket, BODY_BUFFER_BYTES)

    def _find_refusal(self) -> bytes | None:
        """Returns the refusal of a request that is not to begin elsewhere, if any.

        A caller that waited in the kernel while the loop was late may have left. Its
        end has to be seen before its request is passed on: the other router would
        begin it in the meantime.
        """
        if self.is_refusing:
            return self._unsent_refusal
        if peek(self._caller._socket) == b"":
            return self._closed_refusal
        return None

    async def _pass_answers(self) -> bool:
        """Passes on what the router sends; returns False if its connection failed."""
        while True:
            try:
                data = await receive(self._router, PIECE_BYTES)
            except OSError:
                return False
            if not data:
                return True
            self.has_answer = True
            try:
                await _send(self._caller, data)
            except OSError:
                self._has_caller_left = True
                return True

    async def let_read(self) -> None:
        """Lets the caller read what was sent last, although it may send more."""
        with contextlib.suppress(OSError):
            self._caller._socket.shutdown(socket.SHUT_WR)
            await wait_for(LINGER_SECONDS, self._discard_received)

    async def _discard_received(self) -> None:
        while await discard(self._caller):
            pass


async def _send(sock: Any, data: bytes) -> None:
    """Sends data, most of the time without a wait.

    Raises:
        OSError: If the connection fails or the peer does not read.
    """
    try:
        sent = sock._socket.send(data)
    except BlockingIOError:
        sent = 0
    rest = memoryview(data)[sent:]
    while rest:
        try:
            async with timeout_after(SEND_TIMEOUT_SECONDS):
                rest = rest[await sock.send(rest) :]
        except curio.TaskTimeout as err:
            raise TimeoutError("the peer reads nothing") from err
