"""Tests of the limit on slots that lets long streams end within their timeout."""

from __future__ import annotations

import pytest

from sequoiamoor.core.routes import Route
from sequoiamoor.core.stream_pace import MIN_SLOT_FRACTION, StreamPace
from sequoiamoor.types import RouteKind

ROUTE = Route(
    "r", "h", "/", RouteKind.STREAM, True, True, 12.0, 0.4, 0.25, 2, (("talk", 1.0),)
)


def build_pace(interval: float, *, streams: int = 100, events: int = 100) -> StreamPace:
    pace = StreamPace()
    for _ in range(streams):
        pace.record_stream_end(
            "talk",
            "i-1",
            ROUTE,
            events=events,
            length=events,
            seconds=interval * (events - 1),
        )
    pace.refresh()
    return pace


@pytest.mark.parametrize(
    ("interval", "streams", "events", "expected"),
    [
        (0.1, 100, 100, 1.0),
        (0.2, 100, 100, MIN_SLOT_FRACTION),
        (0.14, 100, 100, (11.6 / 100 / 0.14) ** 2),
        (0.2, 100, 50, 1.0),
        (0.2, 10, 100, 1.0),
        (0.2, 100, 5, 1.0),
    ],
)
def test_slots_are_limited_only_if_long_streams_would_time_out(
    interval: float, streams: int, events: int, expected: float
) -> None:
    """Load: all slots busy. Guards against long answers cut off by their timeout."""
    pace = build_pace(interval, streams=streams, events=events)
    assert pace.find_slot_fraction("talk", "i-1") == pytest.approx(expected)


def test_replica_without_streams_keeps_its_slots() -> None:
    """Guards against limiting a new replica because of the interval of others."""
    assert build_pace(0.3).find_slot_fraction("talk", "i-2") == 1.0
