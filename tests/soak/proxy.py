"""A loopback proxy that delays, blocks or resets connections."""

from __future__ import annotations

import enum
import socket
from collections.abc import Callable
from typing import Any

import curio

from sequoiamoor.net.http_client import RESET_ON_CLOSE
from sequoiamoor.standin.processes import reserve_port
from sequoiamoor.types import Address

from .addresses import find_own_host
from .server import Server

CHUNK_BYTES = 65_536


class LinkState(enum.Enum):
    """Which directions of a proxied link pass data."""

    OPEN = "open"
    BLOCKED = "silent"
    """Nothing passes; data sent meanwhile passes when the link opens again."""
    ANSWERS_BLOCKED = "silent back"
    """Requests pass, answers do not."""


class Proxy:
    """Forwards connections to one target.

    Attributes:
        state: Which directions pass data now.
        delay: Delay of each chunk in seconds.
        address: Address on which the proxy listens.
    """

    def __init__(self, find_target: Callable[[], Address]) -> None:
        self._find_target = find_target
        self._connections: dict[Any, tuple[Any, Any]] = {}
        self._server: Server | None = None
        self._reservation: Any = None
        self._changed = curio.Condition()
        self.state = LinkState.OPEN
        self.delay = 0.0
        self.address = Address(find_own_host(), 0)

    async def listen(self) -> Address:
        """Listens on a free port, later on the same one, and returns the address."""
        if self._reservation is None:
            self._reservation = reserve_port(self.address.host)
            self.address = Address(*self._reservation.getsockname()[:2])
        if self._server is None:
            sock = curio.network.tcp_server_socket(self.address.host, self.address.port)
            self._server = Server(sock, self._serve)
            await self._server.start()
        return self.address

    async def close(self) -> None:
        """Resets all connections and refuses new ones, like a process that ended."""
        server, self._server = self._server, None
        if server is not None:
            await server.close()
        await self.reset_all()

    async def set_state(self, state: LinkState) -> None:
        """Changes which directions pass data."""
        self.state = state
        async with self._changed:
            await self._changed.notify_all()

    async def _serve(self, sock: Any, peer: Any) -> None:
        target = self._find_target()
        await self._wait_open(is_answer=False)
        upstream = None
        try:
            upstream = await curio.open_connection(target.host, target.port)
            self._connections[sock] = (await curio.current_task(), upstream)
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(self._pump, sock, upstream, False)
                await tasks.spawn(self._pump, upstream, sock, True)
        except OSError:
            _reset_on_close(sock)
        except curio.CancelledError:
            _reset_on_close(sock)
            _reset_on_close(upstream)
            raise
        finally:
            self._connections.pop(sock, None)
            await sock.close()
            if upstream is not None:
                await upstream.close()

    async def _wait_open(self, *, is_answer: bool) -> None:
        while self.state is LinkState.BLOCKED or (
            is_answer and self.state is LinkState.ANSWERS_BLOCKED
        ):
            async with self._changed:
                await self._changed.wait()

    async def _pump(self, source: Any, destination: Any, is_answer: bool) -> None:
        try:
            while data := await source.recv(CHUNK_BYTES):
                if self.delay:
                    await curio.sleep(self.delay)
                await self._wait_open(is_answer=is_answer)
                await destination.sendall(data)
        except OSError:
            _reset_on_close(destination)

    async def reset_all(self) -> None:
        """Resets all open connections."""
        for task, _ in list(self._connections.values()):
            await task.cancel(blocking=False)


def _reset_on_close(sock: Any) -> None:
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
