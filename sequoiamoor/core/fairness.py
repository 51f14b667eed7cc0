"""Choice of the organisation served next, by cap, floor, key and deadline."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TypeVar

from ..types import CallRequest, OrganisationName, ServiceName

_KeyT = TypeVar("_KeyT")

GRANTED_SLOT_GAP_FACTOR = 3.0
"""Allowed gap for a slot just granted, as a multiple of that for a freed slot."""

COST_SMOOTHING_WEIGHT = 0.1
"""Weight of the newest request in the moving average of request costs."""

DEFAULT_COST_UNITS = 100.0
"""Expected cost of a request, in service units, before any request has ended."""


@dataclass(slots=True)
class OrganisationView:
    """State of one organisation that decides its place in the order.

    Attributes:
        key: Total work plus what its running requests will soon add, in service
            units. The lowest key comes first.
        running_cost: Service units that one more running request adds to the key.
        waiting: Number of waiting requests.
        running: Number of running requests.
        deadline: Monotonic time of the earliest deadline among waiting requests, in
            seconds.
        average_slots: Moving average of the number of running requests.
    """

    key: float
    running_cost: float
    waiting: int
    running: int
    deadline: float
    average_slots: float

    def add_running(self) -> None:
        """Counts a request that has started but is in no report yet."""
        self.running += 1
        self.waiting -= 1
        self.key += self.running_cost


@dataclass(slots=True)
class ServiceView:
    """State of one service as known to one router.

    Attributes:
        organisations: Organisations with waiting or running requests.
        slots: Sum of the windows of the service's replicas.
        allowed_gap: Difference of keys that may be ignored, in service units.
        cap_factor: Cap of an organisation as a multiple of its equal share of slots.
        floor_factor: Floor of an organisation as a multiple of its equal share.
    """

    organisations: dict[OrganisationName, OrganisationView]
    slots: int
    allowed_gap: float
    cap_factor: float
    floor_factor: float

    def effective_deadline(self, name: OrganisationName, now: float) -> float:
        """Returns the earliest deadline, or infinity if it has passed.

        A missed deadline gives no precedence: in an overload the long queues have the
        oldest deadlines and would delay short queues whose deadlines can still be met.
        """
        deadline = self.organisations[name].deadline
        return deadline if deadline >= now else math.inf

    def _equal_share(self) -> float:
        """Returns the slots of one organisation if all had the same number."""
        return self.slots / max(len(self.organisations), 1)

    def cap(self) -> int:
        """Returns how many slots one organisation may use while others wait."""
        return max(math.ceil(self.cap_factor * self._equal_share()), 1)

    def eligible(self, names: Iterable[OrganisationName]) -> list[OrganisationName]:
        """Returns the organisations below the cap.

        Returns all names if no organisation with waiting requests is below it.
        """
        cap = self.cap()
        organisations = self.organisations
        if any(
            state.waiting > 0 and state.running < cap
            for state in organisations.values()
        ):
            return [name for name in names if organisations[name].running < cap]
        return list(names)

    def find_below_floor(
        self, names: Iterable[OrganisationName]
    ) -> list[OrganisationName]:
        """Returns those that run fewer requests than the floor, now and on average."""
        floor = self.floor_factor * self._equal_share()
        organisations = self.organisations
        return [
            name
            for name in names
            if organisations[name].average_slots < floor
            and organisations[name].running < floor
        ]


def choose_organisation(
    candidates: Iterable[OrganisationName], view: ServiceView, now: float
) -> OrganisationName | None:
    """Returns the organisation whose request starts next.

    Args:
        candidates: Organisations with a request that can start.
        view: All organisations with waiting or running requests.
        now: Monotonic time in seconds.
    """
    eligible_names = view.eligible(candidates)
    eligible_names = view.find_below_floor(eligible_names) or eligible_names
    if not eligible_names:
        return None
    organisations = view.organisations
    key_limit = (
        min(organisations[name].key for name in eligible_names) + view.allowed_gap
    )
    return min(
        (name for name in eligible_names if organisations[name].key <= key_limit),
        key=lambda name: (
            view.effective_deadline(name, now),
            organisations[name].key,
            name,
        ),
    )


def may_use_slot(
    name: OrganisationName, view: ServiceView, *, is_granted: bool
) -> bool:
    """Returns whether a router may use a slot for the organisation.

    It may if the organisation is below the floor, or if its key is close to the lowest
    key of the eligible organisations in the whole fleet. A slot that was not just
    granted serves organisations below the floor first. While an organisation below the
    cap waits, one at the cap may use only a slot just granted, and one above it none.
    A slot that may not be used is returned to the arbiter, if there is one.

    Args:
        name: An organisation with waiting work at the router.
        view: All organisations with waiting or running requests.
        is_granted: Whether an arbiter has just granted the slot. A larger gap is
            allowed then: the arbiter's state lacks what is not reported yet, and a
            slot returned at once could be granted again for the same reason.
    """
    organisations = view.organisations
    backlogged = [
        candidate for candidate, state in organisations.items() if state.waiting > 0
    ]
    eligible_names = view.eligible(backlogged)
    allowed_gap = view.allowed_gap
    if is_granted:
        allowed_gap *= GRANTED_SLOT_GAP_FACTOR
        if name not in eligible_names and organisations[name].running <= view.cap():
            eligible_names.append(name)
    if name not in eligible_names:
        return not eligible_names
    below_floor = view.find_below_floor(eligible_names)
    if below_floor and not is_granted:
        return name in below_floor
    return (
        name in below_floor
        or organisations[name].key
        <= min(organisations[candidate].key for candidate in eligible_names)
        + allowed_gap
    )


@dataclass(slots=True)
class _RecentWork:
    total: float
    units: float = 0.0


class RecentWork:
    """Recent work per service and organisation; older work decays exponentially.

    An organisation that used capacity which others left idle is therefore not held
    back for it later.

    Args:
        decay_time: Time constant of the decay in seconds.
    """

    def __init__(self, decay_time: float) -> None:
        self._decay_time = decay_time
        self._recent_work: dict[tuple[ServiceName, OrganisationName], _RecentWork] = {}
        self._last_update_at = float("-inf")

    def update(
        self, totals: Mapping[tuple[ServiceName, OrganisationName], float], now: float
    ) -> None:
        """Records the work done so far, in service units; totals only grow."""
        decay = math.exp(-max(now - self._last_update_at, 0.0) / self._decay_time)
        self._last_update_at = now
        for key, total in totals.items():
            recent = self._recent_work.setdefault(key, _RecentWork(total))
            recent.units = recent.units * decay + max(total - recent.total, 0.0)
            recent.total = total

    def units(
        self, service: ServiceName, organisation: OrganisationName, total: float
    ) -> float:
        """Returns the recent work of an organisation, in service units.

        Args:
            service: Service that the work was done for.
            organisation: The organisation.
            total: Its work so far, which may be newer than the last update.
        """
        recent = self._recent_work.get((service, organisation))
        return 0.0 if recent is None else recent.units + max(total - recent.total, 0.0)


class CostEstimates:
    """Moving average of the cost of a request per organisation."""

    def __init__(self) -> None:
        self._averages_by_organisation: dict[
            tuple[ServiceName, OrganisationName], float
        ] = {}
        self._averages_by_service: dict[ServiceName, float] = {}

    def record_cost(self, request: CallRequest, units: float) -> None:
        """Updates the averages with the cost of a request that ended."""
        service, name = request.service, request.organisation
        _update_average(self._averages_by_organisation, (service, name), units)
        _update_average(self._averages_by_service, service, units)

    def expect(self, service: ServiceName, organisation: OrganisationName) -> float:
        """Returns the expected cost of a request in service units."""
        known_average = self._averages_by_organisation.get((service, organisation))
        return (
            known_average
            or self._averages_by_service.get(service)
            or DEFAULT_COST_UNITS
        )


def _update_average(averages: dict[_KeyT, float], key: _KeyT, value: float) -> None:
    previous = averages.get(key)
    averages[key] = (
        value
        if previous is None
        else previous + COST_SMOOTHING_WEIGHT * (value - previous)
    )
