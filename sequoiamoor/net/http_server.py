"""Server side of HTTP/1.1 connections, with h11 on curio sockets."""

from __future__ import annotations

import contextlib
import errno
import re
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio
import h11

from ..core.held_bytes import Holding
from ..errors import (
    BodyTooLargeError,
    HeadersTooLargeError,
    MalformedRequestError,
    NoRoomError,
    NotReadyError,
    RefusalError,
    RequestTimeoutError,
)
from ..timeouts import ignore_after, timeout_after, wait_for
from .chunks import ChunkDecoder, decode_in_turns
from .http import (
    CALLER_SILENCE,
    HEAD_END_PATTERN,
    RECEIVE_BYTES,
    Headers,
    Request,
    check_request_head,
    disable_send_delay,
    limit_silence,
    peek_or_raise,
    peek_unread,
    to_h11_headers,
    to_header_dict,
)
from .plain_request import parse_plain_request
from .receiving import (
    PIECE_BYTES,
    Receiving,
    discard,
    receive,
    receive_arrived,
)
from .write_buffer import SlowReaderError, WriteBuffer

SEND_TIMEOUT_SECONDS = 30.0
MIN_REFUSAL_STATUS = 400
"""Lowest status of the responses that are sent to a request which is not served."""

# Bounds the data that the kernel buffers for a peer that does not read. With the
# default of a few megabytes, a slow peer appears to make no progress for long.
SEND_BUFFER_BYTES = 262_144
CLOSE_LINGER_SECONDS = 2.0
CLOSE_LINGER_LIMIT_BYTES = 4_194_304
ENDED_POLL_INTERVAL_SECONDS = 0.05
"""Interval between two looks at a socket whose receiving side was shut down, which says
that it is readable all the time."""


RECEIVES_PER_PASS = 4
"""Receives of one request after which other tasks run, also if more has arrived."""

RECEIVE_GRACE_SECONDS = 2.0
"""Time after the limit of a request for which what has arrived of it is received. A
late event loop may come to it only then."""

UNKNOWN_LIMITS_RETRY_AFTER_SECONDS = 0.2
"""Retry-After of a request that may be within the limits, once they are known."""

NO_ROOM_RETRY_AFTER_SECONDS = 1.0
"""Retry-After of a request whose body does not fit now. Bodies are held for about as
long as a stream takes to begin and end."""

