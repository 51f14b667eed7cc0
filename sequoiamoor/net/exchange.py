"""Attempts to run a call at an upstream, and the pool of upstream connections."""

from __future__ import annotations

import json
import math
import time
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, Protocol

import curio
import h11

from ..core.held_bytes import HeldBytes
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
from ..options import Options
from ..timeouts import timeout_after
from ..types import Address, CallRequest, Execution
from .http import Response
from .http_client import ClientConnection
from .relay import CheckedEvents, StreamCheck

# The end of a response normally arrives with its last event. A connection whose
# response ends later than this is closed instead of being returned to the pool.
RESPONSE_END_TIMEOUT_SECONDS = 0.25
# Longest body of a 503 response that is read to learn whether the request ran.
FAILURE_BODY_LIMIT_BYTES = 65_536
# Fraction of the replica's idle timeout during which a connection is used again. A
# request sent later may cross the replica's close of the connection.
REUSE_IDLE_FRACTION = 0.7
# The interval is shorter if an eighth of the idle timeout of upstreams is.
MAX_CHECK_INTERVAL_SECONDS = 0.25


UNACKNOWLEDGED_LIMIT_SECONDS = 1.0
"""Time without an acknowledgement of what was sent after which an exchange is reset.

The reset takes back what a partition holds up. Left to the kernel's own limits, the
connection would end without one, and the request could arrive seconds later."""

# Refusals that a connection remembers; it is closed after so many.
REFUSED_IDS_LIMIT = 1_000

ROOM_CHECK_INTERVAL_SECONDS = 0.02
"""Interval between checks for a free connection while all are in use."""


class Sink(Protocol):
    """Receives the validated events of a streamed answer."""

    async def start_stream(self) -> None:
        """Begins the streamed answer; further calls have no effect."""

    async def send_events(self, data: bytes) -> None:
        """Sends whole events of the streamed answer to the caller."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer of an upstream."""

    status: int
    content_type: str
    body: bytes


