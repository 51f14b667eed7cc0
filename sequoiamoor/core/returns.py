"""How long callers have waited since they first asked."""

from __future__ import annotations

from dataclasses import dataclass

MEMORY_SECONDS = 20.0
"""Time for which the longest time of a route's callers is remembered at least. First
requests are seen in it even if refused callers make up most of the traffic."""


@dataclass(slots=True)
class _LongestTime:
    """Longest remaining time in the current period and in the one before."""

    since: float
    current: float = 0.0
    before: float = 0.0


class CallerAges:
    """Estimates the age of requests from the time that their callers still have.

    A caller that comes back after a refusal sends a new request id, and less time than
    with its first request. The longest time that callers of a route send is taken for
    that of a first request; a caller that is less patient by itself counts as one that
    came back, which costs it no more than its place among its organisation's requests.
    """

    def __init__(self) -> None:
        self._longest: dict[str, _LongestTime] = {}

    def estimate(self, route: str, remaining: float, now: float) -> float:
        """Returns for how many seconds the caller of a request has waited already.

        Args:
            route: Name of the request's route.
            remaining: Seconds that the caller still waits.
            now: Monotonic time in seconds.
        """
        longest = self._longest.get(route)
        if longest is None:
            longest = self._longest[route] = _LongestTime(now)
        elapsed = now - longest.since
        if elapsed >= MEMORY_SECONDS:
            is_next = elapsed < 2 * MEMORY_SECONDS
            longest.before = longest.current if is_next else 0.0
            longest.current, longest.since = 0.0, now
        longest.current = max(longest.current, remaining)
        return max(longest.current, longest.before) - remaining
