"""Estimate of how long callers have waited since their first request."""

from __future__ import annotations

from dataclasses import dataclass

MIN_RETENTION_SECONDS = 20.0
"""Minimum time for which the longest remaining time of a route is kept.

It is long enough to contain first requests even if most of the traffic is from callers
that were refused before.
"""


@dataclass(slots=True)
class _LongestRemaining:
    """Longest remaining time of a route's callers, in seconds.

    Attributes:
        period_began_at: Monotonic time in seconds at which the current period began.
        current: Longest time in the current period.
        previous: Longest time in the previous period.
    """

    period_began_at: float
    current: float = 0.0
    previous: float = 0.0


class CallerAges:
    """Estimates how long callers have waited from the time that they still wait.

    A caller that returns after a refusal sends a new request identifier and a shorter
    remaining time than with its first request. The longest remaining time of a route's
    callers is assumed to be that of a first request. A caller with a shorter limit of
    its own is mistaken for one that returned, which only changes its place among the
    requests of its organisation.
    """

    def __init__(self) -> None:
        self._longest_by_route: dict[str, _LongestRemaining] = {}

    def estimate(self, route: str, remaining: float, now: float) -> float:
        """Returns for how many seconds the caller of a request has already waited.

        Args:
            route: Name of the request's route.
            remaining: Seconds for which the caller will still wait.
            now: Monotonic time in seconds.
        """
        longest = self._longest_by_route.get(route)
        if longest is None:
            longest = self._longest_by_route[route] = _LongestRemaining(now)
        elapsed = now - longest.period_began_at
        if elapsed >= MIN_RETENTION_SECONDS:
            is_consecutive = elapsed < 2 * MIN_RETENTION_SECONDS
            longest.previous = longest.current if is_consecutive else 0.0
            longest.current, longest.period_began_at = 0.0, now
        longest.current = max(longest.current, remaining)
        return max(longest.current, longest.previous) - remaining
