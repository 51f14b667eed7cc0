"""Wake-up of a curio task from plain functions."""

from __future__ import annotations

import contextlib
import socket

import curio


class Wakeup:
    """A flag that plain functions set and for which one task waits.

    ``curio.Event.set`` is a coroutine, but the decisions that need an early flush run
    in plain functions. A socket pair wakes the task without polling.
    """

    def __init__(self) -> None:
        receiver, self._sender = socket.socketpair()
        receiver.setblocking(False)
        self._sender.setblocking(False)
        self._receiver = curio.io.Socket(receiver)
        self._is_set = False

    def set(self) -> None:
        """Wakes the task; further calls before it runs have no effect."""
        if not self._is_set:
            self._is_set = True
            with contextlib.suppress(BlockingIOError):
                self._sender.send(b"\0")

    async def wait(self) -> None:
        """Waits until the flag is set and clears it."""
        await self._receiver.recv(64)
        self._is_set = False

    async def close(self) -> None:
        """Closes the socket pair."""
        self._sender.close()
        await self._receiver.close()
