"""Tests of the counts of work that organisations ask for."""

from __future__ import annotations

import pytest

from sequoiamoor.core.asked_work import (
    MAX_DESCRIBED_ORGANISATIONS,
    PERIOD_SECONDS,
    AskedWork,
    WorkCounts,
)


def begin(now: float = 0.0) -> AskedWork:
    work = AskedWork()
    assert work.take_period(now) is None
    return work


@pytest.mark.parametrize(
    ("unserved", "now", "expected"),
    [
        (0, PERIOD_SECONDS, None),
        (1, PERIOD_SECONDS / 2, None),
        (1, PERIOD_SECONDS, {"a": WorkCounts(2, 5_000, 1, 3_000, 1)}),
        (2, 3.0, {"a": WorkCounts(2, 5_000, 1, 3_000, 2)}),
    ],
)
def test_period_is_described_if_requests_were_not_served(
    unserved: int, now: float, expected: dict[str, WorkCounts] | None
) -> None:
    """Guards against a log that tells what was refused and not to whom."""
    work = begin()
    work.note_asked("a", 2_000)
    work.note_asked("a", 3_000)
    work.note_begun("a", 3_000)
    for _ in range(unserved):
        work.note_unserved("a")
    taken = work.take_period(now)
    assert taken == (None if expected is None else (now, expected))
    if now >= PERIOD_SECONDS:
        work.note_unserved("a")
        taken = work.take_period(now + PERIOD_SECONDS)
        assert taken == (PERIOD_SECONDS, {"a": WorkCounts(unserved=1)})


def test_description_names_few_organisations() -> None:
    """Guards against lines that grow with the number of organisations."""
    work = begin()
    for number in range(30):
        work.note_asked(f"o-{number}", number)
        work.note_unserved(f"o-{number}")
    taken = work.take_period(1.0)
    assert taken is not None
    first = 29
    names = [f"o-{first - n}" for n in range(MAX_DESCRIBED_ORGANISATIONS)]
    assert list(taken[1]) == names
