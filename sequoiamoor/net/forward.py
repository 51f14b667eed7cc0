"""Attempts to run a routed request at one replica."""

from __future__ import annotations

import errno
import re
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio
import h11

from ..core.held_bytes import HeldKind, Holding
from ..core.routed_call import Fields, RoutedCall
from ..core.statements import ReplicaProcess
from ..core.upstreams import Replica
from ..errors import (
    AnswerIncompleteError,
    AnswerMismatchError,
    AnswerTooLargeError,
    RefusalError,
    UpstreamFailedError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)
from ..metrics import Metrics
from ..timeouts import timeout_after
from ..types import Address, RouteKind
from .events import Events, EventSequence
from .exchange import (
    FAILURE_BODY_LIMIT_BYTES,
    RESPONSE_END_TIMEOUT_SECONDS,
    ConnectionPool,
)
from .formats import UpstreamFormat
from .http import Response
from .http_client import ClientConnection, GivenUpExchange, SendBufferFullError
from .parsing_turns import split_lines, wait_turn

# Answers to other requests that are skipped while waiting for the answer to this one.
MISMATCHED_RESPONSES_LIMIT = 2
# Silence of a stream, in multiples of the route's pause, and of a replica that has not
# answered, in multiples of the route's target latency, after which the choice of a
# replica counts it as a failed attempt. The attempt goes on: a sound replica may be
# silent for a second or two, and only the time limit of a request, or the end of its
# connection, ends it.
STREAM_SILENCE_LIMIT_PAUSES = 4.0
ANSWER_SILENCE_LIMIT_TARGETS = 4.0
# Lower bound of both silence limits.
MIN_SILENCE_LIMIT_SECONDS = 1.0
# Longest time between two receives that counts as sending. After a longer one the
# replica was silent meanwhile.
MAX_SENDING_GAP_SECONDS = 0.25

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9] ")


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer of a replica."""

    status: int
    fields: Fields
    body: bytes

    @property
    def is_failure(self) -> bool:
        """Whether the replica failed, so that a retry at another one may succeed."""
        return self.status >= 500


@dataclass(frozen=True, slots=True)
class StreamHead:
    """Status and header fields of a stream."""

    status: int
    fields: Fields


@dataclass(frozen=True, slots=True)
class ReceivedHead:
    """Head of an answer, as soon as it was read.

    Attributes:
        response: The head, also of an interim answer or of one that is dropped.
        process: Process to which the request was sent.
        sent_at: Monotonic time in seconds of the send.
        is_own: Whether it is the final answer to this request.
        address: Address of the process.
        opened_at: Monotonic time in seconds from which the connection was opened.
    """

    response: Response
    process: ReplicaProcess
    sent_at: float
    is_own: bool
    address: Address
    opened_at: float


SendEvents = Callable[[StreamHead, Events], Awaitable[None]]
NoteHead = Callable[[ReceivedHead], Awaitable[None]]
NoteGivenUp = Callable[[GivenUpExchange], None]


async def _ignore_head(head: ReceivedHead) -> None:
    """Ignores a head."""


class ForwardAttempt:
    """Sends a request to a replica and receives its answer.

    Attributes:
        process: Process to which the request was sent, or is to be sent.
        address: Its address.
        is_sent: Whether at least one byte of the request was handed to the kernel. It
            is final once the answer is awaited.
        is_answered: Whether the head of the answer was received.
        begun_at: Monotonic time in seconds of the head with which the replica took the
            request; None before.
        is_broken: Whether the connection ended, or broke the protocol, before the
            answer was complete. It is no proof of the end of the process.
        is_answer_whole: Whether a successful answer came to an end that the end of the
            process could not have made.
    """

    def __init__(
        self,
        call: RoutedCall,
        replica: Replica,
        *,
        upstream_format: UpstreamFormat,
        pool: ConnectionPool,
        metrics: Metrics,
        check_before_send: Callable[[Address], None] = lambda address: None,
        note_head: NoteHead = _ignore_head,
        note_given_up: NoteGivenUp = lambda exchange: None,
        note_silence: Callable[[], None] = lambda: None,
    ) -> None:
        """Initialises the attempt.

        Args:
            call: The request.
            replica: Replica that runs the request.
            upstream_format: Format of the request and its answer.
            pool: Pool from which the connection is taken.
            metrics: Metrics to update.
            check_before_send: Called with the address of the connection right before
                the request is sent; an error that it raises prevents the send.
            note_head: Called with each head that the replica sends, before its body is
                read and before it is checked.
            note_given_up: Called if the attempt ends after it was sent and before its
                answer is complete, right before the connection is closed.
            note_silence: Called if the replica of a request that may be repeated has
                sent nothing for long; the attempt goes on.
        """
        self._note_silence = note_silence
        self._check_before_send = check_before_send
        self._note_head = note_head
        self._note_given_up = note_given_up
        self.process = replica.process
        self.address = replica.address
        self._sent_at = self._opened_at = 0.0
        self._call = call
        self._replica = replica
        self._format = upstream_format
        self._pool = pool
        self._metrics = metrics
        self._connection: ClientConnection | None = None
        self._is_reused = False
        self.is_sent = False
        self.is_answered = False
        self.begun_at: float | None = None
        self.is_broken = False
        self.is_answer_whole = False

    async def run(
        self, event_order: EventSequence, send_events: SendEvents
    ) -> WholeAnswer | None:
        """Runs the request.

        Args:
            event_order: Position in the stream, which earlier attempts may have
                advanced.
            send_events: Called with the head of the stream and each group of events.

        Returns:
            The complete answer, or None if it was a stream that was forwarded.

        Raises:
            RefusalError: If no complete answer was received.
        """
        try:
            response = await self._request(event_order)
            is_stream = (
                self._call.route.kind is RouteKind.STREAM
                and self._call.method != "HEAD"
            )
            if not is_stream or response.status != 200:
                return await self._read_answer(response)
            if _is_other_document(response):
                if event_order.is_begun:
                    raise AnswerMismatchError(
                        f"replica {self._replica.replica_id!r} answered the rest of "
                        "the stream with another document; it is dropped"
                    )
                if "content-length" in response.headers:
                    return await self._read_answer(response)
            return await self._copy_stream(response, event_order, send_events)
        except AnswerMismatchError:
            self._metrics.mismatches.inc()
            raise
        except (OSError, h11.ProtocolError) as err:
            connection = self._connection
            is_aborted = connection is not None and connection.is_aborted
            self.is_broken = self.is_sent and not is_aborted
            raise self._build_refusal(err) from err
        finally:
            if self._connection is not None:
                connection, self._connection = self._connection, None
                given_up = connection.describe_given_up() if self.is_sent else None
                if given_up is not None:
                    self._note_given_up(given_up)
                await self._pool.discard(connection)

    async def _request(self, event_order: EventSequence) -> Response:
        last_event_id = None
        if event_order.last_id is not None and event_order.last_id >= 0:
            last_event_id = b"%d" % event_order.last_id
        connection = await self._acquire_connection(force_new=False)
        try:
            await self._send(connection, last_event_id)
        except SendBufferFullError:
            if not self._is_reused:
                raise
            self._metrics.pool_stale.inc()
            self._connection = None
            await self._pool.discard(connection)
            connection = await self._acquire_connection(force_new=True)
            await self._send(connection, last_event_id)
        with self._pool.await_head(connection, self._note_interim):
            return await self._receive_matching_response(connection)

    async def _send(
        self, connection: ClientConnection, last_event_id: bytes | None
    ) -> None:
        self.address, self._opened_at = connection.address, connection.opened_at
        remaining = self._call.ends_at - time.monotonic()
        if remaining <= 0:
            raise UpstreamUnreachableError(
                "the request was not sent, its deadline has passed"
            )
        fields = self._format.build_fields(
            self._call,
            self._replica.replica_id,
            remaining=remaining,
            last_event=last_event_id,
        )
        route = self._call.route
        if route.is_repeatable:
            connection.note_silence = self._note_silence
            connection.silence_limit = max(
                ANSWER_SILENCE_LIMIT_TARGETS * route.target, MIN_SILENCE_LIMIT_SECONDS
            )
        sent_before = connection.bytes_sent
        await self._pool.note_unread_heads(connection.address)
        self._check_before_send(connection.address)
        self.process, self._sent_at = self._replica.process, time.monotonic()
        request_target = self._call.target.decode("latin-1")
        try:
            await connection.send_request(
                self._call.method, request_target, fields, self._call.body
            )
        finally:
            if connection.bytes_sent != sent_before:
                self.is_sent = True

    async def _acquire_connection(self, *, force_new: bool) -> ClientConnection:
        process = self._replica.process
        try:
            self._connection, self._is_reused = await self._pool.acquire(
                self._replica.address,
                force_new=force_new,
                request_id=self._call.request_id,
            )
            return self._connection
        except OSError as err:
            # Fault injection raises errors without a number.
            if err.errno == errno.ECONNREFUSED:
                self._replica.record_refused(process, time.monotonic())
            raise self._build_refusal(err) from err

    async def _receive_matching_response(
        self, connection: ClientConnection
    ) -> Response:
        """Receives the head of the answer and skips answers to other requests.

        A replica may send a late second answer to an earlier request where the answer
        to this request is expected. So a refusal without an identifier is believed
        only as the first answer on a new connection.
        """
        is_first_answer = not self._is_reused
        for _ in range(MISMATCHED_RESPONSES_LIMIT + 1):
            response = await connection.receive_response(self._note_interim)
            answered_id = self._format.read_request_id(response)
            is_own = answered_id == self._call.request_id or (
                answered_id is None
                and is_first_answer
                and self._format.states_not_run(response)
            )
            await self._note(response, is_own=is_own)
            if is_own:
                await self._check_head(response)
                return response
            is_first_answer = False
            self._metrics.mismatches.inc()
            if answered_id is None or not response.is_framed:
                break
            await connection.skip_response()
        raise AnswerMismatchError(
            f"replica {self._replica.replica_id!r} sent an answer with the request "
            f"identifier {answered_id!r}, not that of this request; the answer is "
            "dropped"
        )

    async def _note_interim(self, response: Response) -> None:
        """Passes on an interim head, or a final one before its answer is read."""
        await self._note(response, is_own=False)

    async def _note(self, response: Response, *, is_own: bool) -> None:
        head = ReceivedHead(
            response,
            self.process,
            self._sent_at,
            is_own,
            self.address,
            self._opened_at,
        )
        await self._note_head(head)

    async def _check_head(self, response: Response) -> None:
        self.is_answered = True
        if self._format.states_not_run(response):
            replica_id = self._replica.replica_id
            assert self._connection is not None
            self._connection.refused_ids.add(self._call.request_id)
            await self._drain_response(response)
            raise UpstreamRefusedError(
                f"replica {replica_id!r} did not run the request "
                f"(status {response.status}); try again"
            )
        if self._format.is_encoded(response):
            raise AnswerMismatchError(
                f"replica {self._replica.replica_id!r} sent a body with a content "
                "encoding that the request did not accept; the answer is dropped"
            )
        if 200 <= response.status < 300 and not self._format.is_signed(response):
            raise AnswerMismatchError(
                f"replica {self._replica.replica_id!r} sent a successful answer "
                "without its signature; the answer is dropped"
            )
        self.begun_at = time.monotonic()

    async def _drain_response(self, response: Response) -> None:
        """Reads the rest of a response, then returns its connection to the pool.

        The connection is closed if reading fails or takes too long.
        """
        connection, self._connection = self._connection, None
        assert connection is not None
        try:
            async with timeout_after(RESPONSE_END_TIMEOUT_SECONDS):
                await connection.receive_body(limit=FAILURE_BODY_LIMIT_BYTES)
        except (OSError, h11.ProtocolError, curio.TaskTimeout):
            await self._pool.discard(connection)
            return
        except BaseException:
            await self._pool.discard(connection)
            raise
        await self._release_connection(connection, response)

    async def _release_connection(
        self, connection: ClientConnection, response: Response
    ) -> None:
        limit = self._format.read_idle_limit(response)
        if limit is not None:
            connection.idle_limit = limit
        await self._pool.release(connection)

    async def _read_answer(self, response: Response) -> WholeAnswer:
        connection = self._connection
        assert connection is not None
        body = await self._receive_answer_body(connection)
        if _STATUS_LINE.match(body):
            raise AnswerMismatchError(
                f"replica {self._replica.replica_id!r} sent another answer where the "
                "body of this one begins; the answer is dropped"
            )
        self.is_answer_whole = response.status < 300 and response.is_framed
        self._connection = None
        await self._release_connection(connection, response)
        return WholeAnswer(
            response.status, self._format.select_answer_fields(response), body
        )

    def _open_holding(self) -> Holding:
        return Holding(self._pool.held_bytes, HeldKind.ANSWER, self._call.organisation)

    def _hold(self, holding: Holding, size: int) -> None:
        """Takes room for what is kept of an answer.

        Raises:
            AnswerTooLargeError: If there is none.
        """
        if not holding.resize(size):
            raise AnswerTooLargeError(
                f"this router has no room for the {size} bytes that replica "
                f"{self._replica.replica_id!r} has sent; if the request may be "
                "repeated, send it again"
            )

    async def _receive_answer_body(self, connection: ClientConnection) -> bytes:
        """Collects the body of an answer, which counts until the call has ended."""
        holding = self._open_holding()
        try:
            body = await connection.receive_body(
                limit=self._pool.answer_limit_bytes,
                check_room=lambda count: self._hold(holding, holding.size + count),
            )
        except BaseException:
            holding.release()
            raise
        self._call.holdings.append(holding)
        return body

    async def _copy_stream(
        self, response: Response, event_order: EventSequence, send_events: SendEvents
    ) -> WholeAnswer | None:
        """Forwards a stream; one without any data is returned as a whole answer."""
        connection = self._connection
        assert connection is not None
        route = self._call.route
        if route.is_resumable:
            connection.silence_limit = max(
                STREAM_SILENCE_LIMIT_PAUSES * route.pause, MIN_SILENCE_LIMIT_SECONDS
            )
        head = StreamHead(response.status, self._format.select_answer_fields(response))
        event_order.start_attempt()
        holding = self._open_holding()
        try:
            received_at = time.monotonic()
            seconds_without_event = 0.0
            while (received := await connection.receive_data()) is not None:
                gap, received_at = time.monotonic() - received_at, time.monotonic()
                if gap <= MAX_SENDING_GAP_SECONDS:
                    seconds_without_event += gap
                for index, data in enumerate(split_lines(received)):
                    if index:
                        await wait_turn()
                    events = event_order.feed(data)
                    self._hold(holding, event_order.pending_bytes)
                    if events.count:
                        seconds_without_event = 0.0
                    if events.data:
                        await send_events(head, events)
                if route.is_resumable:
                    self._check_progress(connection, seconds_without_event)
        finally:
            holding.release()
        if not event_order.is_between_events:
            self.is_broken = True
            raise AnswerIncompleteError(
                f"replica {self._replica.replica_id!r} ended the stream in the "
                "middle of an event"
            )
        if not response.is_framed and not event_order.is_begun:
            self.is_broken = True
            raise AnswerIncompleteError(
                f"replica {self._replica.replica_id!r} closed the connection before "
                "the first event of a stream without a length"
            )
        if event_order.is_resumed and not event_order.attempt_count:
            # The rest may be empty, but a failing replica may answer like this too.
            raise AnswerIncompleteError(
                f"replica {self._replica.replica_id!r} sent no event of the rest of "
                "the stream, so its end is not known"
            )
        self.is_answer_whole = response.is_framed
        self._connection = None
        await self._release_connection(connection, response)
        return None if event_order.is_begun else WholeAnswer(200, head.fields, b"")

    def _check_progress(
        self, connection: ClientConnection, seconds_without_event: float
    ) -> None:
        """Ends a stream whose replica sends bytes but no events for too long.

        Args:
            connection: Connection of the stream.
            seconds_without_event: Time for which it did so, without its silences.
        """
        limit = connection.silence_limit
        if limit is not None and seconds_without_event > limit:
            raise AnswerIncompleteError(
                f"replica {self._replica.replica_id!r} has sent bytes but no event for "
                f"{seconds_without_event:.1f} s"
            )

    def _build_refusal(self, error: Exception) -> RefusalError:
        replica_id = self._replica.replica_id
        if not self.is_sent:
            return UpstreamUnreachableError(
                f"replica {replica_id!r} cannot be reached: {error}; try again"
            )
        if self.is_answered:
            return AnswerIncompleteError(
                f"the exchange with replica {replica_id!r} failed before the answer "
                f"was complete: {error!r}"
            )
        return UpstreamFailedError(
            f"the exchange with replica {replica_id!r} failed before the answer began: "
            f"{error!r}"
        )


def _is_other_document(response: Response) -> bool:
    """Returns whether the answer states that it is no stream of events."""
    media_type = response.headers.get("content-type", "").partition(";")[0]
    return media_type.strip().lower() not in ("", "text/event-stream")
