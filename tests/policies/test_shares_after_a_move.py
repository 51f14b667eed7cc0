"""Tests of an organisation whose callers go on to other routers."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from .busy_fleet import BusyFleet
from .flooded_fleet import FLOOD_START, Load, Size, make_loads

FLEET = Size(
    58,
    45,
    24,
    read_rate=81_900.0,
    report_seconds=0.9,
    is_staggered=True,
    token_rate=2_400_000,
    end=13,
)
SMALL = Load(10.0, 10.0, prompt=2_500, output=200, seconds=1.0)
FLOOD = Load(30.0, 450.0, prompt=4_700, output=200, seconds=1.0, routers=(11,))
MOVE_SECONDS, NEXT_ROUTER = 10, 23
ROUTERS_OF_A_ZONE = tuple(range(10, 34))
MAX_REFUSED_FRACTION = 0.1
"""Part of the requests that may go unserved before operators are alerted."""
MAX_LATE_FRACTION = 0.05
"""Part of the first events that may come after their target at the size built for."""


class MovingFleet(BusyFleet):
    """A fleet in which the callers of the flood go on to another router.

    Attributes:
        is_moving: Whether they do.
        arrived: Requests of the flood by second.
    """

    def __init__(self, *arguments: Any, is_moving: bool, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.is_moving = is_moving
        self.arrived = [0] * FLEET.end

    def _arrive(self, name: str, load: Load, index: int, now: float) -> None:
        if name == "flood":
            self.arrived[int(now)] += 1
            if self.is_moving and now >= MOVE_SECONDS:
                load = replace(load, routers=(NEXT_ROUTER,))
        super()._arrive(name, load, index, now)


@pytest.mark.parametrize("is_moving", [False, True])
def test_organisation_is_served_at_the_next_router_as_before(is_moving: bool) -> None:
    """Guards against refusals at a router with time left, before replicas with room.

    When a router says that it is not ready, all callers that meet it go on to the next
    one, which has served nothing of their organisation lately.
    """
    loads = {"flood": FLOOD, **make_loads(20, SMALL)}
    fleet = MovingFleet(loads, FLEET, seed=1, is_moving=is_moving)
    fleet.play()
    refused = [fleet.refused["flood", at] for at in range(FLEET.end)]
    for second in range(MOVE_SECONDS - 2, FLEET.end - 1):
        allowed = MAX_REFUSED_FRACTION * fleet.arrived[second]
        assert refused[second] <= allowed, f"second {second}"


@pytest.mark.parametrize("replicas", [45, 60])
@pytest.mark.parametrize("seed", [1, 2])
def test_routers_that_share_a_flood_send_to_different_replicas(
    replicas: int, seed: int
) -> None:
    """Guards against first events that are late at one replica beside free ones.

    Routers that hand the connections of a flood to each other have the same reports,
    up to a second old. If equal reports mean the same choice, all of them send to one
    replica, and then to the next.
    """
    flood = replace(FLOOD, routers=ROUTERS_OF_A_ZONE)
    loads = {"flood": flood, **make_loads(20, SMALL)}
    fleet = BusyFleet(
        loads, replace(FLEET, replicas=replicas), seed=seed, shared_fraction=0.0
    )
    fleet.play()
    seconds = range(FLOOD_START, FLEET.end)
    for names in (["flood"], [name for name in loads if name != "flood"]):
        late = sum(fleet.late[name, at] for name in names for at in seconds)
        answered = sum(fleet.answered[name, at] for name in names for at in seconds)
        assert late <= MAX_LATE_FRACTION * answered, names[0]
