"""Wakes a curio task from code that is not a coroutine."""

from __future__ import annotations

import contextlib
import socket

import curio


class Wakeup:
    """A flag that plain functions set and one task waits for.

    ``curio.Event.set`` is a coroutine, and the decisions that need an early flush
    run in plain functions; a socket pair wakes the task without polling.
    """

    def __init__(self) -> None:
        receiver, self._sender = socket.socketpair()
        receiver.setblocking(False)
        self._sender.setblocking(False)
        self._receiver = curio.io.Socket(receiver)
        self._is_set = False

    def set(self) -> None:
        """Wakes the task; further calls before it runs do nothing."""
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
