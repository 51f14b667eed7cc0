"""Tests of the shares of organisations that are read from logs."""

from __future__ import annotations

import json

import pytest

from benchmarks.log_shares import BegunWork, read_lines


def write_line(organisation: str, second: int, tokens: int) -> str:
    document = {
        "time": second + 2.5, "event": "served", "organisation": organisation,
        "total_ms": 2_000, "prompt_tokens": tokens, "output_tokens": 10,
    }  # fmt: skip
    return f"  {second}.5 router-1 {json.dumps(document)}"


def test_worst_window_is_that_with_the_least_part_of_the_best_served_one() -> None:
    """Guards against a mean over a play that hides seconds without any service."""
    lines = ["built in 2 s", "{not JSON}", '{"event": "refused"}']
    for second in range(10):
        lines.append(write_line("a", second, 990))
        lines.append(write_line("b", second, 990 if second < 4 else 190))
    work = BegunWork()
    for line in read_lines(lines):
        work.add(line)
    assert work.list_largest(1) == ["a"]
    assert work.find_worst_window("b") == (4, 0.2)
    assert work.by_second["a", 0] == 1_000


def test_organisation_is_due_half_of_what_it_asked_or_the_best_served_one_got() -> None:
    """Guards against a distance that takes little asked for as little served.

    Organisation ``b`` asks for little, then for more than ``a`` gets and is refused.
    """
    work = BegunWork()
    for second in range(10):
        for name, tokens in (("a", 990), ("b", 190)):
            for line in read_lines([write_line(name, second, tokens)]):
                work.add(line)
        if second >= 8:
            counts = {"asked_tokens": 2_000, "begun_tokens": 200}
            work.add(
                {
                    "time": second + 1.0, "event": "streams were not served",
                    "elapsed_ms": 1_000, "organisations": {"b": counts},
                }
            )  # fmt: skip
    assert work.find_least_due("a") == (0, 2.0)
    first, part = work.find_least_due("b")
    assert first == 4
    assert part == pytest.approx(1_200 / (4 * 100 + 2 * 500))
