"""Client side of HTTP/1.1 connections, with h11 on curio sockets."""

from __future__ import annotations

import contextlib
import errno
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio
import h11
from curio.traps import _read_wait

from ..timeouts import timeout_after
from ..types import Address
from .chunks import ChunkDecoder, decode_in_turns
from .http import (
    HEAD_END_PATTERN,
    RECEIVE_BYTES,
    UPSTREAM_SILENCE,
    Headers,
    Response,
    disable_send_delay,
    limit_silence,
    limit_unacknowledged_time,
    peek_or_raise,
    set_keepalive,
    to_h11_headers,
    to_header_dict,
)
from .reachability import REACHABILITY
from .tcp_state import (
    count_unacknowledged,
    has_ended,
    is_established,
    is_window_closed,
)

RESPONSE_HEAD_LIMIT_BYTES = 65_536
INFORMATIONAL_RESPONSES_LIMIT = 8
MAX_STATUS = 599
"""Highest status that HTTP defines; h11 accepts all up to 999."""
# Value of SO_LINGER with which a close discards unsent data and resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class GivenUpExchange:
    """How a connection stood when its exchange was given up.

    Attributes:
        local_address: Host and port of this side.
        unacknowledged_bytes: Bytes sent that the peer's kernel had not acknowledged;
            None if the kernel does not tell.
        is_reset: Whether closing the connection resets it. If the kernel had ended it
            before, nothing is sent, and bytes that are on the way may still arrive.
        error: Name of the error with which receiving failed; None without one.
    """

    local_address: str
    unacknowledged_bytes: int | None
    is_reset: bool
    error: str | None


class SendBufferFullError(OSError):
    """The kernel accepts no byte of a request, so nothing of it was sent.

    The peer still has to read an earlier request on the connection. Another connection
    may take this one.
    """


async def _ignore_response(response: Response) -> None:
    """Ignores an informational response."""


