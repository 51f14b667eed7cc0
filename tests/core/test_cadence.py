"""Tests of how often a router asks the platform's store."""

from __future__ import annotations

import pytest

from sequoiamoor.core.cadence import JITTER, UPSTREAM_WAIT_SECONDS, Cadence
from sequoiamoor.daemon.sources import RETRY_SECONDS


def count_calls(cadence: Cadence, routers: int) -> float:
    """Returns the calls per second of a fleet whose replicas change all the time."""
    one = (
        1 / cadence.find_configuration_wait(routers)
        + 1 / cadence.find_upstream_pause(routers)
        + 1 / cadence.find_router_refresh(routers)
    )
    return one * routers


@pytest.mark.parametrize("routers", [1, 7, 8])
def test_small_fleets_ask_at_the_full_rate(routers: int) -> None:
    """Guards against changes that a small fleet sees later than it has to."""
    cadence = Cadence(RETRY_SECONDS)
    assert cadence.find_configuration_wait(routers) == 0.7
    assert cadence.find_upstream_pause(routers) == 0.4


@pytest.mark.parametrize("routers", [1, 8, 20, 58, 70, 350])
@pytest.mark.parametrize("bound", [2.0, 3.0, 13.0])
def test_lost_answers_are_noticed_within_the_bounds(routers: int, bound: float) -> None:
    """Guards against work for a replica that left, by a feed whose answer was lost.

    A connection whose answer is lost stays silent.
    """
    cadence = Cadence(RETRY_SECONDS, leaving_bound=bound, configuration_bound=bound)
    pause = cadence.find_upstream_pause(routers) * (1 + JITTER)
    assert pause + UPSTREAM_WAIT_SECONDS + RETRY_SECONDS <= bound + 1e-9
    assert cadence.find_configuration_wait(routers) + RETRY_SECONDS <= bound + 1e-9


def test_calls_grow_slower_than_the_fleet() -> None:
    """Guards against a large fleet that wears out the store."""
    cadence = Cadence(RETRY_SECONDS, leaving_bound=3.0, configuration_bound=3.0)
    assert count_calls(cadence, 58) < 0.4 * 58 / 8 * count_calls(cadence, 8)
    # The operators' store takes 2,000 reads a second of a fleet of eight, 6,000 of 70.
    assert count_calls(cadence, 350) < 600
