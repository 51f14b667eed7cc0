"""Work done per organisation, as grow-only counters of every origin."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from copy import copy
from dataclasses import dataclass

from ..types import OrganisationName, RouterIdentity, ServiceName, ZoneName
from .messages import CounterRow, OriginCounters, Snapshot

AccountKey = tuple[ServiceName, OrganisationName]

MAX_SEPARATE_DEAD_ORIGINS = 64
"""Dead origins whose counters are kept separately."""

MAX_FOLDED_ORIGIN_IDENTITIES = 256
"""Folded origins whose identities are remembered."""

RETIRED_ROUTER_ID = "retired"
"""Router identifier under which a snapshot carries the sum of folded origins."""


@dataclass(slots=True)
class _OriginState:
    """Counters of one origin.

    Attributes:
        served: Work done at the origin in service units.
        is_dead: Whether the origin is not among the live routers.
        was_folded: Whether its earlier work is part of the sum of folded origins.
    """

    served: dict[AccountKey, float]
    is_dead: bool = False
    was_folded: bool = False


class Ledger:
    """Counters of this router and of its peers, merged by maximum.

    The total of an organisation is the work done at all origins plus its lift, which
    was added when the organisation became backlogged. The lift is one grow-only value
    for the fleet: routers that lift the same organisation at the same time reach about
    the same value, and the larger one holds.

    Counters of dead origins are kept separately, since peers may still report a later
    value. All but the newest ``MAX_SEPARATE_DEAD_ORIGINS`` are folded into one sum per
    zone.
    """

    def __init__(self, identity: RouterIdentity | None = None) -> None:
        self._identity = identity
        self._own_work: dict[AccountKey, float] = {}
        self._origins: dict[RouterIdentity, _OriginState] = {}
        self._peer_work: dict[AccountKey, float] = {}
        self._lift_by_account: dict[AccountKey, float] = {}
        self._virtual_times: dict[ServiceName, float] = {}
        self._dead_origins: dict[RouterIdentity, None] = {}
        self._folded_origins: dict[RouterIdentity, None] = {}
        self._folded_work: dict[ZoneName, dict[AccountKey, float]] = {}
        self._peer_work_by_zone: dict[ZoneName, dict[AccountKey, float]] = {}
        self._totals_with_tree: dict[AccountKey, float] = {}
        self._dead_with_new_work: dict[RouterIdentity, None] = {}

    def charge(
        self, service: ServiceName, organisation: OrganisationName, units: float
    ) -> None:
        """Adds work done at this router, in service units."""
        key = (service, organisation)
        self._own_work[key] = self._own_work.get(key, 0.0) + units

    def served(self, service: ServiceName, organisation: OrganisationName) -> float:
        """Returns the work done at this router, in service units."""
        return self._own_work.get((service, organisation), 0.0)

    def lift(self, service: ServiceName, organisation: OrganisationName) -> float:
        """Returns the lift of the organisation, in service units."""
        return self._lift_by_account.get((service, organisation), 0.0)

    def total(self, service: ServiceName, organisation: OrganisationName) -> float:
        """Returns the work done at all known origins plus the lift."""
        key = (service, organisation)
        units = self._own_work.get(key, 0.0) + self._peer_work.get(key, 0.0)
        if self._totals_with_tree:
            # Neither exceeds the work done, so the larger one is closer to it.
            units = max(units, self._totals_with_tree.get(key, 0.0))
        return units + self._lift_by_account.get(key, 0.0)

    def take_zone_totals(self, totals: dict[ZoneName, dict[AccountKey, float]]) -> None:
        """Sets the work done in each zone, as summed along the report tree.

        For each zone and account, the larger of that total and of the sum of the
        counters known to this router is used.
        """
        merged: dict[AccountKey, float] = {}
        if totals:
            zones = totals.keys() | self._peer_work_by_zone.keys()
            own_zone = None if self._identity is None else self._identity.zone
            for zone in zones:
                zone_total, peer_units = (
                    totals.get(zone, {}),
                    self._peer_work_by_zone.get(zone, {}),
                )
                own_units = self._own_work if zone == own_zone else {}
                for key in zone_total.keys() | peer_units.keys() | own_units.keys():
                    counted = peer_units.get(key, 0.0) + own_units.get(key, 0.0)
                    larger = max(zone_total.get(key, 0.0), counted)
                    merged[key] = merged.get(key, 0.0) + larger
        self._totals_with_tree = merged

    def served_at(self, origin: RouterIdentity) -> Mapping[AccountKey, float]:
        """Returns the known work done at one origin, in service units."""
        if origin == self._identity:
            return self._own_work
        state = self._origins.get(origin)
        return {} if state is None else state.served

    def origins_of(self, zone: ZoneName) -> list[RouterIdentity]:
        """Returns the peer origins of a zone whose counters are kept separately."""
        return [origin for origin in self._origins if origin.zone == zone]

    def folded_work_in(self, zone: ZoneName) -> Mapping[AccountKey, float]:
        """Returns the work of the folded origins of a zone, in service units."""
        return self._folded_work.get(zone, {})

    def drain_changed_dead_origins(self) -> list[RouterIdentity]:
        """Returns the dead origins whose counters have risen since the last call."""
        origins = list(self._dead_with_new_work)
        self._dead_with_new_work.clear()
        return origins

    def accounts(self) -> set[AccountKey]:
        """Returns the keys of all counters and lifts that this router has."""
        return self._own_work.keys() | self._lift_by_account.keys()

    def virtual_time(self, service: ServiceName) -> float:
        """Returns the virtual time of a service, in service units.

        It is the highest value that the lowest backlogged total has had.
        """
        return self._virtual_times.get(service, 0.0)

    def copy_for_preview(self) -> Ledger:
        """Returns a ledger whose virtual times can be advanced on their own.

        It shares the counters of work, which a preview only reads.
        """
        ledger = copy(self)
        ledger._virtual_times = dict(self._virtual_times)
        return ledger

    def advance_virtual_time(
        self, service: ServiceName, backlogged: Iterable[OrganisationName]
    ) -> None:
        """Raises the virtual time to the lowest total among the backlogged."""
        lowest_total = min(
            (self.total(service, name) for name in backlogged), default=None
        )
        if lowest_total is not None and lowest_total > self.virtual_time(service):
            self._virtual_times[service] = lowest_total

    def lift_to(
        self, service: ServiceName, organisation: OrganisationName, minimum: float
    ) -> bool:
        """Raises the total to at least ``minimum``; returns whether it rose."""
        deficit = minimum - self.total(service, organisation)
        if deficit <= 0:
            return False
        key = (service, organisation)
        self._lift_by_account[key] = self._lift_by_account.get(key, 0.0) + deficit
        return True

    def merge(self, origin: RouterIdentity, rows: Iterable[CounterRow]) -> None:
        """Merges counters of one origin; lower values are ignored."""
        rows = list(rows)
        for row in rows:
            key = (row.service, row.organisation)
            if row.lift > self._lift_by_account.get(key, 0.0):
                self._lift_by_account[key] = float(row.lift)
        if origin == self._identity:
            return
        state = self._origins.get(origin)
        if state is None:
            was_folded = origin in self._folded_origins
            self._folded_origins.pop(origin, None)
            state = self._origins[origin] = _OriginState({}, was_folded=was_folded)
        for row in rows:
            key = (row.service, row.organisation)
            previous = state.served.get(key, 0.0)
            if row.served <= previous:
                continue
            if state.was_folded and key not in state.served:
                # The folded sum already contains the origin's earlier work, which is
                # counted separately again from now on.
                self._add_folded_work(origin.zone, key, -float(row.served))
            state.served[key] = float(row.served)
            self._add_peer_work(origin.zone, key, row.served - previous)
            if state.is_dead:
                self._dead_with_new_work[origin] = None

    def _add_peer_work(self, zone: ZoneName, key: AccountKey, units: float) -> None:
        self._peer_work[key] = self._peer_work.get(key, 0.0) + units
        zone_work = self._peer_work_by_zone.setdefault(zone, {})
        zone_work[key] = zone_work.get(key, 0.0) + units

    def _add_folded_work(self, zone: ZoneName, key: AccountKey, units: float) -> None:
        folded_work = self._folded_work.setdefault(zone, {})
        folded_work[key] = folded_work.get(key, 0.0) + units
        self._add_peer_work(zone, key, units)

    def update_live(self, live: Collection[RouterIdentity]) -> list[RouterIdentity]:
        """Marks origins as dead or alive and folds the oldest dead ones.

        Returns:
            The origins that were alive before and are dead now.
        """
        died = []
        for origin, state in self._origins.items():
            is_dead = origin not in live
            if is_dead and not state.is_dead:
                died.append(origin)
                self._dead_origins[origin] = None
            elif not is_dead and state.is_dead:
                del self._dead_origins[origin]
            state.is_dead = is_dead
        while len(self._dead_origins) > MAX_SEPARATE_DEAD_ORIGINS:
            self._fold(next(iter(self._dead_origins)))
        return died

    def _fold(self, origin: RouterIdentity) -> None:
        """Adds the counters of a dead origin to the sum of its zone."""
        del self._dead_origins[origin]
        folded_work = self._folded_work.setdefault(origin.zone, {})
        for key, units in self._origins.pop(origin).served.items():
            folded_work[key] = folded_work.get(key, 0.0) + units
        self._folded_origins[origin] = None
        while len(self._folded_origins) > MAX_FOLDED_ORIGIN_IDENTITIES:
            del self._folded_origins[next(iter(self._folded_origins))]

    def build_snapshot(
        self, only: Collection[RouterIdentity] | None = None
    ) -> Snapshot:
        """Returns the counters of all origins, or only of the given ones."""
        origins = [
            OriginCounters(origin, self._to_rows(state.served))
            for origin, state in self._origins.items()
            # Origins without counters are left out: such an entry would name a
            # folded origin.
            if state.served and (only is None or origin in only)
        ]
        if only is not None:
            return Snapshot(tuple(origins))
        own_work = {key: self._own_work.get(key, 0.0) for key in self.accounts()}
        if self._identity is not None and own_work:
            origins.append(OriginCounters(self._identity, self._to_rows(own_work)))
        if self._folded_origins:
            for zone, served in self._folded_work.items():
                folded_identity = RouterIdentity(RETIRED_ROUTER_ID, 0, zone)
                origins.append(OriginCounters(folded_identity, self._to_rows(served)))
            origins.extend(
                OriginCounters(folded_origin, ())
                for folded_origin in self._folded_origins
            )
        return Snapshot(tuple(origins))

    def _to_rows(self, served: dict[AccountKey, float]) -> tuple[CounterRow, ...]:
        return tuple(
            CounterRow(
                key[0], key[1], max(int(units), 0), int(self.lift(*key)), 0, 0, None
            )
            for key, units in served.items()
        )

    def take_snapshot(self, snapshot: Snapshot) -> None:
        """Merges the counters of a peer's snapshot.

        The sum of folded origins is adopted only if this router has folded none: two
        routers may have folded different origins, so their sums cannot be merged.
        """
        can_adopt_folded = not self._folded_origins
        for entry in snapshot.origins:
            if entry.origin.router_id == RETIRED_ROUTER_ID:
                if can_adopt_folded:
                    for row in entry.counters:
                        key = (row.service, row.organisation)
                        self._add_folded_work(entry.origin.zone, key, float(row.served))
            elif not entry.counters:
                if can_adopt_folded and entry.origin not in self._origins:
                    self._folded_origins[entry.origin] = None
            elif entry.origin not in self._folded_origins:
                self.merge(entry.origin, entry.counters)
