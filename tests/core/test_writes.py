"""Tests of conditional writes whose answers are lost."""

from __future__ import annotations

import pytest

from sequoiamoor.core.writes import ConditionalWrite, Put, Rejected, Written

from .builders import Table


@pytest.mark.parametrize(
    ("present", "faults", "expected"),
    [
        (None, ["none"], Written(1)),
        (None, ["lost answer", "none"], Written(1)),
        (None, ["lost answer", "outage", "none"], Written(1)),
        (None, ["outage", "none", "none"], Written(1)),
        (None, ["lost answer", "lost answer", "none"], Written(1)),
        ("other", ["none"], Rejected(1, "other")),
        ("other", ["lost answer", "none"], Rejected(1, "other")),
    ],
)
def test_lost_answer_is_settled(
    present: str | None, faults: list[str], expected: object
) -> None:
    """Guards against a wrong result of a write whose answer was lost.

    Without reading back, a write that took effect cannot be distinguished from one
    that did not.
    """
    table = Table()
    if present is not None:
        table.put(Put("k", present, 0))
    write = ConditionalWrite("k", "mine", expected_version=0)
    for fault in faults:
        assert write.result is None
        table.step(write, fault)
    assert write.result == expected


def test_late_write_is_found_by_the_repeated_one() -> None:
    """Guards against taking a delayed write of this writer for one of another.

    The first write arrives after the repeated one was sent, so that the repeated one
    conflicts with a value that this writer wrote itself.
    """
    table = Table()
    write = ConditionalWrite("k", "mine", expected_version=0)
    table.step(write, "late")
    table.step(write, "none")
    table.put(table.late.pop())
    table.step(write, "none")
    assert write.result == Written(1)
