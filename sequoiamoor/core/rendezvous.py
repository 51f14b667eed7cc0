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


@lru_cache(maxsize=512)
def rank_candidates(key: str, candidates: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the candidates by descending weight for a key."""
    return tuple(
        sorted(
            candidates,
            key=lambda candidate: hash_pair(key, candidate),
            reverse=True,
        )
    )


@lru_cache(maxsize=512)
def rank_positions(key: str, candidates: tuple[str, ...]) -> dict[str, int]:
    """Returns the candidates by descending weight for a key, with their positions.

    Callers must not modify the result.
    """
    ranked = rank_candidates(key, candidates)
    return {candidate: position for position, candidate in enumerate(ranked)}


def choose_router(
    key: str, zone: ZoneName, routers: Iterable[RouterIdentity]
) -> RouterIdentity | None:
    """Returns the router of the zone that is responsible for the key.

    If the zone has no router among ``routers``, a router of another zone is chosen.
    When a router joins or leaves, only the keys that it gains or held move.
    """
    candidates = list(routers)
    eligible = [router for router in candidates if router.zone == zone] or candidates
    return max(
        eligible,
        key=lambda router: (hash_pair(key, router.router_id), router.router_id),
        default=None,
    )
