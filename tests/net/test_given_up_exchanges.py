"""Tests of exchanges with upstreams that end before their answer is complete."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import curio
import pytest

from sequoiamoor.net.http_client import ClientConnection, GivenUpExchange
from sequoiamoor.types import Address

LARGE_BODY = b"x" * 8_000_000
"""More than the kernels of both sides hold."""


@contextmanager
def listen() -> Iterator[socket.socket]:
    """Opens a socket whose connections take few bytes until they are read."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    try:
        yield listener
    finally:
        listener.close()


def get_address(listener: socket.socket) -> Address:
    return Address(*listener.getsockname()[:2])


async def _connect(listener: socket.socket) -> tuple[ClientConnection, socket.socket]:
    connection = await ClientConnection.connect(get_address(listener), timeout=5.0)
    return connection, listener.accept()[0]


def run(function: Callable[[], Awaitable[Any]]) -> Any:
    return curio.run(function)


def _reset(peer: socket.socket) -> None:
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    peer.close()


@pytest.mark.parametrize(
    ("body", "end_peer", "expected"),
    [
        pytest.param(b"", None, (False, True, None), id="answer awaited"),
        pytest.param(LARGE_BODY, None, (True, True, None), id="body not taken"),
        pytest.param(b"", _reset, (False, False, "ECONNRESET"), id="reset by the peer"),
    ],
)
def test_given_up_exchange_tells_who_ended_it_and_what_may_still_arrive(
    body: bytes,
    end_peer: Callable[[socket.socket], None] | None,
    expected: tuple[bool, bool, str | None],
) -> None:
    """Guards against attempts that end without a trace of what is on the way."""

    async def give_up() -> GivenUpExchange | None:
        with listen() as listener:
            connection, peer = await _connect(listener)
            await connection.send_request("POST", "/", {}, body)
            if end_peer is not None:
                end_peer(peer)
                with pytest.raises(ConnectionResetError):
                    await connection.receive_response()
            given_up = connection.describe_given_up()
            await connection.close()
            peer.close()
        return given_up

    given_up = run(give_up)
    has_unacknowledged = bool(given_up.unacknowledged_bytes)
    assert (has_unacknowledged, given_up.is_reset, given_up.error) == expected


def test_idle_connection_has_no_exchange_to_give_up() -> None:
    """Guards against idle connections that are taken for given-up attempts."""

    async def describe() -> GivenUpExchange | None:
        with listen() as listener:
            connection, peer = await _connect(listener)
            given_up = connection.describe_given_up()
            await connection.close()
            peer.close()
        return given_up

    assert run(describe) is None
