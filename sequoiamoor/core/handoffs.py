"""When a router hands a new connection to another one of its zone, and to which.

The load balancer chooses the router by the caller, so that one router may get more
requests than its processor can serve while others of its zone have next to none.
Passing bytes on takes a fraction of the processor time of serving a request. Whether
the other router has room is asked for each connection and not taken from a report.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from ..types import RouterId

DEFAULT_BUSY_FRACTION = 0.5
"""Use of the event loop above which a router hands connections off."""

HANDOFF_RANGE = 0.3
"""Use above that from which it hands off every new connection."""

MAX_TRIES = 2
"""Routers that are asked to take one connection over."""

REFUSED_SECONDS = 0.5
"""Time for which a router that took a connection not over is not asked again."""


@dataclass(frozen=True, slots=True)
class HandoffLimit:
    """Use of its event loop up to which a router serves all its callers itself.

    Attributes:
        busy_fraction: Part of the time for which the loop has work. Above it the router
            hands connections off, from it on it takes none over.
    """

    busy_fraction: float = DEFAULT_BUSY_FRACTION

    def find_probability(self, use: float) -> float:
        """Returns the probability with which a new connection is handed off.

        Args:
            use: Part of the time for which the event loop has work.
        """
        return min(max((use - self.busy_fraction) / HANDOFF_RANGE, 0.0), 1.0)

    def may_take_over(self, use: float) -> bool:
        """Returns whether a router with this use takes connections over."""
        return use < self.busy_fraction


@dataclass(slots=True)
class HandoffTargets:
    """Routers that may take connections over.

    Attributes:
        rng: Draws the routers that are asked.
    """

    rng: Random
    _refused_until: dict[RouterId, float] = field(default_factory=dict)

    def choose(self, candidates: Iterable[RouterId], now: float) -> list[RouterId]:
        """Returns the routers to ask, in order.

        Args:
            candidates: Other routers of the zone that are alive and do not leave.
            now: Monotonic time in seconds.
        """
        names = self.list_open(candidates, now)
        return self.rng.sample(names, min(len(names), MAX_TRIES))

    def list_open(self, candidates: Iterable[RouterId], now: float) -> list[RouterId]:
        """Returns the routers that have not refused a moment ago.

        Args:
            candidates: Other routers of the zone that are alive and do not leave.
            now: Monotonic time in seconds.
        """
        for router_id, until in list(self._refused_until.items()):
            if until <= now:
                del self._refused_until[router_id]
        return sorted(set(candidates) - self._refused_until.keys())

    def record_refused(self, router_id: RouterId, now: float) -> None:
        """Records that a router took a connection not over, or did not answer."""
        self._refused_until[router_id] = now + REFUSED_SECONDS