class ConnectionPool:
    """Idle connections to upstreams, and the connections in use.

    One periodic check aborts receives that wait too long and closes connections that
    were idle for too long. A timeout object per receive would cost more than the
    receive itself.

    Attributes:
        held_bytes: Account of the answers that are collected.
    """

    def __init__(
        self,
        *,
        options: Options,
        metrics: Metrics,
        detects_dead_peers: bool = False,
        ends_silent: bool = True,
        held_bytes: HeldBytes | None = None,
    ) -> None:
        """Initialises the pool.

        Args:
            options: Limits on connections, and times.
            metrics: Metrics to update.
            detects_dead_peers: Whether an exchange ends whose peer acknowledges
                nothing.
            ends_silent: Whether an exchange also ends whose peer is there and sends
                nothing for ``upstream_idle_timeout``.
            held_bytes: Account of the answers that are collected.
        """
        self._options = options
        self._ends_silent = ends_silent
        self.held_bytes = held_bytes or HeldBytes()
        self._detects_dead_peers = detects_dead_peers
        self._metrics = metrics
        self._idle: dict[Address, deque[tuple[float, ClientConnection]]] = {}
        self._in_use: set[ClientConnection] = set()
        self._awaited_heads: dict[
            Address, dict[ClientConnection, Callable[[Response], Awaitable[None]]]
        ] = {}
        self._idle_count = self._opening_count = 0

    def __len__(self) -> int:
        """Returns the number of idle connections."""
        return self._idle_count

    @property
    def open_count(self) -> int:
        """Number of connections that are idle, in use or being opened."""
        return self._idle_count + len(self._in_use) + self._opening_count

    @property
    def answer_limit_bytes(self) -> int:
        """The largest answer, in bytes, that is buffered as a whole."""
        return self._options.answer_limit_bytes

    async def acquire(
        self, address: Address, *, force_new: bool, request_id: str = ""
    ) -> tuple[ClientConnection, bool]:
        """Returns a connection and whether it was used for an earlier request.

        Args:
            address: Address of the upstream.
            force_new: Whether to open a new connection even if one is idle.
            request_id: Identifier of the request; a connection on which it was refused
                before is not used.

        Raises:
            OSError: If no connection can be made.
        """
        idle = self._idle.get(address)
        while idle and not force_new:
            idle_since, connection = idle.pop()
            self._idle_count -= 1
            idle_time = time.monotonic() - idle_since
            if (
                connection.is_quiet
                and request_id not in connection.refused_ids
                and idle_time < connection.idle_limit * REUSE_IDLE_FRACTION
            ):
                self._in_use.add(connection)
                return connection, True
            self._metrics.pool_stale.inc()
            await connection.close()
        await self._make_room(address)
        opened_at = time.monotonic()
        self._opening_count += 1
        try:
            connection = await ClientConnection.connect(
                address,
                timeout=self._options.connect_timeout,
                detects_dead_peer=self._detects_dead_peers,
            )
        finally:
            self._opening_count -= 1
        connection.opened_at = opened_at
        self._in_use.add(connection)
        return connection, False

    async def _make_room(self, address: Address) -> None:
        """Closes the oldest idle connection, or waits for one in use, at the limit.

        Raises:
            TimeoutError: If all connections stay in use for ``connect_timeout``.
        """
        ends_at = time.monotonic() + self._options.connect_timeout
        limit = self._options.upstream_connections
        while self.open_count >= limit:
            if self._idle_count:
                oldest = min(
                    filter(None, self._idle.values()), key=lambda idle: idle[0][0]
                )
                self._idle_count -= 1
                await oldest.popleft()[1].close()
            elif time.monotonic() >= ends_at:
                raise TimeoutError(
                    f"all {limit} connections to upstreams are in use; none became "
                    f"free for {address}"
                )
            else:
                await curio.sleep(ROOM_CHECK_INTERVAL_SECONDS)

    @contextmanager
    def await_head(
        self,
        connection: ClientConnection,
        note_head: Callable[[Response], Awaitable[None]],
    ) -> Iterator[None]:
        """Lets ``note_unread_heads`` pass the head of an awaited response on."""
        awaited = self._awaited_heads.setdefault(connection.address, {})
        awaited[connection] = note_head
        try:
            yield
        finally:
            del awaited[connection]
            if not awaited and self._awaited_heads.get(connection.address) is awaited:
                del self._awaited_heads[connection.address]

    async def note_unread_heads(self, address: Address) -> None:
        """Passes on the heads from an address that arrived and were not read yet.

        A late event loop may come to the tasks that read them only after it has sent
        further requests to the same replica.
        """
        for connection, note in list(self._awaited_heads.get(address, {}).items()):
            if (response := connection.peek_response()) is not None:
                await note(response)

    def find_open_since(self, address: Address) -> list[float]:
        """Returns the times from which the open connections to an address were opened.

        One that the peer has closed, as the end of its process does, is not open.

        Returns:
            Monotonic times in seconds.
        """
        idle = [connection for _, connection in self._idle.get(address, ())]
        used = [one for one in self._in_use if one.address == address]
        return [one.opened_at for one in idle + used if one.is_established]

    async def release(self, connection: ClientConnection) -> None:
        """Returns a connection to the pool, or closes it if it cannot be used again.

        A connection is used again if its response was read to the end and the limits
        on idle connections leave room for it.
        """
        idle = self._idle.get(connection.address, ())
        if (
            not connection.is_reusable
            or len(connection.refused_ids) >= REFUSED_IDS_LIMIT
            or self._idle_count >= self._options.pool_limit
            or len(idle) >= self._options.pool_limit_per_replica
        ):
            await self.discard(connection)
            return
        self._in_use.discard(connection)
        connection.start_next_cycle()
        connection.set_probed(False)
        connection.silence_limit = connection.note_silence = None
        entry = (time.monotonic(), connection)
        self._idle.setdefault(connection.address, deque()).append(entry)
        self._idle_count += 1

    async def discard(self, connection: ClientConnection) -> None:
        """Closes a connection; an engine then cancels the request on it."""
        self._in_use.discard(connection)
        await connection.close()

    def _is_lost(self, connection: ClientConnection, now: float) -> bool:
        """Returns whether nothing more is expected on a connection in use."""
        is_unacknowledged = (
            self._detects_dead_peers
            and connection.find_unacknowledged_time(now) >= UNACKNOWLEDGED_LIMIT_SECONDS
        )
        since = connection.waiting_since
        is_late = (
            self._ends_silent
            and since is not None
            and now - since >= self._options.upstream_idle_timeout
        )
        # A late event loop may not have read what has arrived.
        return (is_unacknowledged or is_late) and connection.is_quiet

    async def _close_idle(self, address: Address) -> None:
        """Closes the idle connections to a peer that does not acknowledge anything.

        A request sent on one of them would be held up as well; a new connection shows
        that the peer can be reached before anything is sent.
        """
        for _, connection in self._idle.pop(address, ()):
            self._idle_count -= 1
            await connection.close()

    async def close_expired(self, now: float) -> None:
        """Aborts receives that wait too long and closes old idle connections.

        Args:
            now: Monotonic time in seconds.
        """
        for connection in list(self._in_use):
            # It may have been closed while idle ones were.
            if connection not in self._in_use:
                continue
            connection.check_silence(now)
            if not self._is_lost(connection, now):
                continue
            connection.abort()
            if self._detects_dead_peers and connection.find_unacknowledged_time(now):
                await self._close_idle(connection.address)
        idle_before = now - self._options.pool_idle_time
        for address, idle in list(self._idle.items()):
            while idle and idle[0][0] <= idle_before:
                self._idle_count -= 1
                await idle.popleft()[1].close()
            if not idle and self._idle.get(address) is idle:
                del self._idle[address]

    async def close_expired_periodically(self) -> None:
        """Closes expired connections periodically until cancelled."""
        interval = min(
            MAX_CHECK_INTERVAL_SECONDS, self._options.upstream_idle_timeout / 8
        )
        while True:
            await curio.sleep(interval)
            await self.close_expired(time.monotonic())

    async def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for _, connection in idle:
                await connection.close()
        self._idle.clear()
        self._idle_count = 0


