"""Tests of the calls that are made of requests on routes."""

from __future__ import annotations

import pytest

from sequoiamoor.net.http import Request

from ..route_border import RouteBorder, run

TARGET = 2.0
TIMEOUT = 4.0


@pytest.mark.parametrize(
    ("remaining_ms", "deadline"),
    [
        # The first caller has 9 s; a longer time than the route's ends with that.
        (9_000, TARGET),
        (7_500, TARGET),
        (6_500, TIMEOUT),
        (3_000, 3.0),
    ],
)
def test_requests_of_callers_that_came_back_too_late_go_last(
    remaining_ms: int, deadline: float
) -> None:
    """Guards against a slot for a caller that is late while another becomes late."""

    async def session(border: RouteBorder) -> None:
        calls = border.forwarder._calls
        for remaining in (9_000, remaining_ms):
            headers = {"host": "alley.example", "x-deadline-ms": str(remaining)}
            request = Request("POST", "/chat/1", "", headers)
            call = calls.parse(request, "9c41", 100.0)
        assert call.deadline == pytest.approx(100.0 + deadline)

    run(session)
