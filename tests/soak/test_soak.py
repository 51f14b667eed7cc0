"""Short soaks, with seeds that failed in the past."""

from __future__ import annotations

import pytest

from .run import run_soak

pytestmark = pytest.mark.processes


@pytest.mark.parametrize(
    ("seed", "seconds"),
    [
        (1, 8.0),
        # A configuration with a non-numeric version ended the task that reads updates.
        (3, 12.0),
        # SIGHUP ended a router that was still starting.
        (9, 12.0),
        # An outgoing connection held the port of a router that was to start again.
        (714, 8.0),
        # Descriptors run out at a router five times, beside other faults.
        (2411, 8.0),
        # Of two overlapping faults, the second one restored the limit of the first.
        (5002, 8.0),
        # A replica said only within 0.5 s of its start, in an outage, that it leaves.
        (41010, 8.0),
    ],
)
def test_promises_hold_while_faults_overlap(seed: int, seconds: float) -> None:
    """Guards against broken guarantees to callers and replicas under faults."""
    result = run_soak(seed, seconds=seconds, routers=3, callers=12)
    assert result.violations == []
    assert result.status_counts[200] > 0