_HAS_TRANSFER_ENCODING = re.compile(rb"(?i)\ntransfer-encoding:")


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of a request, in force when it begins.

    Attributes:
        header_bytes: Largest head.
        body_bytes: Largest body.
        receive_timeout: Seconds from the first byte to the end of the request.
        are_known: Whether they were set, and are no defaults until they are.
    """

    header_bytes: int
    body_bytes: int
    receive_timeout: float
    are_known: bool = True


class ServerConnection:
    """Server side of one connection.

    Attributes:
        is_peer_closed: Whether the peer closed its side or the connection failed.
        failure: First error with which receiving or sending failed; None as long as the
            connection works, also after the peer closed it.
        is_peer_slow: Whether a send failed because the peer read nothing for too long.
        has_send_failed: Whether a send failed for any reason.
        bytes_sent: Number of bytes passed to the socket.
        active_at: Monotonic time in seconds of the last byte sent or received.
        unread_bytes: Bytes that the peer had sent and nobody had read when this side
            closed the connection.
        discarded_bytes: Bytes that arrived after this side had ended its own direction,
            and were read only to be dropped.
        closes_after_response: Whether the next response says that the connection ends.
        create_write_buffer: Called with the standard socket and a function that sends
            to the peer, when it does not take a part of a stream at once. None lets the
            sender wait for the peer.
    """

    def __init__(
        self,
        sock: Any,
        *,
        header_limit: int,
        body_limit: int,
        send_timeout: float = SEND_TIMEOUT_SECONDS,
        detects_dead_peer: bool = False,
        open_holding: Callable[[Request], Holding] | None = None,
        find_limits: Callable[[], RequestLimits] | None = None,
        create_receiving: Callable[[Any, Callable[[], None]], Receiving] | None = None,
    ) -> None:
        """Initialises the connection.

        Args:
            sock: Curio socket.
            header_limit: Largest request head in bytes.
            body_limit: Largest request body in bytes.
            send_timeout: Seconds without progress after which a send fails.
            detects_dead_peer: Whether the kernel ends the connection when the peer
                acknowledges nothing for a while.
            open_holding: Called with the head of a request; returns the account of its
                body, from the head to the end of the answer. None keeps no account.
            find_limits: Called when a request begins to arrive; returns the limits that
                hold for it. None keeps those of the connection.
            create_receiving: Called with the standard socket and a function that gives
                back the room of the body; returns the account of requests that arrive
                in parts. None keeps no account.
        """
        self._find_limits = find_limits
        self._are_limits_known = True
        self._open_holding = open_holding
        self._holding: Holding | None = None
        self._sock = sock
        # The standard socket inside the curio socket. Sending on it needs no coroutine;
        # only a send to a peer that does not read needs one, with a timeout.
        self._raw_sock = sock._socket
        self._receiving = (
            None
            if create_receiving is None
            else create_receiving(self._raw_sock, self._release_body)
        )
        self._receive_bytes = RECEIVE_BYTES
        self._body_limit = body_limit
        self._header_limit = header_limit
        self._send_timeout = send_timeout
        # Created for the first request that is not refused without it.
        self._parser: h11.Connection | None = None
        # Received bytes of the next request that h11 was not given yet.
        self._held = b""
        # Received bytes of a chunked body, which is decoded without h11, and whether
        # the end of the data follows them.
        self._undecoded = b""
        self._is_end_undecoded = False
        self._is_decoding = self._has_body_begun = False
        self._receives = 0
        # Whether all received bytes are held or were given to h11.
        self._is_taken = True
        # Request that was returned and is held.
        self._unparsed: Request | None = None
        self._is_refused_unparsed = self._ends_after_refusal = False
        self._is_head_request = False
        self._is_request_whole = False
        self._is_response_begun = False
        self._is_write_whole = True
        self._is_streaming = False
        self._is_closed = False
        self._is_idle_ended = False
        self._receive_timeout = 0.0
        self._receive_ends_at = 0.0
        self.is_peer_closed = False
        self.failure: OSError | None = None
        self.is_peer_slow = False
        self.has_send_failed = False
        self.bytes_sent = 0
        self.active_at = time.monotonic()
        self.unread_bytes = self.discarded_bytes = 0
        self.closes_after_response = False
        self.create_write_buffer: (
            Callable[[Any, Callable[[memoryview], Awaitable[None]]], WriteBuffer] | None
        ) = None
        self._write_buffer: WriteBuffer | None = None
        self._detects_dead_peer = detects_dead_peer
        self._is_prepared = False

    @property
    def _h11(self) -> h11.Connection:
        if self._parser is None:
            self._parser = self._create_parser()
        return self._parser

    def _create_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._header_limit)

    @property
    def _is_between_requests(self) -> bool:
        """Whether nothing of the next request, nor a close, was received."""
        return not self._held and (
            self._parser is None
            or (
                self._parser.their_state is h11.IDLE
                and self._parser.trailing_data == (b"", False)
            )
        )

    def _prepare_socket(self) -> None:
        """Sets the options of the socket, which short refusals do without."""
        if self._is_prepared:
            return
        self._is_prepared = True
        disable_send_delay(self._raw_sock)
        if self._detects_dead_peer:
            limit_silence(self._raw_sock, CALLER_SILENCE)
        self._raw_sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )

    async def _receive(self) -> None:
        try:
            data = await receive(self._sock, self._receive_bytes)
            while not data and self._is_idle_ended and self._is_in_request:
                # More may arrive, although the receiving side was shut down.
                await curio.sleep(ENDED_POLL_INTERVAL_SECONDS)
                data = await receive(self._sock, self._receive_bytes)
        except OSError as err:
            self._note_failure(err)
            raise
        self._is_taken = False
        self._take(data)
        self._is_taken = True

    def _receive_arrived(self) -> bool:
        """Receives what has arrived, without a timer; returns whether anything has."""
        try:
            data = receive_arrived(self._raw_sock, self._receive_bytes)
        except OSError as err:
            self._note_failure(err)
            raise
        if data is None:
            return False
        self._is_taken = False
        self._take(data)
        self._is_taken = True
        return True

    def _take(self, data: bytes) -> None:
        self.active_at = time.monotonic()
        if data and self._receiving is not None:
            self._receiving.move()
        # After end_idle the end of the data says nothing about the peer.
        self.is_peer_closed = not data and not self._is_idle_ended
        if data and self._is_decoding:
            self._undecoded = data
        elif data and self._is_between_requests:
            self._held = data
        elif data or self._held or self._parser is not None:
            self._pass_held()
            self._h11.receive_data(data)

    def _pass_held(self) -> None:
        """Gives h11 what is held."""
        held, self._held = self._held, b""
        if held:
            self._h11.receive_data(held)

    def _note_failure(self, error: OSError) -> None:
        if self.failure is None:
            self.failure = error

    @property
    def failure_name(self) -> str | None:
        """Short name of the failure: that of its errno, or ``send-timeout``."""
        if self.failure is None:
            return None
        if self.is_peer_slow:
            return "send-timeout"
        return errno.errorcode.get(self.failure.errno or 0, "unknown")

    def _peek(self) -> bytes | None:
        # The kernel tells an error once, so it has to be kept here.
        try:
            return peek_or_raise(self._raw_sock)
        except OSError as err:
            self._note_failure(err)
            return b""

    async def receive_request(
        self, *, idle_timeout: float, receive_timeout: float
    ) -> Request | None:
        """Receives the next request, head and body.

        Args:
            idle_timeout: Seconds to wait for the first byte.
            receive_timeout: Seconds from the first byte to the end of the request.

        Returns:
            The request, or None if the peer closed the connection or was idle; an idle
            connection is closed.

        Raises:
            RefusalError: If the request is malformed, too large or too slow.
        """
        if self._is_between_requests:
            has_received = await self._receive_within(idle_timeout)
            has_data = self._held != b""
            if not has_received or (self._is_idle_ended and not has_data):
                # Reading on, as a clean close does, would take a request that arrives
                # now. Left unread, it is reset, so its caller knows that it never ran.
                await self.close()
                return None
            if not has_data:
                return None
        if self._find_limits is not None:
            limits = self._find_limits()
            self._set_limits(limits)
            receive_timeout = limits.receive_timeout
        if self._is_idle_ended:
            receive_timeout = min(receive_timeout, CLOSE_LINGER_SECONDS)
        if self._held:
            request = parse_plain_request(
                self._held, header_limit=self._header_limit, body_limit=self._body_limit
            )
            if request is not None:
                self._hold(request, len(request.body))
                self._unparsed, self._is_head_request = request, False
                self._is_request_whole = True
                return request
            if self._receiving is not None and not self._receiving.begin():
                raise _build_room_error("a request in parts")
            self._pass_held()
        self._has_body_begun = False
        self._receives = 0
        self._receive_timeout = receive_timeout
        self._receive_ends_at = time.monotonic() + receive_timeout
        return await self._receive_complete()

    def _set_limits(self, limits: RequestLimits) -> None:
        """Applies the limits of a request of which nothing was parsed yet."""
        self._body_limit = limits.body_bytes
        self._are_limits_known = limits.are_known
        if limits.header_bytes == self._header_limit:
            return
        self._header_limit = limits.header_bytes
        if self._parser is not None and self._parser.their_state is h11.IDLE:
            # The limit of a parser is set as it is created.
            rest, has_ended = self._parser.trailing_data
            if not has_ended:
                self._parser, self._held = None, bytes(rest) + self._held

    def parse_received(self) -> None:
        """Lets h11 parse a request that was returned before h11 parsed it.

        Without this, only a refusal can be sent. What h11 reads is what counts.

        Raises:
            MalformedRequestError: If h11 reads it differently, or not at all.
        """
        request, self._unparsed = self._unparsed, None
        if request is None:
            return
        try:
            parsed = self._parse_whole()
        except h11.RemoteProtocolError as err:
            raise MalformedRequestError(
                f"{err}; send a request that follows HTTP/1.1"
            ) from err
        if parsed != request:
            raise MalformedRequestError(
                "the request can be read in two ways; send one that follows HTTP/1.1"
            )

    def _parse_whole(self) -> Request:
        """Returns the held request as h11 reads it."""
        self._pass_held()
        event = self._h11.next_event()
        request = _build_request(event)
        while not isinstance(event, h11.EndOfMessage):
            event = self._h11.next_event()
            if isinstance(event, h11.Data):
                request.body += event.data
        return request

    async def _receive_within(self, seconds: float) -> bool:
        """Receives data, or the peer's close, within a time.

        A late event loop may notice the timer before data that has arrived, so the
        socket is looked at once more when the timer fires. Once the time is over, only
        what has arrived is received: waiting for even one pass of a late event loop
        would let a peer that sends a few bytes in each pass go on indefinitely.

        Args:
            seconds: Time left; 0 or less if it is over.

        Returns:
            Whether something was received.
        """
        # An end that may be hidden is left to the wait below.
        if seconds > 0 and not self._is_idle_ended and self._receive_arrived():
            await self._give_way()
            return True
        if seconds > 0:
            async with ignore_after(seconds) as timer:
                await self._receive()
            if not timer.expired:
                return True
        arrived = self._peek()
        is_hidden_end = arrived == b"" and self._is_idle_ended and self._is_in_request
        if arrived is None or is_hidden_end:
            return False
        await self._receive()
        await self._give_way()
        return True

    async def _give_way(self) -> None:
        """Lets other tasks run after some receives that did not wait."""
        self._receives += 1
        if self._receives % RECEIVES_PER_PASS == 0:
            await curio.sleep(0)

    @property
    def _is_in_request(self) -> bool:
        """Whether a part of the next request was received."""
        return (
            self._held != b""
            or self._h11.their_state is not h11.IDLE
            or self._h11.trailing_data[0] != b""
        )

    def _check_head(self) -> None:
        buffered, has_ended = self._h11.trailing_data
        match = HEAD_END_PATTERN.search(buffered)
        if (match.end() if match else len(buffered)) > self._header_limit:
            raise self._build_size_error(
                HeadersTooLargeError(
                    f"the request head is over {self._header_limit} bytes; send fewer "
                    "or shorter header fields"
                )
            )
        if match is None:
            return
        check_request_head(buffered[: match.start()])
        if _HAS_TRANSFER_ENCODING.search(buffered, 0, match.end()):
            # h11 makes an event of each chunk, and all that it was given is decoded
            # without a wait.
            self._parser = self._create_parser()
            self._parser.receive_data(buffered[: match.end()])
            self._undecoded = bytes(buffered[match.end() :])
            self._is_end_undecoded = has_ended

    async def _next_event(self) -> Any:
        while True:
            if self._h11.their_state is h11.IDLE:
                self._check_head()
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as err:
                raise self._build_parse_error(err) from err
            if event is not h11.NEED_DATA:
                return event
            await self._receive_more()

    async def _receive_more(self) -> None:
        """Receives more of the request.

        Raises:
            RequestTimeoutError: If nothing arrives in time, or if bytes still come
                ``RECEIVE_GRACE_SECONDS`` later.
        """
        if self._h11.they_are_waiting_for_100_continue and not self._has_body_begun:
            await self._send(h11.InformationalResponse(status_code=100, headers=[]))
        seconds_left = self._receive_ends_at - time.monotonic()
        is_over = seconds_left < -RECEIVE_GRACE_SECONDS
        if is_over or not await self._receive_within(seconds_left):
            raise RequestTimeoutError(
                f"the request was not complete after {self._receive_timeout} s; "
                "send it faster"
            )
        if self._receiving is not None and self._receiving.has_ended:
            raise _build_room_error("a request that has stalled")

    async def _receive_chunks(self, keep: Callable[[bytes, int], None]) -> None:
        """Receives a chunked body; h11 reads what follows its last chunk.

        Args:
            keep: Called with each part and the number of bytes that wait to be decoded;
                an error that it raises ends the body.
        """

        def hold(size: int) -> None:
            # Small chunks wait for turns, as they are received.
            self._receive_bytes = PIECE_BYTES
            keep(b"", size)

        decoder = ChunkDecoder(
            line_limit_bytes=self._header_limit,
            body_limit_bytes=self._body_limit,
            hold=hold,
        )
        self._is_decoding = True
        while decoder.rest is None:
            if self._undecoded:
                self._has_body_begun = True
                data, self._undecoded = self._undecoded, b""
                started_at = time.monotonic()
                self._receive_bytes = RECEIVE_BYTES
                try:
                    data = await decode_in_turns(decoder, data)
                except h11.RemoteProtocolError as err:
                    raise self._build_parse_error(err) from err
                # The peer may be waiting for this side to read on.
                self._receive_ends_at += time.monotonic() - started_at
                keep(data, 0)
                # Kept while more is awaited, it would be allocated twice.
                del data
                continue
            if not self._is_end_undecoded:
                await self._receive_more()
            if not self._undecoded:
                # The data has ended, which is an error for h11 here.
                break
        self._is_decoding = False
        self._receive_bytes = RECEIVE_BYTES
        if decoder.rest:
            self._h11.receive_data(decoder.rest)
        if self._is_end_undecoded:
            self._h11.receive_data(b"")

    async def _receive_complete(self) -> Request | None:
        event = await self._next_event()
        if isinstance(event, h11.ConnectionClosed):
            return None
        self._is_head_request = event.method == b"HEAD"
        request = _build_request(event)
        # Checked before 100 Continue is sent, so that the peer does not send a body
        # over the limit.
        length = int(request.headers.get("content-length", "0"))
        self._check_size(length)
        self._hold(request, length)
        body = bytearray()

        def keep(data: bytes, undecoded: int = 0) -> None:
            size = len(body) + len(data)
            self._check_size(size)
            self._hold(request, max(size + undecoded, length))
            body.extend(data)

        if "transfer-encoding" in request.headers:
            await self._receive_chunks(keep)
        while isinstance(event := await self._next_event(), h11.Data):
            keep(event.data)
        self._is_request_whole = True
        request.body = bytes(body)
        if self._receiving is not None:
            self._receiving.end()
        return request

    def _hold(self, request: Request, size: int) -> None:
        """Takes room for the body of a request.

        Raises:
            NoRoomError: If there is none.
        """
        if self._open_holding is None or not size:
            return
        if self._holding is None:
            self._holding = self._open_holding(request)
        while not self._holding.resize(size):
            if self._receiving is None or not self._receiving.make_room():
                raise _build_room_error(f"{size} bytes of a body")
        if self._receiving is not None:
            self._receiving.set_body(self._holding.owner, size)

    def _release_body(self) -> None:
        """Gives back the room of the request that was answered last."""
        holding, self._holding = self._holding, None
        if holding is not None:
            holding.release()

    def _check_size(self, size: int) -> None:
        if size > self._body_limit:
            raise self._build_body_size_error()

    def _build_body_size_error(self) -> RefusalError:
        return self._build_size_error(
            BodyTooLargeError(
                f"the request body is over {self._body_limit} bytes; send less"
            )
        )

    def _build_parse_error(self, error: h11.RemoteProtocolError) -> RefusalError:
        """Returns the refusal of a request that cannot be parsed."""
        if error.error_status_hint == 413:
            return self._build_body_size_error()
        if error.error_status_hint == 431:
            return self._build_size_error(
                HeadersTooLargeError(
                    "the request head, a chunk's head or the trailer is over "
                    f"{self._header_limit} bytes; send fewer or shorter fields"
                )
            )
        return MalformedRequestError(f"{error}; send a request that follows HTTP/1.1")

    def _build_size_error(self, error: RefusalError) -> RefusalError:
        """Returns the error for a request that is over a limit."""
        if self._are_limits_known:
            return error
        return NotReadyError(
            "this router has no configuration yet, so it does not know the limits of "
            "requests; try again or send it to another one",
            retry_after=UNKNOWN_LIMITS_RETRY_AFTER_SECONDS,
        )

    async def _write(self, data: bytes, *, begins_response: bool = False) -> None:
        self._is_write_whole = False
        try:
            sent = 0
            if self._write_buffer is None or self._write_buffer.is_idle:
                try:
                    sent = self._raw_sock.send(data)
                except BlockingIOError:
                    sent = 0
            self._is_response_begun |= begins_response
            self.bytes_sent += len(data)
            self.active_at = time.monotonic()
            if sent < len(data):
                await self._write_later(memoryview(data)[sent:])
            self._is_write_whole = True
        except OSError as err:
            self._note_send_failure(err)
            raise

    def _note_send_failure(self, error: OSError) -> None:
        self.has_send_failed = True
        self.is_peer_slow |= isinstance(error, SlowReaderError)
        self._note_failure(error)

    async def _write_later(self, data: memoryview) -> None:
        """Sends a part of a stream when the peer takes it, the rest of others now."""
        if self.create_write_buffer is None or not self._is_streaming:
            await self._write_rest(data)
            return
        if self._write_buffer is None:
            create = self.create_write_buffer
            self._write_buffer = create(self._raw_sock, self._write_rest)
        await self._write_buffer.put(data)

    async def _write_rest(self, data: memoryview) -> None:
        while data:
            try:
                async with timeout_after(self._send_timeout):
                    sent = await self._sock.send(data)
            except curio.TaskTimeout as err:
                sent = self._send_late(data, err)
            data = data[sent:]

    def _send_late(self, data: memoryview, timeout: curio.TaskTimeout) -> int:
        """Sends what the socket takes after the time of a send is over.

        A late event loop may notice the timer before it notices that the peer has read.

        Raises:
            TimeoutError: If the peer has read nothing.
        """
        try:
            return int(self._raw_sock.send(data))
        except BlockingIOError:
            self.is_peer_slow = True
            raise TimeoutError(
                f"the peer has read no data for {self._send_timeout} s"
            ) from timeout

    async def _send(self, event: Any) -> None:
        data = self._h11.send(event)
        if data:
            await self._write(data)

    def _compose(self, *events: Any) -> bytes:
        """Returns the bytes of events of a response.

        Raises:
            h11.LocalProtocolError: If h11 rejects the response. A refusal can still be
                sent if nothing of the response was.
        """
        try:
            return b"".join(self._h11.send(event) for event in events)
        except h11.LocalProtocolError:
            if not self._is_response_begun:
                self._reset_parser()
            raise

    def _reset_parser(self) -> None:
        """Lets a response be sent after h11 rejected another one to the same request.

        h11 sends nothing more after an error, so the request is replaced by a plain one
        to the new parser. The connection ends with that response.
        """
        self._parser = self._create_parser()
        method = b"HEAD" if self._is_head_request else b"GET"
        self._h11.receive_data(method + b" / HTTP/1.1\r\nHost: x\r\n\r\n")
        while self._h11.their_state is not h11.DONE:
            self._h11.next_event()
        self.closes_after_response = True

    async def send_response(
        self, status: int, headers: dict[str, str] | Headers, body: bytes
    ) -> None:
        """Sends a complete response, without the body if the request method is HEAD.

        Raises:
            OSError: If the connection fails or the peer does not read.
            h11.LocalProtocolError: If h11 rejects the response.
        """
        fields = to_h11_headers(headers)
        fields.append((b"content-length", b"%d" % len(body)))
        if self._unparsed is not None and status >= MIN_REFUSAL_STATUS:
            await self._refuse_unparsed(status, fields, body)
            return
        self.parse_received()
        if self.closes_after_response or self._h11.their_state is not h11.DONE:
            _append_close(fields)
        events: list[Any] = [h11.Response(status_code=status, headers=fields)]
        if body and not self._is_head_request:
            events.append(h11.Data(data=body))
        data = self._compose(*events, h11.EndOfMessage())
        await self._write(data, begins_response=True)

    async def _refuse_unparsed(self, status: int, fields: Headers, body: bytes) -> None:
        """Sends the bytes that h11 would send, and drops the request."""
        if self.closes_after_response:
            _append_close(fields)
        head = b"".join(b"%b: %b\r\n" % field for field in fields)
        # Nothing but the request is held, so nothing else is dropped.
        self._unparsed, self._held = None, b""
        self._is_refused_unparsed = True
        self._ends_after_refusal = (b"connection", b"close") in fields
        data = b"HTTP/1.1 %d \r\n%b\r\n%b" % (status, head, body)
        await self._write(data, begins_response=True)

    async def start_stream(
        self, status: int, headers: dict[str, str] | Headers
    ) -> None:
        """Sends the head of a chunked response.

        Raises:
            OSError: If the connection fails or the peer does not read.
            h11.LocalProtocolError: If h11 rejects the response.
        """
        self.parse_received()
        fields = to_h11_headers(headers)
        fields.append((b"transfer-encoding", b"chunked"))
        if self.closes_after_response:
            _append_close(fields)
        data = self._compose(h11.Response(status_code=status, headers=fields))
        await self._write(data, begins_response=True)
        self._is_streaming = True

    async def send_data(self, data: bytes) -> None:
        """Sends one chunk of a chunked response.

        The chunk framing is written here, since passing each chunk through h11 costs
        more than sending it. h11 only tracks the head and the end of the stream.

        Raises:
            OSError: If the connection fails or the peer does not read.
        """
        if not self._is_streaming:
            raise h11.LocalProtocolError(
                "a chunk was sent before start_stream or after end_stream"
            )
        await self._write(b"%x\r\n%b\r\n" % (len(data), data))

    async def end_stream(self) -> None:
        """Ends a chunked response, which marks it as complete.

        Raises:
            OSError: If the connection fails or the peer does not read.
        """
        if self._write_buffer is not None:
            try:
                await self._write_buffer.flush()
            except OSError as err:
                self._note_send_failure(err)
                raise
        self._is_streaming = False
        await self._send(h11.EndOfMessage())

    @property
    def has_peer_left(self) -> bool:
        """Whether the peer closed the connection, even if that was not read yet."""
        return self._peek() == b""

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a further request has arrived, nor a close."""
        return self._is_taken and self._is_between_requests and self._peek() is None

    def end_idle(self) -> None:
        """Makes the task that waits for the next request see a close.

        A request that has begun to arrive before that is still received, within
        ``CLOSE_LINGER_SECONDS``; the end of its data is not seen. A later one is not
        read.
        """
        self._is_idle_ended = True
        with contextlib.suppress(OSError):
            self._raw_sock.shutdown(socket.SHUT_RD)

    @property
    def has_unread(self) -> bool:
        """Whether data of the peer is in the socket."""
        return bool(self._peek())

    async def wait_closed(self) -> None:
        """Waits until the peer closes its side; buffers data received before that."""
        self._prepare_socket()
        self.parse_received()
        while len(self._h11.trailing_data[0]) <= self._header_limit:
            try:
                await self._receive()
            except OSError:
                self.is_peer_closed = True
            if self.is_peer_closed:
                return
        # The peer pipelined more bytes than may be buffered. The rest stays in the
        # kernel until the current request is answered. Only a cancellation ends this
        # wait.
        await curio.Event().wait()

    @property
    def is_response_begun(self) -> bool:
        """Whether a part of the response to the current request may have been sent."""
        return self._is_response_begun

    def discard_response(self) -> None:
        """Lets a refusal be sent in place of a response of which nothing was sent."""
        if not (self._is_response_begun or self.can_refuse):
            self._is_refused_unparsed = False
            self._reset_parser()

    @property
    def has_unanswered_request(self) -> bool:
        """Whether a request was received whole and no response has begun."""
        return self._is_request_whole and not self._is_response_begun

    @property
    def is_left_unanswered(self) -> bool:
        """Whether the peer closed its side before a response to its whole request.

        It may still read: one that closed only its sending side looks like one that
        closed both. This is not so if the connection failed.
        """
        if not self.has_unanswered_request:
            return False
        has_left = self.is_peer_closed or self.has_peer_left
        return has_left and self.failure is None

    @property
    def can_refuse(self) -> bool:
        """Whether the head of a response can still be sent."""
        return not self._is_refused_unparsed and (
            self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)
        )

    def start_next_cycle(self) -> bool:
        """Prepares for the next request; returns False if the connection must close."""
        self._release_body()
        # The next request may be of another organisation.
        self._write_buffer = None
        if self._is_refused_unparsed:
            self._is_refused_unparsed = False
            self._is_request_whole = self._is_response_begun = False
            return self._is_write_whole and not self._ends_after_refusal
        # For h11 a response is done before the socket has taken all of it.
        is_done = self._is_write_whole and self._h11.our_state is h11.DONE
        if not is_done or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self._is_request_whole = self._is_response_begun = False
        return True

    def _drop_received(self) -> None:
        """Frees what was received of a request that is not read any further."""
        self._parser = self._unparsed = None
        self._held = self._undecoded = b""
        self._release_body()
        if self._receiving is not None:
            self._receiving.end()

    async def close(self) -> None:
        """Closes the connection."""
        self._drop_received()
        if self._write_buffer is not None:
            await self._write_buffer.close()
        # The two refer to each other.
        self._receiving = None
        if not (self._is_closed or self.is_peer_closed):
            self.unread_bytes += peek_unread(self._raw_sock)
        self._is_closed = True
        await self._sock.close()

    async def close_cleanly(self) -> None:
        """Closes the connection after the peer could read all that was sent.

        The kernel resets a connection that is closed with unread data, and a reset
        discards what the peer has not read yet. Therefore data from the peer is read
        and discarded until it closes, for at most ``CLOSE_LINGER_SECONDS`` and
        ``CLOSE_LINGER_LIMIT_BYTES``.
        """
        self._drop_received()
        try:
            is_peer_reading = not (
                self._is_closed or self.is_peer_closed or self.is_peer_slow
            )
            if self.bytes_sent and is_peer_reading:
                if self._write_buffer is not None:
                    await wait_for(CLOSE_LINGER_SECONDS, self._write_buffer.flush)
                self._raw_sock.shutdown(socket.SHUT_WR)
                await wait_for(CLOSE_LINGER_SECONDS, self._discard_received)
        except OSError:
            pass
        finally:
            await self.close()

    async def _discard_received(self) -> None:
        remaining_bytes = CLOSE_LINGER_LIMIT_BYTES
        while remaining_bytes > 0 and (count := await discard(self._sock)):
            remaining_bytes -= count
            self.discarded_bytes += count


def _build_room_error(what: str) -> NoRoomError:
    return NoRoomError(
        f"this router has no room for {what} now; try again or send it to another one",
        retry_after=NO_ROOM_RETRY_AFTER_SECONDS,
    )


def _append_close(fields: Headers) -> None:
    if not any(name.lower() == b"connection" for name, _ in fields):
        fields.append((b"connection", b"close"))


def _build_request(event: Any) -> Request:
    """Returns a request without its body."""
    path, _, query = event.target.decode("latin-1").partition("?")
    return Request(
        event.method.decode("ascii"),
        path,
        query,
        to_header_dict(event.headers),
        http_version=event.http_version.decode("ascii"),
        target=bytes(event.target),
        fields=[(bytes(name), bytes(value)) for name, value in event.headers],
    )
