"""Tests of the graceful shutdown."""

from __future__ import annotations

import pytest

from sequoiamoor.core.drain import Drain, DrainEnd


@pytest.mark.parametrize(
    ("signals", "now", "in_service", "expected"),
    [
        ([], 500.0, 0, None),
        ([10.0], 10.0, 0, None),
        ([10.0], 10.4, 0, DrainEnd.IDLE),
        ([10.0], 10.4, 1, None),
        ([10.0], 129.9, 1, None),
        ([10.0], 130.0, 1, DrainEnd.LIMIT),
        ([10.0], 500.0, 0, DrainEnd.IDLE),
        ([10.0, 11.0], 11.0, 1, DrainEnd.SECOND_SIGNAL),
        ([10.0, 10.1], 10.1, 0, DrainEnd.IDLE),
    ],
)
def test_drain_ends_for_the_expected_reason(
    signals: list[float], now: float, in_service: int, expected: DrainEnd | None
) -> None:
    """Guards against cutting requests and against a router that never exits."""
    drain = Drain(limit=120.0, announce_time=0.4, record_time=3.0)
    for signal_at in signals:
        drain.take_signal(signal_at)
    assert drain.is_leaving is bool(signals)
    assert drain.find_end(now, in_service=in_service) is expected


def test_wait_for_records_is_bounded() -> None:
    """Guards against an idle router that cannot exit during a platform outage."""
    drain = Drain(limit=120.0, announce_time=0.4, record_time=3.0)
    drain.take_signal(0.0)
    assert drain.find_end(20.0, in_service=1, records=1) is None
    assert drain.find_end(21.0, in_service=0, records=1) is None
    assert drain.find_end(23.9, in_service=0, records=1) is None
    assert drain.find_end(24.0, in_service=0, records=1) is DrainEnd.IDLE
