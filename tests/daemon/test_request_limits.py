"""Tests of the limits of requests on connections that stay open."""

from __future__ import annotations

from typing import Any

import pytest

from sequoiamoor.declaration import parse_declaration
from sequoiamoor.settings import LimitSettings

from ..listener_harness import Caller, parse
from ..route_listener_harness import (
    DECLARATION,
    RouteListenerHarness,
    answer,
    route_request,
    run,
)

SMALL, LARGE = 2_000, 40_000


def set_limits(harness: RouteListenerHarness, size: int | None) -> None:
    """Puts a configuration in force, or none yet."""
    harness.board.configuration.version += 1
    if size is None:
        harness.board.configuration.declaration = None
        return
    limits = {"header_bytes": size, "body_bytes": size}
    declaration = parse_declaration({**DECLARATION, "limits": limits})
    harness.board.configuration.declaration = declaration


async def _ask(caller: Caller, request: bytes) -> int:
    caller.received = b""
    await caller.send(request)
    await caller.receive_until(b"\r\n\r\n")
    length = int(parse(caller.received).headers["content-length"])
    while len(parse(caller.received).body) < length and await caller.receive():
        pass
    return parse(caller.received).status


def large_body() -> bytes:
    return route_request("/look/1", body=b"x" * (SMALL + LARGE // 2))


def large_head() -> bytes:
    return route_request("/look/1", extra=b"X-Note: %b\r\n" % (b"n" * (LARGE * 3 // 4)))


def small() -> bytes:
    return route_request("/look/1")


@pytest.mark.parametrize(
    ("before", "after", "first", "second", "expected"),
    [
        pytest.param(SMALL, LARGE, small, large_body, (200, 200), id="body raised"),
        pytest.param(SMALL, LARGE, small, large_head, (200, 200), id="head raised"),
        pytest.param(
            LARGE, SMALL, large_body, large_body, (200, 413), id="body lowered"
        ),
        pytest.param(
            LARGE, SMALL, large_head, large_head, (200, 431), id="head lowered"
        ),
        pytest.param(None, LARGE, small, large_body, (503, 200), id="body set first"),
        pytest.param(None, LARGE, small, large_head, (503, 200), id="head set first"),
    ],
)
def test_limits_hold_for_the_requests_that_begin_after_them(
    before: int | None, after: int, first: Any, second: Any, expected: tuple[int, int]
) -> None:
    """Guards against connections that keep the limits they were accepted with."""

    async def session(harness: RouteListenerHarness) -> tuple[int, int]:
        base = {"header_bytes": SMALL, "body_bytes": SMALL}
        harness.listener.base_limits = LimitSettings.model_validate(base)
        await harness.add_replicas(1, [answer()], [answer()])
        set_limits(harness, before)
        caller = await harness.connect()
        statuses = [await _ask(caller, first())]
        set_limits(harness, after)
        statuses.append(await _ask(caller, second()))
        return statuses[0], statuses[1]

    assert run(session) == expected


@pytest.mark.parametrize("build", [large_body, large_head])
def test_limits_that_nobody_set_refuse_nothing_for_good(build: Any) -> None:
    """Guards against 413 and 431 to requests that the configuration allows."""

    async def session(harness: RouteListenerHarness) -> int:
        base = {"header_bytes": SMALL, "body_bytes": SMALL}
        harness.listener.base_limits = LimitSettings.model_validate(base)
        set_limits(harness, None)
        return await _ask(await harness.connect(), build())

    assert run(session) == 503
