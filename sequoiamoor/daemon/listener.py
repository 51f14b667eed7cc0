"""Connections of callers: limits, requests in order, refusals."""

from __future__ import annotations

import contextlib
import itertools
import logging
import time
from collections.abc import Callable
from enum import StrEnum
from typing import Any

import curio

from ..core.blackboard import Blackboard
from ..core.connection_memory import ConnectionKind, ReceivingRequests
from ..core.connections import CallerConnections
from ..core.descriptors import REFUSALS
from ..core.held_bytes import HeldKind, Holding
from ..errors import (
    InternalError,
    NoRoomError,
    RefusalError,
    RouterShuttingDownError,
    TooManyConnectionsError,
)
from ..metrics import Metrics
from ..net import refusal_lane
from ..net.caller import parse_call, read_request_id, send_refusal
from ..net.http import Request
from ..net.http_server import RequestLimits, ServerConnection
from ..net.receiving import Receiving
from ..settings import LimitSettings
from ..timeouts import STRAY_TIMEOUTS, wait_for
from ..types import Execution
from .calls import CallServer
from .debug import DebugPages
from .flood_log import FloodLog
from .pages import Pages
from .request_turns import RequestTurns

_LOG = logging.getLogger(__name__)

MIN_IDLE_SECONDS = 2.0
"""Time after its last answer for which a connection is not closed to make room: its
caller may be about to send the next request and would not learn if it was read."""

MIN_DISPLACEMENT_INTERVAL_SECONDS = 0.01
"""Shortest time between two connections that are closed to make room. A flood of new
connections is refused otherwise, which takes a fraction of the time of a request."""

MAX_EXAMINED_CONNECTIONS = 16
"""Idle connections that are examined to make room for a new one. On some of them the
next request may have begun to arrive."""

SCARCITY_SECONDS = 1.0
"""Time after a refused connection in which those of an organisation that holds more
than its share end with their next answer."""

REFUSAL_LOG_INTERVAL_SECONDS = 1.0
"""Shortest time between two lines about connections over the limit."""

READ_CHECK_INTERVAL_SECONDS = 0.01

SHUTDOWN_REFUSAL_SECONDS = 0.1
"""Longest time for the refusal of a request that a shutdown ends."""

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
    DISPLACED = "displaced"
    """It was idle and made room for another one."""
    SHUTDOWN = "shutdown"
    FAULT = "fault"
    """An exception of this program."""


