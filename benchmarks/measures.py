"""Goals of the fairness benchmark, and figures computed from its observations."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from sequoiamoor.options import Options

GAP_GOAL_SECONDS = 1.0
GAP_GOAL_FACTOR = 10.0
UTILISATION_GOAL_FRACTION = 0.97
CONTROL_GOAL_BYTES_PER_SECOND = 9_000.0
CONTROL_GOAL_CORE_FRACTION = 0.016
MEMORY_GOAL_BYTES = 256_000_000
PLATFORM_GOAL_PER_SECOND = 10.0
FLOOD_GOAL_RATIO = 1.5
OPTIONS = Options.model_validate({})
# Delay over loopback, between two processes on one machine.
ONE_WAY_DELAY_SECONDS = 0.001


@dataclass(frozen=True, slots=True)
class Check:
    """A goal and whether it was met.

    Attributes:
        name: The goal.
        value: Measured value, or None if there is none.
        limit: The least or the largest value that meets the goal.
        is_met: Whether the goal was met, or None if there is no value.
    """

    name: str
    value: float | None
    limit: float
    is_met: bool | None


def check_at_most(name: str, value: float | None, limit: float) -> Check:
    """Returns the check that a value is at most ``limit``."""
    return Check(name, value, limit, None if value is None else value <= limit)


def check_at_least(name: str, value: float | None, limit: float) -> Check:
    """Returns the check that a value is at least ``limit``."""
    return Check(name, value, limit, None if value is None else value >= limit)


def compute_gaps(units: Mapping[str, Sequence[float]]) -> list[float]:
    """Returns the spread of service since the first sample, for each sample.

    Args:
        units: Units received per organisation that was backlogged throughout.
    """
    if len(units) < 2:
        return []
    growth = [[value - series[0] for value in series] for series in units.values()]
    return [max(values) - min(values) for values in zip(*growth, strict=True)]


def compute_percentile(values: Sequence[float], percent: float) -> float | None:
    """Returns the smallest value that ``percent`` of the values do not exceed."""
    if not values:
        return None
    rank = math.ceil(len(values) * percent / 100)
    return sorted(values)[max(0, rank - 1)]


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Load of routers and engines at one poll.

    Attributes:
        waiting: Requests waiting at the routers.
        reachable: For each engine, requests waiting at routers that reach it.
        busy: Busy slot-seconds of each engine so far.
        elapsed: Seconds that each engine has run.
        slots: Slots of each engine.
    """

    waiting: float
    busy: tuple[float, ...]
    elapsed: tuple[float, ...]
    slots: tuple[int, ...]
    reachable: tuple[float, ...] = ()


def compute_reachable_utilisation(
    samples: Sequence[LoadSample], engines: Sequence[int]
) -> float | None:
    """Returns the busy share of the slots that waiting work could have used.

    An engine counts between two polls that both saw work waiting at a router which
    reaches it, so in a partition each side is measured by its own work.

    Args:
        samples: Polls, oldest first.
        engines: Indexes of the engines to count.
    """
    busy = available = 0.0
    for before, after in zip(samples, samples[1:], strict=False):
        for engine in engines:
            if before.reachable[engine] and after.reachable[engine]:
                busy += after.busy[engine] - before.busy[engine]
                elapsed = after.elapsed[engine] - before.elapsed[engine]
                available += after.slots[engine] * elapsed
    return busy / available if available > 0 else None


def compute_utilisation(
    samples: Sequence[LoadSample], *, only_while_waiting: bool
) -> float | None:
    """Returns the busy share of all slots.

    Args:
        samples: Polls, oldest first.
        only_while_waiting: Whether only the time between two polls counts that both
            saw waiting requests.
    """
    busy = available = 0.0
    for before, after in zip(samples, samples[1:], strict=False):
        if only_while_waiting and not (before.waiting and after.waiting):
            continue
        busy += sum(after.busy) - sum(before.busy)
        available += sum(
            slots * (end - begin)
            for slots, begin, end in zip(
                after.slots, before.elapsed, after.elapsed, strict=True
            )
        )
    return busy / available if available > 0 else None


def compute_bound(
    *, capacity: float, largest_request: float, options: Options = OPTIONS
) -> float:
    """Returns the bound of section 6 of the design in units."""
    lag_seconds = options.report_interval + ONE_WAY_DELAY_SECONDS
    return capacity * (options.allowed_gap_seconds + lag_seconds) + largest_request


def compute_failure_term(
    *,
    capacity: float,
    routers: int,
    slots: int,
    backlogged: int,
    options: Options = OPTIONS,
) -> float:
    """Returns the term, in units, that the death of one router adds to the bound.

    Args:
        capacity: Capacity of the service in units per second.
        routers: Routers of the fleet.
        slots: Sum of the windows of the service's replicas.
        backlogged: Organisations that are backlogged throughout.
        options: Options of the routers.
    """
    lag_seconds = options.report_interval + ONE_WAY_DELAY_SECONDS
    held_back_seconds = options.allowed_gap_seconds / (2 * routers)
    slot_cap = math.ceil(options.slot_cap_factor * slots / backlogged)
    counted_seconds = options.suspect_after + lag_seconds
    return capacity * (
        lag_seconds + held_back_seconds + slot_cap / slots * counted_seconds
    )
