"""Tests of the age up to which keys are accepted."""

from __future__ import annotations

import pytest

from sequoiamoor.core.freshness import KeyFreshness


@pytest.mark.parametrize(
    ("limit", "confirmed", "age", "expected"),
    [
        (4.0, True, 3.9, True),
        (4.0, True, 4.0, False),
        (4.0, False, 0.0, False),
        (None, False, 0.0, True),
    ],
)
def test_keys_hold_only_while_they_are_confirmed(
    limit: float | None, confirmed: bool, age: float, expected: bool
) -> None:
    """Guards against a router without a path to the store that accepts old keys."""
    now = 100.0
    freshness = KeyFreshness(limit, read_time=lambda: now)
    if confirmed:
        freshness.confirm(now)
    now += age
    assert freshness.is_fresh() is expected


def test_late_answer_confirms_only_the_time_at_which_it_was_asked_for() -> None:
    """Guards against an answer that was under way while a key was taken away."""
    now = 100.0
    freshness = KeyFreshness(4.0, read_time=lambda: now)
    asked_at = freshness.read_time()
    now = 105.0
    freshness.confirm(asked_at)
    assert not freshness.is_fresh()
