"""Polling intervals of a router towards the platform's store."""

from __future__ import annotations

from dataclasses import dataclass

MAX_FULL_RATE_ROUTERS = 8
"""Largest fleet in which every router polls at the full rate. In a larger fleet each
router polls less often: the routers poll at different times, and the first one that
sees a change forwards it to the others."""

PAUSE_JITTER_FRACTION = 0.2
"""Largest random deviation of a pause, as a fraction of it; without it, routers would
poll at the same time."""

CONFIGURATION_WAIT_SECONDS = 0.7
"""Longest time for which the store holds a call for configuration changes, at the full
rate; each answer confirms the API keys in force."""

MAX_CONFIGURATION_WAIT_SECONDS = 2.0
"""Upper bound of that time in a large fleet. It is half of the time for which API keys
are accepted without a confirmation."""

UPSTREAM_WAIT_SECONDS = 0.4
"""Longest time for which the store holds a call for changes of upstreams."""

OVERDUE_UPSTREAM_WAIT_SECONDS = 0.05
"""The same while the last confirmation is too old; requests may wait for the answer."""

UPSTREAM_PAUSE_SECONDS = 0.4
"""Pause between two calls for changes of upstreams at the full rate; without it, the
heartbeats of the replicas would make each call follow the last one at once."""

ROUTER_REFRESH_SECONDS = 5.0
"""Interval between two reads of the routers' addresses at the full rate."""

MAX_ROUTER_REFRESH_SECONDS = 20.0
"""Upper bound of that interval in a large fleet; routers also learn of each other by
their connections."""


@dataclass(frozen=True, slots=True)
class PollIntervals:
    """Computes wait times and pauses of calls to the store from the fleet size.

    Attributes:
        retry_time: Seconds from the end of a call's wait time until a call whose
            answer was lost is repeated.
        leaving_bound: Seconds within which a leaving replica gets no new work.
        configuration_bound: Seconds within which a new configuration is in force.
    """

    retry_time: float
    leaving_bound: float = 2.0
    configuration_bound: float = 2.0

    def _scale_interval(self, seconds: float, routers: int, longest: float) -> float:
        factor = max(routers / MAX_FULL_RATE_ROUTERS, 1.0)
        return max(seconds, min(seconds * factor, longest))

    def find_configuration_wait(self, routers: int) -> float:
        """Returns how long the store may hold a call for configuration changes.

        The time is in seconds. A call whose answer is lost is repeated within
        ``configuration_bound``.
        """
        longest = min(
            self.configuration_bound - self.retry_time,
            MAX_CONFIGURATION_WAIT_SECONDS,
        )
        return self._scale_interval(CONFIGURATION_WAIT_SECONDS, routers, longest)

    def find_upstream_pause(self, routers: int) -> float:
        """Returns the mean pause between two calls for upstreams, in seconds.

        Even after the longest random pause, a call whose answer is lost is repeated
        within ``leaving_bound``.
        """
        longest_pause = self.leaving_bound - self.retry_time - UPSTREAM_WAIT_SECONDS
        return self._scale_interval(
            UPSTREAM_PAUSE_SECONDS, routers, longest_pause / (1 + PAUSE_JITTER_FRACTION)
        )

    def find_router_refresh(self, routers: int) -> float:
        """Returns the mean interval between two reads of the addresses, in seconds."""
        return self._scale_interval(
            ROUTER_REFRESH_SECONDS, routers, MAX_ROUTER_REFRESH_SECONDS
        )
