"""Tests of the shares that a fleet gives whose routers report once a second."""

from __future__ import annotations

import pytest

from .busy_fleet import LARGE, BusyFleet
from .flooded_fleet import Load, make_loads

REQUEST = Load(early_rate=4.0, rate=4.0, prompt=2_500, output=200, seconds=0.6)
AT_ALL = Load(60.0, 1_000.0, prompt=2_500, output=200, seconds=0.6)
AT_ALL_TWICE = Load(60.0, 1_500.0, prompt=2_500, output=200, seconds=0.6)
AT_ONE = Load(30.0, 150.0, prompt=2_500, output=200, seconds=0.6, routers=(11,))


@pytest.mark.parametrize(
    ("at_all", "seed"), [(AT_ALL, 1), (AT_ALL, 2), (AT_ALL_TWICE, 3)]
)
def test_organisation_at_one_router_gets_half_of_the_one_at_all(
    at_all: Load, seed: int
) -> None:
    """Guards against an organisation that gets less the fewer routers it enters at.

    Seventy routers see the same free slots and waiting requests up to a second late. An
    organisation at all of them takes the slots, or small organisations whose requests
    no longer wait hold the one back.
    """
    loads = {"all": at_all, "one": AT_ONE, **make_loads(20, REQUEST)}
    fleet = BusyFleet(loads, LARGE, seed=seed)
    fleet.play()
    assert fleet.compute_distance("one") >= 1.0
