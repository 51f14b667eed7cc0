"""Limit on the requests of an engine so that long streams end within their timeout."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..types import ReplicaId, ServiceName
from .routes import Route

MAX_STREAM_LENGTHS_PER_ROUTE = 400
"""Newest streams of a route whose lengths are kept."""

LONG_STREAM_QUANTILE = 0.99
"""Fraction of the streams that should end within their timeout."""

MIN_STREAM_LENGTHS = 40
"""Streams of a route below which their lengths are too uncertain to be used."""

INTERVAL_SMOOTHING_WEIGHT = 0.1
"""Weight of the newest stream in the moving average of a replica's interval."""

MIN_EVENTS_FOR_INTERVAL = 8
"""Events of a stream below which its interval is too uncertain to be used."""

MIN_SLOT_FRACTION = 0.4
"""Smallest fraction of the slots; with fewer, the interval hardly falls further."""


@dataclass(slots=True)
class _RouteLengths:
    """Lengths of the newest streams of a route.

    Attributes:
        route: The route.
        stream_lengths: Number of events of each stream.
    """

    route: Route
    stream_lengths: deque[int] = field(
        default_factory=lambda: deque(maxlen=MAX_STREAM_LENGTHS_PER_ROUTE)
    )

    def find_max_interval(self) -> float | None:
        """Returns the longest interval, in seconds, that lets streams end in time."""
        if len(self.stream_lengths) < MIN_STREAM_LENGTHS:
            return None
        ordered = sorted(self.stream_lengths)
        longest = ordered[int(LONG_STREAM_QUANTILE * (len(ordered) - 1))]
        return (self.route.timeout - self.route.target) / max(longest, 1)


class StreamPace:
    """Lengths of streams per route and the interval between events per replica."""

    def __init__(self) -> None:
        self._lengths_by_service: dict[ServiceName, dict[str, _RouteLengths]] = {}
        self._interval_by_replica: dict[ReplicaId, float] = {}
        self._max_interval_by_service: dict[ServiceName, float | None] = {}

    def record_stream_end(
        self,
        service: ServiceName,
        replica_id: ReplicaId,
        route: Route,
        *,
        events: int,
        length: int,
        seconds: float,
    ) -> None:
        """Records a stream that ended.

        Args:
            service: Service that served the stream.
            replica_id: Replica that generated the events.
            route: Route of the stream.
            events: Number of events generated.
            length: Number of events of the whole stream, as far as known.
            seconds: Time from the first event to the last.
        """
        lengths_by_route = self._lengths_by_service.setdefault(service, {})
        lengths = lengths_by_route.get(route.name)
        if lengths is None:
            lengths = lengths_by_route[route.name] = _RouteLengths(route)
        lengths.route = route
        lengths.stream_lengths.append(length)
        if events < MIN_EVENTS_FOR_INTERVAL:
            return
        interval = seconds / (events - 1)
        previous = self._interval_by_replica.get(replica_id, interval)
        self._interval_by_replica[replica_id] = previous + INTERVAL_SMOOTHING_WEIGHT * (
            interval - previous
        )

    def refresh(self) -> None:
        """Recomputes the longest interval that the streams of each service allow."""
        for service, lengths_by_route in self._lengths_by_service.items():
            intervals = [
                lengths.find_max_interval() for lengths in lengths_by_route.values()
            ]
            known_intervals = [
                interval for interval in intervals if interval is not None
            ]
            self._max_interval_by_service[service] = min(known_intervals, default=None)

    def find_event_interval(self, replica_id: ReplicaId) -> float:
        """Returns the mean seconds between two events at the replica, 0 if unknown."""
        return self._interval_by_replica.get(replica_id, 0.0)

    def find_slot_fraction(
        self, service: ServiceName, replica_id: ReplicaId, *, pace: float = 1.0
    ) -> float:
        """Returns the fraction of the replica's slots that may be used.

        Args:
            service: Service of the replica.
            replica_id: The replica.
            pace: Time that its work takes now, as a multiple of the usual time.
        """
        max_interval = self._max_interval_by_service.get(service)
        interval = self._interval_by_replica.get(replica_id, 0.0) * pace
        if max_interval is None or not interval or interval <= max_interval:
            return 1.0
        # The square makes the window settle near the interval that is needed.
        return max((max_interval / interval) ** 2, MIN_SLOT_FRACTION)
