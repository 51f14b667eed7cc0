"""Graceful shutdown: when a router that was asked to stop may exit."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class DrainEndReason(enum.StrEnum):
    """Why a drain ended."""

    IDLE = "idle"
    LIMIT = "drain-limit"
    SECOND_SIGNAL = "second-signal"


@dataclass(slots=True)
class Drain:
    """The shutdown of one router.

    After the first signal the router is not ready, reports that it is leaving and
    refuses new requests; requests that it accepted before are completed.

    Attributes:
        limit: Longest duration of the drain in seconds.
        min_drain_seconds: Shortest duration of the drain in seconds, even if the router
            is idle: its peers must receive a report with the leaving flag, and the
            load balancer must see that the router is not ready.
        max_record_wait_seconds: Longest time in seconds between the last answer and the
            end, for records that are still to be written. A record that is not written
            stays ``claimed``, which is correct but tells a repeated call less.
        started_at: Monotonic time of the first signal in seconds; None before it.
        idle_since: Monotonic time in seconds since which no request is in service;
            None while there is one.
        is_forced: Whether a second signal arrived.
    """

    limit: float
    min_drain_seconds: float
    max_record_wait_seconds: float
    started_at: float | None = None
    idle_since: float | None = None
    is_forced: bool = False

    @property
    def is_leaving(self) -> bool:
        """Whether new requests are refused and the router is not ready."""
        return self.started_at is not None

    def take_signal(self, now: float) -> None:
        """Starts the drain, or ends it if it was started before."""
        if self.started_at is None:
            self.started_at = now
        else:
            self.is_forced = True

    def find_end_reason(
        self, now: float, *, in_service: int, records: int = 0
    ) -> DrainEndReason | None:
        """Returns why the drain ends now, or None if it goes on.

        Args:
            now: Monotonic time in seconds.
            in_service: Number of accepted requests whose answers are not complete.
            records: Number of at-most-once records that are still to be written.
        """
        if self.started_at is None:
            return None
        if self.is_forced:
            return DrainEndReason.SECOND_SIGNAL if in_service else DrainEndReason.IDLE
        elapsed = now - self.started_at
        if in_service:
            self.idle_since = None
        elif self.idle_since is None:
            self.idle_since = now
        if self.idle_since is not None:
            may_skip_records = (
                not records or now - self.idle_since >= self.max_record_wait_seconds
            )
            if elapsed >= self.limit or (
                may_skip_records and elapsed >= self.min_drain_seconds
            ):
                return DrainEndReason.IDLE
        return DrainEndReason.LIMIT if elapsed >= self.limit else None
