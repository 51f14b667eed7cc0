"""When a background task that keeps failing is given up."""

from __future__ import annotations

from collections import deque

MAX_FAILURES = 5
"""Failures of one task within the window from which it counts as broken."""

FAILURE_WINDOW_SECONDS = 30.0


class RestartRecord:
    """Recent failures of one background task.

    Attributes:
        is_broken: Whether the task failed too often to expect that it recovers.
    """

    def __init__(self) -> None:
        self._failed_at: deque[float] = deque(maxlen=MAX_FAILURES)
        self.is_broken = False

    def record_failure(self, now: float) -> None:
        """Records a failure or unexpected end.

        Args:
            now: Monotonic time in seconds.
        """
        self._failed_at.append(now)
        is_full = len(self._failed_at) == MAX_FAILURES
        if is_full and now - self._failed_at[0] <= FAILURE_WINDOW_SECONDS:
            self.is_broken = True
