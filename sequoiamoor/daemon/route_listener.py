"""Connections of callers that send requests on routes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from ..core.blackboard import Blackboard
from ..declaration import Declaration
from ..errors import RefusalError
from ..metrics import Metrics
from ..net.http import Request
from ..net.http_server import RequestLimits, ServerConnection
from ..net.write_buffer import WriteBuffer
from ..settings import LimitSettings
from .forwarder import Forwarder
from .listener import Listener
from .slow_readers import SlowReaders


class RouteListener(Listener):
    """Serves connections of callers, with the limits of the configuration.

    Attributes:
        base_limits: Limits of the settings, used where the configuration sets none.
        slow_readers: Streams that are read ahead of their callers; None lets replicas
            wait for them.
    """

    def __init__(
        self,
        board: Blackboard,
        forwarder: Forwarder,
        metrics: Metrics,
        *,
        limits: LimitSettings,
    ) -> None:
        super().__init__(board, metrics, limits=limits)
        self.base_limits = limits
        self.slow_readers: SlowReaders | None = None
        self._forwarder = forwarder
        self._detects_dead_peers = True
        self._limits_source: tuple[Declaration | None, LimitSettings] | None = None

    async def accept(
        self, sock: Any, peer: Any, *, is_handed_off: bool = False
    ) -> None:
        """Serves one connection until it ends."""
        self._apply_limits()
        await super().accept(sock, peer, is_handed_off=is_handed_off)

    def _find_limits(self) -> RequestLimits:
        self._apply_limits()
        is_configured = self._board.configuration.declaration is not None
        return replace(super()._find_limits(), are_known=is_configured)

    def _apply_limits(self) -> None:
        declaration = self._board.configuration.declaration
        source = self._limits_source
        if (
            source is not None
            and source[0] is declaration
            and source[1] is self.base_limits
        ):
            return
        self._limits_source = (declaration, self.base_limits)
        if declaration is None:
            self._limits = self.base_limits
            return
        limits = declaration.limits
        self._limits = self.base_limits.model_copy(
            update={
                "header_bytes": limits.header_bytes,
                "body_bytes": limits.body_bytes,
                "receive_timeout": limits.header_ms / 1000,
                "idle_timeout": limits.idle_ms / 1000,
            }
        )

    def _prepare(self, connection: ServerConnection) -> None:
        slow_readers = self.slow_readers
        if slow_readers is None:
            return

        def create_buffer(
            sock: Any, send: Callable[[memoryview], Awaitable[None]]
        ) -> WriteBuffer:
            organisation = self._served.find_organisation(connection)
            return slow_readers.create_buffer(sock, send, organisation=organisation)

        connection.create_write_buffer = create_buffer

    def _find_organisation(self, request: Request) -> str | None:
        return self._forwarder.find_organisation(request)

    async def _answer_request(
        self, connection: ServerConnection, request: Request
    ) -> None:
        await self._forwarder.serve(connection, request)

    async def _refuse(
        self,
        connection: ServerConnection,
        error: RefusalError,
        request_id: str | None = None,
    ) -> None:
        await self._forwarder.refuse(connection, error, request_id)
