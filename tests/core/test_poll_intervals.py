"""Tests of the polling intervals towards the platform's store."""

from __future__ import annotations

import pytest

from sequoiamoor.core.poll_intervals import (
    PAUSE_JITTER_FRACTION,
    UPSTREAM_WAIT_SECONDS,
    PollIntervals,
)
from sequoiamoor.daemon.sources import LOST_ANSWER_RETRY_SECONDS


def count_calls(poll_intervals: PollIntervals, routers: int) -> float:
    """Returns the calls per second of a fleet whose replicas change continuously."""
    calls_per_router = (
        1 / poll_intervals.find_configuration_wait(routers)
        + 1 / poll_intervals.find_upstream_pause(routers)
        + 1 / poll_intervals.find_router_refresh(routers)
    )
    return calls_per_router * routers


@pytest.mark.parametrize("routers", [1, 7, 8])
def test_small_fleets_poll_at_the_full_rate(routers: int) -> None:
    """Guards against needless delay of changes in a small fleet."""
    poll_intervals = PollIntervals(LOST_ANSWER_RETRY_SECONDS)
    assert poll_intervals.find_configuration_wait(routers) == 0.7
    assert poll_intervals.find_upstream_pause(routers) == 0.4


@pytest.mark.parametrize("routers", [1, 8, 20, 58, 70, 350])
@pytest.mark.parametrize("bound", [2.0, 3.0, 13.0])
def test_lost_answers_are_noticed_within_the_bounds(routers: int, bound: float) -> None:
    """Guards against new work for a replica that left while an answer was lost.

    A lost answer is noticed only when the call times out, since its connection stays
    silent.
    """
    poll_intervals = PollIntervals(
        LOST_ANSWER_RETRY_SECONDS, leaving_bound=bound, configuration_bound=bound
    )
    pause = poll_intervals.find_upstream_pause(routers) * (1 + PAUSE_JITTER_FRACTION)
    assert pause + UPSTREAM_WAIT_SECONDS + LOST_ANSWER_RETRY_SECONDS <= bound + 1e-9
    assert (
        poll_intervals.find_configuration_wait(routers) + LOST_ANSWER_RETRY_SECONDS
        <= bound + 1e-9
    )


def test_calls_grow_slower_than_the_fleet() -> None:
    """Guards against overload of the store by a large fleet."""
    poll_intervals = PollIntervals(
        LOST_ANSWER_RETRY_SECONDS, leaving_bound=3.0, configuration_bound=3.0
    )
    assert count_calls(poll_intervals, 58) < 0.4 * 58 / 8 * count_calls(
        poll_intervals, 8
    )
    # The operators' store allows 2,000 reads/s from 8 routers and 6,000 from 70.
    assert count_calls(poll_intervals, 350) < 600