class ClientConnection:
    """Client side of one connection.

    Attributes:
        opened_at: Monotonic time in seconds from which the connection was opened.
        bytes_sent: Number of bytes handed to the kernel.
        bytes_received: Number of bytes received.
        waiting_since: Monotonic time in seconds at which a pending receive began, or
            None.
        is_aborted: Whether this side ended the connection during an exchange.
        idle_limit: Seconds after which the peer may close the idle connection.
        silence_limit: Seconds without received data after which ``note_silence`` is
            called, once in a receive; None for never.
        note_silence: Called then. The exchange goes on.
        refused_ids: Identifiers of the requests that the peer refused here. A faulty
            peer may write such a refusal once more, so none of them is sent here again.
    """

    def __init__(
        self, sock: Any, address: Address, *, detects_dead_peer: bool = False
    ) -> None:
        self._sock = sock
        self._raw_sock = sock._socket
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=RESPONSE_HEAD_LIMIT_BYTES
        )
        self._unparsed = b""
        self._chunk_decoder: ChunkDecoder | None = None
        self._send_task: Any = None
        self._may_peek_response = False
        self._is_head_request = False
        self.idle_limit = float("inf")
        self.silence_limit: float | None = None
        self.note_silence: Callable[[], None] | None = None
        self._noted_wait: float | None = None
        self.refused_ids: set[str] = set()
        self.address = address
        self.opened_at = float("-inf")
        self.bytes_sent = 0
        self.bytes_received = 0
        self.waiting_since: float | None = None
        self.is_aborted = False
        self._failure: OSError | None = None
        disable_send_delay(self._raw_sock)
        self._detects_dead_peer = detects_dead_peer
        self._is_probed = False
        self._is_held_up = False
        self._sent_at = self._acknowledged_at = float("-inf")
        self._acknowledged_bytes = self._received_before = self._sent_before = 0
        if detects_dead_peer:
            limit_silence(self._raw_sock, UPSTREAM_SILENCE, is_probed=False)

    @classmethod
    async def connect(
        cls, address: Address, *, timeout: float, detects_dead_peer: bool = False
    ) -> ClientConnection:
        """Opens a connection.

        Args:
            address: Address of the peer.
            timeout: Seconds after which the attempt fails.
            detects_dead_peer: Whether the kernel ends the connection when the peer
                acknowledges nothing for a while.

        Raises:
            OSError: If the connection fails or takes longer than ``timeout``
                seconds.
        """
        REACHABILITY.check(address.host)
        # Hosts are IP addresses, so name resolution is skipped: curio runs it in a
        # thread even for a numeric address.
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        sock = curio.socket.socket(family, socket.SOCK_STREAM)
        try:
            async with timeout_after(timeout):
                await sock.connect((address.host, address.port))
        except curio.TaskTimeout as err:
            # A late event loop may notice the timer before the connection.
            if not _is_connected(sock._socket):
                await sock.close()
                raise TimeoutError(
                    f"connecting to {address} took longer than {timeout} s"
                ) from err
        except BaseException:
            await sock.close()
            raise
        REACHABILITY.track(sock, address.host)
        return cls(sock, address, detects_dead_peer=detects_dead_peer)

    async def send_request(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | Headers,
        body: bytes,
    ) -> None:
        """Sends a request; a task sends the rest of one of which a part was accepted.

        A peer may answer before it has read a long body, so the answer can be
        received while the rest of the body is still being sent.

        ``bytes_sent`` tells from then on whether any byte of the request was handed to
        the kernel: the task begins nothing that was not begun here.

        Raises:
            SendBufferFullError: If the kernel accepts no byte of it.
            OSError: If the connection fails.
        """
        self._may_peek_response = True
        self._sent_at = time.monotonic()
        self._received_before = self.bytes_received
        self._sent_before = self.bytes_sent
        self._is_head_request = method == "HEAD"
        fields = to_h11_headers(headers)
        if not any(name == b"host" for name, _ in fields):
            fields.insert(0, (b"host", str(self.address).encode()))
        fields.append((b"content-length", b"%d" % len(body)))
        head = self._h11.send(h11.Request(method=method, target=path, headers=fields))
        data = self._h11.send(h11.Data(data=body)) if body else b""
        self._h11.send(h11.EndOfMessage())
        unsent = memoryview((head or b"") + (data or b""))
        try:
            sent = self._raw_sock.send(unsent)
        except BlockingIOError as err:
            raise SendBufferFullError(
                f"{self.address} has not read the request before; nothing of this one "
                "was sent"
            ) from err
        self.bytes_sent += sent
        if sent < len(unsent):
            self._send_task = await curio.spawn(
                self._send_rest, unsent[sent:], daemon=True
            )

    async def _send_rest(self, unsent: memoryview) -> None:
        try:
            while unsent:
                sent = await self._sock.send(unsent)
                self.bytes_sent += sent
                unsent = unsent[sent:]
            self._send_task = None
        except OSError as err:
            # The kernel reports a reset once, so the task that receives may see an
            # ordinary end of the connection.
            self._failure = self._failure or err

    async def _receive(self) -> bytes:
        self.waiting_since = time.monotonic()
        # Waits before receiving: the previous receive took all data, so receiving
        # without a wait, as curio tries to, would nearly always block.
        await _read_wait(self._sock._fileno)
        try:
            data = await self._receive_arrived()
        except OSError as err:
            self._failure = err
            raise
        self.waiting_since = None
        if not data:
            self._check_end()
        self.bytes_received += len(data)
        return data

    def _check_end(self) -> None:
        """Checks that the peer has closed its side, which may end a body.

        Raises:
            OSError: If the connection was reset.
            h11.RemoteProtocolError: If this side has ended it.
        """
        if self.is_aborted:
            raise h11.RemoteProtocolError("the peer sent nothing for too long")
        if self._failure is not None or has_ended(self._raw_sock):
            raise ConnectionResetError(
                f"{self.address} reset the connection"
            ) from self._failure

    def _peek(self) -> bytes | None:
        try:
            return peek_or_raise(self._raw_sock)
        except OSError as err:
            self._failure = self._failure or err
            return b""

    async def _receive_arrived(self) -> bytes:
        try:
            data: bytes = self._raw_sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            data = await self._sock.recv(RECEIVE_BYTES)
        return data

    async def receive_response(
        self,
        on_interim: Callable[[Response], Awaitable[None]] = _ignore_response,
    ) -> Response:
        """Receives the head of the response.

        Args:
            on_interim: Called with each informational response before it.

        Raises:
            OSError: If the connection fails or is closed.
            h11.RemoteProtocolError: If the peer does not follow HTTP/1.1.
        """
        informational_count = 0
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                await self._receive_head()
            elif isinstance(event, h11.Response):
                self._may_peek_response = False
                response = _build_response(event)
                if response.status > MAX_STATUS:
                    raise h11.RemoteProtocolError(
                        f"the status {response.status} is over {MAX_STATUS}"
                    )
                if (
                    "transfer-encoding" in response.headers
                    and not self._is_head_request
                    and self._h11.their_state is h11.SEND_BODY
                ):
                    self._chunk_decoder = ChunkDecoder()
                return response
            elif isinstance(event, h11.InformationalResponse):
                informational_count += 1
                if informational_count > INFORMATIONAL_RESPONSES_LIMIT:
                    raise h11.RemoteProtocolError(
                        f"over {INFORMATIONAL_RESPONSES_LIMIT} informational responses "
                        "came before the response"
                    )
                await on_interim(_build_response(event))
            else:
                raise ConnectionResetError(f"{self.address} closed the connection")

    def peek_response(self) -> Response | None:
        """Returns the head of a response that arrived while the event loop was late.

        Returns:
            The first head in the kernel's buffer, which stays there; None if there is
            no complete one, or if one was returned since the request was sent.
        """
        if not self._may_peek_response or self.waiting_since is None:
            return None
        try:
            data = self._raw_sock.recv(RESPONSE_HEAD_LIMIT_BYTES, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError as err:
            self._failure = self._failure or err
            return None
        if (match := HEAD_END_PATTERN.search(data)) is None:
            return None
        self._may_peek_response = False
        parser = _create_response_parser()
        try:
            parser.receive_data(data[: match.end()])
            event = parser.next_event()
        except h11.RemoteProtocolError:
            # The task that receives gets the same error and reports it.
            return None
        if isinstance(event, h11.Response | h11.InformationalResponse):
            return _build_response(event)
        return None

    async def _receive_head(self) -> None:
        """Passes one head to h11 and stores the bytes after it as part of the body."""
        data = self._unparsed
        while (match := HEAD_END_PATTERN.search(data)) is None:
            if len(data) > RESPONSE_HEAD_LIMIT_BYTES:
                raise h11.RemoteProtocolError(
                    "the response head is over the size limit"
                )
            more = await self._receive()
            if not more:
                if data:
                    self._h11.receive_data(data)
                self._h11.receive_data(b"")
                self._unparsed = b""
                return
            data += more
        self._h11.receive_data(data[: match.end()])
        self._unparsed = data[match.end() :]

    async def _receive_body_part(self) -> bytes:
        if self._unparsed:
            data, self._unparsed = self._unparsed, b""
            return data
        return await self._receive()

    async def receive_data(self) -> bytes | None:
        """Receives the next part of the body, including all that is buffered.

        Returns:
            Body bytes, or None at the end of the body.

        Raises:
            OSError: If the connection fails.
            h11.RemoteProtocolError: If the body ends early.
        """
        decoder = self._chunk_decoder
        while decoder is not None:
            if self._unparsed:
                received, self._unparsed = self._unparsed, b""
            else:
                received = await self._receive()
            data = await decode_in_turns(decoder, received)
            if decoder.rest is not None or not received:
                self._h11.receive_data(decoder.rest or b"")
                decoder = self._chunk_decoder = None
            if data:
                return data
        parts: list[bytes] = []
        while True:
            if self._h11.their_state is not h11.SEND_BODY:
                return b"".join(parts) if parts else None
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                if parts:
                    return b"".join(parts)
                self._h11.receive_data(await self._receive_body_part())
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))

    async def receive_body(
        self,
        *,
        limit: int | None = None,
        check_room: Callable[[int], None] = lambda count: None,
    ) -> bytes:
        """Receives the rest of the body.

        Args:
            limit: Largest size in bytes; None for any.
            check_room: Called with the bytes of each part before it is kept; an error
                that it raises ends the body.

        Raises:
            OSError: If the connection fails.
            h11.RemoteProtocolError: If the body ends early or is over ``limit``
                bytes.
        """
        parts = []
        size = 0
        while (data := await self.receive_data()) is not None:
            size += len(data)
            if limit is not None and size > limit:
                raise h11.RemoteProtocolError(f"the body is over {limit} bytes")
            check_room(len(data))
            parts.append(data)
        return b"".join(parts)

    @property
    def is_reusable(self) -> bool:
        """Whether the last response was read to its end and nothing is unread."""
        return (
            self._h11.our_state is h11.DONE
            and self._send_task is None
            and self._h11.their_state is h11.DONE
            and not self._unparsed
            and self._h11.trailing_data == (b"", False)
        )

    @property
    def is_quiet(self) -> bool:
        """Whether the peer neither closed the idle connection nor sent data on it."""
        return self._peek() is None

    @property
    def is_established(self) -> bool:
        """Whether neither side has closed the connection, whatever is unread."""
        return not self.is_aborted and is_established(self._raw_sock)

    async def skip_response(self) -> None:
        """Discards a response to another request and expects the next response.

        Raises:
            OSError: If the connection fails.
            h11.RemoteProtocolError: If the response is malformed, or its body is over
                ``RESPONSE_HEAD_LIMIT_BYTES``.
        """
        await self.receive_body(limit=RESPONSE_HEAD_LIMIT_BYTES)
        rest = self._h11.trailing_data[0] + self._unparsed
        self._chunk_decoder = None
        self._h11 = _create_response_parser()
        self._unparsed = bytes(rest)

    def start_next_cycle(self) -> None:
        """Prepares for the next request."""
        self._h11.start_next_cycle()
        self._chunk_decoder = None

    def abort(self) -> None:
        """Shuts the receiving side down, so that a pending receive fails.

        What has arrived before is still received. The sending side stays open, so that
        ``close`` resets the connection.
        """
        self.is_aborted = True
        try:
            self._raw_sock.shutdown(socket.SHUT_RD)
        except OSError:
            return

    @property
    def _is_exchange_incomplete(self) -> bool:
        """Whether a part of a request was sent and its response was not read whole."""
        return (
            self._h11.our_state is not h11.IDLE
            and self.bytes_sent != self._sent_before
            and (
                self._send_task is not None
                or self._h11.their_state not in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
            )
        )

    def set_probed(self, is_probed: bool) -> None:
        """Lets the kernel probe whether the peer is still there, or not.

        The kernel counts the silence from before a send. Probes that began before it
        could end the connection right after the send.
        """
        if self._detects_dead_peer and is_probed != self._is_probed:
            self._is_probed = is_probed
            set_keepalive(self._raw_sock, is_probed)

    def _set_held_up(self, is_held_up: bool) -> None:
        """Lets the kernel bear a peer that is there and reads nothing, or not."""
        if self._detects_dead_peer and is_held_up != self._is_held_up:
            limit_ms = 0 if is_held_up else UPSTREAM_SILENCE.unacknowledged_ms
            with contextlib.suppress(OSError):
                limit_unacknowledged_time(self._raw_sock, limit_ms)
        self._is_held_up = is_held_up

    def find_unacknowledged_time(self, now: float) -> float:
        """Returns for how many seconds the peer has acknowledged nothing more.

        Args:
            now: Monotonic time in seconds.

        Returns:
            0 if all that was sent is acknowledged, if an answer has begun to arrive, or
            if the peer acknowledges that it has no room for more.
        """
        unacknowledged = count_unacknowledged(self._raw_sock) or 0
        self._set_held_up(bool(unacknowledged) and is_window_closed(self._raw_sock))
        if self._is_held_up:
            self._acknowledged_at = now
            return 0.0
        if not unacknowledged or self.bytes_received != self._received_before:
            self.set_probed(True)
            return 0.0
        acknowledged = self.bytes_sent - unacknowledged
        if acknowledged > self._acknowledged_bytes:
            self._acknowledged_bytes, self._acknowledged_at = acknowledged, now
        return now - max(self._sent_at, self._acknowledged_at)

    def check_silence(self, now: float) -> None:
        """Calls ``note_silence`` if the pending receive takes longer than the limit.

        Args:
            now: Monotonic time in seconds.
        """
        since = self.waiting_since
        if (
            self.note_silence is not None
            and self.silence_limit is not None
            and since is not None
            and since != self._noted_wait
            and now - since >= self.silence_limit
            and self.is_quiet
        ):
            self._noted_wait = since
            self.note_silence()

    def describe_given_up(self) -> GivenUpExchange | None:
        """Returns how the connection stands; None if no exchange is incomplete."""
        if not self._is_exchange_incomplete:
            return None
        try:
            host, port = self._raw_sock.getsockname()[:2]
        except OSError:
            host, port = "", 0
        number = self._failure.errno if self._failure is not None else None
        return GivenUpExchange(
            local_address=str(Address(host, port)),
            unacknowledged_bytes=count_unacknowledged(self._raw_sock),
            is_reset=not has_ended(self._raw_sock),
            error=errno.errorcode.get(number or 0),
        )

    async def close(self) -> None:
        """Closes the connection; resets it if an exchange is incomplete.

        After an ordinary close the kernel still delivers buffered data, so a request
        that was abandoned during a partition would reach the peer when the
        partition ends.
        """
        if self._is_exchange_incomplete:
            with contextlib.suppress(OSError):
                self._raw_sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        send_task, self._send_task = self._send_task, None
        if send_task is not None:
            # A task that still waits for the closed socket would make the curio kernel
            # fail as soon as another socket gets the same file descriptor.
            await send_task.cancel()
        await self._sock.close()


