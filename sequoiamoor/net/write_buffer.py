"""Parts of a streamed answer that its caller has not read yet."""

from __future__ import annotations

import contextlib
import socket
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import curio

from ..core.held_bytes import Holding
from ..core.read_backlogs import ReadBacklogs

PART_BYTES = 4_096
"""Size up to which pieces are joined, since an object for each event of a stream takes
more memory than the event."""


class SlowReaderError(TimeoutError):
    """An answer was ended to make room, since its caller read it most slowly."""


@dataclass(slots=True)
class _Part:
    """Bytes that wait for the caller.

    Attributes:
        since: Monotonic time in seconds at which the first of them was written.
        data: The bytes.
    """

    since: float
    data: bytearray = field(default_factory=bytearray)


class WriteBuffer:
    """Keeps what a caller does not take at once, so that the replica need not wait.

    A replica cuts off an answer that stays unread. What is kept counts as held bytes;
    without room for it, the sender waits for the caller.
    """

    def __init__(
        self,
        sock: Any,
        send: Callable[[memoryview], Awaitable[None]],
        *,
        holding: Holding,
        backlogs: ReadBacklogs[WriteBuffer],
    ) -> None:
        """Initialises an empty buffer.

        Args:
            sock: Standard socket of the caller's connection.
            send: Sends bytes to the caller, however long that takes.
            holding: Account of the bytes that are kept.
            backlogs: Answers of the process that wait for their callers.
        """
        self._sock = sock
        self._send = send
        self._holding = holding
        self._backlogs = backlogs
        self._parts: deque[_Part] = deque()
        self._task: Any = None
        self._failure: OSError | None = None

    @property
    def owner(self) -> str | None:
        """Organisation of the caller; None if it is unknown."""
        return self._holding.owner

    @property
    def size(self) -> int:
        """Number of bytes that are kept."""
        return self._holding.size

    @property
    def is_idle(self) -> bool:
        """Whether the caller has taken all that was written, without a failure."""
        return self._task is None and self._failure is None

    async def put(self, data: bytes | memoryview) -> None:
        """Keeps data until the caller takes it.

        Raises:
            OSError: If sending failed, or the answer was ended to make room.
        """
        self._check()
        if not self._holding.grow(len(data)):
            await self.flush()
            await self._send(memoryview(data))
            return
        if not self._parts or len(self._parts[-1].data) + len(data) > PART_BYTES:
            self._parts.append(_Part(time.monotonic()))
        self._parts[-1].data += data
        if self._task is None:
            self._task = await curio.spawn(self._send_parts, daemon=True)

    def _check(self) -> None:
        if self._failure is not None:
            raise self._failure

    async def _send_parts(self) -> None:
        try:
            while self._parts:
                part = self._parts.popleft()
                self._backlogs.set_oldest(self, part.since)
                await self._send(memoryview(part.data))
                self._holding.resize(max(self._holding.size - len(part.data), 0))
        except OSError as err:
            self._drop(err)
        finally:
            self._backlogs.remove(self)
            self._task = None

    def _drop(self, failure: OSError) -> None:
        if self._failure is None:
            self._failure = failure
        self._parts.clear()
        self._holding.release()
        self._backlogs.remove(self)

    async def flush(self) -> None:
        """Waits until the caller has taken everything.

        Raises:
            OSError: If sending failed, or the answer was ended to make room.
        """
        if self._task is not None:
            await self._task.wait()
        self._check()

    def end(self) -> None:
        """Frees what is kept, and ends the connection, to make room for other work.

        The caller gets no end of the answer. The task that writes it sees a closed
        connection.
        """
        self._drop(SlowReaderError("the caller read its answer too slowly"))
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    async def close(self) -> None:
        """Drops what is kept; nothing more is sent."""
        if self._task is not None:
            await self._task.cancel()
        self._drop(ConnectionAbortedError("the connection was closed"))
