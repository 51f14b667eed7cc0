"""Tests of what a served request leaves behind."""

from __future__ import annotations

import gc
from collections import Counter

import curio
import pytest

from sequoiamoor.net.http_server import ServerConnection

from ..listener_harness import Close, Step, chunk
from ..route_listener_harness import (
    STREAM_HEAD,
    RouteListenerHarness,
    answer,
    event,
    route_request,
    run,
)

REQUESTS = 5
STREAM: list[Step] = [STREAM_HEAD, chunk(event(1)), b"0\r\n\r\n"]


@pytest.mark.parametrize(
    ("path", "script", "end"),
    [
        ("/look/1", [answer()], b"done"),
        ("/chat/1", STREAM, b"0\r\n\r\n"),
        ("/hold/1", [Close(is_reset=True)], b"\n"),
    ],
)
def test_served_request_is_freed_without_a_garbage_collection(
    path: str, script: list[Step], end: bytes
) -> None:
    """Guards against requests that are kept until a collection stops the router.

    A cancelled task refers to itself through its traceback, and to its task group,
    which refers to it.
    """

    async def session(harness: RouteListenerHarness) -> Counter[type]:
        await harness.add_replicas(1, *[script] * (REQUESTS + 1))
        caller = await harness.connect()
        for number in range(REQUESTS + 1):
            if number == 1:
                gc.collect()
                gc.disable()
            caller.received = b""
            await caller.send(route_request(path))
            await caller.receive_until(end)
            await harness.wait_for(harness.is_idle)
        # The task of the connection passes on.
        await curio.sleep(0.01)
        gc.set_debug(gc.DEBUG_SAVEALL)
        gc.collect()
        return Counter(type(left) for left in gc.garbage)

    try:
        found = run(session)
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()
    assert found[curio.TaskGroup] == found[ServerConnection] == 0
