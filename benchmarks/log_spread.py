"""How evenly a fleet spreads its streams, from the log lines of all its routers.

Usage: ``python -m benchmarks.log_spread LOG [--span 2] [--replicas 45]``. The log has
one line per event, JSON with any text before it, as the routers write it.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Annotated

import typer

from .log_shares import read_lines

WINDOW_SECONDS = 0.1
"""Time in which streams that reach the same replica were sent without knowing of each
other: it is shorter than any report interval."""


@dataclass(frozen=True, slots=True)
class Spread:
    """Streams that were sent in a span of time.

    Attributes:
        first: First second of the span.
        streams: Streams per second.
        busiest: Streams that the busiest replica got in a window, in the mean.
        busiest_at_random: The same if each stream went to any replica.
        first_event_ms: Time from arrival to the first event that nine in ten stay
            within.
    """

    first: float
    streams: float
    busiest: float
    busiest_at_random: float
    first_event_ms: float


@dataclass(slots=True)
class SentStreams:
    """Replicas to which streams were sent, from the lines ``served``.

    Attributes:
        by_window: Replicas by window.
        first_event_ms: Times to the first event by window.
    """

    by_window: dict[int, list[str]] = field(default_factory=dict)
    first_event_ms: dict[int, list[float]] = field(default_factory=dict)

    def add(self, line: dict[str, object]) -> None:
        """Adds a line ``served`` of a stream; others are ignored."""
        if line.get("event") != "served" or not line.get("prompt_tokens"):
            return
        ms = float(str(line["total_ms"])) - float(str(line["to_send_ms"]))
        window = int((float(str(line["time"])) - ms / 1000) / WINDOW_SECONDS)
        self.by_window.setdefault(window, []).append(str(line["upstream"]))
        first_ms = float(str(line.get("first_ms", 0)))
        self.first_event_ms.setdefault(window, []).append(first_ms)

    def list_spreads(self, span: float, *, replicas: int = 0) -> Iterator[Spread]:
        """Returns the spans in order.

        Args:
            span: Seconds of a span.
            replicas: Replicas of the service; 0 for those that got a stream.
        """
        names = {name for sent in self.by_window.values() for name in sent}
        count = replicas or len(names)
        per_span = max(round(span / WINDOW_SECONDS), 1)
        start = min(self.by_window)
        rng = Random(0)
        for first in range(start, max(self.by_window) + 1, per_span):
            windows = [self.by_window.get(first + at, []) for at in range(per_span)]
            drawn = [[rng.randrange(count) for _ in sent] for sent in windows]
            times = sorted(
                time
                for at in range(per_span)
                for time in self.first_event_ms.get(first + at, [])
            )
            yield Spread(
                (first - start) * WINDOW_SECONDS,
                sum(map(len, windows)) / (per_span * WINDOW_SECONDS),
                _average_most(windows),
                _average_most(drawn),
                times[len(times) * 9 // 10] if times else 0.0,
            )


def _average_most(windows: list[list[str]] | list[list[int]]) -> float:
    """Returns how often the most frequent entry of a window occurs, in the mean."""
    most = [max(Counter(window).values(), default=0) for window in windows]
    return sum(most) / len(most)


def main(
    log: Path,
    span: Annotated[float, typer.Option(help="seconds")] = 2.0,
    replicas: Annotated[int, typer.Option(help="0: those in the log")] = 0,
) -> None:
    """Prints how many streams the busiest replica got at once."""
    sent = SentStreams()
    with log.open(encoding="utf-8", errors="replace") as lines:
        for line in read_lines(lines):
            sent.add(line)
    if not sent.by_window:
        sys.exit(f"{log} has no line 'served' of a stream; log the routers' output")
    print("   from  streams/s  busiest  at random  first event, ms")
    for spread in sent.list_spreads(span, replicas=replicas):
        print(
            f"{spread.first:6.1f}s {spread.streams:10.0f} {spread.busiest:8.2f}"
            f" {spread.busiest_at_random:10.2f} {spread.first_event_ms:16.0f}"
        )


if __name__ == "__main__":
    typer.run(main)
