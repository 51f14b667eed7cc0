"""Short soaks with engines that end on one prompt part."""

from __future__ import annotations

import pytest

from .part_crashes import PartCrashes

pytestmark = pytest.mark.processes


# Guards against requests with one prompt part that end one engine after the other.
@pytest.mark.parametrize("seed", [1, 3, 4])
def test_requests_with_a_part_that_ends_engines_stop_reaching_them(seed: int) -> None:
    """Guards against routers that learn nothing from the end of an engine."""
    scenario = PartCrashes.draw(seed)
    assert scenario.run() == []
    assert scenario.count_statuses()["sound"][200] > 0
