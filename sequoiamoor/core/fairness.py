"""Which organisation comes next: cap, floor, key, earliest deadline."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TypeVar

from ..types import CallRequest, OrganisationName, ServiceName

_K = TypeVar("_K")

GRANT_TOLERANCE = 3.0
"""Allowed gap of a slot just granted, in allowed gaps of a freed slot."""

COST_SMOOTHING = 0.1
"""Weight of the newest request in the moving average of the cost."""

UNKNOWN_COST = 100.0
"""Expected cost in service units before any request has ended."""


@dataclass(slots=True)
class OrganisationView:
    """What the order needs to know of one organisation.

    Attributes:
        key: Total plus the work that its running requests will soon add.
        running_cost: Units that one more running request adds to the key.
        deadline: Monotonic time of the earliest deadline among waiting requests.
        average_slots: Moving average of the requests it runs.
    """

    key: float
    running_cost: float
    waiting: int
    running: int
    deadline: float
    average_slots: float

    def add_running(self) -> None:
        """Takes account of a start that no report shows yet."""
        self.running += 1
        self.waiting -= 1
        self.key += self.running_cost


@dataclass(slots=True)
class ServiceView:
    """One service as one router sees it.

    Attributes:
        organisations: Those with waiting or running requests.
        slots: Sum of the windows of the service's replicas.
        allowed_gap: Difference of keys that may be ignored, in service units.
    """

    organisations: dict[OrganisationName, OrganisationView]
    slots: int
    allowed_gap: float
    cap_factor: float
    floor_factor: float

    def urgency(self, name: OrganisationName, now: float) -> float:
        """Returns the earliest deadline, or infinity if it has passed.

        A deadline that is missed already gives no precedence: in an overload the
        long queues have the oldest deadlines and would hold up short ones that
        can still be met.
        """
        deadline = self.organisations[name].deadline
        return deadline if deadline >= now else math.inf

    def _share(self) -> float:
        return self.slots / max(len(self.organisations), 1)

    def cap(self) -> int:
        """Returns how many slots one organisation may use while others wait."""
        return max(math.ceil(self.cap_factor * self._share()), 1)

    def eligible(self, names: Iterable[OrganisationName]) -> list[OrganisationName]:
        """Returns those below their cap, or all if no backlogged one is."""
        cap = self.cap()
        known = self.organisations
        if any(one.waiting > 0 and one.running < cap for one in known.values()):
            return [name for name in names if known[name].running < cap]
        return list(names)

    def below_floor(self, names: Iterable[OrganisationName]) -> list[OrganisationName]:
        """Returns those that held less than their floor of slots lately."""
        floor = self.floor_factor * self._share()
        known = self.organisations
        return [
            name
            for name in names
            if known[name].average_slots < floor and known[name].running < floor
        ]


def choose_organisation(
    candidates: Iterable[OrganisationName], view: ServiceView, now: float
) -> OrganisationName | None:
    """Returns the organisation whose request starts next.

    Args:
        candidates: Organisations with a request that could start.
        view: All organisations with waiting or running requests.
        now: Monotonic time in seconds.
    """
    names = view.eligible(candidates)
    names = view.below_floor(names) or names
    if not names:
        return None
    known = view.organisations
    limit = min(known[name].key for name in names) + view.allowed_gap
    return min(
        (name for name in names if known[name].key <= limit),
        key=lambda name: (view.urgency(name, now), known[name].key, name),
    )


def may_use_slot(
    name: OrganisationName, view: ServiceView, *, is_granted: bool
) -> bool:
    """Returns whether a router may use a slot for the organisation.

    It may if the organisation is about as far behind as the one that comes first
    in the whole fleet; otherwise the slot goes back to the arbiter.

    Args:
        name: An organisation with waiting work at the router.
        view: All organisations with waiting or running requests.
        is_granted: Whether an arbiter has just granted the slot. More is tolerated
            then: the arbiter's view differs by what is not reported yet, and a slot
            sent back at once could be granted again for the same reason.
    """
    known = view.organisations
    waiting = [one for one, state in known.items() if state.waiting > 0]
    names = view.eligible(waiting)
    gap = view.allowed_gap
    if is_granted:
        gap *= GRANT_TOLERANCE
        if name not in names and known[name].running <= view.cap():
            names.append(name)
    if name not in names:
        return not names
    low = view.below_floor(names)
    if low and not is_granted:
        return name in low
    return name in low or known[name].key <= min(known[one].key for one in names) + gap


@dataclass(slots=True)
class _Recent:
    total: float
    units: float = 0.0


class RecentService:
    """Work done lately, per service and organisation; older work fades out.

    An organisation that used what others left owes them nothing later.
    """

    def __init__(self, fade_time: float) -> None:
        self._fade_time = fade_time
        self._known: dict[tuple[ServiceName, OrganisationName], _Recent] = {}
        self._updated_at = float("-inf")

    def update(
        self, totals: Mapping[tuple[ServiceName, OrganisationName], float], now: float
    ) -> None:
        """Takes the work done so far; it only grows."""
        fade = math.exp(-max(now - self._updated_at, 0.0) / self._fade_time)
        self._updated_at = now
        for key, total in totals.items():
            known = self._known.setdefault(key, _Recent(total))
            known.units = known.units * fade + max(total - known.total, 0.0)
            known.total = total

    def units(
        self, service: ServiceName, organisation: OrganisationName, total: float
    ) -> float:
        """Returns the recent work of an organisation with the given total."""
        known = self._known.get((service, organisation))
        return 0.0 if known is None else known.units + max(total - known.total, 0.0)


class CostEstimates:
    """Moving average of the cost of a request per organisation."""

    def __init__(self) -> None:
        self._by_organisation: dict[tuple[ServiceName, OrganisationName], float] = {}
        self._by_service: dict[ServiceName, float] = {}

    def learn(self, request: CallRequest, units: float) -> None:
        """Takes the cost of a request that ended."""
        service, name = request.service, request.organisation
        _smooth(self._by_organisation, (service, name), units)
        _smooth(self._by_service, service, units)

    def expect(self, service: ServiceName, organisation: OrganisationName) -> float:
        """Returns the expected cost of any request of the organisation."""
        known = self._by_organisation.get((service, organisation))
        return known or self._by_service.get(service) or UNKNOWN_COST


def _smooth(averages: dict[_K, float], key: _K, value: float) -> None:
    before = averages.get(key)
    averages[key] = (
        value if before is None else before + COST_SMOOTHING * (value - before)
    )
