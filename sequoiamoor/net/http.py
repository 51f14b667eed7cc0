"""HTTP/1.1 connections on curio sockets, with h11 on both sides."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import curio
import h11

from ..errors import (
    BodyTooLargeError,
    HeadersTooLargeError,
    MalformedRequestError,
    RequestTimeoutError,
)
from ..types import Address
from .reachability import REACHABILITY

RECEIVE_BYTES = 65_536

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Request:
    """A request whose head and body were received completely."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes = b""


@dataclass(slots=True)
class Response:
    """A response whose head was received; the body is read separately."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)


def to_headers(values: dict[str, str]) -> Headers:
    """Returns header fields in the form that h11 takes."""
    return [(name.encode(), value.encode()) for name, value in values.items()]


def from_headers(headers: Any) -> dict[str, str]:
    """Returns header fields with lower-case names as text."""
    return {
        name.decode("ascii"): value.decode("latin-1") for name, value in list(headers)
    }


class ServerConnection:
    """The server's side of one connection."""

    def __init__(self, sock: Any, *, header_limit: int, body_limit: int) -> None:
        self._sock = sock
        self._body_limit = body_limit
        self._header_limit = header_limit
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=header_limit)
        self.bytes_sent = 0

    async def _receive(self) -> None:
        self._h11.receive_data(await self._sock.recv(RECEIVE_BYTES))

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
            data = await curio.ignore_after(
                idle_timeout, self._sock.recv, RECEIVE_BYTES
            )
            if not data:
                return None
            self._h11.receive_data(data)
        try:
            async with curio.timeout_after(receive_timeout):
                return await self._receive_whole()
        except curio.TaskTimeout as err:
            raise RequestTimeoutError(
                f"the request was not complete after {receive_timeout} s; send it "
                "faster"
            ) from err

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as err:
                if err.error_status_hint == 431:
                    raise HeadersTooLargeError(
                        f"the request head is over {self._header_limit} bytes; send "
                        "fewer or shorter header fields"
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
        headers = from_headers(event.headers)
        if "content-length" in headers and "transfer-encoding" in headers:
            raise MalformedRequestError(
                "the request has both Content-Length and Transfer-Encoding; send one"
            )
        path, _, query = event.target.decode("latin-1").partition("?")
        request = Request(event.method.decode("ascii"), path, query, headers)
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                request.body = b"".join(parts)
                return request
            size += len(event.data)
            if size > self._body_limit:
                raise BodyTooLargeError(
                    f"the request body is over {self._body_limit} bytes; send less"
                )
            parts.append(bytes(event.data))

    async def _send(self, event: Any) -> None:
        data = self._h11.send(event)
        if data:
            self.bytes_sent += len(data)
            await self._sock.sendall(data)

    async def send_response(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Sends a whole response."""
        fields = to_headers({**headers, "content-length": str(len(body))})
        head = self._h11.send(h11.Response(status_code=status, headers=fields))
        data = self._h11.send(h11.Data(data=body)) if body else b""
        end = self._h11.send(h11.EndOfMessage())
        message = b"".join(part for part in (head, data, end) if part)
        self.bytes_sent += len(message)
        await self._sock.sendall(message)

    async def start_stream(self, status: int, headers: dict[str, str]) -> None:
        """Sends the head of a chunked response."""
        fields = to_headers({**headers, "transfer-encoding": "chunked"})
        await self._send(h11.Response(status_code=status, headers=fields))

    async def send_data(self, data: bytes) -> None:
        """Sends one chunk of a chunked response."""
        await self._send(h11.Data(data=data))

    async def end_stream(self) -> None:
        """Ends a chunked response as complete."""
        await self._send(h11.EndOfMessage())

    async def wait_closed(self) -> None:
        """Returns when the peer closes its side; keeps data that comes earlier."""
        while True:
            try:
                data = await self._sock.recv(RECEIVE_BYTES)
            except OSError:
                return
            if not data:
                return
            self._h11.receive_data(data)
            if len(self._h11.trailing_data[0]) > self._header_limit:
                return

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
        await self._sock.close()


class ClientConnection:
    """The client's side of one connection."""

    def __init__(self, sock: Any, address: Address) -> None:
        self._sock = sock
        self._h11 = h11.Connection(h11.CLIENT)
        self.address = address
        self.bytes_sent = 0
        self.bytes_received = 0

    @classmethod
    async def connect(cls, address: Address, *, timeout: float) -> ClientConnection:
        """Opens a connection.

        Raises:
            OSError: If the connection fails or takes longer than ``timeout``
                seconds.
        """
        REACHABILITY.check(address.host)
        try:
            sock = await curio.timeout_after(
                timeout, curio.open_connection, address.host, address.port
            )
        except curio.TaskTimeout as err:
            raise TimeoutError(f"no connection to {address} in {timeout} s") from err
        REACHABILITY.track(sock, address.host)
        return cls(sock, address)

    async def send_request(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Sends a whole request.

        Raises:
            OSError: If the connection fails.
        """
        fields = to_headers(
            {"host": str(self.address), **headers, "content-length": str(len(body))}
        )
        head = self._h11.send(h11.Request(method=method, target=path, headers=fields))
        data = self._h11.send(h11.Data(data=body)) if body else b""
        self._h11.send(h11.EndOfMessage())
        message = (head or b"") + (data or b"")
        self.bytes_sent += len(message)
        await self._sock.sendall(message)

    async def _receive(self) -> None:
        data = await self._sock.recv(RECEIVE_BYTES)
        self.bytes_received += len(data)
        self._h11.receive_data(data)

    async def receive_response(self) -> Response:
        """Receives the head of the response.

        Raises:
            OSError: If the connection fails or closes.
            h11.RemoteProtocolError: If the peer does not follow HTTP/1.1.
        """
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                await self._receive()
            elif isinstance(event, h11.Response):
                return Response(event.status_code, from_headers(event.headers))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError(f"{self.address} closed the connection")

    async def receive_data(self) -> bytes | None:
        """Receives the next part of the body, all that is buffered at once.

        Returns:
            Body bytes, or None at the end of the body.

        Raises:
            OSError: If the connection fails.
            h11.RemoteProtocolError: If the body ends early.
        """
        parts: list[bytes] = []
        while True:
            if self._h11.their_state is not h11.SEND_BODY:
                return b"".join(parts) if parts else None
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                if parts:
                    return b"".join(parts)
                await self._receive()
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))

    async def receive_body(self) -> bytes:
        """Receives the rest of the body."""
        parts = []
        while (data := await self.receive_data()) is not None:
            parts.append(data)
        return b"".join(parts)

    @property
    def is_reusable(self) -> bool:
        """Whether the last response was read to its end and nothing is unread."""
        return (
            self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and self._h11.trailing_data == (b"", False)
        )

    def start_next_cycle(self) -> None:
        """Prepares for the next request."""
        self._h11.start_next_cycle()

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
