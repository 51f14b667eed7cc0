"""HTTP/1.1 connections on curio sockets, with h11 on both sides."""

from __future__ import annotations

import re
import socket
import time
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

import curio
import h11
from curio.traps import _read_wait

from ..errors import (
    BodyTooLargeError,
    HeadersTooLargeError,
    MalformedRequestError,
    RequestTimeoutError,
)
from ..types import Address
from .reachability import REACHABILITY

RECEIVE_BYTES = 65_536
SEND_TIMEOUT_SECONDS = 30.0
# Bounds what the kernel takes for a peer that does not read. With the default of some
# megabytes, a peer that reads slowly shows no progress for long.
SEND_BUFFER_BYTES = 262_144
LINGER_SECONDS = 2.0
LINGER_BYTES = 4_194_304
CHUNK_LINE_BYTES = 256
RESPONSE_HEAD_BYTES = 65_536

_HEAD_END = re.compile(rb"\n\r?\n")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?")
_BODY_FRAMING = (b"content-length", b"transfer-encoding")

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Request:
    """A request whose head and body were received completely."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes = b""
    http_version: str = "1.1"


@dataclass(slots=True)
class Response:
    """A response whose head was received; the body is read separately."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def is_framed(self) -> bool:
        """Whether the end of the body can be told from a broken connection."""
        return (
            self.status in (204, 304)
            or "content-length" in self.headers
            or "transfer-encoding" in self.headers
        )


def to_headers(values: dict[str, str]) -> Headers:
    """Returns header fields in the form that h11 takes."""
    return [(name.encode(), value.encode()) for name, value in values.items()]


def from_headers(headers: Any) -> dict[str, str]:
    """Returns header fields with lower-case names as text.

    The values of repeated fields are joined with commas, so that a repeated field
    that allows one value only is seen as a wrong value and not as its last one.
    """
    values: dict[str, str] = {}
    for raw_name, raw_value in list(headers):
        name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
        values[name] = f"{values[name]}, {value}" if name in values else value
    return values


def check_request_head(head: bytes) -> None:
    """Checks what h11 accepts silently but another parser may read differently.

    Args:
        head: Raw bytes up to the empty line.

    Raises:
        MalformedRequestError: If a line is folded, or if the head has both
            Content-Length and Transfer-Encoding.
    """
    names = set()
    for line in head.split(b"\n")[1:]:
        if line[:1] in (b" ", b"\t"):
            raise MalformedRequestError(
                "a header line is folded; send each header field on one line"
            )
        names.add(line.partition(b":")[0].strip().lower())
    if names.issuperset(_BODY_FRAMING):
        raise MalformedRequestError(
            "the request has both Content-Length and Transfer-Encoding; send one"
        )


