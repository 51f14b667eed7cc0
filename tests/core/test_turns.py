"""Tests of the order in which requests begin during a flood."""

from __future__ import annotations

import pytest

from sequoiamoor.core.turns import Turns


@pytest.mark.parametrize(
    ("waiting", "passes"),
    [
        ("", [""]),
        ("aaaaa", ["aaa", "aa", ""]),
        ("aaaaab", ["aba", "aaa", ""]),
        ("aaaabbbbc", ["abc", "aba", "bab", ""]),
        ("aaaa-bb", ["a-b", "aba", "a", ""]),
    ],
)
def test_organisations_begin_in_turn(waiting: str, passes: list[str]) -> None:
    """Guards against a flood of one organisation that delays the others."""
    turns = Turns[str](3)
    for name in waiting:
        turns.add(None if name == "-" else name, name, 0.0)
    assert ["".join(turns.start_pass()) for _ in passes] == passes


def test_a_pass_begins_no_more_than_its_limit() -> None:
    """Guards against new requests that overtake those that wait, or add to a pass."""
    turns = Turns[str](3)
    assert [turns.begin() for _ in range(5)] == [True, True, True, False, False]
    turns.add("a", "first", 1.0)
    turns.add("b", "second", 2.0)
    turns.remove("b", "second")
    assert (turns.find_wait(5.0), turns.begin()) == (4.0, False)
    assert (turns.start_pass(), turns.find_wait(5.0)) == (["first"], 0.0)
    assert [turns.begin() for _ in range(3)] == [True, True, False]
    turns.start_pass()
    assert turns.begin()
