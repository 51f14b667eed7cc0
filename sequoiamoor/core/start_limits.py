"""Limits on the starts of one router for organisations that ask for most.

All routers see the same free places, up to a report interval late. If each of them
started all that these seem to allow, an organisation would get more the more routers it
enters at, and the replicas would be full and idle by turns. So each router takes its
part of them.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..types import OrganisationName

WAITING_SECONDS = 0.3
"""Time in which the requests that wait should have started."""

REPORTED_SECONDS = 1.0
"""Time for which a request may be reported as waiting after it has stopped. With less,
the fractions of all routers would add up to less than one."""

UPTAKE_FACTOR = 2.0
"""Time in which the fleet takes up free places, as a multiple of that for which a
request holds one."""

MAX_UPTAKE_SECONDS = 1.0
"""Longest time in which the fleet should take up the places that are free. It is above
the age of most reports, so that the places in use settle."""

DURATION_SMOOTHING_WEIGHT = 0.05
"""Weight of the newest request in the moving average of durations."""

MIN_DURATION_SECONDS = 0.001
"""Shorter durations are those of requests that were not run."""

MAX_CREDIT_SECONDS = 0.25
"""Time for which an organisation may save up a rate that it did not use, and after
which what it began without being asked for a rate is forgotten."""


MIN_MOVED_REQUESTS = 4
"""Waiting requests from which an organisation most of whose requests wait at one router
counts as one whose callers have just come there. With fewer it may be by chance."""


LEAD_FACTOR = 1.5
"""Work of an organisation, as a multiple of the least of those that wait, from which
it starts no more than its rate, whatever places are free. One that waits may not be
able to use these: they differ in what they have to read, and many routers see them."""

MIN_LEVEL_FRACTION = 0.5
"""Part of the fair share that an organisation may always begin. Those that wait may
have just come, and may have little to ask for."""

MIN_BACKLOG_REQUESTS = 4
"""Waiting requests from which others may not lead an organisation by more. With fewer
it may be served by the next free places."""


@dataclass(frozen=True, slots=True)
class OrganisationLoad:
    """What one organisation asks of a service.

    Attributes:
        recent: Service units per second that the fleet began lately.
        own_recent: Those of them that this router began.
        waiting: Waiting requests in the fleet.
        own_waiting: Those of them that wait here.
        cost: Service units of a request.
        own_reported: Requests that waited here when this router last reported; None if
            the other routers know of those that wait now.
    """

    recent: float
    own_recent: float
    waiting: int
    own_waiting: int
    cost: float
    own_reported: int | None = None

    @property
    def demand(self) -> float:
        """Service units per second that it asks for."""
        return self.recent + self.waiting * self.cost / WAITING_SECONDS

    @property
    def own_fraction(self) -> float:
        """Fraction of its demand that arrives at this router."""
        own_waiting, waiting = self.own_waiting, self.waiting
        if self.own_reported is not None:
            waiting += self.own_reported - own_waiting
            own_waiting = self.own_reported
        own = self.own_recent + own_waiting * self.cost / REPORTED_SECONDS
        total = self.recent + waiting * self.cost / REPORTED_SECONDS
        if not total:
            return 1.0
        if self.own_waiting >= max(MIN_MOVED_REQUESTS, self.waiting / 2):
            return max(min(own / total, 1.0), self.own_waiting / self.waiting)
        return min(own / total, 1.0)


def find_level(demands: Iterable[float], capacity: float) -> float:
    """Returns the max-min fair share of a capacity.

    Args:
        demands: What each organisation asks for.
        capacity: What there is for all of them, in the same unit.

    Returns:
        What those get that ask for more; infinity if there is enough for all.
    """
    ordered = sorted(demands)
    left = max(capacity, 0.0)
    for index, demand in enumerate(ordered):
        level = left / (len(ordered) - index)
        if demand > level:
            return level
        left -= demand
    return math.inf


def compute_rates(
    loads: Mapping[OrganisationName, OrganisationLoad],
    *,
    places: float,
    uptake_seconds: float,
) -> dict[OrganisationName, float]:
    """Returns the rates of the organisations that ask for more than their share.

    One that is alone has none, since nobody would get what it leaves.

    Args:
        loads: Loads of all organisations.
        places: Requests that the replicas can take now; negative if they have more than
            they should.
        uptake_seconds: Time in which the fleet takes up these places.

    Returns:
        Service units per second that this router may begin, by organisation.
    """
    level = find_shared_level(loads, places=places, uptake_seconds=uptake_seconds)
    return {
        name: level * load.own_fraction
        for name, load in loads.items()
        if load.demand > level
    }


def find_shared_level(
    loads: Mapping[OrganisationName, OrganisationLoad],
    *,
    places: float,
    uptake_seconds: float,
) -> float:
    """Returns the max-min fair share in service units per second.

    It is infinite if there is enough for all, or only one organisation; see
    ``compute_rates``.
    """
    if sum(load.demand > 0 for load in loads.values()) < 2:
        return math.inf
    requests = sum(max(load.waiting, 1) for load in loads.values())
    costs = sum(max(load.waiting, 1) * load.cost for load in loads.values())
    mean_cost = costs / max(requests, 1)
    capacity = sum(load.recent for load in loads.values())
    capacity += places * mean_cost / uptake_seconds
    return find_level((load.demand for load in loads.values()), capacity)


def find_leaders(
    loads: Mapping[OrganisationName, OrganisationLoad], *, level: float
) -> dict[OrganisationName, float]:
    """Returns the rates of organisations that lead one that waits by too much.

    Args:
        loads: Loads of all organisations.
        level: Max-min fair share in service units per second; infinite if there is
            enough for all, so that nobody leads.

    Returns:
        Service units per second that this router may begin, by organisation.
    """
    if math.isinf(level):
        return {}
    backlogged = (
        load for load in loads.values() if load.waiting >= MIN_BACKLOG_REQUESTS
    )
    least = min((load.recent for load in backlogged), default=math.inf)
    limit = max(LEAD_FACTOR * least, MIN_LEVEL_FRACTION * level)
    return {
        name: limit * load.own_fraction
        for name, load in loads.items()
        if load.recent > limit
    }


@dataclass(slots=True)
class _Credit:
    """Service units that an organisation may begin.

    Attributes:
        rate: Units per second.
        units: Units saved up; negative after a request that took more.
        updated_at: Monotonic time in seconds.
    """

    rate: float
    units: float
    updated_at: float

    def update(self, now: float) -> None:
        """Adds the units of the time since the last update."""
        elapsed = max(now - self.updated_at, 0.0)
        self.updated_at = max(now, self.updated_at)
        limit = self.rate * MAX_CREDIT_SECONDS
        self.units = min(self.units + self.rate * elapsed, limit)


@dataclass(slots=True)
class _Starts:
    """Starts of an organisation that peers may not know of yet.

    Attributes:
        count: Number of starts, older ones with less weight.
        updated_at: Monotonic time in seconds.
    """

    count: float
    updated_at: float

    def update(self, now: float, report_interval: float) -> None:
        """Lets the starts fade with the interval in which peers hear of them."""
        elapsed = max(now - self.updated_at, 0.0)
        self.updated_at = max(now, self.updated_at)
        self.count *= math.exp(-elapsed / report_interval)


@dataclass(slots=True)
class StartLimits:
    """What this router may start for each organisation of one service.

    Attributes:
        mean_seconds: Moving average of the time that requests hold a place; None before
            the first has ended.
        leaders: Organisations that start no more than their rate, whatever places are
            free.
    """

    mean_seconds: float | None = None
    leaders: frozenset[OrganisationName] = frozenset()
    _credits: dict[OrganisationName, _Credit] = field(default_factory=dict)
    _starts: dict[OrganisationName, _Starts] = field(default_factory=dict)

    @property
    def uptake_seconds(self) -> float:
        """Time in which the fleet takes up free places."""
        if self.mean_seconds is None:
            return MAX_UPTAKE_SECONDS
        return min(UPTAKE_FACTOR * self.mean_seconds, MAX_UPTAKE_SECONDS)

    def record_end(self, seconds: float) -> None:
        """Records how long a request held its place."""
        seconds = max(seconds, MIN_DURATION_SECONDS)
        if self.mean_seconds is None:
            self.mean_seconds = seconds
        self.mean_seconds += DURATION_SMOOTHING_WEIGHT * (seconds - self.mean_seconds)

    def set_rates(
        self,
        rates: Mapping[OrganisationName, float],
        now: float,
        *,
        report_interval: float,
    ) -> None:
        """Sets the rates; organisations that are left out have no limit.

        Args:
            rates: Service units per second by organisation.
            now: Monotonic time in seconds.
            report_interval: Seconds between two reports of a router.
        """
        for name in self._credits.keys() - rates.keys():
            del self._credits[name]
        for name, rate in rates.items():
            credit = self._credits.setdefault(name, _Credit(rate, 0.0, now))
            if now - credit.updated_at > MAX_CREDIT_SECONDS:
                credit.units = max(credit.units, 0.0)
            credit.update(now)
            credit.rate = rate
        for name, starts in list(self._starts.items()):
            starts.update(now, report_interval)
            if starts.count < 0.01:
                del self._starts[name]

    def may_take_part(
        self,
        name: OrganisationName,
        now: float,
        *,
        places: float,
        fraction: float,
        report_interval: float,
    ) -> bool:
        """Returns whether a request may start as part of what is free for all routers.

        The other routers are taken to have begun as much for their part of the
        organisation's requests as this one, which their reports do not show yet.

        Args:
            name: The organisation.
            now: Monotonic time in seconds.
            places: Free places that the work before this organisation leaves.
            fraction: Fraction of its waiting requests that wait here.
            report_interval: Seconds between two reports of a router.
        """
        starts = self._starts.get(name)
        unreported = 0.0
        if starts is not None:
            starts.update(now, report_interval)
            unreported = starts.count
        return places * fraction - unreported * (1 - fraction) >= 1.0

    def is_within_rate(self, name: OrganisationName, now: float) -> bool:
        """Returns whether a request of the organisation may start within its rate."""
        credit = self._credits.get(name)
        if credit is None:
            return True
        credit.update(now)
        return credit.units > 0.0

    def record_start(self, name: OrganisationName, units: float, now: float) -> None:
        """Counts a request that starts, with its service units."""
        self._starts.setdefault(name, _Starts(0.0, now)).count += 1
        credit = self._credits.get(name)
        if credit is not None:
            debt = max(units, credit.rate * MAX_CREDIT_SECONDS)
            credit.units = max(credit.units - units, -debt)
