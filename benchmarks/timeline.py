"""An event queue in simulated time for in-memory fleets."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class Timeline:
    """Simulated time and the scheduled events.

    Attributes:
        now: Simulated time in seconds.
        events: Heap of (time in seconds, sequence number, function, arguments).
        numbers: Source of sequence numbers; they keep the order of events that are
            scheduled for the same time.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.numbers = itertools.count()

    def at(self, when: float, function: Callable[..., None], *args: Any) -> None:
        """Schedules a call at a simulated time in seconds."""
        heapq.heappush(self.events, (when, next(self.numbers), function, args))

    def run(self, until: float) -> None:
        """Runs all events up to a simulated time in seconds, in order."""
        while self.events and self.events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.now = until
