"""Sums of served work along the report tree."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from ..types import RouterId, RouterIdentity, ZoneName
from .ledger import AccountKey, Ledger
from .messages import Sum, SumRow
from .placement import TreePosition

SUBTREE_SCOPE: ZoneName = ""
"""Scope of a sum over the routers below the sender."""


@dataclass(slots=True)
class PartialSum:
    """Work of a set of origins; it never exceeds the work that they did.

    Attributes:
        origins: Origins of the work. Parts may be added only if they share none.
        served: Work in service units.
    """

    origins: frozenset[RouterIdentity]
    served: dict[AccountKey, float] = field(default_factory=dict)

    def add(
        self, origins: Collection[RouterIdentity], served: Mapping[AccountKey, float]
    ) -> None:
        """Adds the work of other origins, unless the part contains one of them."""
        if not self.origins.isdisjoint(origins):
            return
        self.origins = self.origins.union(origins)
        for key, units in served.items():
            self.served[key] = self.served.get(key, 0.0) + units


@dataclass(slots=True)
class _SubtreeSum:
    """Latest sum received from a child.

    Attributes:
        sender: The child.
        sequence: Sequence of the report with which the sum was built.
        part: Work of the routers below the child.
    """

    sender: RouterIdentity
    sequence: int
    part: PartialSum


class ReportSums:
    """Sums that this router receives from its neighbours in the tree and forwards.

    Inside a zone a router sends its parent the sum of the routers below it, rebuilt
    from the latest sum of each child, and the root builds the sum of the zone. Sums of
    zones are sent to all routers and merged by pointwise maximum. Every sum names its
    origins, and sums that share an origin are not added: a router whose work two others
    report while the tree changes is counted once.
    """

    def __init__(self, identity: RouterIdentity, ledger: Ledger) -> None:
        self._identity = identity
        self._ledger = ledger
        self._subtree_sums: dict[RouterId, _SubtreeSum] = {}
        self._own_subtree = PartialSum(frozenset())
        self._zone_parts: dict[ZoneName, list[PartialSum]] = {}

    def take(self, sender: RouterIdentity, message: Sum) -> None:
        """Applies a sum, which may be late, duplicated or reordered."""
        served = {
            (row.service, row.organisation): float(row.served) for row in message.rows
        }
        if message.scope != SUBTREE_SCOPE:
            self._merge_zone(message.scope, PartialSum(message.origins, served))
            return
        last_sum = self._subtree_sums.get(sender.router_id)
        if last_sum is not None:
            last_version = (last_sum.sender.incarnation, last_sum.sequence)
            if (sender.incarnation, message.sequence) <= last_version:
                return
        if message.is_whole:
            part = PartialSum(message.origins, served)
            self._subtree_sums[sender.router_id] = _SubtreeSum(
                sender, message.sequence, part
            )
        elif last_sum is not None and last_sum.sender == sender:
            last_sum.sequence = message.sequence
            last_sum.part.origins = message.origins
            last_sum.part.served.update(served)

    def _merge_zone(self, zone: ZoneName, new_part: PartialSum) -> None:
        """Merges a part with those that share an origin, by pointwise maximum."""
        parts = self._zone_parts.setdefault(zone, [])
        overlapping = [
            part for part in parts if not part.origins.isdisjoint(new_part.origins)
        ]
        if not overlapping:
            parts.append(new_part)
            return
        merged = overlapping[0]
        for other_part in overlapping[1:]:
            merged.add(other_part.origins - merged.origins, other_part.served)
            parts.remove(other_part)
        # Origins that the sender left out are dead ones that it has folded.
        merged.origins = new_part.origins
        for key, units in new_part.served.items():
            if units > merged.served.get(key, 0.0):
                merged.served[key] = units

    def update(
        self, place: TreePosition | None, live: Collection[RouterIdentity]
    ) -> None:
        """Rebuilds the sums of this router and passes the totals to the ledger.

        Args:
            place: Position of this router in the tree; None while all routers report
                to all others. The sums of zones are kept then: one side of a partition
                may be small enough for that, and it has no other record of the work on
                the other side.
            live: Live routers, including this one.
        """
        if place is not None:
            self._own_subtree = self._sum_subtree(place)
            zone = self._identity.zone
            if place.is_root(zone):
                self._merge_zone(zone, self._sum_zone(zone, live))
        totals: dict[ZoneName, dict[AccountKey, float]] = {}
        for name, parts in self._zone_parts.items():
            zone_total = PartialSum(frozenset())
            for part in parts:
                zone_total.add(part.origins, part.served)
            totals[name] = zone_total.served
        self._ledger.take_zone_totals(totals)

    def _sum_subtree(self, place: TreePosition) -> PartialSum:
        subtree = PartialSum(frozenset())
        for child in place.children:
            subtree.add([child], self._ledger.served_at(child))
        parts = [
            child_sum.part
            for child in place.children
            if (child_sum := self._subtree_sums.get(child.router_id)) is not None
            and child_sum.sender == child
            and self._identity not in child_sum.part.origins
        ]
        for part in sorted(parts, key=lambda summed: len(summed.origins), reverse=True):
            subtree.add(part.origins, part.served)
        return subtree

    def _sum_zone(self, zone: ZoneName, live: Collection[RouterIdentity]) -> PartialSum:
        zone_sum = PartialSum(frozenset())
        zone_sum.add([self._identity], self._ledger.served_at(self._identity))
        zone_sum.add(self._own_subtree.origins, self._own_subtree.served)
        # After the loss of a whole zone its work is kept as a separate part, which
        # contains the dead origins already.
        separate_parts = [
            part
            for part in self._zone_parts.get(zone, ())
            if part.origins.isdisjoint(zone_sum.origins)
            and part.origins.isdisjoint(live)
        ]
        kept_origins = frozenset[RouterIdentity]().union(
            *(separate_part.origins for separate_part in separate_parts)
        )
        for origin in self._ledger.origins_of(zone):
            if origin not in live and origin not in kept_origins:
                zone_sum.add([origin], self._ledger.served_at(origin))
        if not separate_parts:
            for key, units in self._ledger.folded_work_in(zone).items():
                zone_sum.served[key] = zone_sum.served.get(key, 0.0) + units
        return zone_sum

    def build(
        self, place: TreePosition, to: RouterIdentity, sequence: int
    ) -> list[Sum]:
        """Returns the sums for one neighbour.

        A parent of the same zone gets the sum of the routers below this one. Children
        get the sums of all zones. Roots of other zones get the sums of the zones that
        they reach only through this router.
        """
        zone = self._identity.zone
        if to == place.parent and not place.is_root(zone):
            return [_build_message(SUBTREE_SCOPE, 0, sequence, self._own_subtree)]
        if to == place.parent:
            descendant_zones = frozenset[ZoneName]().union(
                *place.zones_by_child_root.values()
            )
            zones: Iterable[ZoneName] = descendant_zones | {zone}
        else:
            zones = self._zone_parts.keys() - place.zones_by_child_root.get(
                to, frozenset()
            )
        return self._build_messages(zones, sequence)

    def build_zones(self, sequence: int) -> list[Sum]:
        """Returns the sums of all zones, for a router that has just connected."""
        return self._build_messages(self._zone_parts, sequence)

    def _build_messages(self, zones: Iterable[ZoneName], sequence: int) -> list[Sum]:
        return [
            _build_message(zone, number, sequence, part)
            for zone in sorted(zones)
            for number, part in enumerate(self._zone_parts.get(zone, ()))
        ]

    def forget_except(self, routers: Collection[RouterId]) -> None:
        """Discards the subtree sums of all senders except the given routers."""
        for router_id in self._subtree_sums.keys() - set(routers):
            del self._subtree_sums[router_id]


def _build_message(
    scope: ZoneName, number: int, sequence: int, part: PartialSum
) -> Sum:
    rows = tuple(SumRow(*key, int(units)) for key, units in part.served.items())
    return Sum(scope, number, sequence, True, part.origins, rows)
