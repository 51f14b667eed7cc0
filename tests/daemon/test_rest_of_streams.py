"""Tests of what the next replica may add to a stream that broke off."""

from __future__ import annotations

import pytest

from ..listener_harness import Close, Step, Until, chunk, parse
from ..route_listener_harness import (
    NOT_RUN,
    STREAM_HEAD,
    RouteListenerHarness,
    answer,
    ask,
    event,
    route_request,
    run,
)

UNSIGNED_HEAD = STREAM_HEAD.replace(b"X-Server-Signature: 3e1b\r\n", b"")
JSON_HEAD = STREAM_HEAD.replace(b"text/event-stream", b"application/json")
EMPTY_HEAD = STREAM_HEAD.replace(b"Transfer-Encoding: chunked", b"Content-Length: 0")
UNTYPED_HEAD = STREAM_HEAD.replace(b"Content-Type: text/event-stream\r\n", b"")
HTML = b"Content-Type: text/html\r\nX-Server-Signature: 3e1b\r\n"
STREAM_END = b"0\r\n\r\n"


@pytest.mark.parametrize(
    "rest",
    [
        *[[answer(event(3), status=status)] for status in (201, 400, 404, 500)],
        [answer(status=503)],
        [NOT_RUN],
        [Close(is_reset=True)],
        [answer(event(3), extra=HTML)],
        [JSON_HEAD, chunk(b'{"error": "x"}\n\n'), STREAM_END],
        [UNTYPED_HEAD, chunk(b'{"error": "x"}\n\n'), STREAM_END],
        [UNSIGNED_HEAD, chunk(event(3)), STREAM_END],
        [STREAM_HEAD, STREAM_END],
        [EMPTY_HEAD],
        [STREAM_HEAD, chunk(b"failed"), STREAM_END],
        [STREAM_HEAD, chunk(b"failed\n\n"), STREAM_END],
        [STREAM_HEAD, chunk(b"error: failed\n\n"), STREAM_END],
        [STREAM_HEAD, chunk(b'data: {"error": "x"}\n\n'), STREAM_END],
        [STREAM_HEAD, chunk(b": failed\n\n"), STREAM_END],
        [STREAM_HEAD, chunk(NOT_RUN), STREAM_END],
        [STREAM_HEAD, NOT_RUN],
        [STREAM_HEAD, chunk(event(3) + b"event: error\ndata: x\n\n"), STREAM_END],
        [STREAM_HEAD, chunk(b"id: 3\nfailed\n\n"), STREAM_END],
        [STREAM_HEAD, chunk(b"failed\n" + event(3)), STREAM_END],
    ],
)  # fmt: skip
def test_error_of_the_next_replica_is_no_part_of_a_stream(rest: list[Step]) -> None:
    """Guards against an error's text in a stream, or its end as if it were whole."""

    async def session(harness: RouteListenerHarness) -> None:
        first = [STREAM_HEAD, chunk(event(1) + event(2)), Until(event(2)), Close()]
        replicas = await harness.add_replicas(2, first, rest)
        caller = await harness.connect()
        await caller.send(route_request("/summary/1") + route_request("/look/1"))
        response = parse(await caller.receive_all())
        assert (response.status, response.is_whole) == (200, False)
        assert response.body == event(1) + event(2)
        assert sum(len(replica.requests) for replica in replicas) == 2

    run(session)


@pytest.mark.parametrize(
    ("scripts", "body"),
    [
        ([[STREAM_HEAD, STREAM_END]], b""),
        ([[EMPTY_HEAD]], b""),
        ([[Close()], [STREAM_HEAD, STREAM_END]], b""),
        ([[answer(b"<p>", extra=HTML)]], b"<p>"),
        (
            [[STREAM_HEAD, chunk(b": a\n\ndata: x\n\n" + event(1)), STREAM_END]],
            b": a\n\ndata: x\n\n" + event(1),
        ),
        (
            [
                [STREAM_HEAD, chunk(event(1)), Until(event(1)), Close()],
                [UNTYPED_HEAD, chunk(b"retry: 1\n\n:\n\n" + event(2)), STREAM_END],
            ],
            event(1) + event(2),
        ),
        (
            [
                [STREAM_HEAD, chunk(b": a\n\n"), Until(b": a"), Close()],
                [STREAM_HEAD, chunk(b"x-weight-versions: 4\n" + event(1)), STREAM_END],
            ],
            b": a\n\nx-weight-versions: 4\n" + event(1),
        ),
    ],
)  # fmt: skip
def test_whole_stream_of_a_replica_reaches_the_caller(
    scripts: list[list[Step]], body: bytes
) -> None:
    """Guards against a whole answer that is held back, changed or broken off."""

    async def session(harness: RouteListenerHarness) -> None:
        await harness.add_replicas(2, *scripts)
        response = await ask(harness, route_request("/summary/1"))
        assert (response.status, response.is_whole) == (200, True)
        assert response.body == body

    run(session)


def test_stream_with_text_outside_its_events_is_not_resumed() -> None:
    """Guards against text that comes twice, since no identifier tells its place."""

    async def session(harness: RouteListenerHarness) -> None:
        text = b"data: x\n\n"
        first = [STREAM_HEAD, chunk(text), Until(text), Close()]
        second = [STREAM_HEAD, chunk(text + event(1)), STREAM_END]
        replicas = await harness.add_replicas(2, first, second)
        response = await ask(harness, route_request("/summary/1"))
        assert (response.body, response.is_whole) == (text, False)
        assert sum(len(replica.requests) for replica in replicas) == 1

    run(session)
