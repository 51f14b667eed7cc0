"""Short soaks with engines that end on one prompt part."""

from __future__ import annotations

import pytest

from .part_crashes import PartCrashes

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("seed", [1, 3, 4])
def test_requests_with_a_part_that_ends_engines_stop_reaching_them(seed: int) -> None:
    """Guards against routers that learn nothing from the end of an engine."""
    scenario = PartCrashes.draw(seed)
    assert scenario.run() == []
    assert scenario.count_statuses()[0][200] > 0
