"""Tests of the waiting queues."""

from __future__ import annotations

import pytest

from sequoiamoor.core.queues import RequestQueues
from sequoiamoor.errors import QueueFullError
from sequoiamoor.types import CallRequest


def build_call(number: int, *, deadline: float, organisation: str = "a") -> CallRequest:
    return CallRequest(
        call_id=f"c{number}",
        request_id=f"r{number}",
        organisation=organisation,
        class_name="chat",
        service="talk",
        arrival=0.0,
        deadline=deadline,
        wait_limit_at=100.0,
        body=b"",
    )


@pytest.mark.parametrize(
    ("deadlines", "removed", "expected"),
    [
        ([3.0, 1.0, 2.0], [], "c1"),
        ([3.0, 1.0, 2.0], ["c1"], "c2"),
        ([1.0, 1.0], [], "c0"),
        ([1.0], ["c0"], None),
    ],
)
def test_earliest_deadline_is_first(
    deadlines: list[float], removed: list[str], expected: str | None
) -> None:
    """Guards against starting a removed request, or a later one first."""
    queues = RequestQueues(limit_per_organisation=10)
    for number, deadline in enumerate(deadlines):
        queues.add(build_call(number, deadline=deadline))
    for call_id in removed:
        queues.remove(call_id)
    first = queues.peek("talk", "a")
    assert (first.call_id if first else None) == expected


def test_full_queue_does_not_limit_other_organisations() -> None:
    """Guards against one organisation filling the queue of another."""
    queues = RequestQueues(limit_per_organisation=2)
    for number in range(2):
        queues.add(build_call(number, deadline=1.0))
    with pytest.raises(QueueFullError):
        queues.add(build_call(2, deadline=1.0))
    queues.add(build_call(3, deadline=1.0, organisation="b"))
    assert queues.count("talk", "b") == 1
