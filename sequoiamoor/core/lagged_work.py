"""Recent work of this router as the other routers of a large fleet know it now."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..types import OrganisationName, ServiceName

LAG_INTERVALS = 2.0
"""Report intervals after which work that one router did is in the sums of the others.
It crosses about four levels of the report tree, each after half an interval."""

WorkKey = tuple[ServiceName, OrganisationName]


@dataclass(slots=True)
class LaggedWork:
    """Recent work of this router at times in the past.

    A router knows its own work at once and that of the others late. Compared with each
    other, the parts that all routers take of an organisation's work add up to less than
    the whole while it falls, and to more while it grows.
    """

    _records: deque[tuple[float, dict[WorkKey, float]]] = field(default_factory=deque)

    def record(self, units: Mapping[WorkKey, float], now: float, *, lag: float) -> None:
        """Records the recent work of now; what is older than the lag is dropped.

        Args:
            units: Recent work in service units.
            now: Monotonic time in seconds.
            lag: Seconds after which the others know of it.
        """
        self._records.append((now, dict(units)))
        while len(self._records) > 1 and self._records[1][0] <= now - lag:
            self._records.popleft()

    def get(self, key: WorkKey) -> float:
        """Returns the recent work that the others know of, in service units."""
        return self._records[0][1].get(key, 0.0) if self._records else 0.0
