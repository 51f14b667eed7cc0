"""Who does what: arbiter of a replica, parts of a window, report tree."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from ..types import ReplicaId, RouterId, RouterIdentity, ZoneName
from .rendezvous import choose_router, hash_pair


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


def choose_aggregator(
    zone: ZoneName, routers: Iterable[RouterIdentity]
) -> RouterIdentity | None:
    """Returns the router that sums the reports of a zone, None without routers."""
    near = [one for one in routers if one.zone == zone]
    return choose_router(f"zone:{zone}", zone, near)


def report_targets(
    own: RouterIdentity, routers: Collection[RouterIdentity], *, flat_limit: int
) -> list[RouterIdentity]:
    """Returns the routers that ``own`` sends its counters to.

    Args:
        own: The sender.
        routers: Live routers, with or without the sender.
        flat_limit: Largest fleet in which everyone reports to everyone.

    Returns:
        All peers in a small fleet. In a larger one the sender's aggregator, or, for
        an aggregator, the aggregators of the other zones and the routers of its own.
    """
    members = sorted({*routers, own}, key=lambda one: one.router_id)
    if len(members) <= flat_limit:
        return [one for one in members if one != own]
    near = choose_aggregator(own.zone, members)
    assert near is not None
    if near != own:
        return [near]
    zones = sorted({one.zone for one in members} - {own.zone})
    others = [choose_aggregator(zone, members) for zone in zones]
    return [one for one in others if one is not None] + [
        one for one in members if one.zone == own.zone and one != own
    ]
