"""Tests of rendezvous hashing and of the report tree."""

from __future__ import annotations

import pytest

from sequoiamoor.core.placement import (
    choose_arbiter,
    report_targets,
    window_part,
)
from sequoiamoor.types import RouterIdentity


def build_routers(count: int, zones: str = "abc") -> list[RouterIdentity]:
    return [RouterIdentity(f"r{i}", 1, zones[i % len(zones)]) for i in range(count)]


@pytest.mark.parametrize("zone", ["a", "b", "c", "none"])
def test_arbiter_is_of_the_zone_and_stable(zone: str) -> None:
    """Guards against a change of the arbiter when another router leaves."""
    routers = build_routers(8)
    for number in range(20):
        arbiter = choose_arbiter(f"m{number}", zone, routers)
        assert zone == "none" or arbiter.zone == zone
        for gone in routers:
            left = [one for one in routers if one != gone]
            if gone != arbiter:
                assert choose_arbiter(f"m{number}", zone, left) == arbiter


@pytest.mark.parametrize(("window", "count"), [(8, 8), (8, 3), (2, 5), (0, 2)])
def test_parts_add_up_to_the_window(window: int, count: int) -> None:
    """Guards against an overfilled or partly unused window under local-fair."""
    names = [one.router_id for one in build_routers(count)]
    assert sum(window_part("m0", window, one, names) for one in names) == window


@pytest.mark.parametrize("count", [2, 16, 17, 350])
def test_reports_reach_everyone_with_bounded_fan_out(count: int) -> None:
    """Guards against a router that never hears of a zone, and against a mesh."""
    routers = build_routers(count, "abcdefghi" if count > 16 else "abc")
    targets = {
        one.router_id: [
            other.router_id for other in report_targets(one, routers, flat_limit=16)
        ]
        for one in routers
    }
    largest_zone = -(-count // 9)
    fan_out = max(len(found) for found in targets.values())
    assert fan_out <= (15 if count <= 16 else largest_zone + 8)
    for start in targets:
        reached, border = {start}, {start}
        for _ in range(3):
            border = {name for one in border for name in targets[one]} - reached
            reached |= border
        assert len(reached) == count
