"""Measures CPU time and memory, and fits straight lines to measured points."""

from __future__ import annotations

import gc
import json
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

REPEATS = 5


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line through measured points.

    Attributes:
        name: What was measured.
        unit: Unit of the ordinate.
        per: Unit of the abscissa.
        points: Measured (abscissa, ordinate) pairs.
        slope: Ordinate units per abscissa unit.
        intercept: Ordinate at zero.
        residual: Largest distance of a point from the line, relative to the
            largest ordinate.
    """

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    residual: float


def fit_line(
    name: str, points: list[tuple[float, float]], *, unit: str, per: str
) -> Line:
    """Returns the least-squares line through the points."""
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    errors = [abs(y - (slope * x + intercept)) for x, y in points]
    residual = max(errors) / max(max(map(abs, ys)), 1e-12)
    return Line(name, unit, per, tuple(points), slope, intercept, residual)


def measure_cpu(work: Callable[[], object], *, rounds: int) -> float:
    """Returns the CPU microseconds of one round, the minimum of several repeats."""
    best = float("inf")
    for _ in range(REPEATS):
        gc.collect()
        began = time.process_time_ns()
        for _ in range(rounds):
            work()
        best = min(best, (time.process_time_ns() - began) / 1000 / rounds)
    return best


def measure_memory(build: Callable[[], Any]) -> int:
    """Returns the bytes that the built object holds."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del kept
        return after - before
    finally:
        tracemalloc.stop()


def print_line(line: Line) -> None:
    """Prints one line with its fit and residual."""
    points = "  ".join(f"{x:g}: {y:.4g}" for x, y in line.points)
    print(
        f"{line.name:<44} {line.slope:>10.4g} {line.unit}/{line.per:<14}"
        f" + {line.intercept:<9.4g} residual {line.residual:5.1%}   {points}"
    )


def write_lines(path: Path, lines: list[Line], extra: dict[str, Any]) -> None:
    """Writes the lines as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    document = {"lines": {line.name: asdict(line) for line in lines}, **extra}
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
