"""Processes of the relay benchmark: a fast upstream and a relay that copies bytes."""

from __future__ import annotations

import contextlib
import heapq
import json
import re
import selectors
import socket
import time
from dataclasses import dataclass
from typing import Any

import curio

from sequoiamoor.types import Address

HOST = "127.0.0.1"


@dataclass
class Stream:
    """A stream that the upstream is sending.

    Attributes:
        sock: Connection on which the stream is sent.
        call_id: Identifier of the call.
        tokens: Tokens of the whole stream.
        interval_seconds: Time between two tokens.
        index: Index of the next token.
    """

    sock: socket.socket
    call_id: str
    tokens: int
    interval_seconds: float
    index: int = 0


class Upstream:
    """An engine and plain service that uses little CPU and sends at exact times."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._due_tokens: list[tuple[float, int, Stream]] = []
        self._event_number = 0
        self._buffers: dict[socket.socket, bytes] = {}

    def serve(self) -> None:
        """Serves until the process is ended."""
        server = socket.create_server((HOST, 0), backlog=256)
        print(json.dumps({"listening": list(server.getsockname())}), flush=True)
        self._selector.register(server, selectors.EVENT_READ, server)
        while True:
            self._send_due_tokens()
            wait = (
                self._due_tokens[0][0] - time.monotonic() if self._due_tokens else None
            )
            for key, _ in self._selector.select(wait):
                if key.fileobj is server:
                    sock = server.accept()[0]
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    self._buffers[sock] = b""
                    self._selector.register(sock, selectors.EVENT_READ)
                else:
                    assert isinstance(key.fileobj, socket.socket)
                    self._receive(key.fileobj)

    def _send_due_tokens(self) -> None:
        now = time.monotonic()
        while self._due_tokens and self._due_tokens[0][0] <= now:
            due, _, stream = heapq.heappop(self._due_tokens)
            try:
                self._send_token(stream, due)
            except OSError:
                continue

    def _send_token(self, stream: Stream, due: float) -> None:
        call_id = stream.call_id
        if stream.index < stream.tokens:
            text = f'data: {{"id":"{call_id}","i":{stream.index},"t":"token text"}}'
            data = f"{text}\n\n".encode()
            stream.sock.sendall(b"%x\r\n%b\r\n" % (len(data), data))
            stream.index += 1
            self._event_number += 1
            heapq.heappush(
                self._due_tokens,
                (due + stream.interval_seconds, self._event_number, stream),
            )
            return
        end = f'event: end\ndata: {{"id":"{call_id}","tokens":{stream.tokens}}}\n\n'
        data = end.encode()
        stream.sock.sendall(b"%x\r\n%b\r\n0\r\n\r\n" % (len(data), data))

    def _receive(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(65_536)
        except OSError:
            data = b""
        if not data:
            self._selector.unregister(sock)
            del self._buffers[sock]
            sock.close()
            return
        data = self._buffers[sock] + data
        while (request := _split_request(data)) is not None:
            head, body, data = request
            self._answer(sock, head, body)
        self._buffers[sock] = data

    def _answer(self, sock: socket.socket, head: bytes, body: bytes) -> None:
        match = re.search(rb"(?i)x-call-id: (\S+)", head)
        call_id = match[1].decode() if match else ""
        if b"/v1/generate" not in head:
            load = b'{"incarnation":1,"slots":64,"running":0,"queued":0,'
            load += b'"token_rate":0,"leaving":false}'
            answer = load if b"/v1/load" in head else b'{"done":true}'
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"X-Call-Id: %b\r\nX-Service-Ms: 1\r\nContent-Length: %d\r\n\r\n%b"
                % (call_id.encode(), len(answer), answer)
            )
            return
        options = json.loads(body)
        start = f'event: start\ndata: {{"id":"{call_id}","prefilled":1,"cached":0}}\n\n'
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Call-Id: %b\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n"
            % (call_id.encode(), len(start), start.encode())
        )
        stream = Stream(sock, call_id, options["tokens"], options["interval_ms"] / 1000)
        self._event_number += 1
        # Streams start at different offsets within the interval, so that their tokens
        # do not arrive at the same time.
        offset = stream.interval_seconds * (self._event_number * 0.618 % 1)
        heapq.heappush(
            self._due_tokens, (time.monotonic() + offset, self._event_number, stream)
        )


def _split_request(data: bytes) -> tuple[bytes, bytes, bytes] | None:
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return None
    match = re.search(rb"(?i)content-length: (\d+)", head)
    length = int(match[1]) if match else 0
    if len(rest) < length:
        return None
    return head, rest[:length], rest[length:]


def serve_copy(upstream: Address) -> None:
    """Runs a relay that only copies bytes, until the process is ended."""

    async def copy(source: Any, target: Any) -> None:
        while data := await source.recv(65_536):
            await target.sendall(data)

    async def accept(sock: Any, peer: Any) -> None:
        other = await curio.open_connection(upstream.host, upstream.port)
        for connection in (sock, other):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError):
            async with other, curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(copy, sock, other)
                await tasks.spawn(copy, other, sock)

    async def main() -> None:
        server = curio.network.tcp_server_socket(HOST, 0, backlog=256)
        print(json.dumps({"listening": list(server.getsockname())}), flush=True)
        await curio.network.run_server(server, accept)

    curio.run(main)