def _is_connected(sock: Any) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def _create_response_parser() -> h11.Connection:
    """Returns a parser for the response to a request that was sent before."""
    parser = h11.Connection(
        h11.CLIENT, max_incomplete_event_size=RESPONSE_HEAD_LIMIT_BYTES
    )
    # A parser accepts a response only after a request, so this one sets the state.
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())
    return parser


def _build_response(event: h11.Response | h11.InformationalResponse) -> Response:
    return Response(
        event.status_code,
        to_header_dict(event.headers),
        [(bytes(name), bytes(value)) for name, value in event.headers],
    )


async def exchange(
    address: Address,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float,
) -> tuple[Response, bytes]:
    """Makes one request on a new connection.

    Returns:
        The response and its complete body.

    Raises:
        OSError: If the connection fails, the peer violates HTTP/1.1, or the
            exchange takes longer than ``timeout`` seconds.
    """
    connection = None
    try:
        async with timeout_after(timeout):
            connection = await ClientConnection.connect(address, timeout=timeout)
            await connection.send_request(
                method, path, {"connection": "close", **(headers or {})}, body
            )
            response = await connection.receive_response()
            return response, await connection.receive_body()
    except curio.TaskTimeout as err:
        raise TimeoutError(f"{address} did not answer within {timeout} s") from err
    except h11.RemoteProtocolError as err:
        raise ConnectionError(
            f"{address} violated the HTTP/1.1 protocol: {err}"
        ) from err
    finally:
        if connection is not None:
            await connection.close()
