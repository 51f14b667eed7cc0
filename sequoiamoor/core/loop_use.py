"""Part of the time for which the event loop has work."""

from __future__ import annotations

import math
from dataclasses import dataclass

AVERAGING_SECONDS = 0.2
"""Time constant of the moving average."""


@dataclass(slots=True)
class LoopUse:
    """Moving average of the part of the time in which the loop does not wait.

    It tells that a router is short of processor time before its loop is late, and on a
    VM that gets a part of a core as well as on one that has several.

    Attributes:
        fraction: The average, from 0 to 1.
    """

    fraction: float = 0.0
    _ended_at: float | None = None

    def note_wait(self, started_at: float, ended_at: float) -> None:
        """Records that the loop waited for events.

        Args:
            started_at: Monotonic time in seconds at which the wait began.
            ended_at: Monotonic time in seconds at which it ended.
        """
        if self._ended_at is not None:
            self._move(1.0, started_at - self._ended_at)
        self._move(0.0, ended_at - started_at)
        self._ended_at = ended_at

    def _move(self, value: float, seconds: float) -> None:
        if seconds > 0:
            weight = -math.expm1(-seconds / AVERAGING_SECONDS)
            self.fraction += weight * (value - self.fraction)
