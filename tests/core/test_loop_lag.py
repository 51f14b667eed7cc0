"""Tests of the detection of an overloaded event loop."""

from __future__ import annotations

import pytest

from sequoiamoor.core.loop_lag import (
    MIN_OVERLOAD_SECONDS,
    OVERLOAD_LAG_SECONDS,
    SUSTAINED_LAG_SECONDS,
    LoopLag,
)

LATE = OVERLOAD_LAG_SECONDS
LONG = SUSTAINED_LAG_SECONDS


@pytest.mark.parametrize(
    ("lags", "expected"),
    [
        # lags: (time, lag)
        ([(0.0, 0.01), (1.0, 0.02)], False),
        ([(0.0, 3.0), (0.1, 0.01), (1.1, 0.01)], False),
        ([(0.0, LATE), (LONG / 2, LATE)], False),
        ([(0.0, LATE), (LONG, LATE)], True),
        ([(0.0, LATE), (LONG / 2, 0.01), (LONG, LATE)], False),
        ([(0.0, LATE), (LONG, LATE), (LONG + 1.0, 0.01)], True),
        ([(0.0, LATE), (LONG, LATE), (LONG + MIN_OVERLOAD_SECONDS, 0.01)], False),
        ([(0.0, LATE), (LONG, LATE), (LONG + MIN_OVERLOAD_SECONDS, 0.1)], True),
    ],
)
def test_router_that_does_not_keep_up_accepts_no_new_connections(
    lags: list[tuple[float, float]], expected: bool
) -> None:
    """Load: an organisation whose many callers all connect to one small router.

    Guards against a router that accepts more requests than it can even refuse in time,
    so that callers leave without an answer, and against a router that stops accepting
    connections after a single pause.
    """
    lag = LoopLag()
    for at, seconds in lags:
        lag.note(seconds, at)
    assert lag.is_overloaded is expected
