"""Detection of an overloaded event loop."""

from __future__ import annotations

from dataclasses import dataclass

OVERLOAD_LAG_SECONDS = 0.2
"""Lag from which first events are late because of this router, not a replica."""

RECOVERED_LAG_SECONDS = 0.05
"""Lag below which the loop keeps up again."""

SUSTAINED_LAG_SECONDS = 0.8
"""Time for which the lag must be too long.

A single long lag is that of a paused process.
"""

MIN_OVERLOAD_SECONDS = 2.5
"""Minimum time for which an overloaded router accepts no new connections.

The load balancer notices only after two health checks, a second apart.
"""


@dataclass(slots=True)
class LoopLag:
    """Tracks how late the event loop wakes a sleeping task.

    Attributes:
        is_overloaded: Whether new connections should go to other routers.
        seconds: Last lag in seconds.
    """

    is_overloaded: bool = False
    seconds: float = 0.0
    _late_since: float | None = None
    _overloaded_at: float = float("-inf")

    def note(self, lag: float, now: float) -> bool:
        """Records a measured lag.

        Args:
            lag: Seconds by which the task woke up late.
            now: Monotonic time in seconds.

        Returns:
            Whether ``is_overloaded`` changed.
        """
        self.seconds = lag
        was_overloaded = self.is_overloaded
        if lag < OVERLOAD_LAG_SECONDS:
            self._late_since = None
        elif self._late_since is None:
            self._late_since = now
        elif now - self._late_since >= SUSTAINED_LAG_SECONDS:
            self.is_overloaded, self._overloaded_at = True, now
        if (
            lag < RECOVERED_LAG_SECONDS
            and now - self._overloaded_at >= MIN_OVERLOAD_SECONDS
        ):
            self.is_overloaded = False
        return self.is_overloaded != was_overloaded
