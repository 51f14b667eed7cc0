"""Tests of the graceful shutdown."""

from __future__ import annotations

import pytest

from sequoiamoor.core.drain import Drain, DrainEndReason


@pytest.mark.parametrize(
    ("signals", "now", "in_service", "expected"),
    [
        ([], 500.0, 0, None),
        ([10.0], 10.0, 0, None),
        ([10.0], 10.4, 0, DrainEndReason.IDLE),
        ([10.0], 10.4, 1, None),
        ([10.0], 129.9, 1, None),
        ([10.0], 130.0, 1, DrainEndReason.LIMIT),
        ([10.0], 500.0, 0, DrainEndReason.IDLE),
        ([10.0, 11.0], 11.0, 1, DrainEndReason.SECOND_SIGNAL),
        ([10.0, 10.1], 10.1, 0, DrainEndReason.IDLE),
    ],
)
def test_drain_ends_for_the_expected_reason(
    signals: list[float], now: float, in_service: int, expected: DrainEndReason | None
) -> None:
    """Guards against cutting requests and against a router that never exits."""
    drain = Drain(limit=120.0, min_drain_seconds=0.4, max_record_wait_seconds=3.0)
    for signal_at in signals:
        drain.take_signal(signal_at)
    assert drain.is_leaving is bool(signals)
    assert drain.find_end_reason(now, in_service=in_service) is expected


def test_wait_for_records_is_bounded() -> None:
    """Guards against an idle router that cannot exit during a platform outage."""
    drain = Drain(limit=120.0, min_drain_seconds=0.4, max_record_wait_seconds=3.0)
    drain.take_signal(0.0)
    assert drain.find_end_reason(20.0, in_service=1, records=1) is None
    assert drain.find_end_reason(21.0, in_service=0, records=1) is None
    assert drain.find_end_reason(23.9, in_service=0, records=1) is None
    assert drain.find_end_reason(24.0, in_service=0, records=1) is DrainEndReason.IDLE
