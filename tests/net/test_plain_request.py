"""Tests that requests parsed without h11 are those that h11 would return."""

from __future__ import annotations

import curio
import curio.io
import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiamoor.net.http import Request, check_request_head, to_header_dict
from sequoiamoor.net.http_server import ServerConnection
from sequoiamoor.net.plain_request import parse_plain_request

from ..listener_harness import _connect_pair

HEAD = b"POST /a/b?c=d HTTP/1.1\r\nHost: h\r\n"
PLAIN = {
    "length": HEAD + b"Content-Length: 2\r\n\r\n{}",
    "no-body": b"GET / HTTP/1.1\r\nHost: h:1\r\n\r\n",
    "repeated-field": HEAD + b"X-A: 1\r\nx-a:\t2  \r\nX-B: a \t b\r\n\r\n",
    "text-of-a-head": HEAD + b"Content-Length: 4\r\n\r\n\r\n\r\n",
}
UNUSUAL = {
    "incomplete-head": HEAD,
    "incomplete-body": HEAD + b"Content-Length: 3\r\n\r\n{}",
    "two-requests": PLAIN["length"] * 2,
    "leading-line": b"\r\n" + PLAIN["length"],
    "bare-line-feed": HEAD + b"X-A: 1\n\r\n",
    "carriage-return-in-value": HEAD + b"X-A: 1\r2\r\n\r\n",
    "folded": HEAD + b"X-A: 1\r\n 2\r\n\r\n",
    "space-before-colon": HEAD + b"X-A : 1\r\n\r\n",
    "empty-value": HEAD + b"X-A:\r\n\r\n",
    "other-bytes": HEAD + b"X-A: \xe9\r\n\r\n",
    "chunked": HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "both-lengths": HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n",
    "two-lengths": HEAD + b"Content-Length: 0\r\nContent-Length: 0\r\n\r\n",
    "signed-length": HEAD + b"Content-Length: +0\r\n\r\n",
    "expect": HEAD + b"Expect: 100-continue\r\nContent-Length: 0\r\n\r\n",
    "connection": HEAD + b"Connection: close\r\n\r\n",
    "upgrade": HEAD + b"Upgrade: h2c\r\n\r\n",
    "no-host": b"GET / HTTP/1.1\r\nX-A: 1\r\n\r\n",
    "two-hosts": HEAD + b"Host: i\r\n\r\n",
    "old-version": b"GET / HTTP/1.0\r\nHost: h\r\n\r\n",
    "head": b"HEAD / HTTP/1.1\r\nHost: h\r\n\r\n",
    "long-head": HEAD + b"X-A: %b\r\n\r\n" % (b"a" * 500),
    "long-body": HEAD + b"Content-Length: 101\r\n\r\n" + b"a" * 101,
}


def parse_plain(data: bytes) -> Request | None:
    return parse_plain_request(data, header_limit=500, body_limit=100)


def parse_by_h11(data: bytes) -> Request:
    """Parses a whole request as a connection does without the short way."""
    check_request_head(data[: data.index(b"\r\n\r\n") + 1])
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(data)
    head = connection.next_event()
    assert isinstance(head, h11.Request)
    body = b""
    while isinstance(event := connection.next_event(), h11.Data):
        body += event.data
    assert isinstance(event, h11.EndOfMessage)
    assert connection.trailing_data == (b"", False)
    path, _, query = head.target.decode("latin-1").partition("?")
    return Request(
        head.method.decode(),
        path,
        query,
        to_header_dict(head.headers),
        body=body,
        http_version=head.http_version.decode(),
        target=bytes(head.target),
        fields=[(bytes(name), bytes(value)) for name, value in head.headers],
    )


@pytest.mark.parametrize("data", PLAIN.values(), ids=PLAIN)
def test_plain_requests_are_parsed_as_h11_parses_them(data: bytes) -> None:
    assert parse_plain(data) == parse_by_h11(data)


@pytest.mark.parametrize("data", UNUSUAL.values(), ids=UNUSUAL)
def test_unusual_requests_are_left_to_h11(data: bytes) -> None:
    assert parse_plain(data) is None


@settings(max_examples=400, derandomize=True)
@given(
    st.lists(
        st.sampled_from(
            [b"\r", b"\n", b"\r\n", b" ", b"\t", b":", b",", b"Host: h", b"X-A", b"1"]
            + [b"\x00", b"\xff", b"\x0b", b"Content-Length: 1", b"Content-Length: 0"]
        ),
        max_size=12,
    )
)
def test_whatever_is_taken_as_plain_is_taken_by_h11(pieces: list[bytes]) -> None:
    """Guards against a request that two parsers read differently."""
    data = HEAD + b"".join(pieces) + b"\r\n\r\n"
    request = parse_plain(data)
    assert request is None or request == parse_by_h11(data)


@pytest.mark.parametrize("status", [401, 503])
@pytest.mark.parametrize("closes", [False, True])
def test_a_refusal_is_the_same_whoever_parsed_the_request(
    status: int, closes: bool
) -> None:
    """Guards against a head that callers see differently, or a second answer."""

    async def exchange(is_parsed: bool) -> tuple[bytes, bool, bool]:
        caller, sock = _connect_pair()
        connection = ServerConnection(
            curio.io.Socket(sock), header_limit=500, body_limit=100
        )
        connection.closes_after_response = closes
        caller.sendall(PLAIN["length"])
        with caller:
            assert await connection.receive_request(idle_timeout=5, receive_timeout=5)
            assert connection.has_unanswered_request
            if is_parsed:
                connection.parse_received()
            fields = [(b"content-type", b"text/plain"), (b"retry-after", b"0.50")]
            await connection.send_response(status, fields, b"no\n")
            assert not connection.has_unanswered_request
            can_refuse, goes_on = connection.can_refuse, connection.start_next_cycle()
            await connection.close()
            return caller.recv(1_000), can_refuse, goes_on

    async def main() -> None:
        unparsed = await exchange(False)
        assert unparsed == await exchange(True)
        assert unparsed[1:] == (False, not closes)

    curio.run(main)