class Attempt:
    """One attempt to run a call at one replica.

    Attributes:
        is_sent: Whether at least one byte of the request was handed to the kernel.
    """

    def __init__(
        self,
        call: CallRequest,
        replica: Replica,
        *,
        pool: ConnectionPool,
        options: Options,
        metrics: Metrics,
        charge: Callable[[float], None],
        check_before_send: Callable[[Address], None] = lambda address: None,
        on_response: Callable[[], None] = lambda: None,
    ) -> None:
        """Initialises the attempt.

        Args:
            call: The call.
            replica: Replica that runs the call.
            pool: Pool from which the connection is taken.
            options: Limits of the answer.
            metrics: Metrics to update.
            charge: Called with the service units of the work that was done: tokens for
                an engine, milliseconds for a plain service.
            check_before_send: Called with the address of the connection before each
                send; an error that it raises prevents the send.
            on_response: Called after the head of the response was validated.
        """
        self._check_before_send = check_before_send
        self._on_response = on_response
        self._call = call
        self._replica = replica
        self._pool = pool
        self._options = options
        self._metrics = metrics
        self._charge = charge
        self._was_sent_before = call.is_sent
        self._connection: ClientConnection | None = None
        self.is_sent = False

    async def stream(self, stream_check: StreamCheck, sink: Sink) -> Answer | None:
        """Runs the call at an engine and forwards its events to the sink.

        Returns:
            None if the complete stream was forwarded, or the answer of an engine that
            rejected the request and streamed nothing.

        Raises:
            RefusalError: If the answer is incomplete or belongs to another call.
        """
        headers = {"accept": "text/event-stream"}
        if self._call.prefix_key is not None:
            headers["x-prefix-key"] = self._call.prefix_key
        if stream_check.next_index:
            headers["x-resume-from"] = str(stream_check.next_index)
        stream_check.start_attempt()
        try:
            response = await self._request("/v1/generate", headers)
            if response.status != 200:
                return await self._read_answer(response)
            await self._copy_stream(stream_check, sink)
            await self._finish_stream()
            return None
        except AnswerMismatchError:
            self._metrics.mismatches.inc()
            raise
        except (OSError, h11.ProtocolError) as err:
            raise self._build_refusal(err) from err
        finally:
            await self._close()

    async def call(self) -> Answer:
        """Runs the call at a plain service.

        Raises:
            RefusalError: If no complete answer was received.
        """
        started_at = time.monotonic()
        try:
            response = await self._request("/v1/call", {})
            answer = await self._read_answer(response)
        except AnswerMismatchError:
            self._metrics.mismatches.inc()
            raise
        except (OSError, h11.ProtocolError) as err:
            raise self._build_refusal(err) from err
        finally:
            await self._close()
        elapsed_ms = (time.monotonic() - started_at) * 1000
        self._charge(_read_service_ms(response, default=elapsed_ms))
        return answer

    async def _close(self) -> None:
        if self._connection is not None:
            connection, self._connection = self._connection, None
            await self._pool.discard(connection)

    async def _request(self, path: str, headers: dict[str, str]) -> Response:
        """Sends the request, then receives and validates the response head."""
        fields = {
            "x-request-id": self._call.request_id,
            "x-call-id": self._call.call_id,
            "x-organisation": self._call.organisation,
            "content-type": self._call.content_type,
            **headers,
        }
        # If the upstream closes an idle connection during the request, it is unknown
        # whether the request ran, so one that is not repeatable gets a new connection.
        force_new = not self._call.is_repeatable
        while True:
            connection, is_reused = await self._acquire_connection(force_new=force_new)
            received_before = connection.bytes_received
            try:
                await self._send(connection, path, fields)
                response = await connection.receive_response()
                break
            except (OSError, h11.ProtocolError):
                # An upstream may close an idle connection while the request is in
                # transit. That does not mean that the replica failed, so a repeatable
                # request is sent once more on a new connection.
                closed_without_answer = connection.bytes_received == received_before
                if not is_reused or not closed_without_answer or connection.is_aborted:
                    raise
                self._metrics.pool_stale.inc()
                await self._close()
                force_new = True
        await self._check_head(response)
        self._on_response()
        return response

    async def _acquire_connection(
        self, *, force_new: bool
    ) -> tuple[ClientConnection, bool]:
        try:
            connection, is_reused = await self._pool.acquire(
                self._replica.address,
                force_new=force_new,
                request_id=self._call.call_id,
            )
        except OSError as err:
            raise self._build_refusal(err) from err
        self._connection = connection
        return connection, is_reused

    async def _send(
        self, connection: ClientConnection, path: str, fields: dict[str, str]
    ) -> None:
        self._check_before_send(connection.address)
        sent_before = connection.bytes_sent
        try:
            await connection.send_request("POST", path, fields, self._call.body)
        finally:
            if connection.bytes_sent != sent_before:
                self.is_sent = self._call.is_sent = True

    def _build_refusal(self, error: Exception) -> RefusalError:
        if not self.is_sent:
            return UpstreamUnreachableError(
                f"replica {self._replica.replica_id!r} cannot be reached: {error}; try "
                "again",
                retry_after=1.0,
            )
        return AnswerIncompleteError(
            f"the exchange with replica {self._replica.replica_id!r} failed before the "
            f"answer was complete: {error!r}"
        )

    async def _check_head(self, response: Response) -> None:
        call_id = response.headers.get("x-call-id")
        has_matching_call_id = call_id == self._call.call_id
        if not has_matching_call_id and (call_id is not None or response.status < 500):
            raise AnswerMismatchError(
                f"replica {self._replica.replica_id!r} answered for call {call_id!r}; "
                "the answer is dropped"
            )
        if has_matching_call_id and response.status == 503 and response.is_framed:
            assert self._connection is not None
            limit = FAILURE_BODY_LIMIT_BYTES
            self._raise_if_not_run(await self._connection.receive_body(limit=limit))
        if response.status >= 500 or not (
            200 <= response.status < 300 or response.status >= 400
        ):
            raise UpstreamFailedError(
                f"replica {self._replica.replica_id!r} failed with status "
                f"{response.status}",
                execution=Execution.MAY_HAVE_RUN,
            )
        if not response.is_framed:
            raise AnswerMismatchError(
                f"replica {self._replica.replica_id!r} sent an answer without "
                "Content-Length or Transfer-Encoding, so that a truncated one cannot "
                "be detected; the answer is dropped"
            )

    def _raise_if_not_run(self, body: bytes) -> None:
        """Raises an error if the upstream states that it did not run the request.

        Raises:
            UpstreamRefusedError: If the body is a JSON object with this statement.
        """
        try:
            document: Any = json.loads(body)
        except (ValueError, RecursionError):
            return
        if isinstance(document, dict) and (
            document.get("execution") == Execution.WAS_NOT_RUN.value
        ):
            self._call.is_sent = self._was_sent_before
            raise UpstreamRefusedError(
                f"replica {self._replica.replica_id!r} did not take the request; try "
                "again",
                retry_after=1.0,
            )

    async def _copy_stream(self, stream_check: StreamCheck, sink: Sink) -> None:
        connection = self._connection
        assert connection is not None
        is_started = False
        while (data := await connection.receive_data()) is not None:
            checked = stream_check.feed(data)
            if units := checked.tokens + checked.prefilled:
                self._charge(units)
            if checked.data:
                if not is_started:
                    await sink.start_stream()
                    is_started = True
                await sink.send_events(checked.data)
            if checked.is_end:
                self._count_trailing_data(checked)
                return
        raise AnswerIncompleteError(
            f"replica {self._replica.replica_id!r} ended the stream without "
            "an end event"
        )

    def _count_trailing_data(self, checked: CheckedEvents) -> None:
        if checked.has_trailing_data:
            self._metrics.mismatches.inc()

    async def _finish_stream(self) -> None:
        """Reads the end of a response whose events were all forwarded.

        The answer is complete, so a fault at this point only closes the connection.
        """
        connection = self._connection
        assert connection is not None
        try:
            async with timeout_after(RESPONSE_END_TIMEOUT_SECONDS):
                if await connection.receive_data() is not None:
                    self._metrics.mismatches.inc()
                    return
        except (OSError, h11.ProtocolError, curio.TaskTimeout):
            return
        self._connection = None
        await self._pool.release(connection)

    async def _read_answer(self, response: Response) -> Answer:
        connection = self._connection
        assert connection is not None
        body = await connection.receive_body(limit=self._options.answer_limit_bytes)
        self._connection = None
        if response.status == 429:
            connection.refused_ids.add(self._call.call_id)
        await self._pool.release(connection)
        if response.status == 429:
            self._raise_if_not_run(body)
        content_type = response.headers.get("content-type", "application/json")
        return Answer(response.status, content_type, body)


def _read_service_ms(response: Response, *, default: float) -> float:
    """Returns the service time in milliseconds that the upstream states.

    Args:
        response: Head of the response.
        default: Milliseconds to use if the header is missing or invalid.
    """
    try:
        value = float(response.headers.get("x-service-ms", ""))
    except ValueError:
        return default
    return value if math.isfinite(value) and value >= 0 else default
