"""Shares of organisations over time, from the log lines of all routers of a fleet.

Usage: ``python -m benchmarks.log_shares LOG [--largest 4]``. The log has one line per
event, JSON with any text before it, as the routers write it.
"""

from __future__ import annotations

import json
import math
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import typer

WINDOW_SECONDS = 6


@dataclass(slots=True)
class BegunWork:
    """Prompt and output tokens of the streams that were answered.

    Attributes:
        by_second: Tokens by organisation and second in which the stream arrived.
        unserved: Prompt tokens of the streams that were not begun, likewise. Requests
            that were not read, as in an overloaded router, are not in the log.
    """

    by_second: Counter[tuple[str, int]] = field(default_factory=Counter)
    unserved: Counter[tuple[str, int]] = field(default_factory=Counter)

    def add(self, line: dict[str, Any]) -> None:
        """Adds a line on streams that were served, or not served; ignores others."""
        if line.get("event") == "streams were not served":
            middle = float(line["time"]) - float(line["elapsed_ms"]) / 2000
            for organisation, counts in line["organisations"].items():
                tokens = counts["asked_tokens"] - counts["begun_tokens"]
                self.unserved[organisation, int(middle)] += max(tokens, 0)
        if line.get("event") != "served" or not line.get("prompt_tokens"):
            return
        seconds = float(str(line["time"])) - float(str(line["total_ms"])) / 1000
        tokens = int(str(line["prompt_tokens"])) + int(
            str(line.get("output_tokens", 0))
        )
        self.by_second[str(line["organisation"]), int(seconds)] += tokens

    def list_largest(self, count: int) -> list[str]:
        """Returns the organisations that got most."""
        totals: Counter[str] = Counter()
        for (organisation, _), tokens in self.by_second.items():
            totals[organisation] += tokens
        return [organisation for organisation, _ in totals.most_common(count)]

    def find_worst_window(self, organisation: str) -> tuple[int, float]:
        """Returns the window with the least part of what the best served one got.

        Returns:
            Its first second and the part.
        """
        seconds = sorted({second for _, second in self.by_second})
        names = {name for name, _ in self.by_second}
        worst = (seconds[0], 1.0)
        for first in seconds[: -WINDOW_SECONDS + 1]:
            window = range(first, first + WINDOW_SECONDS)
            sums = {n: sum(self.by_second[n, at] for at in window) for n in names}
            part = sums[organisation] / max(max(sums.values()), 1)
            worst = min(worst, (first, part), key=lambda entry: entry[1])
        return worst

    def find_least_due(self, organisation: str) -> tuple[int, float]:
        """Returns the window with the least part of what the organisation was due.

        In each second it is due half of what it asked for, or half of what the best
        served one got, whichever is less.

        Returns:
            Its first second and the part; below 1.0 the organisation got too little.
        """
        seconds = sorted({second for _, second in self.by_second})
        names = {name for name, _ in self.by_second}
        most = {at: max(self.by_second[name, at] for name in names) for at in seconds}
        least = (seconds[0], math.inf)
        for first in seconds[: -WINDOW_SECONDS + 1]:
            got, due = 0.0, 0.0
            for at in range(first, first + WINDOW_SECONDS):
                served = self.by_second[organisation, at]
                asked = served + self.unserved[organisation, at]
                got += served
                due += min(asked, most.get(at, 0)) / 2
            if due:
                least = min(least, (first, got / due), key=lambda entry: entry[1])
        return least


def read_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Returns the JSON objects in log lines; other lines are left out."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            document = json.loads(line[start:])
        except json.JSONDecodeError:
            continue
        if isinstance(document, dict):
            yield document


def main(log: Path, largest: Annotated[int, typer.Option()] = 4) -> None:
    """Prints the tokens of the largest organisations each second."""
    work = BegunWork()
    with log.open(encoding="utf-8", errors="replace") as lines:
        for line in read_lines(lines):
            work.add(line)
    if not work.by_second:
        sys.exit(f"{log} has no line 'served' of a stream; log the routers' output")
    names = work.list_largest(largest)
    seconds = sorted({second for _, second in work.by_second})
    print("second".rjust(8), *(name.rjust(12) for name in names), "all".rjust(12))
    for second in seconds:
        tokens = [work.by_second[name, second] for name in names]
        every = sum(t for (_, at), t in work.by_second.items() if at == second)
        print(
            str(second - seconds[0]).rjust(8), *(f"{t:12,d}" for t in [*tokens, every])
        )
    for name in names:
        first, part = work.find_worst_window(name)
        due_first, due_part = work.find_least_due(name)
        print(
            f"{name}: least {part:.2f} of the best served one, in the "
            f"{WINDOW_SECONDS} s from {first - seconds[0]}; least {due_part:.2f} of "
            f"what it is due, from {due_first - seconds[0]}"
        )


if __name__ == "__main__":
    typer.run(main)
