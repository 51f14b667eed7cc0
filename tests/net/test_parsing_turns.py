"""Tests of the work that one connection can make the event loop do in one pass."""

from __future__ import annotations

import socket
import threading
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import curio.io
import pytest

from sequoiamoor.errors import RefusalError, RequestTimeoutError
from sequoiamoor.net import http_server
from sequoiamoor.net.chunks import ChunkDecoder
from sequoiamoor.net.http import Request
from sequoiamoor.net.http_client import ClientConnection
from sequoiamoor.net.http_server import ServerConnection
from sequoiamoor.net.parsing_turns import MAX_LINES_PER_TURN, split_lines, wait_turn
from sequoiamoor.types import Address

HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"
CHUNKS_PER_PASS = 1_024
BYTES_PER_PASS = 262_144
BODY_LIMIT_BYTES = 4_000_000
BUFFER_BYTES = 1_000_000


def build_chunks(body: bytes, chunk_bytes: int) -> bytes:
    parts = [
        body[begin : begin + chunk_bytes] for begin in range(0, len(body), chunk_bytes)
    ]
    chunks = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
    return b"".join([*chunks, b"0\r\n\r\n"])


def connect_pair() -> tuple[socket.socket, Any]:
    """Returns the socket of the peer and the curio socket of this side."""
    peer, own = socket.socketpair()
    for sock in (peer, own):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        sock.setblocking(False)
    return peer, curio.io.Socket(own)


def build_server_connection(sock: Any) -> ServerConnection:
    return ServerConnection(sock, header_limit=4_096, body_limit=BODY_LIMIT_BYTES)


async def receive_request(
    connection: ServerConnection, receive_timeout: float = 30.0
) -> Request:
    request = await connection.receive_request(
        idle_timeout=30.0, receive_timeout=receive_timeout
    )
    assert request is not None
    return request


async def receive_sent_request(data: bytes, receive_timeout: float = 30.0) -> bytes:
    """Returns the body of a request that has arrived whole."""
    peer, sock = connect_pair()
    with peer:
        assert peer.send(data) == len(data)
        connection = build_server_connection(sock)
        try:
            request = await receive_request(connection, receive_timeout)
        finally:
            await connection.close()
    return request.body


async def receive_sent_answer(data: bytes) -> bytes:
    """Returns the body of an answer that has arrived whole."""
    peer, sock = connect_pair()
    with peer:
        connection = ClientConnection(sock, Address("127.0.0.1", 1))
        await connection.send_request("GET", "/", {}, b"")
        assert peer.send(data) == len(data)
        await connection.receive_response()
        body = await connection.receive_body()
        await connection.close()
    return body


async def count_passes(work: Callable[[], Awaitable[None]]) -> int:
    """Returns how many passes of the event loop other tasks had during some work."""
    passes = 0

    async def tick() -> None:
        nonlocal passes
        while True:
            await curio.sleep(0)
            passes += 1

    ticker = await curio.spawn(tick)
    await work()
    await ticker.cancel()
    return passes


@pytest.mark.parametrize("connections", [1, 5])
@pytest.mark.parametrize("chunk_bytes", [1, 16])
@pytest.mark.parametrize(
    ("receive", "head"),
    [
        (receive_sent_request, HEAD + b"Transfer-Encoding: chunked\r\n\r\n"),
        (
            receive_sent_answer,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        ),
    ],
)
def test_other_tasks_run_while_bodies_in_small_chunks_are_decoded(
    receive: Callable[[bytes], Awaitable[bytes]],
    head: bytes,
    chunk_bytes: int,
    connections: int,
) -> None:
    """Guards against peers that stop the process with the size of their chunks.

    The bound holds for all connections together.
    """
    body = b"b" * 8_000 * chunk_bytes
    data = head + build_chunks(body, chunk_bytes)

    async def work() -> None:
        tasks = [await curio.spawn(receive, data) for _ in range(connections)]
        for task in tasks:
            assert await task.join() == body

    passes = curio.run(count_passes, work)
    assert passes >= connections * 8_000 / CHUNKS_PER_PASS


LARGE_BODY = b"b" * 350_000
WITH_LENGTH = HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(LARGE_BODY), LARGE_BODY)
IN_LONG_CHUNKS = (
    HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + build_chunks(LARGE_BODY, 4_000).replace(b"fa0\r\n", b"fa0;" + b"e" * 99 + b"\r\n")
)


@pytest.mark.parametrize("receive_timeout", [30.0, 0.0])
@pytest.mark.parametrize("data", [WITH_LENGTH, IN_LONG_CHUNKS])
def test_other_tasks_run_while_a_large_body_arrives(
    data: bytes, receive_timeout: float
) -> None:
    """Guards against a caller that sends as fast as the router reads.

    What has arrived is received, also if the time for the request is over.
    """

    async def work() -> None:
        assert await receive_sent_request(data, receive_timeout) == LARGE_BODY

    assert curio.run(count_passes, work) >= len(LARGE_BODY) // BYTES_PER_PASS


@pytest.mark.parametrize("data", [WITH_LENGTH, IN_LONG_CHUNKS])
def test_request_ends_long_after_its_time_though_more_has_arrived(data: bytes) -> None:
    """Guards against a caller that keeps sending and is received without end."""
    with pytest.raises(RequestTimeoutError):
        curio.run(receive_sent_request, data, -http_server.RECEIVE_GRACE_SECONDS - 1)


