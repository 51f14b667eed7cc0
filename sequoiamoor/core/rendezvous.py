"""Rendezvous hashing: the same choice on every router that sees the same members."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from ..types import RouterId, RouterIdentity, ZoneName


def choose_candidate(key: str, candidates: Iterable[str]) -> str | None:
    """Returns the candidate with the highest hash for the key.

    A candidate that joins or leaves moves only the keys that it wins or held.
    """
    return max(candidates, key=lambda one: (_hash(key, one), one), default=None)


def choose_router(
    key: str, zone: ZoneName, routers: Iterable[RouterIdentity]
) -> RouterId | None:
    """Returns the router of the zone that is responsible for the key.

    If the zone has no router among ``routers``, one of another zone is chosen.
    """
    known = list(routers)
    local = [one.router_id for one in known if one.zone == zone]
    return choose_candidate(key, local or [one.router_id for one in known])


def _hash(key: str, candidate: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode())
