"""Connections of callers: limits, requests in order, refusals."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from enum import StrEnum
from typing import Any

import curio

from ..core.blackboard import Blackboard
from ..errors import (
    InternalError,
    RefusalError,
    RouterShuttingDownError,
    TooManyConnectionsError,
)
from ..metrics import Metrics
from ..net.caller import parse_call, read_request_id, send_refusal
from ..net.http import Request
from ..net.http_server import ServerConnection
from ..settings import LimitSettings
from ..types import Execution
from .calls import CallServer
from .debug import DebugPages
from .pages import Pages

_LOG = logging.getLogger(__name__)

# Connections over the limit that get a refusal at the same time. Further ones are
# closed without a response, so that refusals use a bounded number of descriptors.
MAX_EXCESS_CONNECTIONS = 64

# Fraction of the connection limit above which the router is not ready. The load
# balancer takes about two seconds to notice; the rest of the limit is for connections
# that arrive until then.
CROWDED_FRACTION = 0.8


class ConnectionEnd(StrEnum):
    """Why the connection of a caller ended."""

    ANSWERED = "answered"
    """The last answer said so, or the rest of the connection cannot be read."""
    IDLE = "idle"
    PEER_CLOSED = "peer-closed"
    LOST = "lost"
    """The connection failed."""
    REFUSED = "refused"
    """The caller sent something that cannot be followed by another request."""
    CONNECTION_LIMIT = "connection-limit"
    SHUTDOWN = "shutdown"
    FAULT = "fault"
    """An exception of this program."""


class Listener:
    """Base of the listeners: accepts connections and receives requests in order.

    A subclass serves the requests.
    """

    def __init__(
        self, board: Blackboard, metrics: Metrics, *, limits: LimitSettings
    ) -> None:
        self._board = board
        self._metrics = metrics
        self._limits = limits
        self._connections = 0
        self._detects_dead_peers = False

    @property
    def is_crowded(self) -> bool:
        """Whether so many connections are open that new ones should go elsewhere.

        The gateway then answers the load balancer that it is not ready.
        """
        return self._connections > CROWDED_FRACTION * self._limits.connections

    async def accept(self, sock: Any, peer: Any) -> None:
        """Serves one connection until it ends."""
        connection = ServerConnection(
            sock,
            header_limit=self._limits.header_bytes,
            body_limit=self._limits.body_bytes,
            send_timeout=self._limits.send_timeout,
            detects_dead_peer=self._detects_dead_peers,
        )
        self._connections += 1
        end = ConnectionEnd.FAULT
        try:
            if self._connections > self._limits.connections:
                end = ConnectionEnd.CONNECTION_LIMIT
                await self._refuse_connection(connection)
            else:
                end = await self._serve_connection(connection)
        except OSError as err:
            end = ConnectionEnd.LOST
            _LOG.debug("connection lost: %s", err)
        except curio.CancelledError:
            end = ConnectionEnd.SHUTDOWN
            # The router is shutting down: do not wait for the caller to read and close.
            await connection.close()
            raise
        finally:
            idle_seconds = time.monotonic() - connection.active_at
            try:
                await connection.close_cleanly()
            finally:
                self._connections -= 1
                self._record_end(connection, end, idle_seconds)

    def _record_end(
        self, connection: ServerConnection, end: ConnectionEnd, idle_seconds: float
    ) -> None:
        """Counts the end of a connection; logs one that cuts off its caller.

        Args:
            connection: The connection, which is closed.
            end: Why it ended.
            idle_seconds: Time since the last byte was sent or received.
        """
        self._metrics.caller_connections_ended.labels(end).inc()
        is_unanswered = connection.has_unanswered_request
        if connection.is_peer_closed or not (is_unanswered or connection.unread_bytes):
            return
        self._metrics.caller_connections_cut.labels(end).inc()
        _LOG.info(
            "connection closed with a request in it",
            extra={
                "reason": end,
                "detail": "read" if is_unanswered else "unread",
                "unread_bytes": connection.unread_bytes,
                "idle_ms": round(idle_seconds * 1000),
            },
        )

    async def _refuse_connection(self, connection: ServerConnection) -> None:
        error = TooManyConnectionsError(
            f"this router has {self._limits.connections} connections, its limit; "
            "try another one",
            retry_after=1.0,
        )
        if self._connections > self._limits.connections + MAX_EXCESS_CONNECTIONS:
            self._metrics.refusals.labels(error.code).inc()
            return
        await self._refuse(connection, error)

    async def _serve_connection(self, connection: ServerConnection) -> ConnectionEnd:
        while True:
            try:
                request = await connection.receive_request(
                    idle_timeout=self._limits.idle_timeout,
                    receive_timeout=self._limits.receive_timeout,
                )
            except RefusalError as error:
                await self._refuse(connection, error)
                return ConnectionEnd.REFUSED
            if request is None:
                if connection.is_peer_closed:
                    return ConnectionEnd.PEER_CLOSED
                return ConnectionEnd.IDLE
            try:
                await self._serve_request(connection, request)
            except Exception as err:
                if isinstance(err, OSError) and connection.has_send_failed:
                    raise
                # Without an answer, the caller could not tell this from a lost request.
                _LOG.exception("request ended by an unexpected exception")
                await self._refuse(connection, _build_internal_error())
                return ConnectionEnd.FAULT
            if not connection.start_next_cycle():
                return ConnectionEnd.ANSWERED

    async def _serve_request(
        self, connection: ServerConnection, request: Request
    ) -> None:
        raise NotImplementedError

    async def _refuse(
        self,
        connection: ServerConnection,
        error: RefusalError,
        request_id: str | None = None,
    ) -> None:
        self._metrics.refusals.labels(error.code).inc()
        if connection.can_refuse:
            await send_refusal(connection, error, request_id)


class CallListener(Listener):
    """Serves the requests of the project's own interface."""

    def __init__(
        self,
        board: Blackboard,
        calls: CallServer,
        pages: Pages,
        metrics: Metrics,
        *,
        limits: LimitSettings,
        make_call_id: Callable[[], str],
        debug: DebugPages | None = None,
    ) -> None:
        super().__init__(board, metrics, limits=limits)
        self._calls = calls
        self._pages = pages
        self._debug = debug
        self._make_call_id = make_call_id

    async def _serve_request(
        self, connection: ServerConnection, request: Request
    ) -> None:
        if request.method in ("GET", "HEAD") and request.path in self._pages:
            await self._pages.send(connection, request.path)
            return
        if self._debug is not None and request.path in self._debug:
            await self._debug.send(connection, request)
            return
        try:
            if self._board.is_leaving:
                raise RouterShuttingDownError(
                    "this router is shutting down; send the request to another one",
                    retry_after=1.0,
                )
            call = parse_call(
                request,
                self._board,
                call_id=self._make_call_id(),
                now=time.monotonic(),
            )
            self._calls.accept(call)
        except RefusalError as error:
            await self._refuse(connection, error, read_request_id(request))
            return
        await self._calls.serve(connection, call)


def _build_internal_error() -> InternalError:
    return InternalError(
        "an internal error of the router ended the request; see its log",
        execution=Execution.MAY_HAVE_RUN,
    )
