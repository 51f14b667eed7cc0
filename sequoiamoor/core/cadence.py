"""How often a router asks the platform's store."""

from __future__ import annotations

from dataclasses import dataclass

FULL_RATE_ROUTERS = 8
"""Largest fleet in which every router asks at the full rate. In a larger one each asks
less often: they ask at different times, and whoever sees a change tells the others."""

JITTER = 0.2
"""Part by which a pause is drawn shorter or longer, so that routers spread out."""

CONFIGURATION_WAIT_SECONDS = 0.7
"""Wait of the feed of the configuration at the full rate; each answer confirms the keys
in force."""

LONGEST_CONFIGURATION_WAIT_SECONDS = 2.0
"""The same in a large fleet. It is half of the time for which keys hold unconfirmed."""

UPSTREAM_WAIT_SECONDS = 0.4
"""Wait of the feed of upstreams while none of them changes."""

UPSTREAM_PAUSE_SECONDS = 0.4
"""Pause between two calls at the full rate; heartbeats of replicas would make them
follow at once."""

ROUTER_REFRESH_SECONDS = 5.0
"""Time between two reads of the routers' addresses at the full rate."""

LONGEST_ROUTER_REFRESH_SECONDS = 20.0
"""The same in a large fleet; routers also learn of each other by their connections."""


@dataclass(frozen=True, slots=True)
class Cadence:
    """Waits and pauses of the feeds, by the size of the fleet.

    Attributes:
        retry_time: Seconds from the end of its wait in which a call whose answer is
            lost is made again.
        leaving_bound: Seconds in which a replica that leaves gets no new work.
        configuration_bound: Seconds in which a configuration is in force.
    """

    retry_time: float
    leaving_bound: float = 2.0
    configuration_bound: float = 2.0

    def _stretch(self, seconds: float, routers: int, longest: float) -> float:
        factor = max(routers / FULL_RATE_ROUTERS, 1.0)
        return max(seconds, min(seconds * factor, longest))

    def find_configuration_wait(self, routers: int) -> float:
        """Returns the wait of the feed of the configuration, in seconds.

        A call whose answer is lost is made again within the bound.
        """
        longest = min(
            self.configuration_bound - self.retry_time,
            LONGEST_CONFIGURATION_WAIT_SECONDS,
        )
        return self._stretch(CONFIGURATION_WAIT_SECONDS, routers, longest)

    def find_upstream_pause(self, routers: int) -> float:
        """Returns the mean pause between two calls for upstreams, in seconds.

        With the longest pause, a call whose answer is lost is made again within the
        bound.
        """
        left = self.leaving_bound - self.retry_time - UPSTREAM_WAIT_SECONDS
        return self._stretch(UPSTREAM_PAUSE_SECONDS, routers, left / (1 + JITTER))

    def find_router_refresh(self, routers: int) -> float:
        """Returns the mean time between two reads of addresses, in seconds."""
        return self._stretch(
            ROUTER_REFRESH_SECONDS, routers, LONGEST_ROUTER_REFRESH_SECONDS
        )
