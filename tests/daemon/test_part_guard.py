"""Tests of requests under which replicas end, with scripted replicas."""

from __future__ import annotations

import logging

import pytest

from ..listener_harness import Close, End, Step, chunk
from ..route_listener_harness import (
    STREAM_HEAD,
    RouteListenerHarness,
    ask,
    event,
    route_request,
    run,
)

PARTS = b"X-Prompt-Prefix: AA0:200,bb00:300,c1:40\r\n"


@pytest.mark.parametrize(
    ("end", "is_logged"),
    [
        ([STREAM_HEAD, End()], True),
        ([STREAM_HEAD, chunk(event(1)), End()], True),
        ([End()], True),
        ([STREAM_HEAD, Close(is_reset=True)], False),
        ([STREAM_HEAD, Close()], False),
        ([b"HTTP/1.1 200", Close()], False),
    ],
)
def test_end_of_a_replica_is_logged_with_the_parts_of_its_request(
    end: list[Step], is_logged: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against an end of a process that looks like any broken answer."""

    async def session(harness: RouteListenerHarness) -> None:
        await harness.add_replicas(1, end, end)
        await ask(harness, route_request("/summary/1", extra=PARTS))

    with caplog.at_level(logging.INFO):
        run(session)
    parts = [
        record.__dict__["parts"]
        for record in caplog.records
        if record.getMessage() == "replica ended when it began to answer"
    ]
    assert parts == ([["aa0", "bb00"]] if is_logged else [])
