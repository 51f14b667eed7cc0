"""Tests of the ages of requests."""

from __future__ import annotations

import pytest

from sequoiamoor.core.returns import MEMORY_SECONDS, CallerAges


@pytest.mark.parametrize(
    ("seen", "asked", "age"),
    [
        # seen: (time, seconds that the caller still waits); asked: the last request
        ([], (0.0, 12.0), 0.0),
        ([(0.0, 12.0)], (1.0, 9.5), 2.5),
        ([(0.0, 9.5)], (1.0, 12.0), 0.0),
        ([(0.0, 12.0)], (MEMORY_SECONDS + 1.0, 9.5), 2.5),
        ([(0.0, 12.0)], (3 * MEMORY_SECONDS, 9.5), 0.0),
        ([(0.0, 12.0), (MEMORY_SECONDS + 1, 10.0)], (2 * MEMORY_SECONDS + 2, 9.5), 0.5),
    ],
)
def test_age_is_what_a_caller_has_less_than_a_first_request(
    seen: list[tuple[float, float]], asked: tuple[float, float], age: float
) -> None:
    """Guards against callers that came back being taken for ones that just asked.

    A longest time that is never forgotten would make every caller overdue once the
    callers of a route wait for less time than before.
    """
    ages = CallerAges()
    for at, remaining in seen:
        ages.estimate("chat", remaining, at)
    at, remaining = asked
    assert ages.estimate("chat", remaining, at) == pytest.approx(age)


def test_routes_are_told_apart() -> None:
    """Guards against short requests that are overdue because long ones exist."""
    ages = CallerAges()
    ages.estimate("report", 15.0, 0.0)
    assert ages.estimate("tag", 3.0, 0.1) == 0.0
