"""Events of a fleet in memory, carried out in the order of their times."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class Timeline:
    """The time of a fleet in memory, and what happens next."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.numbers = itertools.count()

    def at(self, when: float, function: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.events, (when, next(self.numbers), function, args))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.now = until
