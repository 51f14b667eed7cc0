"""Tests of the overload of the loop."""

from __future__ import annotations

import pytest

from sequoiamoor.core.lag import (
    OBSERVED_SECONDS,
    OVERLOAD_SECONDS,
    RELIEF_SECONDS,
    LoopLag,
)

LATE = OVERLOAD_SECONDS
LONG = OBSERVED_SECONDS


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
        ([(0.0, LATE), (LONG, LATE), (LONG + RELIEF_SECONDS, 0.01)], False),
        ([(0.0, LATE), (LONG, LATE), (LONG + RELIEF_SECONDS, 0.1)], True),
    ],
)
def test_router_that_does_not_keep_up_takes_no_new_connections(
    lags: list[tuple[float, float]], expected: bool
) -> None:
    """Load: a hot organisation whose callers all meet one small router.

    Guards against a router that accepts more than it can refuse in time, until its
    callers leave unanswered, and against one that is out for a single pause.
    """
    lag = LoopLag()
    for at, seconds in lags:
        lag.note(seconds, at)
    assert lag.is_overloaded is expected
