"""Measurements of a service by one router: fairness gap and utilisation."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from ..types import ServiceName


@dataclass(frozen=True, slots=True)
class ServiceMetrics:
    """Measurements of one service by one router.

    Attributes:
        gap_units: Largest difference in work served between two backlogged
            organisations, in service units.
        gap_seconds: The same difference as seconds of the service's capacity; 0
            while the capacity is unknown.
        utilisation: Fraction of the replicas' slots that is in use, at most 1.
        waiting: Number of waiting requests.
        slots: Number of slots of all replicas.
    """

    service: ServiceName
    gap_units: float
    gap_seconds: float
    utilisation: float
    waiting: int
    slots: int


def build_service_metrics(
    service: ServiceName,
    *,
    backlogged_totals: Collection[float],
    capacity: float,
    running: int,
    waiting: int,
    slots: int,
) -> ServiceMetrics:
    """Returns the measurements of a service.

    Args:
        service: Name of the service.
        backlogged_totals: Work served for each backlogged organisation, in service
            units.
        capacity: Service units per second of all slots together; 0 if unknown.
        running: Number of slots in use.
        waiting: Number of waiting requests.
        slots: Number of slots of all replicas.
    """
    gap = 0.0
    if len(backlogged_totals) > 1:
        gap = max(backlogged_totals) - min(backlogged_totals)
    return ServiceMetrics(
        service=service,
        gap_units=gap,
        gap_seconds=gap / capacity if capacity > 0 else 0.0,
        utilisation=min(running / slots, 1.0) if slots else 0.0,
        waiting=waiting,
        slots=slots,
    )
