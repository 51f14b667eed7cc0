"""One attempt of a request on a route at one replica."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio
import h11

from ..core.routed import Fields, RoutedCall
from ..core.upstreams import Replica
from ..errors import (
    AnswerIncompleteError,
    AnswerMismatchError,
    RefusalError,
    UpstreamFailedError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)
from ..metrics import Metrics
from ..types import RouteKind
from .events import EventOrder, Events
from .exchange import END_WAIT_SECONDS, ConnectionPool
from .formats import UpstreamFormat
from .http import Response
from .http_client import ClientConnection

# Answers for other requests that may come before the own one.
FOREIGN_ANSWERS_LIMIT = 2
# A stream that may go on elsewhere is late after one pause; callers leave after eight
# pauses or two seconds.
PAUSES_LIMIT = 4.0
# An answer that takes this many targets is late; another replica may still give one.
TARGETS_LIMIT = 4.0
LEAST_SILENCE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer of a replica."""

    status: int
    fields: Fields
    body: bytes

    @property
    def is_failure(self) -> bool:
        """Whether the replica failed and another one may do better."""
        return self.status >= 500


@dataclass(frozen=True, slots=True)
class StreamHead:
    """Status and header fields of a stream."""

    status: int
    fields: Fields


SendEvents = Callable[[StreamHead, Events], Awaitable[None]]


