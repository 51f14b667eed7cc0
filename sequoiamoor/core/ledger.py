"""Service done per organisation: grow-only counters of every origin."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from ..types import OrganisationName, RouterIdentity, ServiceName, ZoneName
from .messages import CounterRow, OriginCounters, Snapshot

AccountKey = tuple[ServiceName, OrganisationName]

DEAD_ORIGINS_KEPT = 64
FOLDED_NAMES_KEPT = 256
RETIRED_ROUTER_ID = "retired"


@dataclass(slots=True)
class _Origin:
    served: dict[AccountKey, float]
    is_dead: bool = False
    was_folded: bool = False


class Ledger:
    """Counters of this router and of its peers, merged by maximum.

    The total of an organisation is the work done at all origins plus its lift.
    The lift is one grow-only value for the fleet: routers that lift the same
    organisation at the same time reach about the same value, and the larger holds.

    Counters of dead origins stay separate, since peers may still report a later
    value. Beyond the newest ``DEAD_ORIGINS_KEPT`` they are folded into one sum.
    """

    def __init__(self, identity: RouterIdentity | None = None) -> None:
        self._identity = identity
        self._own: dict[AccountKey, float] = {}
        self._origins: dict[RouterIdentity, _Origin] = {}
        self._peers: dict[AccountKey, float] = {}
        self._lifts: dict[AccountKey, float] = {}
        self._virtual_times: dict[ServiceName, float] = {}
        self._dead: dict[RouterIdentity, None] = {}
        self._folded: dict[RouterIdentity, None] = {}
        self._retired: dict[ZoneName, dict[AccountKey, float]] = {}
        self._by_zone: dict[ZoneName, dict[AccountKey, float]] = {}
        self._tree_totals: dict[AccountKey, float] = {}
        self._risen_dead: dict[RouterIdentity, None] = {}

    def charge(
        self, service: ServiceName, organisation: OrganisationName, units: float
    ) -> None:
        """Adds work done at this router, in service units."""
        key = (service, organisation)
        self._own[key] = self._own.get(key, 0.0) + units

    def served(self, service: ServiceName, organisation: OrganisationName) -> float:
        """Returns the work done at this router, in service units."""
        return self._own.get((service, organisation), 0.0)

    def lift(self, service: ServiceName, organisation: OrganisationName) -> float:
        """Returns the lift of the organisation, in service units."""
        return self._lifts.get((service, organisation), 0.0)

    def total(self, service: ServiceName, organisation: OrganisationName) -> float:
        """Returns the work done at all known origins plus the lift."""
        key = (service, organisation)
        known = self._own.get(key, 0.0) + self._peers.get(key, 0.0)
        if self._tree_totals:
            # Both are at most the work done, so the larger one is closer to it.
            known = max(known, self._tree_totals.get(key, 0.0))
        return known + self._lifts.get(key, 0.0)

    def take_zone_totals(self, totals: dict[ZoneName, dict[AccountKey, float]]) -> None:
        """Takes the work done in each zone, as far as the tree of reports tells.

        In each zone the larger of the total and of the counters known one by one
        counts.
        """
        found: dict[AccountKey, float] = {}
        if totals:
            zones = totals.keys() | self._by_zone.keys()
            own_zone = None if self._identity is None else self._identity.zone
            for zone in zones:
                total, single = totals.get(zone, {}), self._by_zone.get(zone, {})
                own = self._own if zone == own_zone else {}
                for key in total.keys() | single.keys() | own.keys():
                    one_by_one = single.get(key, 0.0) + own.get(key, 0.0)
                    best = max(total.get(key, 0.0), one_by_one)
                    found[key] = found.get(key, 0.0) + best
        self._tree_totals = found

    def served_at(self, origin: RouterIdentity) -> Mapping[AccountKey, float]:
        """Returns the known work done at one origin."""
        if origin == self._identity:
            return self._own
        known = self._origins.get(origin)
        return {} if known is None else known.served

    def origins_of(self, zone: ZoneName) -> list[RouterIdentity]:
        """Returns the other origins of a zone whose counters are known one by one."""
        return [one for one in self._origins if one.zone == zone]

    def retired_in(self, zone: ZoneName) -> Mapping[AccountKey, float]:
        """Returns the work of the folded origins of a zone."""
        return self._retired.get(zone, {})

    def take_risen_dead(self) -> list[RouterIdentity]:
        """Returns the dead origins whose counters rose since the last call."""
        found = list(self._risen_dead)
        self._risen_dead.clear()
        return found

    def accounts(self) -> set[AccountKey]:
        """Returns the service and organisation of every counter of this router."""
        return self._own.keys() | self._lifts.keys()

    def virtual_time(self, service: ServiceName) -> float:
        """Returns the largest value that the least backlogged total has had."""
        return self._virtual_times.get(service, 0.0)

    def advance_virtual_time(
        self, service: ServiceName, backlogged: Iterable[OrganisationName]
    ) -> None:
        """Raises the virtual time to the least total among the backlogged."""
        least = min((self.total(service, name) for name in backlogged), default=None)
        if least is not None and least > self.virtual_time(service):
            self._virtual_times[service] = least

    def lift_to(
        self, service: ServiceName, organisation: OrganisationName, least_total: float
    ) -> bool:
        """Raises the total to at least ``least_total``; returns whether it rose."""
        missing = least_total - self.total(service, organisation)
        if missing <= 0:
            return False
        key = (service, organisation)
        self._lifts[key] = self._lifts.get(key, 0.0) + missing
        return True

    def merge(self, origin: RouterIdentity, rows: Iterable[CounterRow]) -> None:
        """Merges counters of one origin; older values change nothing."""
        rows = list(rows)
        for row in rows:
            key = (row.service, row.organisation)
            if row.lift > self._lifts.get(key, 0.0):
                self._lifts[key] = float(row.lift)
        if origin == self._identity:
            return
        known = self._origins.get(origin)
        if known is None:
            was_folded = origin in self._folded
            self._folded.pop(origin, None)
            known = self._origins[origin] = _Origin({}, was_folded=was_folded)
        for row in rows:
            key = (row.service, row.organisation)
            before = known.served.get(key, 0.0)
            if row.served <= before:
                continue
            if known.was_folded and key not in known.served:
                # The folded sum already holds the work that it did before.
                self._add_retired(origin.zone, key, -float(row.served))
            known.served[key] = float(row.served)
            self._add_peer(origin.zone, key, row.served - before)
            if known.is_dead:
                self._risen_dead[origin] = None

    def _add_peer(self, zone: ZoneName, key: AccountKey, units: float) -> None:
        self._peers[key] = self._peers.get(key, 0.0) + units
        near = self._by_zone.setdefault(zone, {})
        near[key] = near.get(key, 0.0) + units

    def _add_retired(self, zone: ZoneName, key: AccountKey, units: float) -> None:
        retired = self._retired.setdefault(zone, {})
        retired[key] = retired.get(key, 0.0) + units
        self._add_peer(zone, key, units)

    def note_live(self, live: Collection[RouterIdentity]) -> list[RouterIdentity]:
        """Marks origins as dead or alive and folds the oldest dead ones.

        Returns:
            The origins that are dead since this call.
        """
        died = []
        for origin, known in self._origins.items():
            is_dead = origin not in live
            if is_dead and not known.is_dead:
                died.append(origin)
                self._dead[origin] = None
            elif not is_dead and known.is_dead:
                del self._dead[origin]
            known.is_dead = is_dead
        while len(self._dead) > DEAD_ORIGINS_KEPT:
            self._fold(next(iter(self._dead)))
        return died

    def _fold(self, origin: RouterIdentity) -> None:
        del self._dead[origin]
        retired = self._retired.setdefault(origin.zone, {})
        for key, units in self._origins.pop(origin).served.items():
            retired[key] = retired.get(key, 0.0) + units
        self._folded[origin] = None
        while len(self._folded) > FOLDED_NAMES_KEPT:
            del self._folded[next(iter(self._folded))]

    def build_snapshot(
        self, only: Collection[RouterIdentity] | None = None
    ) -> Snapshot:
        """Returns the counters of all origins, or of some of them."""
        origins = [
            OriginCounters(origin, self._to_rows(known.served))
            for origin, known in self._origins.items()
            # An entry without counters names a folded origin.
            if known.served and (only is None or origin in only)
        ]
        if only is not None:
            return Snapshot(tuple(origins))
        own = {key: self._own.get(key, 0.0) for key in self.accounts()}
        if self._identity is not None and own:
            origins.append(OriginCounters(self._identity, self._to_rows(own)))
        if self._folded:
            for zone, served in self._retired.items():
                retired = RouterIdentity(RETIRED_ROUTER_ID, 0, zone)
                origins.append(OriginCounters(retired, self._to_rows(served)))
            origins.extend(OriginCounters(name, ()) for name in self._folded)
        return Snapshot(tuple(origins))

    def _to_rows(self, served: dict[AccountKey, float]) -> tuple[CounterRow, ...]:
        return tuple(
            CounterRow(
                key[0], key[1], max(int(units), 0), int(self.lift(*key)), 0, 0, None
            )
            for key, units in served.items()
        )

    def take_snapshot(self, snapshot: Snapshot) -> None:
        """Merges the counters that a peer knows.

        The sum of folded origins is taken only by a router that has none: two
        routers may have folded different origins, so their sums cannot be merged.
        """
        is_new = not self._folded
        for entry in snapshot.origins:
            if entry.origin.router_id == RETIRED_ROUTER_ID:
                if is_new:
                    for row in entry.counters:
                        key = (row.service, row.organisation)
                        self._add_retired(entry.origin.zone, key, float(row.served))
            elif not entry.counters:
                if is_new and entry.origin not in self._origins:
                    self._folded[entry.origin] = None
            elif entry.origin not in self._folded:
                self.merge(entry.origin, entry.counters)
