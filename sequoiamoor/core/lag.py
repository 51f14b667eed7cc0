"""Whether the loop of this process keeps up with its work."""

from __future__ import annotations

from dataclasses import dataclass

OVERLOAD_SECONDS = 0.2
"""Lag from which first events are late because of this router and not of a replica."""

RECOVERED_SECONDS = 0.05
"""Lag below which the loop keeps up again."""

OBSERVED_SECONDS = 0.8
"""Time for which the lag must be too long. A single one is that of a paused process."""

RELIEF_SECONDS = 2.5
"""Time for which a router then takes no new connections at least. The load balancer
notices after two of its looks, a second apart."""


@dataclass(slots=True)
class LoopLag:
    """Follows how late the loop comes to a task that sleeps.

    Attributes:
        is_overloaded: Whether new connections should go to other routers.
        seconds: The last lag.
    """

    is_overloaded: bool = False
    seconds: float = 0.0
    _late_since: float | None = None
    _overloaded_at: float = float("-inf")

    def note(self, lag: float, now: float) -> bool:
        """Takes a measured lag.

        Args:
            lag: Seconds by which the task woke up late.
            now: Monotonic time in seconds.

        Returns:
            Whether the state changed.
        """
        self.seconds = lag
        before = self.is_overloaded
        if lag < OVERLOAD_SECONDS:
            self._late_since = None
        elif self._late_since is None:
            self._late_since = now
        elif now - self._late_since >= OBSERVED_SECONDS:
            self.is_overloaded, self._overloaded_at = True, now
        if lag < RECOVERED_SECONDS and now - self._overloaded_at >= RELIEF_SECONDS:
            self.is_overloaded = False
        return self.is_overloaded != before
