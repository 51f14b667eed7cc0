"""Delivery of signals to a curio task."""

from __future__ import annotations

import signal
import socket
from types import TracebackType
from typing import Any

import curio


class SignalWatch:
    """Receives signals during a ``with`` block and restores their handlers after it."""

    def __init__(self, *numbers: signal.Signals) -> None:
        self._numbers = numbers
        self._previous_handlers: dict[signal.Signals, Any] = {}

    def __enter__(self) -> SignalWatch:
        receiver, self._sender = socket.socketpair()
        receiver.setblocking(False)
        self._sender.setblocking(False)
        self._receiver = curio.socket.fromfd(
            receiver.fileno(), receiver.family, receiver.type
        )
        receiver.close()
        self._previous_wakeup_fd = signal.set_wakeup_fd(self._sender.fileno())
        for number in self._numbers:
            self._previous_handlers[number] = signal.signal(number, lambda *_: None)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        signal.set_wakeup_fd(self._previous_wakeup_fd)
        for number, handler in self._previous_handlers.items():
            signal.signal(number, handler)
        self._sender.close()
        self._receiver._socket.close()

    async def wait(self) -> int:
        """Waits for the next signal and returns its number."""
        data: bytes = await self._receiver.recv(1)
        return data[0]
