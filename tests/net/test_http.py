"""Tests of header fields and head checks."""

from __future__ import annotations

import socket

import curio.io
import pytest

from sequoiamoor.errors import MalformedRequestError
from sequoiamoor.net.exchange import (
    MAX_CHECK_INTERVAL_SECONDS,
    UNACKNOWLEDGED_LIMIT_SECONDS,
)
from sequoiamoor.net.http import check_request_head, to_header_dict
from sequoiamoor.net.http_client import ClientConnection
from sequoiamoor.net.http_server import ServerConnection
from sequoiamoor.types import Address


@pytest.mark.parametrize(
    "head",
    [
        b"POST / HTTP/1.1\r\nA: b\r\n c",
        b"POST / HTTP/1.1\r\nA: b\n\tc",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\ntransfer-encoding: chunked",
        b"POST / HTTP/1.1\nCONTENT-LENGTH: 1\nTransfer-Encoding:identity",
        b"POST / HTTP/1.1\r\nContent-Length : 1\r\nTransfer-Encoding: chunked",
    ],
)
def test_ambiguous_head_is_refused(head: bytes) -> None:
    """Guards against request smuggling: heads that two parsers read differently."""
    with pytest.raises(MalformedRequestError):
        check_request_head(head)


def test_repeated_field_is_joined() -> None:
    """Guards against silent use of the last of several values."""
    fields = [(b"x-class", b"a"), (b"host", b"h"), (b"x-class", b"b")]
    assert to_header_dict(fields) == {"x-class": "a, b", "host": "h"}


def test_only_upstreams_are_given_up_after_a_short_silence() -> None:
    """Guards against a request that a silence of its caller's link ends.

    A silent upstream is noticed before the caller of a stream gives up, after 2 s. What
    it has not acknowledged ends earlier, by the pool's check and not by the kernel.
    """
    names = ("USER_TIMEOUT", "KEEPIDLE", "KEEPINTVL", "KEEPCNT")
    options = [getattr(socket, f"TCP_{name}") for name in names]
    with socket.socket() as caller, socket.socket() as upstream:
        ours, theirs = curio.io.Socket(caller), curio.io.Socket(upstream)
        server = ServerConnection(
            ours, header_limit=1, body_limit=1, detects_dead_peer=True
        )
        # The options are set once a request of the connection is served.
        server._prepare_socket()
        connection = ClientConnection(theirs, Address("", 0), detects_dead_peer=True)
        connection.set_probed(True)
        for sock in (caller, upstream):
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            unacknowledged_ms, idle, interval, probes = (
                sock.getsockopt(socket.IPPROTO_TCP, option) for option in options
            )
            if sock is caller:
                assert min(unacknowledged_ms / 1_000, idle + interval * probes) >= 10
            else:
                assert max(unacknowledged_ms / 1_000, idle + interval) <= 2
                check_delay = MAX_CHECK_INTERVAL_SECONDS
                reset_after = UNACKNOWLEDGED_LIMIT_SECONDS + check_delay
                assert reset_after < unacknowledged_ms / 1_000
