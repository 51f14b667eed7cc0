"""Tests of what a router holds for answers, whatever replicas send."""

from __future__ import annotations

from typing import Any

import pytest

from sequoiamoor.core.held_bytes import HeldKind

from ..listener_harness import Repeat, Step
from ..route_listener_harness import (
    RouteListenerHarness,
    answer,
    ask,
    route_request,
    run,
)

LIMIT_BYTES = 400_000
ROOM_BYTES = LIMIT_BYTES // 2
"""Half of the limit is left for the other organisations."""

ENDLESS = Repeat(b"z" * 10_000, 0.0)
UNFRAMED_HEAD = (
    b"HTTP/1.1 %d X\r\nX-Attempt-Id: 9c41\r\nX-Server-Signature: 3e1b\r\n"
    b"Content-Type: application/json\r\n%b\r\n"
)


def head(status: int, *fields: bytes) -> bytes:
    return UNFRAMED_HEAD % (status, b"".join(field + b"\r\n" for field in fields))


@pytest.mark.parametrize(
    ("path", "start"),
    [
        pytest.param("/hold/1", head(500), id="failure without a length"),
        pytest.param("/hold/1", head(200), id="success without a length"),
        pytest.param(
            "/hold/1", head(500, b"Content-Length: 99999999"), id="very large length"
        ),
        pytest.param("/chat/1", head(500), id="failure of a stream"),
        pytest.param("/chat/1", head(200), id="document in place of a stream"),
    ],
)
def test_endless_answer_ends_at_the_limit_of_held_bytes(
    path: str, start: bytes
) -> None:
    """Guards against a router that ends by its memory while a replica sends on."""

    async def session(harness: RouteListenerHarness) -> tuple[Any, int]:
        account = harness.board.held_bytes
        account.limit = LIMIT_BYTES
        await harness.add_replicas(1, [start, ENDLESS])
        answered = await ask(harness, route_request(path))
        await harness.wait_for(lambda: account.total == 0)
        return answered, account.peak

    answered, peak = run(session)
    assert answered.status == 502
    assert 0 < peak <= ROOM_BYTES


def test_whole_answer_is_held_until_its_call_ends() -> None:
    """Guards against an account that refuses answers after many whole ones."""
    size = ROOM_BYTES // 3
    steps: list[Step] = [answer(b"a" * size)]

    async def session(harness: RouteListenerHarness) -> tuple[list[Any], int, int]:
        account = harness.board.held_bytes
        account.limit = LIMIT_BYTES
        await harness.add_replicas(1, *[steps] * 8)
        answers = [await ask(harness, route_request("/look/1")) for _ in range(8)]
        return answers, account.peak, account.by_kind[HeldKind.ANSWER]

    answers, peak, held = run(session)
    assert [answered.status for answered in answers] == [200] * 8
    assert [len(answered.body) for answered in answers] == [size] * 8
    assert held == 0
    assert size <= peak < size + 100
