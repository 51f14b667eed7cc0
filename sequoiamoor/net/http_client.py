"""The client's side of HTTP/1.1 connections, with h11 on curio sockets."""

from __future__ import annotations

import contextlib
import socket
import struct
import time
from typing import Any

import curio
import h11
from curio.traps import _read_wait

from ..types import Address
from .chunks import ChunkDecoder
from .http import (
    HEAD_END,
    RECEIVE_BYTES,
    Headers,
    Response,
    from_headers,
    peek,
    set_no_delay,
    set_timeouts,
    to_headers,
)
from .reachability import REACHABILITY

RESPONSE_HEAD_BYTES = 65_536
# Value of SO_LINGER that makes the kernel drop what is unsent and reset at the close.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ClientConnection:
    """The client's side of one connection.

    Attributes:
        bytes_sent: Bytes handed to the kernel so far.
        bytes_received: Bytes received so far.
        waiting_since: Monotonic time since which a receive waits, else None.
        is_aborted: Whether this side ended the connection during an exchange.
        idle_limit: Seconds after which the peer may close the idle connection.
        silence_limit: Seconds without a byte after which the exchange has failed, None
            for the limit of the pool.
    """

    def __init__(
        self, sock: Any, address: Address, *, detects_dead_peer: bool = False
    ) -> None:
        self._sock = sock
        self._raw = sock._socket
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=RESPONSE_HEAD_BYTES
        )
        self._unread = b""
        self._decoder: ChunkDecoder | None = None
        self._sending: Any = None
        self.idle_limit = float("inf")
        self.silence_limit: float | None = None
        self.address = address
        self.bytes_sent = 0
        self.bytes_received = 0
        self.waiting_since: float | None = None
        self.is_aborted = False
        set_no_delay(self._raw)
        if detects_dead_peer:
            set_timeouts(self._raw)

    @classmethod
    async def connect(
        cls, address: Address, *, timeout: float, detects_dead_peer: bool = False
    ) -> ClientConnection:
        """Opens a connection.

        Args:
            address: Address of the peer.
            timeout: Seconds after which the attempt is given up.
            detects_dead_peer: Whether the kernel ends the connection when the peer
                acknowledges nothing for a while.

        Raises:
            OSError: If the connection fails or takes longer than ``timeout``
                seconds.
        """
        REACHABILITY.check(address.host)
        # Addresses are IP addresses, so no name is looked up: curio does that in a
        # thread, even for a number.
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        sock = curio.socket.socket(family, socket.SOCK_STREAM)
        try:
            async with curio.timeout_after(timeout):
                await sock.connect((address.host, address.port))
        except curio.TaskTimeout as err:
            await sock.close()
            raise TimeoutError(f"no connection to {address} in {timeout} s") from err
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
        """Sends a request; what the peer does not take at once, in the background.

        A peer may answer before it has read a long body, so the answer can be
        received while the rest is still being sent.

        Raises:
            OSError: If the connection fails; ``bytes_sent`` tells whether any byte
                was handed to the kernel before.
        """
        fields = to_headers(headers)
        if not any(name == b"host" for name, _ in fields):
            fields.insert(0, (b"host", str(self.address).encode()))
        fields.append((b"content-length", b"%d" % len(body)))
        head = self._h11.send(h11.Request(method=method, target=path, headers=fields))
        data = self._h11.send(h11.Data(data=body)) if body else b""
        self._h11.send(h11.EndOfMessage())
        left = memoryview((head or b"") + (data or b""))
        try:
            sent = self._raw.send(left)
        except BlockingIOError:
            sent = 0
        self.bytes_sent += sent
        if sent < len(left):
            self._sending = await curio.spawn(self._send_rest, left[sent:], daemon=True)

    async def _send_rest(self, left: memoryview) -> None:
        try:
            while left:
                sent = await self._sock.send(left)
                self.bytes_sent += sent
                left = left[sent:]
            self._sending = None
        except OSError:
            # The receiving side meets the same fault and reports it.
            return

    async def _receive(self) -> bytes:
        self.waiting_since = time.monotonic()
        # Waits first: the data of the last receive was all there was, so trying to
        # receive first, as curio does, nearly always fails.
        await _read_wait(self._sock._fileno)
        try:
            data: bytes = self._raw.recv(RECEIVE_BYTES)
        except BlockingIOError:
            data = await self._sock.recv(RECEIVE_BYTES)
        self.waiting_since = None
        self.bytes_received += len(data)
        return data

    async def receive_response(self) -> Response:
        """Receives the head of the response.

        Raises:
            OSError: If the connection fails or closes.
            h11.RemoteProtocolError: If the peer does not follow HTTP/1.1.
        """
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                await self._receive_head()
            elif isinstance(event, h11.Response):
                response = Response(
                    event.status_code,
                    from_headers(event.headers),
                    [(bytes(name), bytes(value)) for name, value in event.headers],
                )
                if (
                    "transfer-encoding" in response.headers
                    and self._h11.their_state is h11.SEND_BODY
                ):
                    self._decoder = ChunkDecoder()
                return response
            elif not isinstance(event, h11.InformationalResponse):
                raise ConnectionResetError(f"{self.address} closed the connection")

    async def _receive_head(self) -> None:
        """Gives h11 one head and keeps what follows it for the body."""
        data = self._unread
        while (match := HEAD_END.search(data)) is None:
            if len(data) > RESPONSE_HEAD_BYTES:
                raise h11.RemoteProtocolError("the response head is too long")
            more = await self._receive()
            if not more:
                if data:
                    self._h11.receive_data(data)
                self._h11.receive_data(b"")
                self._unread = b""
                return
            data += more
        self._h11.receive_data(data[: match.end()])
        self._unread = data[match.end() :]

    async def _receive_body(self) -> bytes:
        if self._unread:
            data, self._unread = self._unread, b""
            return data
        return await self._receive()

    async def receive_data(self) -> bytes | None:
        """Receives the next part of the body, all that is buffered at once.

        Returns:
            Body bytes, or None at the end of the body.

        Raises:
            OSError: If the connection fails.
            h11.RemoteProtocolError: If the body ends early.
        """
        decoder = self._decoder
        while decoder is not None:
            if self._unread:
                received, self._unread = self._unread, b""
            else:
                received = await self._receive()
            data = decoder.feed(received)
            if decoder.rest is not None or not received:
                self._h11.receive_data(decoder.rest or b"")
                decoder = self._decoder = None
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
                self._h11.receive_data(await self._receive_body())
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))

    async def receive_body(self, *, limit: int | None = None) -> bytes:
        """Receives the rest of the body.

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
            parts.append(data)
        return b"".join(parts)

    @property
    def is_reusable(self) -> bool:
        """Whether the last response was read to its end and nothing is unread."""
        return (
            self._h11.our_state is h11.DONE
            and self._sending is None
            and self._h11.their_state is h11.DONE
            and not self._unread
            and self._h11.trailing_data == (b"", False)
        )

    @property
    def is_quiet(self) -> bool:
        """Whether the peer neither closed the idle connection nor sent anything."""
        return peek(self._raw) is None

    async def skip_response(self) -> None:
        """Reads a response that belongs to no request and expects the next one.

        Raises:
            OSError: If the connection fails.
            h11.RemoteProtocolError: If the response is broken.
        """
        await self.receive_body(limit=RESPONSE_HEAD_BYTES)
        rest = self._h11.trailing_data[0] + self._unread
        self._decoder = None
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=RESPONSE_HEAD_BYTES
        )
        # The parser accepts a response only after a request; that one was sent before.
        self._h11.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        self._h11.send(h11.EndOfMessage())
        self._unread = bytes(rest)

    def start_next_cycle(self) -> None:
        """Prepares for the next request."""
        self._h11.start_next_cycle()
        self._decoder = None

    def abort(self) -> None:
        """Ends the connection; a receive that waits sees it closed.

        The sending side stays open, so that the close resets it.
        """
        self.is_aborted = True
        try:
            self._raw.shutdown(socket.SHUT_RD)
        except OSError:
            return

    @property
    def _is_unfinished(self) -> bool:
        """Whether a request was begun whose response was not read to its end."""
        return self._h11.our_state is not h11.IDLE and (
            self._sending is not None
            or self._h11.their_state not in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        )

    async def close(self) -> None:
        """Closes the connection, with a reset in the middle of an exchange.

        After an ordinary close the kernel still delivers what it holds, so that a
        request that was given up in a partition would reach the peer when that heals.
        """
        if self._is_unfinished:
            with contextlib.suppress(OSError):
                self._raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        sending, self._sending = self._sending, None
        if sending is not None:
            # A task that still waits for the socket after its close would make the
            # loop fail as soon as another socket gets the same descriptor.
            await sending.cancel()
        await self._sock.close()


async def exchange(
    address: Address,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float,
) -> tuple[Response, bytes]:
    """Makes one request on a connection of its own.

    Returns:
        The response and its whole body.

    Raises:
        OSError: If the connection fails, the peer breaks the protocol, or the
            exchange takes longer than ``timeout`` seconds.
    """
    connection = None
    try:
        async with curio.timeout_after(timeout):
            connection = await ClientConnection.connect(address, timeout=timeout)
            await connection.send_request(
                method, path, {"connection": "close", **(headers or {})}, body
            )
            response = await connection.receive_response()
            return response, await connection.receive_body()
    except curio.TaskTimeout as err:
        raise TimeoutError(f"{address} did not answer in {timeout} s") from err
    except h11.RemoteProtocolError as err:
        raise ConnectionError(f"{address} broke the protocol: {err}") from err
    finally:
        if connection is not None:
            await connection.close()
