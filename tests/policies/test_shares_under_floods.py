"""Tests of the shares that organisations get from a fleet while some flood it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from .flooded_fleet import SMALL, Fleet, Load, make_loads

LONG = Load(rate=40.0, output=400, seconds=6.0)
SHORT = Load(rate=60.0, prompt=2_000, seconds=0.1)
EARLY = Load(early_rate=60.0, rate=60.0)
EARLY_LONG = Load(early_rate=50.0, rate=60.0, output=400, seconds=4.0)
UNEVEN = Load(early_rate=15.0, rate=40.0, routers=(1, 2))
FLOOD = Load(early_rate=10.0, rate=250.0, output=300, seconds=4.0)
AT_ONE_LATE = replace(FLOOD, early_rate=4.0, rate=60.0, routers=(0,))
AT_ONE = Load(early_rate=30.0, rate=60.0, output=300, seconds=4.0, routers=(0,))


@pytest.mark.parametrize(
    "loads",
    [
        pytest.param(
            {"early": EARLY, **make_loads(6, Load(rate=20.0))}, id="lead on idle slots"
        ),
        pytest.param(
            {"long": LONG, **make_loads(2, SHORT)}, id="few long and many short"
        ),
        pytest.param(
            {"uneven": AT_ONE, **make_loads(5, Load(rate=21.0, seconds=0.3))},
            id="uneven landing",
        ),
        pytest.param(
            {"early": EARLY_LONG, "uneven": UNEVEN, **make_loads(4, Load(rate=15.0))},
            id="lead, long streams and uneven landing",
        ),
        pytest.param(
            {
                "flood": FLOOD,
                "one": AT_ONE_LATE,
                **make_loads(12, Load(rate=3.0, prompt=2_000)),
            },
            id="floods at one router and at all, beside little work of many",
        ),
    ],
)
def test_flooding_organisations_get_half_of_the_best_served_one(
    loads: dict[str, Load],
) -> None:
    """Guards against an organisation that starts nothing for seconds while others do.

    Neither what it used before other work waited, nor the length of its streams, nor
    the routers at which its requests arrive may hold it back.
    """
    fleet = Fleet({**loads, **make_loads(6, Load())}, SMALL)
    fleet.play()
    assert fleet.find_unfair_windows() == []
