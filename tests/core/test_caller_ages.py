"""Tests of the estimate of how long callers have waited."""

from __future__ import annotations

import pytest

from sequoiamoor.core.caller_ages import MIN_RETENTION_SECONDS, CallerAges


@pytest.mark.parametrize(
    ("seen", "asked", "age"),
    [
        # seen: earlier requests as (time, remaining seconds); asked: the last request
        ([], (0.0, 12.0), 0.0),
        ([(0.0, 12.0)], (1.0, 9.5), 2.5),
        ([(0.0, 9.5)], (1.0, 12.0), 0.0),
        ([(0.0, 12.0)], (MIN_RETENTION_SECONDS + 1.0, 9.5), 2.5),
        ([(0.0, 12.0)], (3 * MIN_RETENTION_SECONDS, 9.5), 0.0),
        (
            [(0.0, 12.0), (MIN_RETENTION_SECONDS + 1, 10.0)],
            (2 * MIN_RETENTION_SECONDS + 2, 9.5),
            0.5,
        ),
    ],
)
def test_age_is_the_difference_to_the_remaining_time_of_a_first_request(
    seen: list[tuple[float, float]], asked: tuple[float, float], age: float
) -> None:
    """Guards against treating returning callers as new ones.

    A longest time that is never discarded would make every caller seem to return once
    the callers of a route have shorter limits than before.
    """
    ages = CallerAges()
    for at, remaining in seen:
        ages.estimate("chat", remaining, at)
    at, remaining = asked
    assert ages.estimate("chat", remaining, at) == pytest.approx(age)


def test_routes_are_estimated_separately() -> None:
    """Guards against short requests that count as old because long ones exist."""
    ages = CallerAges()
    ages.estimate("report", 15.0, 0.0)
    assert ages.estimate("tag", 3.0, 0.1) == 0.0
