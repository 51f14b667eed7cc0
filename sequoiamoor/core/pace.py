"""How many requests an engine may run so that long streams end in their time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..types import ReplicaId, ServiceName
from .routes import Route

LENGTHS_KEPT = 400
LONG_QUANTILE = 0.99
"""Part of the streams that are to end within their time."""

LEAST_LENGTHS = 40
"""Streams after which their lengths are known well enough."""

INTERVAL_SMOOTHING = 0.1
"""Weight of the newest stream in the time between two events at a replica."""

LEAST_EVENTS = 8
"""Events of a stream whose pace tells something."""

LEAST_FACTOR = 0.4
"""Smallest part of the slots; below it, time per event hardly falls any more."""


@dataclass(slots=True)
class _Lengths:
    route: Route
    events: deque[int] = field(default_factory=lambda: deque(maxlen=LENGTHS_KEPT))

    def find_interval(self) -> float | None:
        """Returns the time between events in which a long stream ends in time."""
        if len(self.events) < LEAST_LENGTHS:
            return None
        ordered = sorted(self.events)
        longest = ordered[int(LONG_QUANTILE * (len(ordered) - 1))]
        return (self.route.timeout - self.route.target) / max(longest, 1)


class StreamPace:
    """Lengths of streams per route and the time between events per replica."""

    def __init__(self) -> None:
        self._lengths: dict[ServiceName, dict[str, _Lengths]] = {}
        self._intervals: dict[ReplicaId, float] = {}
        self._needed: dict[ServiceName, float | None] = {}

    def note_end(
        self,
        service: ServiceName,
        replica_id: ReplicaId,
        route: Route,
        *,
        events: int,
        length: int,
        seconds: float,
    ) -> None:
        """Takes note of a stream that ended.

        Args:
            service: Service that served it.
            replica_id: Replica that made the events.
            route: Its route.
            events: Events that were made.
            length: Events that the whole stream has, as far as known.
            seconds: Time from the first event to the last one.
        """
        known = self._lengths.setdefault(service, {})
        lengths = known.get(route.name)
        if lengths is None:
            lengths = known[route.name] = _Lengths(route)
        lengths.route = route
        lengths.events.append(length)
        if events < LEAST_EVENTS:
            return
        interval = seconds / (events - 1)
        before = self._intervals.get(replica_id, interval)
        self._intervals[replica_id] = before + INTERVAL_SMOOTHING * (interval - before)

    def refresh(self) -> None:
        """Computes anew what the streams of each service need."""
        for service, routes in self._lengths.items():
            found = [one.find_interval() for one in routes.values()]
            needed = [one for one in found if one is not None]
            self._needed[service] = min(needed, default=None)

    def interval(self, replica_id: ReplicaId) -> float:
        """Returns the seconds between two events at the replica, 0 if unknown."""
        return self._intervals.get(replica_id, 0.0)

    def factor(self, service: ServiceName, replica_id: ReplicaId) -> float:
        """Returns the part of the replica's slots that may be used."""
        needed = self._needed.get(service)
        interval = self._intervals.get(replica_id)
        if needed is None or not interval or interval <= needed:
            return 1.0
        # The square makes the window settle near the pace that is needed.
        return max((needed / interval) ** 2, LEAST_FACTOR)
