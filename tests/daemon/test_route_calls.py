"""Tests of the conversion of requests on routes into calls."""

from __future__ import annotations

import pytest

from sequoiamoor.net.http import Request

from ..route_listener_harness import RouteListenerHarness, run

TARGET = 2.0
TIMEOUT = 4.0


@pytest.mark.parametrize(
    ("remaining_ms", "deadline"),
    [
        # The first request has 9 s left. A retry with 6.5 s left has waited for 2.5 s,
        # longer than TARGET. Its deadline is then the end of its remaining time, at
        # most the timeout of its route.
        (9_000, TARGET),
        (7_500, TARGET),
        (6_500, TIMEOUT),
        (3_000, 3.0),
    ],
)
def test_retry_that_missed_its_target_gets_a_later_deadline(
    remaining_ms: int, deadline: float
) -> None:
    """Guards against a late request that takes a slot from one still in time.

    The remaining time of a retry is shorter than that of a first request by the time
    its caller has already waited.
    """

    async def session(harness: RouteListenerHarness) -> None:
        calls = harness.forwarder._calls
        for remaining in (9_000, remaining_ms):
            headers = {"host": "alley.example", "x-deadline-ms": str(remaining)}
            request = Request("POST", "/chat/1", "", headers)
            call = calls.parse(request, "9c41", 100.0)
        assert call.deadline == pytest.approx(100.0 + deadline)

    run(session)
