"""Tests of the shares of organisations that are read from logs."""

from __future__ import annotations

import json

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
