"""Assignment of work to routers: arbiters, parts of a window, the report tree."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ..types import ReplicaId, RouterId, RouterIdentity, ZoneName
from .rendezvous import choose_router, hash_pair

ROOT_FAN_OUT = 2
"""Roots of other zones that may have one root as parent.

The rest of the root's fan-out is for routers of its own zone.
"""


def rank(name: str, members: Iterable[RouterId]) -> list[RouterId]:
    """Returns the members by descending rendezvous weight for the name."""
    return sorted(
        members, key=lambda member: (hash_pair(name, member), member), reverse=True
    )


def choose_arbiter(
    replica_id: ReplicaId, zone: ZoneName, routers: Collection[RouterIdentity]
) -> RouterIdentity:
    """Returns the arbiter of a replica.

    Args:
        replica_id: The replica.
        zone: Its availability zone, whose routers are preferred.
        routers: Live routers, at least one.
    """
    arbiter = choose_router(replica_id, zone, routers)
    assert arbiter is not None
    return arbiter


def compute_window_part(
    replica_id: ReplicaId, window: int, router_id: RouterId, routers: list[RouterId]
) -> int:
    """Returns the router's part of a window that is divided evenly, in slots.

    The remainder goes to the routers with the highest weights, so that the parts
    add up to the window.
    """
    part, remainder = divmod(window, len(routers))
    return part + (rank(replica_id, routers).index(router_id) < remainder)


@dataclass(frozen=True, slots=True)
class TreePosition:
    """Position of one router in the report tree.

    Attributes:
        parent: Router that receives this router's sums; None at the top of the tree.
        children: Routers of the same zone whose sums this router receives.
        zones_by_child_root: For each root of another zone that has this router as
            parent, the zones that are reached through it.
        holder: Second router that keeps the own counters of a router without
            children, so that they survive the death of both the router and its parent.
    """

    parent: RouterIdentity | None
    children: tuple[RouterIdentity, ...]
    zones_by_child_root: dict[RouterIdentity, frozenset[ZoneName]]
    holder: RouterIdentity | None

    def is_root(self, zone: ZoneName) -> bool:
        """Returns whether this router, of the given zone, is the root of the zone."""
        return self.parent is None or self.parent.zone != zone

    def neighbours(self) -> tuple[RouterIdentity, ...]:
        """Returns the routers with which this router exchanges sums."""
        above = () if self.parent is None else (self.parent,)
        return above + self.children + tuple(self.zones_by_child_root)

    def counter_targets(self) -> frozenset[RouterIdentity]:
        """Returns the routers to which this router sends its own counters."""
        holder = () if self.holder is None else (self.holder,)
        return frozenset(self.neighbours() + holder)


def _find_parent_index(index: int, first_fan_out: int, fan_out: int) -> int:
    """Returns the parent's index in a heap whose root has a fan-out of its own."""
    if index <= first_fan_out:
        return 0
    return 1 + (index - 1 - first_fan_out) // fan_out


def find_tree_position(
    own: RouterIdentity, routers: Collection[RouterIdentity], *, fan_out: int
) -> TreePosition:
    """Returns the position of a router in the report tree.

    The routers of a zone form a heap in the order of their weights; the first of them
    is the root of the zone. The roots of the zones form a heap too. A parent precedes
    its children in an order that does not depend on the members, so sums sent from
    child to parent never form a cycle, even if routers see different members.

    Args:
        own: The router.
        routers: Live routers, with or without the router itself.
        fan_out: Largest number of children of a router, at least 3.
    """
    zones: dict[ZoneName, list[RouterIdentity]] = {}
    for router in {*routers, own}:
        zones.setdefault(router.zone, []).append(router)
    zone_members = zones[own.zone]
    zone_members.sort(key=lambda member: _hash_weight(own.zone, member), reverse=True)
    roots = sorted(
        (_find_zone_root(zone, zone_routers) for zone, zone_routers in zones.items()),
        key=lambda root: (hash_pair("zones", root.zone), root.zone),
        reverse=True,
    )
    zone_root_fan_out = fan_out - ROOT_FAN_OUT
    index = zone_members.index(own)
    children = [
        child
        for position, child in enumerate(zone_members)
        if position
        and _find_parent_index(position, zone_root_fan_out, fan_out) == index
    ]
    if index:
        parent_index = _find_parent_index(index, zone_root_fan_out, fan_out)
        siblings = [
            sibling
            for position, sibling in enumerate(zone_members)
            if position
            and _find_parent_index(position, zone_root_fan_out, fan_out) == parent_index
        ]
        holder = None
        if not children:
            holder = _find_holder(own, siblings, zone_members, roots, parent_index)
        return TreePosition(zone_members[parent_index], tuple(children), {}, holder)
    return _find_root_place(own, tuple(children), roots)


def _find_zone_root(zone: ZoneName, routers: list[RouterIdentity]) -> RouterIdentity:
    return max(routers, key=lambda router: _hash_weight(zone, router))


def _hash_weight(zone: ZoneName, router: RouterIdentity) -> tuple[int, RouterId]:
    return hash_pair(f"zone:{zone}", router.router_id), router.router_id


def _find_holder(
    own: RouterIdentity,
    siblings: list[RouterIdentity],
    zone_members: list[RouterIdentity],
    roots: list[RouterIdentity],
    parent_index: int,
) -> RouterIdentity | None:
    """Returns the next sibling in a ring, or another router if there is no sibling."""
    next_sibling = siblings[(siblings.index(own) + 1) % len(siblings)]
    if next_sibling != own:
        return next_sibling
    candidates = zone_members[:1] if parent_index else roots
    return next(
        (
            candidate
            for candidate in candidates
            if candidate != zone_members[parent_index]
        ),
        None,
    )


def _find_root_place(
    own: RouterIdentity,
    children: tuple[RouterIdentity, ...],
    roots: list[RouterIdentity],
) -> TreePosition:
    index = roots.index(own)
    zones_by_branch: dict[RouterIdentity, set[ZoneName]] = {}
    for position, root in enumerate(roots):
        path_to_top = [position]
        while path_to_top[-1]:
            path_to_top.append((path_to_top[-1] - 1) // ROOT_FAN_OUT)
        if index in path_to_top[1:]:
            branch = roots[path_to_top[path_to_top.index(index) - 1]]
            zones_by_branch.setdefault(branch, set()).add(root.zone)
    parent = roots[(index - 1) // ROOT_FAN_OUT] if index else None
    zones_by_child_root = {
        child_root: frozenset(branch_zones)
        for child_root, branch_zones in zones_by_branch.items()
    }
    # A root that is alone in its zone and has no zones below sends its counters only to
    # its parent, so another root keeps them too.
    holder = None
    if parent is not None and not children and not zones_by_branch:
        holder = next(
            (candidate for candidate in roots if candidate not in (own, parent)), None
        )
    return TreePosition(parent, children, zones_by_child_root, holder)
