"""Served work summed along the tree of reports."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from ..types import RouterId, RouterIdentity, ZoneName
from .ledger import AccountKey, Ledger
from .messages import Sum, SumRow
from .placement import TreePlace

SUBTREE: ZoneName = ""
"""Scope of the sum of the routers below the sender."""


@dataclass(slots=True)
class Part:
    """Work of a set of origins, never more than they did.

    Attributes:
        origins: Whose work it is. Two parts may be added only if they share none.
    """

    origins: frozenset[RouterIdentity]
    served: dict[AccountKey, float] = field(default_factory=dict)

    def add(
        self, origins: Collection[RouterIdentity], served: Mapping[AccountKey, float]
    ) -> None:
        """Adds the work of other origins; does nothing if one is in the part."""
        if not self.origins.isdisjoint(origins):
            return
        self.origins = self.origins.union(origins)
        for key, units in served.items():
            self.served[key] = self.served.get(key, 0.0) + units


@dataclass(slots=True)
class _Subtree:
    sender: RouterIdentity
    sequence: int
    part: Part


class ReportSums:
    """Sums that this router takes from its neighbours in the tree and passes on.

    Inside a zone a router sends its parent the sum of the routers below it, made anew
    from the latest sum of each child, and the root makes the sum of the zone. Sums of
    zones go to everyone and are merged by pointwise maximum. Every sum names its
    origins: sums that share one are not added, so a router that two others pass on
    while the tree changes is counted once.
    """

    def __init__(self, identity: RouterIdentity, ledger: Ledger) -> None:
        self._identity = identity
        self._ledger = ledger
        self._subtrees: dict[RouterId, _Subtree] = {}
        self._below = Part(frozenset())
        self._zones: dict[ZoneName, list[Part]] = {}

    def take(self, sender: RouterIdentity, message: Sum) -> None:
        """Takes a sum; it may come late, twice or in any order."""
        served = {
            (row.service, row.organisation): float(row.served) for row in message.rows
        }
        if message.scope != SUBTREE:
            self._merge_zone(message.scope, Part(message.origins, served))
            return
        known = self._subtrees.get(sender.router_id)
        if known is not None:
            mark = (known.sender.incarnation, known.sequence)
            if (sender.incarnation, message.sequence) <= mark:
                return
        if message.is_whole:
            part = Part(message.origins, served)
            self._subtrees[sender.router_id] = _Subtree(sender, message.sequence, part)
        elif known is not None and known.sender == sender:
            known.sequence = message.sequence
            known.part.origins = message.origins
            known.part.served.update(served)

    def _merge_zone(self, zone: ZoneName, new: Part) -> None:
        """Replaces the parts that share an origin with the new one by the larger."""
        parts = self._zones.setdefault(zone, [])
        same = [one for one in parts if not one.origins.isdisjoint(new.origins)]
        if not same:
            parts.append(new)
            return
        merged = same[0]
        for other in same[1:]:
            merged.add(other.origins - merged.origins, other.served)
            parts.remove(other)
        # Origins that the sender has left out are dead ones that it has folded.
        merged.origins = new.origins
        for key, units in new.served.items():
            if units > merged.served.get(key, 0.0):
                merged.served[key] = units

    def update(self, place: TreePlace | None, live: Collection[RouterIdentity]) -> None:
        """Makes the sums of this router anew and gives the ledger the totals.

        Args:
            place: Place of this router in the tree; None while everyone reports to
                everyone. The sums of zones are kept then: a side of a partition that
                is small enough for that has no other record of the far side.
            live: Live routers, with this one.
        """
        if place is not None:
            self._below = self._sum_children(place)
            zone = self._identity.zone
            if place.is_root(zone):
                self._merge_zone(zone, self._sum_zone(zone, live))
        totals: dict[ZoneName, dict[AccountKey, float]] = {}
        for name, parts in self._zones.items():
            whole = Part(frozenset())
            for part in parts:
                whole.add(part.origins, part.served)
            totals[name] = whole.served
        self._ledger.take_zone_totals(totals)

    def _sum_children(self, place: TreePlace) -> Part:
        below = Part(frozenset())
        for child in place.children:
            below.add([child], self._ledger.served_at(child))
        parts = [
            found.part
            for child in place.children
            if (found := self._subtrees.get(child.router_id)) is not None
            and found.sender == child
            and self._identity not in found.part.origins
        ]
        for part in sorted(parts, key=lambda one: len(one.origins), reverse=True):
            below.add(part.origins, part.served)
        return below

    def _sum_zone(self, zone: ZoneName, live: Collection[RouterIdentity]) -> Part:
        whole = Part(frozenset())
        whole.add([self._identity], self._ledger.served_at(self._identity))
        whole.add(self._below.origins, self._below.served)
        # After the loss of a whole zone its work is kept as a part of its own, which
        # has its dead origins already.
        others = [
            part
            for part in self._zones.get(zone, ())
            if part.origins.isdisjoint(whole.origins) and part.origins.isdisjoint(live)
        ]
        kept = frozenset[RouterIdentity]().union(*(one.origins for one in others))
        for origin in self._ledger.origins_of(zone):
            if origin not in live and origin not in kept:
                whole.add([origin], self._ledger.served_at(origin))
        if not others:
            for key, units in self._ledger.folded_work_in(zone).items():
                whole.served[key] = whole.served.get(key, 0.0) + units
        return whole

    def build(self, place: TreePlace, to: RouterIdentity, sequence: int) -> list[Sum]:
        """Returns the sums for one neighbour.

        A parent of the same zone gets the sum of the routers below this one. Children
        get the sums of all zones, roots of other zones those of the zones on the far
        side of this router.
        """
        zone = self._identity.zone
        if to == place.parent and not place.is_root(zone):
            return [_to_message(SUBTREE, 0, sequence, self._below)]
        if to == place.parent:
            below = frozenset[ZoneName]().union(*place.zones_below.values())
            names: Iterable[ZoneName] = below | {zone}
        else:
            names = self._zones.keys() - place.zones_below.get(to, frozenset())
        return self._to_messages(names, sequence)

    def build_zones(self, sequence: int) -> list[Sum]:
        """Returns the sums of all zones, for a router that has just connected."""
        return self._to_messages(self._zones, sequence)

    def _to_messages(self, zones: Iterable[ZoneName], sequence: int) -> list[Sum]:
        return [
            _to_message(zone, number, sequence, part)
            for zone in sorted(zones)
            for number, part in enumerate(self._zones.get(zone, ()))
        ]

    def forget_except(self, routers: Collection[RouterId]) -> None:
        """Drops the sums of subtrees whose senders are not among the given routers."""
        for router_id in self._subtrees.keys() - set(routers):
            del self._subtrees[router_id]


def _to_message(scope: ZoneName, number: int, sequence: int, part: Part) -> Sum:
    rows = tuple(SumRow(*key, int(units)) for key, units in part.served.items())
    return Sum(scope, number, sequence, True, part.origins, rows)
