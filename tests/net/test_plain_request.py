"""Tests that requests parsed without h11 are those that h11 would return."""

from __future__ import annotations

import curio
import curio.io
import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiamoor.net.http import Request, check_request_head
from sequoiamoor.net.http_server import ServerConnection, _build_request
from sequoiamoor.net.plain_request import parse_plain_request

from ..listener_harness import _connect_pair

HEAD = b"POST /a/b?c=d HTTP/1.1\r\nHost: h\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
PLAIN = [
    HEAD + b"Content-Length: 2\r\n\r\n{}",
    b"GET / HTTP/1.1\r\nHost: h:1\r\n\r\n",
    HEAD + b"X-A: 1\r\nx-a:\t2  \r\nX-B: a \t b\r\n\r\n",
    HEAD + b"Content-Length: 4\r\n\r\n\r\n\r\n",
]
UNUSUAL_FIELDS = [
    *(b"X-A: 1\r2", b"X-A: 1\r\n 2", b"X-A : 1", b"X-A:", b"X-A: \xe9"),
    *(CHUNKED + b"\r\n0", CHUNKED + b"Content-Length: 0", b"Content-Length: +0"),
    *(b"Content-Length: 0\r\nContent-Length: 0", b"X-A: " + b"a" * 500, b"Host: i"),
    *(b"Expect: 100-continue\r\nContent-Length: 0", b"Connection: close"),
    b"Upgrade: h2c",
]
UNUSUAL = [
    *(HEAD + fields + b"\r\n\r\n" for fields in UNUSUAL_FIELDS),
    *(HEAD, HEAD + b"Content-Length: 3\r\n\r\n{}", PLAIN[0] * 2, b"\r\n" + PLAIN[0]),
    HEAD + b"X-A: 1\n\r\n",
    HEAD + b"Content-Length: 101\r\n\r\n" + b"a" * 101,
    b"GET / HTTP/1.1\r\nX-A: 1\r\n\r\n",
    b"GET / HTTP/1.0\r\nHost: h\r\n\r\n",
    b"HEAD / HTTP/1.1\r\nHost: h\r\n\r\n",
]


def parse_plain(data: bytes) -> Request | None:
    return parse_plain_request(data, header_limit=500, body_limit=100)


def parse_by_h11(data: bytes) -> Request:
    """Parses a whole request as a connection does without the short way."""
    check_request_head(data[: data.index(b"\r\n\r\n") + 1])
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(data)
    request = _build_request(connection.next_event())
    while isinstance(event := connection.next_event(), h11.Data):
        request.body += event.data
    assert isinstance(event, h11.EndOfMessage)
    assert connection.trailing_data == (b"", False)
    return request


# Guards against a request that two parsers read differently.
@pytest.mark.parametrize("data", PLAIN + UNUSUAL)
def test_only_plain_requests_are_parsed_and_as_h11_parses_them(data: bytes) -> None:
    assert parse_plain(data) == (parse_by_h11(data) if data in PLAIN else None)


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


# Guards against a head that callers see differently, or a second answer.
@pytest.mark.parametrize("status", [401, 503])
@pytest.mark.parametrize("closes", [False, True])
def test_a_refusal_is_the_same_whoever_parsed_the_request(
    status: int, closes: bool
) -> None:
    async def exchange(is_parsed: bool) -> list[object]:
        caller, sock = _connect_pair()
        connection = ServerConnection(
            curio.io.Socket(sock), header_limit=500, body_limit=100
        )
        connection.closes_after_response = closes
        with caller:
            caller.sendall(PLAIN[0])
            assert await connection.receive_request(idle_timeout=5, receive_timeout=5)
            seen: list[object] = [connection.has_unanswered_request]
            if is_parsed:
                connection.parse_received()
            fields = [(b"content-type", b"text/plain"), (b"retry-after", b"0.50")]
            await connection.send_response(status, fields, b"no\n")
            seen += [connection.has_unanswered_request, connection.can_refuse]
            seen.append(connection.start_next_cycle())
            await connection.close()
            return [*seen, caller.recv(1_000)]

    unparsed = curio.run(exchange, False)
    assert unparsed == curio.run(exchange, True)
    assert unparsed[:4] == [True, False, False, not closes]


# Guards against bytes of a refused request that are taken for the next one, or lost
# with it, and against a parser for each connection of a flood.
@pytest.mark.parametrize("order", ["r", "rrr", "rar", "arr", "srs", "apr", "rpsa"])
def test_requests_of_one_connection_are_told_apart(order: str) -> None:
    data = {"s": [PLAIN[0][:9], PLAIN[0][9:]], "p": [PLAIN[1] + PLAIN[0]]}

    async def exchange() -> None:
        caller, sock = _connect_pair()
        connection = ServerConnection(
            curio.io.Socket(sock), header_limit=500, body_limit=100
        )

        async def send(kind: str) -> None:
            for piece in data.get(kind, PLAIN[:1]):
                caller.sendall(piece)
                await curio.sleep(0)

        with caller:
            for kind in order:
                await curio.spawn(send, kind, daemon=True)
                for expected in [PLAIN[1], PLAIN[0]] if kind == "p" else PLAIN[:1]:
                    request = await connection.receive_request(
                        idle_timeout=5, receive_timeout=5
                    )
                    assert request == parse_by_h11(expected)
                    status = 200 if kind == "a" else 503
                    await connection.send_response(status, [], kind.encode())
                    answer = caller.recv(1_000)
                    assert answer.startswith(b"HTTP/1.1 %d" % status)
                    assert answer.endswith(b"\r\n\r\n" + kind.encode())
                    assert connection.start_next_cycle()
            assert connection.is_idle
            assert (connection._parser is None) == (set(order) == {"r"})
            await connection.close()

    curio.run(exchange)