class Listener:
    """Base of the listeners: accepts connections and receives requests in order.

    A subclass serves the requests.

    Attributes:
        refusal_connections: Connections over the limit that are refused, or closed to
            make room, at a time. When there are as many, no further one is accepted
            until one of them ends.
        turns: Bounds the requests that begin in one pass of the event loop.
        count_handed_off: Returns the places that callers' connections take which other
            routers serve.
        ends_after_response: Whether a connection ends with its next answer, so that
            another router can serve the caller's next request.
    """

    def __init__(
        self, board: Blackboard, metrics: Metrics, *, limits: LimitSettings
    ) -> None:
        self._board = board
        self._metrics = metrics
        self._limits = limits
        self._connections = 0
        self._receiving: ReceivingRequests[Receiving] = ReceivingRequests()
        self._flood_log = FloodLog(board)
        self._served: CallerConnections[ServerConnection] = CallerConnections()
        self.refusal_connections = REFUSALS
        self._refused_since_log = 0
        self._refusals_logged_at = self._refused_at = float("-inf")
        self._displaced_at = float("-inf")
        self._detects_dead_peers = False
        self.turns = RequestTurns()
        self.count_handed_off: Callable[[], int] = lambda: 0
        self.ends_after_response: Callable[[], bool] = lambda: False

    @property
    def is_crowded(self) -> bool:
        """Whether so many connections are open that new ones should go elsewhere.

        The gateway then answers the load balancer that it is not ready.
        """
        connections = self._connections + self.count_handed_off()
        return connections > CROWDED_FRACTION * self._limits.connections

    @property
    def connection_limit(self) -> int:
        """Connections that may be open at a time, with those that are refused."""
        return self._limits.connections + self.refusal_connections

    @property
    def served_connections(self) -> int:
        """Connections that are served."""
        return len(self._served)

    @property
    def excess_connections(self) -> int:
        """Connections that are refused, or that are closed to make room."""
        return self._connections - len(self._served)

    async def wait_until_read(self, seconds: float) -> None:
        """Waits until nothing lies unread in sockets and no request waits for a pass.

        Args:
            seconds: Longest time to wait.
        """
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at and (
            len(self.turns) or any(connection.has_unread for connection in self._served)
        ):
            await curio.sleep(READ_CHECK_INTERVAL_SECONDS)

    async def accept(
        self, sock: Any, peer: Any, *, is_handed_off: bool = False
    ) -> None:
        """Serves one connection until it ends, or refuses it.

        Args:
            sock: Curio socket of the connection.
            peer: Address of its other end.
            is_handed_off: Whether another router passes it on. It then ends with its
                first answer, so that neither router has to tell a caller that is idle
                from one in service when it leaves.
        """
        self._connections += 1
        try:
            if self._make_room():
                await self._accept_served(sock, is_handed_off=is_handed_off)
            else:
                await self._refuse_connection(sock)
        except OSError as err:
            _LOG.debug("connection lost: %s", err)
        finally:
            self._connections -= 1

    def _make_room(self) -> bool:
        """Returns whether a connection can be served, after closing an idle one if not.

        A connection on which a request has begun to arrive is never closed.
        """
        if not self.is_full:
            return True
        now = time.monotonic()
        if now - self._displaced_at < MIN_DISPLACEMENT_INTERVAL_SECONDS:
            return False
        idle = self._served.list_idle(now - MIN_IDLE_SECONDS)
        examined = itertools.islice(idle, MAX_EXAMINED_CONNECTIONS)
        for connection in list(examined):
            if connection.is_idle:
                connection.end_idle()
                self._served.remove(connection)
                self._displaced_at = now
                self._metrics.connections_displaced.inc()
                return True
        return False

    @property
    def is_full(self) -> bool:
        """Whether no further connection can be served without closing another one."""
        taken = len(self._served) + self.count_handed_off()
        if taken >= self._limits.connections:
            return True
        return not self._board.connection_memory.has_room(ConnectionKind.OPEN)

    @property
    def _is_scarce(self) -> bool:
        """Whether connections were refused a moment ago for lack of room."""
        return time.monotonic() - self._refused_at < SCARCITY_SECONDS

    async def _accept_served(self, sock: Any, *, is_handed_off: bool) -> None:
        connection = ServerConnection(
            sock,
            header_limit=self._limits.header_bytes,
            body_limit=self._limits.body_bytes,
            send_timeout=self._limits.send_timeout,
            detects_dead_peer=self._detects_dead_peers,
            open_holding=self._open_holding,
            find_limits=self._find_limits,
            create_receiving=self._create_receiving,
        )
        self._board.connection_memory.add(ConnectionKind.OPEN)
        self._prepare(connection)
        connection.closes_after_response = is_handed_off
        self._served.add(connection)
        end = ConnectionEnd.FAULT
        try:
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
            # While its caller reads the rest, the connection takes no one's room.
            self._served.remove(connection)
            try:
                await connection.close_cleanly()
            finally:
                self._board.connection_memory.give_back(ConnectionKind.OPEN)
                self._record_end(connection, end, idle_seconds)

    def _record_end(
        self, connection: ServerConnection, end: ConnectionEnd, idle_seconds: float
    ) -> None:
        """Counts the end of a connection; logs one that cuts off its caller.

        A caller that closed the connection itself was not cut off, unlike one whose
        connection failed.

        Args:
            connection: The connection, which is closed.
            end: Why it ended.
            idle_seconds: Time since the last byte was sent or received.
        """
        self._metrics.caller_connections_ended.labels(end).inc()
        if connection.failure_name is not None:
            self._metrics.caller_connections_failed.labels(
                connection.failure_name
            ).inc()
        elif end is ConnectionEnd.PEER_CLOSED or (
            connection.is_peer_closed and end is not ConnectionEnd.DISPLACED
        ):
            return
        if connection.has_unanswered_request:
            detail = "read"
        elif connection.unread_bytes:
            detail = "unread"
        elif connection.discarded_bytes:
            detail = "discarded"
        else:
            return
        self._metrics.caller_connections_cut.labels(end).inc()
        if end is ConnectionEnd.REFUSED and not self._flood_log.may_log_cut():
            return
        _LOG.info(
            "connection closed with a request in it",
            extra={
                "reason": end,
                "detail": detail,
                "error": connection.failure_name,
                "unread_bytes": connection.unread_bytes + connection.discarded_bytes,
                "idle_ms": round(idle_seconds * 1000),
            },
        )

    def refuse_at_once(self, sock: Any) -> bool:
        """Refuses a connection over the limit whose request has arrived.

        A flood would otherwise wait in the kernel's queue for one of the few
        connections that may be refused at a time.

        Args:
            sock: Socket of the connection.

        Returns:
            Whether the connection was refused.
        """
        if self._make_room():
            return False
        error = self._build_refusal()
        if not refusal_lane.refuse_at_once(sock, refusal_lane.build_response(error)):
            return False
        self._record_refusal(error)
        return True

    async def _refuse_connection(self, sock: Any) -> None:
        error = self._build_refusal()
        self._record_refusal(error)
        await refusal_lane.refuse(sock, refusal_lane.build_response(error))

    def _record_refusal(self, error: TooManyConnectionsError) -> None:
        self._metrics.refusals.labels(error.code).inc()
        self._metrics.caller_connections_ended.labels(
            ConnectionEnd.CONNECTION_LIMIT
        ).inc()
        self._refused_since_log += 1
        self._refused_at = now = time.monotonic()
        if now - self._refusals_logged_at >= REFUSAL_LOG_INTERVAL_SECONDS:
            _LOG.warning(
                "connections refused at the limit",
                extra={
                    "reason": error.code,
                    "detail": f"{self._refused_since_log} since the last such line; "
                    f"{error}",
                },
            )
            self._refusals_logged_at, self._refused_since_log = now, 0

    def _build_refusal(self) -> TooManyConnectionsError:
        if not self._board.connection_memory.has_room(ConnectionKind.OPEN):
            return TooManyConnectionsError(
                f"this router has no memory for more than {len(self._served)} "
                "connections now; try another one",
                retry_after=1.0,
            )
        return TooManyConnectionsError(
            f"this router has {self._limits.connections} connections, its limit; "
            "try another one",
            retry_after=1.0,
        )

    async def _serve_connection(self, connection: ServerConnection) -> ConnectionEnd:
        has_failed_idle = False
        while True:
            end: ConnectionEnd | None
            try:
                end = await self._serve_next(connection)
                has_failed_idle = False
            except (Exception, *STRAY_TIMEOUTS) as err:
                if isinstance(err, OSError) and connection.failure is not None:
                    raise
                _LOG.exception("request ended by an unexpected exception")
                if _is_without_request(connection) and not has_failed_idle:
                    has_failed_idle = True
                    continue
                end = await self._end_after_fault(connection)
            if end is not None:
                return end

    async def _serve_next(self, connection: ServerConnection) -> ConnectionEnd | None:
        """Serves the next request; returns why the connection ends if it does."""
        try:
            request = await connection.receive_request(
                idle_timeout=self._limits.idle_timeout,
                receive_timeout=self._limits.receive_timeout,
            )
        except RefusalError as err:
            # Its frames hold what was received. As this one refers to the error, they
            # would stay until a garbage collection, which is rare here.
            err.__traceback__ = None
            # A displaced connection is not read for long.
            is_displaced = self._is_displaced(connection)
            error = self._build_refusal() if is_displaced else err
            if isinstance(error, NoRoomError):
                self._flood_log.note_refusal()
            await self._refuse(connection, error)
            return ConnectionEnd.REFUSED
        if request is None:
            if self._is_displaced(connection):
                return ConnectionEnd.DISPLACED
            if connection.is_peer_closed:
                return ConnectionEnd.PEER_CLOSED
            return ConnectionEnd.IDLE
        await self._serve_request(connection, request)
        if _find_end(connection) is ConnectionEnd.FAULT:
            _LOG.error("request ended without an answer")
            return await self._end_after_fault(connection)
        return None if connection.start_next_cycle() else _find_end(connection)

    async def _end_after_fault(
        self, connection: ServerConnection
    ) -> ConnectionEnd | None:
        """Answers a request that a fault ended.

        Without an answer, the caller could not tell this from a lost request. If its
        answer was sent whole and did not say that the connection ends, the next request
        may be on its way, so the connection goes on.

        Returns:
            Why the connection ends; None if it goes on.
        """
        if connection.is_response_begun:
            return None if connection.start_next_cycle() else ConnectionEnd.FAULT
        if _is_without_request(connection):
            return ConnectionEnd.FAULT
        may_have_run = connection.has_unanswered_request
        error = _build_internal_error(may_have_run=may_have_run)
        connection.discard_response()
        connection.closes_after_response = True
        try:
            await self._refuse(connection, error)
        except (Exception, *STRAY_TIMEOUTS):
            if connection.is_response_begun or connection.failure is not None:
                raise
            _LOG.exception("refusal failed; sending a plain one")
            connection.discard_response()
            await send_refusal(connection, error, None)
        return ConnectionEnd.FAULT

    def _find_limits(self) -> RequestLimits:
        """Returns the limits of a request that begins now."""
        limits = self._limits
        return RequestLimits(
            limits.header_bytes, limits.body_bytes, limits.receive_timeout
        )

    def _open_holding(self, request: Request) -> Holding:
        """Returns the account of a body, which its organisation owns."""
        owner = self._find_organisation(request)
        return Holding(self._board.held_bytes, HeldKind.REQUEST, owner)

    def _create_receiving(
        self, sock: Any, release_body: Callable[[], None]
    ) -> Receiving:
        """Returns the account of the requests of a connection that arrive in parts."""
        memory = self._board.connection_memory
        return Receiving(sock, memory, self._receiving, release_body=release_body)

    def _prepare(self, connection: ServerConnection) -> None:
        """Sets what a subclass needs on a new connection."""

    def _is_displaced(self, connection: ServerConnection) -> bool:
        """Returns whether a connection was closed to make room for another one."""
        return connection not in self._served

    async def _serve_request(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Serves a request, or refuses one that holds a connection others need."""
        if self._is_displaced(connection):
            # The request was on its way.
            connection.closes_after_response = True
            await self._refuse(connection, self._build_refusal())
            return
        self._served.start_request(connection)
        is_begun = False
        try:
            if self._served.find_organisation(connection) is None:
                organisation = self._find_organisation(request)
                if organisation is not None:
                    self._served.set_organisation(connection, organisation)
            await self.turns.wait(self._served.find_organisation(connection))
            limit = self._limits.connections
            if self.ends_after_response():
                connection.closes_after_response = True
            if self._is_scarce:
                if not self._served.has_spare_share(connection, limit):
                    connection.closes_after_response = True
                if not self._served.may_serve(connection, limit):
                    await self._refuse(connection, self._build_refusal())
                    return
            self._served.start_service(connection)
            is_begun = True
            await self._answer_request(connection, request)
        except curio.CancelledError as err:
            if (
                not isinstance(err, STRAY_TIMEOUTS)
                and connection.has_unanswered_request
            ):
                connection.closes_after_response = True
                error = _build_shutdown_error(may_have_run=is_begun)
                with contextlib.suppress(OSError):
                    await wait_for(
                        SHUTDOWN_REFUSAL_SECONDS, self._refuse, connection, error
                    )
            raise
        finally:
            self._served.end_request(connection, time.monotonic())

    def _find_organisation(self, request: Request) -> str | None:
        """Returns the organisation that a request names; None if it is unknown."""
        raise NotImplementedError

    async def _answer_request(
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

    def _find_organisation(self, request: Request) -> str | None:
        name = request.headers.get("x-organisation")
        declaration = self._board.configuration.declaration
        is_known = declaration is not None and name in declaration.organisations
        return name if is_known else None

    async def _answer_request(
        self, connection: ServerConnection, request: Request
    ) -> None:
        if request.method in ("GET", "HEAD") and request.path in self._pages:
            await self._pages.send(connection, request.path, request.query)
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
                now=connection.active_at,
            )
            self._calls.accept(call)
        except RefusalError as error:
            await self._refuse(connection, error, read_request_id(request))
            return
        await self._calls.serve(connection, call)


def _is_without_request(connection: ServerConnection) -> bool:
    """Returns whether no request is being received, served or answered."""
    return connection.is_idle and not (
        connection.has_unanswered_request or connection.is_response_begun
    )


def _find_end(connection: ServerConnection) -> ConnectionEnd:
    """Returns why a connection ends after a request of it was served."""
    has_left = connection.is_peer_closed or connection.is_left_unanswered
    # Looking at the socket may have told that the connection failed.
    if connection.failure is not None:
        return ConnectionEnd.LOST
    if has_left:
        return ConnectionEnd.PEER_CLOSED
    is_unanswered = connection.has_unanswered_request
    return ConnectionEnd.FAULT if is_unanswered else ConnectionEnd.ANSWERED


def _build_shutdown_error(*, may_have_run: bool) -> RefusalError:
    if may_have_run:
        return InternalError(
            "this router shut down before the request was answered; if it may be "
            "repeated, send it to another one",
            execution=Execution.MAY_HAVE_RUN,
        )
    return RouterShuttingDownError(
        "this router shut down before the request could start; send it to another one",
        retry_after=0.0,
    )


def _build_internal_error(*, may_have_run: bool) -> InternalError:
    return InternalError(
        "an internal error of the router ended the request; see its log",
        execution=Execution.MAY_HAVE_RUN if may_have_run else None,
    )
