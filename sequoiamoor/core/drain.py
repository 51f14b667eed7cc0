"""Graceful shutdown: what ends a router that was told to stop."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class DrainEnd(enum.StrEnum):
    """Why a drain ended."""

    IDLE = "idle"
    LIMIT = "drain-limit"
    SECOND_SIGNAL = "second-signal"


@dataclass(slots=True)
class Drain:
    """The shutdown of one router.

    From the first signal on the router is not ready, reports that it is leaving and
    refuses new requests; what it accepted before is served to its end.

    Attributes:
        limit: Longest duration in seconds.
        announce_time: Seconds that the router stays even if it is idle, so that
            its peers get a report with the leaving flag and the load balancer sees
            that it is not ready.
        record_time: Longest time in seconds between the last answer and the end,
            for records that are still to be written. A record that is not written
            stays ``claimed``, which is true but tells a repeated call less.
        started_at: Monotonic time of the first signal.
        answered_at: Monotonic time from which no call was in service.
    """

    limit: float
    announce_time: float
    record_time: float
    started_at: float | None = None
    answered_at: float | None = None
    is_forced: bool = False

    @property
    def is_leaving(self) -> bool:
        """Whether new requests are refused and the router is not ready."""
        return self.started_at is not None

    def take_signal(self, now: float) -> None:
        """Starts the drain; a second signal ends it."""
        if self.started_at is None:
            self.started_at = now
        else:
            self.is_forced = True

    def find_end(
        self, now: float, *, in_service: int, records: int = 0
    ) -> DrainEnd | None:
        """Returns why the drain ends now, or None if it goes on.

        Args:
            now: Monotonic time in seconds.
            in_service: Accepted requests whose answers are not complete.
            records: At-most-once records that are still to be written.
        """
        if self.started_at is None:
            return None
        if self.is_forced:
            return DrainEnd.SECOND_SIGNAL if in_service else DrainEnd.IDLE
        elapsed = now - self.started_at
        if in_service:
            self.answered_at = None
        elif self.answered_at is None:
            self.answered_at = now
        if self.answered_at is not None:
            is_written = not records or now - self.answered_at >= self.record_time
            if elapsed >= self.limit or (is_written and elapsed >= self.announce_time):
                return DrainEnd.IDLE
        return DrainEnd.LIMIT if elapsed >= self.limit else None
