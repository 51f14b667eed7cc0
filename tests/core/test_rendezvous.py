"""Tests of rendezvous hashing."""

from __future__ import annotations

from sequoiamoor.core.rendezvous import choose_router, rank_candidates
from sequoiamoor.types import RouterIdentity

ROUTERS = [
    RouterIdentity(f"router-{number}", 1, f"zone-{number % 3}") for number in range(8)
]


def test_removed_candidate_moves_only_its_keys() -> None:
    """Guards against a router failure that moves the arbiters of all replicas."""
    keys = [f"replica-{number}" for number in range(200)]
    before = {key: choose_router(key, "zone-9", ROUTERS) for key in keys}
    assert set(before.values()) == set(ROUTERS)
    after = {key: choose_router(key, "zone-9", ROUTERS[1:]) for key in keys}
    assert all(after[key] == before[key] for key in keys if before[key] != ROUTERS[0])
    assert choose_router("x", "zone-9", []) is None


def test_router_of_the_zone_is_preferred() -> None:
    """Guards against a zone that depends on a router of another zone."""
    for key in ("a", "b", "c", "d"):
        assert choose_router(key, "zone-2", ROUTERS) in (ROUTERS[2], ROUTERS[5])
        assert choose_router(key, "zone-9", ROUTERS) is not None
        from_reversed = choose_router(key, "zone-2", ROUTERS[::-1])
        assert from_reversed == choose_router(key, "zone-2", ROUTERS)
    assert choose_router("a", "zone-2", []) is None


def test_order_of_candidates_stays_when_one_is_removed() -> None:
    """Guards against prompts that lose their cached parts when a replica leaves."""
    candidates = tuple(f"replica-{number}" for number in range(9))
    for key in ("a", "b", "c"):
        ranked = rank_candidates(key, candidates)
        assert sorted(ranked) == list(candidates)
        for removed in candidates:
            rest = tuple(name for name in candidates if name != removed)
            kept = tuple(name for name in ranked if name != removed)
            assert rank_candidates(key, rest) == kept
