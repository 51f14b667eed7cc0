"""A server whose end cannot wait for a connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio

Serve = Callable[[Any, Any], Awaitable[None]]


class Server:
    """Serves each connection in a task of its own.

    ``curio.network.run_server`` goes on with a connection that arrives in the pass of
    the event loop in which it is cancelled, and ends only after that connection.

    Args:
        sock: Socket that listens.
        serve: Serves one connection, given its socket and the peer's address.
    """

    def __init__(self, sock: Any, serve: Serve) -> None:
        self._sock = sock
        self._serve = serve
        self._accepting: Any = None
        self._connections: set[Any] = set()

    async def start(self) -> None:
        """Starts to accept connections."""
        self._accepting = await curio.spawn(self._accept, daemon=True)

    async def close(self) -> None:
        """Refuses new connections and cancels the tasks of the others."""
        await self._accepting.cancel()

    async def _accept(self) -> None:
        try:
            async with self._sock:
                while True:
                    connection, peer = await self._sock.accept()
                    task = await curio.spawn(self._run, connection, peer, daemon=True)
                    self._connections.add(task)
        finally:
            # Also at the end of the event loop, which knows no tasks of its last pass.
            tasks = list(self._connections)
            for task in tasks:
                await task.cancel(blocking=False)
            for task in tasks:
                await task.wait()

    async def _run(self, connection: Any, peer: Any) -> None:
        try:
            async with connection:
                await self._serve(connection, peer)
        finally:
            self._connections.discard(await curio.current_task())
