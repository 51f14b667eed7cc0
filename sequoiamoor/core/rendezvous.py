"""Rendezvous hashing: the same choice on every router that sees the same members."""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache

import xxhash

from ..types import RouterIdentity, ZoneName


@lru_cache(maxsize=65_536)
def hash_pair(key: str, candidate: str) -> int:
    """Returns the weight of a candidate for a key, the same on every router."""
    return int(xxhash.xxh64_intdigest(f"{key}\0{candidate}".encode()))


def choose_router(
    key: str, zone: ZoneName, routers: Iterable[RouterIdentity]
) -> RouterIdentity | None:
    """Returns the router of the zone that is responsible for the key.

    If the zone has no router among ``routers``, one of another zone is chosen. A
    router that joins or leaves moves only the keys that it wins or held.
    """
    known = list(routers)
    near = [one for one in known if one.zone == zone] or known
    return max(
        near,
        key=lambda one: (hash_pair(key, one.router_id), one.router_id),
        default=None,
    )