class ForwardAttempt:
    """Sends a request to a replica and receives its answer.

    Attributes:
        is_sent: Whether a byte of the request was handed to the kernel.
        is_answered: Whether the head of the answer arrived.
    """

    def __init__(
        self,
        call: RoutedCall,
        replica: Replica,
        *,
        wire: UpstreamFormat,
        pool: ConnectionPool,
        metrics: Metrics,
    ) -> None:
        self._call = call
        self._replica = replica
        self._wire = wire
        self._pool = pool
        self._metrics = metrics
        self._connection: ClientConnection | None = None
        self.is_sent = False
        self.is_answered = False

    async def run(
        self, order: EventOrder, send_events: SendEvents
    ) -> WholeAnswer | None:
        """Runs the request.

        Args:
            order: Position in the stream.
            send_events: Takes the head of a stream with each group of its events.

        Returns:
            The whole answer, or None if it was a stream that was passed on.

        Raises:
            RefusalError: If no complete answer came.
        """
        try:
            response = await self._request(order)
            is_stream = self._call.route.kind is RouteKind.STREAM
            if not is_stream or response.status != 200:
                return await self._read_answer(response)
            await self._copy_stream(response, order, send_events)
            return None
        except AnswerMismatchError:
            self._metrics.mismatches.inc()
            raise
        except (OSError, h11.ProtocolError) as err:
            raise self._to_refusal(err) from err
        finally:
            if self._connection is not None:
                connection, self._connection = self._connection, None
                await self._pool.discard(connection)

    async def _request(self, order: EventOrder) -> Response:
        last_event = None
        if order.last_id is not None and order.last_id >= 0:
            last_event = b"%d" % order.last_id
        connection = self._connection = await self._take()
        remaining = self._call.ends_at - time.monotonic()
        if remaining <= 0:
            raise UpstreamUnreachableError("no time is left for the request")
        fields = self._wire.build_fields(
            self._call,
            self._replica.replica_id,
            remaining=remaining,
            last_event=last_event,
        )
        route = self._call.route
        if route.is_repeatable:
            connection.silence_limit = max(
                TARGETS_LIMIT * route.target, LEAST_SILENCE_SECONDS
            )
        before = connection.bytes_sent
        target = self._call.target.decode("latin-1")
        try:
            await connection.send_request(
                self._call.method, target, fields, self._call.body
            )
        finally:
            if connection.bytes_sent != before:
                self.is_sent = True
        return await self._receive_own_response(connection)

    async def _take(self) -> ClientConnection:
        try:
            found, _ = await self._pool.take(self._replica.address, is_fresh=False)
            return found
        except OSError as err:
            raise self._to_refusal(err) from err

    async def _receive_own_response(self, connection: ClientConnection) -> Response:
        """Receives the head of the own answer; answers for other requests are dropped.

        A replica may send a second answer to an earlier request late, at the point
        where the own one is expected.
        """
        for _ in range(FOREIGN_ANSWERS_LIMIT + 1):
            response = await connection.receive_response()
            answered = self._wire.read_request_id(response)
            if answered == self._call.request_id or (
                answered is None and self._wire.states_not_run(response)
            ):
                await self._check_head(response)
                return response
            self._metrics.mismatches.inc()
            if answered is None or not response.is_framed:
                break
            await connection.skip_response()
        raise AnswerMismatchError(
            f"replica {self._replica.replica_id!r} answered for request {answered!r}; "
            "the answer is dropped"
        )

    async def _check_head(self, response: Response) -> None:
        self.is_answered = True
        if self._wire.states_not_run(response):
            replica_id = self._replica.replica_id
            await self._keep_connection(response)
            raise UpstreamRefusedError(
                f"replica {replica_id!r} did not run the request "
                f"(status {response.status}); try again"
            )
        if self._wire.is_encoded(response):
            raise AnswerMismatchError(
                f"replica {self._replica.replica_id!r} sent an encoded body, which "
                "nobody asked for"
            )
        if 200 <= response.status < 300 and not self._wire.is_signed(response):
            raise AnswerMismatchError(
                f"replica {self._replica.replica_id!r} sent a success without its "
                "signature"
            )

    async def _keep_connection(self, response: Response) -> None:
        """Reads the rest of a response and keeps the connection if that is sound."""
        connection, self._connection = self._connection, None
        assert connection is not None
        try:
            async with curio.timeout_after(END_WAIT_SECONDS):
                await connection.receive_body(limit=self._pool.answer_limit_bytes)
        except (OSError, h11.ProtocolError, curio.TaskTimeout):
            await self._pool.discard(connection)
            return
        except BaseException:
            await self._pool.discard(connection)
            raise
        await self._give_back(connection, response)

    async def _give_back(
        self, connection: ClientConnection, response: Response
    ) -> None:
        limit = self._wire.read_idle_limit(response)
        if limit is not None:
            connection.idle_limit = limit
        await self._pool.give_back(connection)

    async def _read_answer(self, response: Response) -> WholeAnswer:
        connection = self._connection
        assert connection is not None
        body = await connection.receive_body(limit=self._pool.answer_limit_bytes)
        self._connection = None
        await self._give_back(connection, response)
        return WholeAnswer(
            response.status, self._wire.select_answer_fields(response), body
        )

    async def _copy_stream(
        self, response: Response, order: EventOrder, send_events: SendEvents
    ) -> None:
        connection = self._connection
        assert connection is not None
        route = self._call.route
        if route.is_resumable:
            connection.silence_limit = max(
                PAUSES_LIMIT * route.pause, LEAST_SILENCE_SECONDS
            )
        head = StreamHead(response.status, self._wire.select_answer_fields(response))
        order.start_attempt()
        while (data := await connection.receive_data()) is not None:
            events = order.feed(data)
            if events.data:
                await send_events(head, events)
        if not order.is_between_events:
            raise AnswerIncompleteError(
                f"replica {self._replica.replica_id!r} ended the stream in an event"
            )
        self._connection = None
        await self._give_back(connection, response)

    def _to_refusal(self, error: Exception) -> RefusalError:
        replica_id = self._replica.replica_id
        if not self.is_sent:
            return UpstreamUnreachableError(
                f"replica {replica_id!r} cannot be reached: {error}; try again"
            )
        if self.is_answered:
            return AnswerIncompleteError(f"replica {replica_id!r} broke off: {error!r}")
        return UpstreamFailedError(f"replica {replica_id!r} broke off: {error!r}")