@pytest.mark.parametrize("connection_count", [3])
def test_connections_take_turns(connection_count: int) -> None:
    """Guards against one long body that holds up the short ones of others."""
    ended: list[int] = []
    sizes = [60_000, 600, 600]

    async def receive(index: int) -> None:
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        await receive_sent_request(head + build_chunks(b"b" * sizes[index], 1))
        ended.append(index)

    async def session() -> None:
        tasks = [await curio.spawn(receive, i) for i in range(connection_count)]
        for task in tasks:
            await task.join()

    curio.run(session)
    assert ended[-1] == 0


def test_event_loops_of_other_threads_have_turns_of_their_own() -> None:
    """Guards against a feed of the store that waits for a turn of the callers' loop.

    A turn that one loop passes on to a task of another would wake it on a wrong thread.
    """
    has_begun = threading.Event()
    may_end = threading.Event()

    async def hold_turn() -> None:
        await wait_turn()
        task = await curio.spawn(wait_turn)
        # The other task holds the turn until this thread goes on.
        await curio.sleep(0)
        has_begun.set()
        may_end.wait(30.0)
        await task.join()

    thread = threading.Thread(target=curio.run, args=(hold_turn,))
    thread.start()
    assert has_begun.wait(30.0)
    try:

        async def session() -> None:
            async with curio.timeout_after(10.0):
                await wait_turn()

        curio.run(session)
    finally:
        may_end.set()
        thread.join(30.0)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"data",
        b"\n" * MAX_LINES_PER_TURN,
        b"\n" * 65_536,
        b"x" * 60_000 + b"\n" * 5_000,
        b"id: 1\n\n" * 3_000,
    ],
)
def test_parts_have_a_bounded_number_of_lines(data: bytes) -> None:
    """Guards against a part of a stream that takes as long as all of it."""
    parts = split_lines(data)
    assert b"".join(parts) == data
    assert max(part.count(b"\n") for part in parts) <= MAX_LINES_PER_TURN
    assert len(parts) == 1 or data.count(b"\n") > MAX_LINES_PER_TURN


@pytest.mark.parametrize(
    ("body", "trailer", "extension"),
    [
        (b"", b"", b""),
        (b"abc", b"", b""),
        (b"abc" * 3_000, b"", b""),
        (b"abc" * 3_000, b"X-Sum: 1\r\n", b""),
        (b"abc", b"", b";e=" + b"v" * 4_000),
    ],
)
@pytest.mark.parametrize("has_ended", [False, True])
def test_pipelined_chunked_requests_are_received_whole(
    body: bytes, trailer: bytes, extension: bytes, has_ended: bool
) -> None:
    """Guards against bytes of a request that are taken for those of its neighbour."""
    chunks = build_chunks(body, 2).replace(b"\r\n", extension + b"\r\n", 1)
    chunks = chunks[:-2] + trailer + b"\r\n"
    request = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks
    next_request = HEAD + b"Content-Length: 2\r\n\r\nxy"

    async def session() -> None:
        peer, sock = connect_pair()
        with peer:
            peer.send(request * 2 + next_request)
            if has_ended:
                peer.shutdown(socket.SHUT_WR)
            connection = build_server_connection(sock)
            for expected in (body, body, b"xy"):
                assert (await receive_request(connection)).body == expected
                await connection.send_response(200, {}, b"")
                assert connection.start_next_cycle()
            await connection.close()

    curio.run(session)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"2;" + b"v" * 5_000, 431),
        (b"2\r\nab", 400),
        (b"2\r\nabc\r\n", 400),
        (b"%x\r\nab" % (BODY_LIMIT_BYTES + 1), 413),
        (build_chunks(b"b" * BODY_LIMIT_BYTES, 200_000)[:-5] + b"1\r\nb", 413),
    ],
)
def test_wrong_chunks_are_refused(data: bytes, status: int) -> None:
    """Guards against a broken body that is taken for a whole one."""

    async def session() -> int:
        peer, sock = connect_pair()
        with peer:
            connection = build_server_connection(sock)
            head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

            async def send() -> None:
                sender = curio.io.Socket(peer)
                await sender.sendall(head + data)
                await sender.shutdown(socket.SHUT_WR)

            task = await curio.spawn(send)
            with pytest.raises(RefusalError) as caught:
                await receive_request(connection)
            await task.join()
            await connection.close()
        return caught.value.status

    assert curio.run(session) == status


def test_time_of_decoding_is_not_counted_as_the_callers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a 408 for a caller that this router kept from sending."""
    is_decoded = curio.Event()

    async def decode_slowly(decoder: ChunkDecoder, data: bytes) -> bytes:
        await curio.sleep(0.4)
        await is_decoded.set()
        return decoder.feed(data)

    monkeypatch.setattr(http_server, "decode_in_turns", decode_slowly)

    async def session() -> None:
        peer, sock = connect_pair()
        with peer:
            connection = build_server_connection(sock)
            peer.send(HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
            task = await curio.spawn(receive_request, connection, 0.3)
            await is_decoded.wait()
            await curio.sleep(0.01)
            peer.send(b"0\r\n\r\n")
            assert (await task.join()).body == b"ab"
            await connection.close()

    curio.run(session)
