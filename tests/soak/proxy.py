"""A loopback proxy that delays, silences, cuts one way or resets connections."""

from __future__ import annotations

import enum
import socket
from collections.abc import Callable
from typing import Any

import curio

from sequoiamoor.net.http_client import RESET_ON_CLOSE
from sequoiamoor.types import Address

CHUNK_BYTES = 65_536


class LinkState(enum.Enum):
    """What a proxy does with the bytes that it takes."""

    OPEN = "open"
    SILENT = "silent"
    """Nothing passes; what was sent meanwhile passes when the link opens again."""
    SILENT_BACK = "silent back"
    """Requests pass, answers do not."""


class Proxy:
    """Forwards connections to one target.

    Attributes:
        delay: Seconds by which each piece is held up.
        state: What passes at present.
    """

    def __init__(self, find_target: Callable[[], Address]) -> None:
        self._find_target = find_target
        self._pairs: dict[Any, tuple[Any, Any]] = {}
        self._server: Any = None
        self._changed = curio.Condition()
        self.state = LinkState.OPEN
        self.delay = 0.0
        self.address = Address("127.0.0.1", 0)

    async def listen(self) -> Address:
        """Listens on a free port and returns the address."""
        sock = curio.network.tcp_server_socket("127.0.0.1", 0)
        self.address = Address(*sock.getsockname()[:2])
        self._server = await curio.spawn(
            curio.network.run_server, sock, self._serve, daemon=True
        )
        return self.address

    async def set_state(self, state: LinkState) -> None:
        """Changes what passes."""
        self.state = state
        async with self._changed:
            await self._changed.notify_all()

    async def _serve(self, sock: Any, peer: Any) -> None:
        target = self._find_target()
        await self._wait_open(is_answer=False)
        upstream = None
        try:
            upstream = await curio.open_connection(target.host, target.port)
            self._pairs[sock] = (await curio.current_task(), upstream)
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(self._pump, sock, upstream, False)
                await tasks.spawn(self._pump, upstream, sock, True)
        except OSError:
            _set_reset(sock)
        except curio.CancelledError:
            _set_reset(sock)
            _set_reset(upstream)
            raise
        finally:
            self._pairs.pop(sock, None)
            await sock.close()
            if upstream is not None:
                await upstream.close()

    async def _wait_open(self, *, is_answer: bool) -> None:
        while self.state is LinkState.SILENT or (
            is_answer and self.state is LinkState.SILENT_BACK
        ):
            async with self._changed:
                await self._changed.wait()

    async def _pump(self, source: Any, sink: Any, is_answer: bool) -> None:
        try:
            while data := await source.recv(CHUNK_BYTES):
                if self.delay:
                    await curio.sleep(self.delay)
                await self._wait_open(is_answer=is_answer)
                await sink.sendall(data)
        except OSError:
            _set_reset(sink)

    async def reset_all(self) -> None:
        """Resets all connections."""
        for task, _ in list(self._pairs.values()):
            await task.cancel(blocking=False)


def _set_reset(sock: Any) -> None:
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
