"""Tests of the decision to hand a connection to another router."""

from __future__ import annotations

from random import Random

import pytest

from sequoiamoor.core.handoffs import (
    REFUSED_SECONDS,
    HandoffLimit,
    HandoffTargets,
)
from sequoiamoor.core.loop_use import AVERAGING_SECONDS, LoopUse


@pytest.mark.parametrize(
    ("use", "probability", "takes_over"),
    [
        (0.0, 0.0, True),
        (0.49, 0.0, True),
        (0.5, 0.0, False),
        (0.65, 0.5, False),
        (0.8, 1.0, False),
        (1.0, 1.0, False),
    ],
)
def test_router_hands_off_the_more_the_busier_it_is(
    use: float, probability: float, takes_over: bool
) -> None:
    """Guards against a router that hands off and takes over at the same time."""
    limit = HandoffLimit(0.5)
    assert limit.find_probability(use) == pytest.approx(probability)
    assert limit.may_take_over(use) is takes_over


@pytest.mark.parametrize("candidates", [[], ["b"], ["b", "c", "d"]])
def test_router_that_refused_is_not_asked_for_a_while(candidates: list[str]) -> None:
    """Guards against a router that asks full ones for each connection."""
    targets = HandoffTargets(Random(1))
    chosen = targets.choose(candidates, 0.0)
    assert len(chosen) == min(len(candidates), 2)
    assert set(chosen) <= set(candidates)
    for router_id in candidates:
        targets.record_refused(router_id, 1.0)
    assert targets.choose(candidates, 1.0) == []
    assert len(targets.choose(candidates, 1.0 + REFUSED_SECONDS)) == len(chosen)


@pytest.mark.parametrize("fraction", [0.0, 0.25, 1.0])
def test_use_is_the_part_of_the_time_without_waits(fraction: float) -> None:
    """Guards against a measure that only tells a loop that is late already."""
    use = LoopUse()
    now = 0.0
    for _ in range(1000):
        work = fraction * 0.01
        use.note_wait(now + work, now + 0.01)
        now += 0.01
    assert use.fraction == pytest.approx(fraction, abs=0.05)


def test_use_follows_a_change_within_the_averaging_time() -> None:
    """Guards against a flood that is noticed after the connections are accepted."""
    use = LoopUse()
    use.note_wait(0.0, 1.0)
    use.note_wait(1.0 + 2 * AVERAGING_SECONDS, 1.0 + 2 * AVERAGING_SECONDS)
    assert use.fraction > 0.8
