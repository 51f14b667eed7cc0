"""Who does what: arbiter of a replica, parts of a window, report tree."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ..types import ReplicaId, RouterId, RouterIdentity, ZoneName
from .rendezvous import choose_router, hash_pair

# Roots of zones that have one root as parent; its own zone gets the rest of the
# fan-out.
ROOT_FAN_OUT = 2


def rank(name: str, members: Iterable[RouterId]) -> list[RouterId]:
    """Returns the members by falling weight for the name."""
    return sorted(members, key=lambda one: (hash_pair(name, one), one), reverse=True)


def choose_arbiter(
    replica_id: ReplicaId, zone: ZoneName, routers: Collection[RouterIdentity]
) -> RouterIdentity:
    """Returns the arbiter of a replica.

    Args:
        replica_id: The replica.
        zone: Its availability zone; its routers come first.
        routers: Live routers, at least one.
    """
    arbiter = choose_router(replica_id, zone, routers)
    assert arbiter is not None
    return arbiter


def window_part(
    replica_id: ReplicaId, window: int, router_id: RouterId, routers: list[RouterId]
) -> int:
    """Returns the router's fixed part of a window that is divided evenly.

    The remainder goes to the routers with the highest weights, so that the parts
    add up to the window.
    """
    part, rest = divmod(window, len(routers))
    return part + (rank(replica_id, routers).index(router_id) < rest)


@dataclass(frozen=True, slots=True)
class TreePlace:
    """Where one router stands in the tree of reports.

    Attributes:
        parent: Router that takes this router's sums, None for the top of the tree.
        children: Routers of the same zone whose sums this router takes.
        zones_below: For the roots of other zones that have this router as parent,
            the zones that are reached through them.
        holder: Second router that keeps the own counters of a router without
            children, so that they survive the death of the router and its parent.
    """

    parent: RouterIdentity | None
    children: tuple[RouterIdentity, ...]
    zones_below: dict[RouterIdentity, frozenset[ZoneName]]
    holder: RouterIdentity | None

    def is_root(self, zone: ZoneName) -> bool:
        """Returns whether this router, of the given zone, sums the zone."""
        return self.parent is None or self.parent.zone != zone

    def neighbours(self) -> tuple[RouterIdentity, ...]:
        """Returns the routers that this one exchanges sums with."""
        above = () if self.parent is None else (self.parent,)
        return above + self.children + tuple(self.zones_below)

    def counter_targets(self) -> frozenset[RouterIdentity]:
        """Returns the routers that take this router's own counters."""
        holder = () if self.holder is None else (self.holder,)
        return frozenset(self.neighbours() + holder)


def _parent_index(index: int, first_fan_out: int, fan_out: int) -> int:
    """Returns the parent's position in a heap whose first node has its own fan-out."""
    if index <= first_fan_out:
        return 0
    return 1 + (index - 1 - first_fan_out) // fan_out


def find_place(
    own: RouterIdentity, routers: Collection[RouterIdentity], *, fan_out: int
) -> TreePlace:
    """Returns the place of a router in the tree of reports.

    The routers of a zone form a heap in the order of their weights, and so do the
    first routers of the zones. A parent comes before its children in an order that
    does not depend on the members, so sums that pass from child to parent never
    run in a circle, even among routers that see different members.

    Args:
        own: The router.
        routers: Live routers, with or without the router itself.
        fan_out: Most children of a router, at least 3.
    """
    zones: dict[ZoneName, list[RouterIdentity]] = {}
    for one in {*routers, own}:
        zones.setdefault(one.zone, []).append(one)
    near = zones[own.zone]
    near.sort(key=lambda one: _weight(own.zone, one), reverse=True)
    roots = sorted(
        (_first_of(zone, found) for zone, found in zones.items()),
        key=lambda one: (hash_pair("zones", one.zone), one.zone),
        reverse=True,
    )
    in_zone = fan_out - ROOT_FAN_OUT
    index = near.index(own)
    children = [
        one
        for position, one in enumerate(near)
        if position and _parent_index(position, in_zone, fan_out) == index
    ]
    if index:
        parent_index = _parent_index(index, in_zone, fan_out)
        siblings = [
            one
            for position, one in enumerate(near)
            if position and _parent_index(position, in_zone, fan_out) == parent_index
        ]
        holder = None
        if not children:
            holder = _find_holder(own, siblings, near, roots, parent_index)
        return TreePlace(near[parent_index], tuple(children), {}, holder)
    return _find_root_place(own, tuple(children), roots)


def _first_of(zone: ZoneName, routers: list[RouterIdentity]) -> RouterIdentity:
    return max(routers, key=lambda one: _weight(zone, one))


def _weight(zone: ZoneName, one: RouterIdentity) -> tuple[int, RouterId]:
    return hash_pair(f"zone:{zone}", one.router_id), one.router_id


def _find_holder(
    own: RouterIdentity,
    siblings: list[RouterIdentity],
    near: list[RouterIdentity],
    roots: list[RouterIdentity],
    parent_index: int,
) -> RouterIdentity | None:
    """Returns the next sibling in a ring, without siblings some other router."""
    following = siblings[(siblings.index(own) + 1) % len(siblings)]
    if following != own:
        return following
    others = near[:1] if parent_index else roots
    return next((one for one in others if one != near[parent_index]), None)


def _find_root_place(
    own: RouterIdentity,
    children: tuple[RouterIdentity, ...],
    roots: list[RouterIdentity],
) -> TreePlace:
    index = roots.index(own)
    below: dict[RouterIdentity, set[ZoneName]] = {}
    for position, root in enumerate(roots):
        path = [position]
        while path[-1]:
            path.append((path[-1] - 1) // ROOT_FAN_OUT)
        if index in path[1:]:
            branch = roots[path[path.index(index) - 1]]
            below.setdefault(branch, set()).add(root.zone)
    parent = roots[(index - 1) // ROOT_FAN_OUT] if index else None
    zones_below = {one: frozenset(zones) for one, zones in below.items()}
    # A root alone in its zone, at the end of the tree, has only its parent.
    holder = None
    if parent is not None and not children and not below:
        holder = next((one for one in roots if one not in (own, parent)), None)
    return TreePlace(parent, children, zones_below, holder)
