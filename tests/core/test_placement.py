"""Tests of the choice of arbiters, of window parts and of the report tree."""

from __future__ import annotations

from graphlib import TopologicalSorter
from random import Random

import pytest

from sequoiamoor.core.placement import (
    choose_arbiter,
    compute_window_part,
    find_tree_position,
)
from sequoiamoor.types import RouterIdentity


def build_routers(count: int, zones: str = "abc") -> list[RouterIdentity]:
    return [RouterIdentity(f"r{i}", 1, zones[i % len(zones)]) for i in range(count)]


@pytest.mark.parametrize("zone", ["a", "b", "c", "none"])
def test_arbiter_is_of_the_zone_and_stable(zone: str) -> None:
    """Guards against an arbiter that changes although another router left."""
    routers = build_routers(8)
    for number in range(20):
        arbiter = choose_arbiter(f"m{number}", zone, routers)
        assert zone == "none" or arbiter.zone == zone
        for departed in routers:
            remaining = [router for router in routers if router != departed]
            if departed != arbiter:
                assert choose_arbiter(f"m{number}", zone, remaining) == arbiter


@pytest.mark.parametrize(("window", "count"), [(8, 8), (8, 3), (2, 5), (0, 2)])
def test_window_parts_add_up_to_the_window(window: int, count: int) -> None:
    """Guards against an exceeded or partly unused window under local-fair."""
    names = [router.router_id for router in build_routers(count)]
    assert (
        sum(compute_window_part("m0", window, name, names) for name in names) == window
    )


@pytest.mark.parametrize("count", [1, 2, 9, 16, 17, 64, 350])
def test_reports_reach_everyone_with_bounded_fan_out(count: int) -> None:
    """Guards against a router that gets no sums of a zone, and against a full mesh."""
    routers = build_routers(count, "abcdefghi" if count > 16 else "abc")
    places = {own: find_tree_position(own, routers, fan_out=6) for own in routers}
    for member, place in places.items():
        neighbours = place.neighbours()
        assert len(place.children) + len(place.zones_by_child_root) <= 6
        assert member not in place.counter_targets()
        assert all(member in places[other].neighbours() for other in neighbours)
        for child, zones in place.zones_by_child_root.items():
            assert child.zone in zones and member.zone not in zones
        if count > 2 and len(neighbours) == 1:
            assert len(place.counter_targets()) == 2
    reached, frontier, depth = {routers[0]}, {routers[0]}, 0
    while frontier:
        frontier = {
            neighbour
            for router in frontier
            for neighbour in places[router].neighbours()
        } - reached
        reached |= frontier
        depth += bool(frontier)
    assert len(reached) == count
    assert sum(len(place.neighbours()) for place in places.values()) == 2 * count - 2
    assert depth <= 12


def test_parents_form_no_cycle_whatever_the_members_are() -> None:
    """Guards against cycles of sums while routers see different members."""
    routers = build_routers(40)
    parents: dict[str, set[str]] = {router.router_id: set() for router in routers}
    for number, child in enumerate(routers * 3):
        members = Random(number).sample(routers, 25)
        parent = find_tree_position(child, members, fan_out=3).parent
        if parent is not None and parent.zone == child.zone:
            parents[child.router_id].add(parent.router_id)
    TopologicalSorter(parents).prepare()
