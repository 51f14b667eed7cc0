"""Tests of how streams spread over replicas, as read from logs."""

from __future__ import annotations

import pytest

from benchmarks.log_spread import SentStreams


@pytest.mark.parametrize(
    ("replicas", "busiest"),
    [
        pytest.param(["a", "a", "a", "a"], 4.0, id="one replica"),
        pytest.param(["a", "b", "c", "d"], 1.0, id="each its own"),
    ],
)
def test_busiest_replica_is_that_of_streams_sent_at_once(
    replicas: list[str], busiest: float
) -> None:
    """Guards against a mean over seconds that hides what reached a replica at once."""
    sent = SentStreams()
    sent.add({"event": "refused"})
    for window in range(10):
        for replica in replicas:
            sent_at = 100.05 + window / 10
            sent.add(
                {
                    "time": sent_at + 1.4, "event": "served", "upstream": replica,
                    "total_ms": 1_500, "to_send_ms": 100, "first_ms": 300,
                    "prompt_tokens": 10,
                }
            )  # fmt: skip
    (spread,) = sent.list_spreads(1.0, replicas=4)
    assert spread.streams == 40.0
    assert spread.busiest == busiest
    assert 1.0 < spread.busiest_at_random < 4.0
    assert spread.first_event_ms == 300.0