def _set_no_delay(sock: Any) -> None:
    # Without it the kernel may hold a small chunk until the one before it is
    # acknowledged.
    if sock.family in (socket.AF_INET, socket.AF_INET6):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class ServerConnection:
    """The server's side of one connection."""

    def __init__(
        self,
        sock: Any,
        *,
        header_limit: int,
        body_limit: int,
        send_timeout: float = SEND_TIMEOUT_SECONDS,
    ) -> None:
        self._sock = sock
        # The plain socket below curio's: one call sends without a coroutine, and
        # only a peer that does not read costs a timeout.
        self._raw = sock._socket
        self._body_limit = body_limit
        self._header_limit = header_limit
        self._send_timeout = send_timeout
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=header_limit)
        self._is_head = False
        self._is_streaming = False
        self._is_closed = False
        self.is_peer_closed = False
        self.is_peer_slow = False
        self.bytes_sent = 0
        _set_no_delay(self._raw)
        self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    async def _receive(self) -> None:
        data = await self._sock.recv(RECEIVE_BYTES)
        self.is_peer_closed = not data
        self._h11.receive_data(data)

    async def receive_request(
        self, *, idle_timeout: float, receive_timeout: float
    ) -> Request | None:
        """Receives the next request, head and body.

        Args:
            idle_timeout: Seconds to wait for the first byte.
            receive_timeout: Seconds from then until the request is complete.

        Returns:
            The request, or None if the peer closed the connection or was idle.

        Raises:
            RefusalError: If the request is malformed, too large or too slow.
        """
        if self._h11.trailing_data == (b"", False):
            await curio.ignore_after(idle_timeout, self._receive)
            if self._h11.trailing_data[0] == b"":
                return None
        try:
            async with curio.timeout_after(receive_timeout):
                return await self._receive_whole()
        except curio.TaskTimeout as err:
            raise RequestTimeoutError(
                f"the request was not complete after {receive_timeout} s; send it "
                "faster"
            ) from err

    def _check_head(self) -> None:
        buffered = self._h11.trailing_data[0]
        match = _HEAD_END.search(buffered)
        if (match.end() if match else len(buffered)) > self._header_limit:
            raise HeadersTooLargeError(
                f"the request head is over {self._header_limit} bytes; send fewer or "
                "shorter header fields"
            )
        if match:
            check_request_head(buffered[: match.start()])

    async def _next_event(self) -> Any:
        while True:
            if self._h11.their_state is h11.IDLE:
                self._check_head()
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as err:
                if err.error_status_hint == 431:
                    raise HeadersTooLargeError(
                        f"the request head, a chunk's head or the trailer is over "
                        f"{self._header_limit} bytes; send fewer or shorter fields"
                    ) from err
                raise MalformedRequestError(
                    f"{err}; send a request that follows HTTP/1.1"
                ) from err
            if event is not h11.NEED_DATA:
                return event
            if self._h11.they_are_waiting_for_100_continue:
                await self._send(h11.InformationalResponse(status_code=100, headers=[]))
            await self._receive()

    async def _receive_whole(self) -> Request | None:
        event = await self._next_event()
        if isinstance(event, h11.ConnectionClosed):
            return None
        self._is_head = event.method == b"HEAD"
        headers = from_headers(event.headers)
        path, _, query = event.target.decode("latin-1").partition("?")
        request = Request(
            event.method.decode("ascii"),
            path,
            query,
            headers,
            http_version=event.http_version.decode("ascii"),
        )
        # Before 100-continue is sent, so that a body over the limit is not sent.
        self._check_size(int(headers.get("content-length", "0")))
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                request.body = b"".join(parts)
                return request
            size += len(event.data)
            self._check_size(size)
            parts.append(bytes(event.data))

    def _check_size(self, size: int) -> None:
        if size > self._body_limit:
            raise BodyTooLargeError(
                f"the request body is over {self._body_limit} bytes; send less"
            )

    async def _write(self, data: bytes) -> None:
        try:
            sent = self._raw.send(data)
        except BlockingIOError:
            sent = 0
        self.bytes_sent += len(data)
        if sent < len(data):
            await self._write_rest(memoryview(data)[sent:])

    async def _write_rest(self, data: memoryview) -> None:
        try:
            while data:
                async with curio.timeout_after(self._send_timeout):
                    sent = await self._sock.send(data)
                data = data[sent:]
        except curio.TaskTimeout as err:
            self.is_peer_slow = True
            raise TimeoutError(
                f"the peer read nothing for {self._send_timeout} s"
            ) from err

    async def _send(self, event: Any) -> None:
        data = self._h11.send(event)
        if data:
            await self._write(data)

    async def send_response(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Sends a whole response; to a HEAD request without its body.

        Raises:
            OSError: If the connection fails or the peer does not read.
        """
        fields = to_headers({**headers, "content-length": str(len(body))})
        if self._h11.their_state is not h11.DONE:
            fields.append((b"connection", b"close"))
        head = self._h11.send(h11.Response(status_code=status, headers=fields))
        data = b""
        if body and not self._is_head:
            data = self._h11.send(h11.Data(data=body))
        end = self._h11.send(h11.EndOfMessage())
        await self._write(b"".join((head, data, end)))

    async def start_stream(self, status: int, headers: dict[str, str]) -> None:
        """Sends the head of a chunked response.

        Raises:
            OSError: If the connection fails or the peer does not read.
        """
        fields = to_headers({**headers, "transfer-encoding": "chunked"})
        await self._send(h11.Response(status_code=status, headers=fields))
        self._is_streaming = True

    async def send_data(self, data: bytes) -> None:
        """Sends one chunk of a chunked response.

        The framing of a chunk is written here, since passing each through h11 costs
        more than sending it; h11 keeps the state between head and end.

        Raises:
            OSError: If the connection fails or the peer does not read.
        """
        if not self._is_streaming:
            raise h11.LocalProtocolError("a chunk can follow only the head of a stream")
        await self._write(b"%x\r\n%b\r\n" % (len(data), data))

    async def end_stream(self) -> None:
        """Ends a chunked response as complete.

        Raises:
            OSError: If the connection fails or the peer does not read.
        """
        self._is_streaming = False
        await self._send(h11.EndOfMessage())

    async def wait_closed(self) -> None:
        """Returns when the peer closes its side; keeps data that comes earlier."""
        while len(self._h11.trailing_data[0]) <= self._header_limit:
            try:
                await self._receive()
            except OSError:
                self.is_peer_closed = True
            if self.is_peer_closed:
                return
        # More pipelined bytes than may be kept: they stay in the kernel until the
        # present request is answered.
        await curio.Event().wait()

    @property
    def can_refuse(self) -> bool:
        """Whether the head of a response can still be sent."""
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def start_next_cycle(self) -> bool:
        """Prepares for the next request; returns False if there is none."""
        if self._h11.our_state is not h11.DONE or (
            self._h11.their_state is not h11.DONE
        ):
            return False
        self._h11.start_next_cycle()
        return True

    async def close(self) -> None:
        """Closes the connection."""
        self._is_closed = True
        await self._sock.close()

    async def close_cleanly(self) -> None:
        """Closes the connection so that the peer can read all that was sent.

        The kernel resets a connection that is closed with unread data, and a reset
        drops what the peer has not read yet. Therefore data of the peer is read and
        dropped until it closes, within limits of time and size.
        """
        try:
            is_heard = not (self._is_closed or self.is_peer_closed or self.is_peer_slow)
            if self.bytes_sent and is_heard:
                self._raw.shutdown(socket.SHUT_WR)
                await curio.ignore_after(LINGER_SECONDS, self._drop_received)
        except OSError:
            pass
        finally:
            await self.close()

    async def _drop_received(self) -> None:
        left = LINGER_BYTES
        while left > 0 and (data := await self._sock.recv(RECEIVE_BYTES)):
            left -= len(data)


@lru_cache(maxsize=1024)
def parse_chunk_size(line: bytes) -> int:
    """Returns the size in the head of a chunk.

    Raises:
        h11.RemoteProtocolError: If the line is not the head of a chunk.
    """
    match = _CHUNK_SIZE.fullmatch(line)
    if match is None:
        raise h11.RemoteProtocolError(f"illegal chunk head {line[:80]!r}")
    return int(match[1], 16)


class ChunkDecoder:
    """Removes the framing of a chunked body up to its last, empty chunk.

    Attributes:
        rest: Bytes from the last chunk on, once it is reached; they are left to h11,
            which then knows that the body is complete.
    """

    __slots__ = ("_buffer", "_left", "rest")

    def __init__(self) -> None:
        self._buffer = b""
        self._left = 0
        self.rest: bytes | None = None

    def feed(self, data: bytes) -> bytes:
        """Takes received bytes and returns the body bytes among them.

        Raises:
            h11.RemoteProtocolError: If the framing is wrong.
        """
        if self._buffer:
            data = self._buffer + data
        size = len(data)
        position = 0
        parts: list[bytes] = []
        while position < size:
            # _left counts the rest of the chunk with the line end behind it.
            if self._left > 2:
                part = data[position : position + self._left - 2]
                parts.append(part)
                position += len(part)
                self._left -= len(part)
            elif self._left:
                if not b"\r\n".startswith(data[position : position + 2]):
                    raise h11.RemoteProtocolError("a chunk does not end at its size")
                if size - position < 2:
                    break
                position += 2
                self._left = 0
            else:
                end = data.find(b"\r\n", position)
                if end < 0:
                    if size - position > CHUNK_LINE_BYTES:
                        raise h11.RemoteProtocolError("the head of a chunk is too long")
                    break
                chunk_size = parse_chunk_size(data[position:end])
                if not chunk_size:
                    self.rest = data[position:]
                    self._buffer = b""
                    return b"".join(parts)
                position = end + 2
                self._left = chunk_size + 2
        self._buffer = data[position:]
        return parts[0] if len(parts) == 1 else b"".join(parts)


class ClientConnection:
    """The client's side of one connection.

    Attributes:
        bytes_sent: Bytes handed to the kernel so far.
        bytes_received: Bytes received so far.
        waits_since: Monotonic time since which a receive waits, else None.
        is_aborted: Whether this side ended the connection during an exchange.
    """

    def __init__(self, sock: Any, address: Address) -> None:
        self._sock = sock
        self._raw = sock._socket
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=RESPONSE_HEAD_BYTES
        )
        self._unread = b""
        self._decoder: ChunkDecoder | None = None
        self.address = address
        self.bytes_sent = 0
        self.bytes_received = 0
        self.waits_since: float | None = None
        self.is_aborted = False
        _set_no_delay(self._raw)

    @classmethod
    async def connect(cls, address: Address, *, timeout: float) -> ClientConnection:
        """Opens a connection.

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
        return cls(sock, address)

    async def send_request(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Sends a whole request.

        Raises:
            OSError: If the connection fails; ``bytes_sent`` tells whether any byte
                was handed to the kernel before.
        """
        fields = to_headers(
            {"host": str(self.address), **headers, "content-length": str(len(body))}
        )
        head = self._h11.send(h11.Request(method=method, target=path, headers=fields))
        data = self._h11.send(h11.Data(data=body)) if body else b""
        self._h11.send(h11.EndOfMessage())
        left = memoryview((head or b"") + (data or b""))
        while left:
            sent = await self._sock.send(left)
            self.bytes_sent += sent
            left = left[sent:]

    async def _receive(self) -> bytes:
        self.waits_since = time.monotonic()
        # Waits first: the data of the last receive was all there was, so trying to
        # receive first, as curio does, nearly always fails.
        await _read_wait(self._sock._fileno)
        try:
            data: bytes = self._raw.recv(RECEIVE_BYTES)
        except BlockingIOError:
            data = await self._sock.recv(RECEIVE_BYTES)
        self.waits_since = None
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
                response = Response(event.status_code, from_headers(event.headers))
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
        while (match := _HEAD_END.search(data)) is None:
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
            and self._h11.their_state is h11.DONE
            and not self._unread
            and self._h11.trailing_data == (b"", False)
        )

    @property
    def is_quiet(self) -> bool:
        """Whether the peer neither closed the idle connection nor sent anything."""
        try:
            self._raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def start_next_cycle(self) -> None:
        """Prepares for the next request."""
        self._h11.start_next_cycle()
        self._decoder = None

    def abort(self) -> None:
        """Ends the connection; a receive that waits sees it closed."""
        self.is_aborted = True
        try:
            self._raw.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    async def close(self) -> None:
        """Closes the connection."""
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
