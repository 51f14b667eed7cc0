"""Tests of the dispatcher without connections."""

from __future__ import annotations

import logging
from random import Random
from typing import Any

import curio
import pytest

from sequoiamoor.core.blackboard import Blackboard, create_blackboard
from sequoiamoor.core.choices import ChoiceCounts
from sequoiamoor.daemon.dispatcher import Dispatcher
from sequoiamoor.options import Options
from sequoiamoor.policies.round_robin import RoundRobinPolicy
from sequoiamoor.types import RouterIdentity

SERVICE = "talk"


class CountingPolicy(RoundRobinPolicy):
    """Starts nothing; the next pass has the given outcome."""

    def __init__(self) -> None:
        super().__init__(rng=Random(1))
        self.outcome: dict[str, int] = {}

    def choose_start(self, board: Blackboard, service: str, now: float) -> None:
        counts = board.choices.counts
        counts.passes += 1
        for name, count in self.outcome.items():
            setattr(counts, name, getattr(counts, name) + count)


@pytest.mark.parametrize(
    ("outcomes", "lines", "subtractions"),
    [
        ([{"starts": 1}] * 3, [], 0),
        ([{"starts": 1}, {"unplaced": 2}], [{"passes": 2, "unplaced": 2}], 1),
        ([{"full": 1}, {"full": 1}], [{"passes": 1, "full": 1}], 1),
    ],
)
def test_counts_are_compared_only_for_a_line(
    outcomes: list[dict[str, int]],
    lines: list[dict[str, int]],
    subtractions: int,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against copies of all counts for each arrival, first event and end.

    The line tells what left calls waiting, once a second at most.
    """
    board = create_blackboard(
        RouterIdentity("router-0", 1, "zone-a"), Options.model_validate({})
    )
    policy = CountingPolicy()
    dispatcher = Dispatcher(board, policy)
    subtract = ChoiceCounts.subtract
    subtracted: list[ChoiceCounts] = []

    def note_subtraction(counts: ChoiceCounts, earlier: ChoiceCounts) -> ChoiceCounts:
        subtracted.append(earlier)
        return subtract(counts, earlier)

    monkeypatch.setattr(ChoiceCounts, "subtract", note_subtraction)
    caplog.set_level(logging.INFO)
    for outcome in outcomes:
        policy.outcome = outcome
        curio.run(dispatcher.dispatch, SERVICE)
    found: list[dict[str, Any]] = [
        record.__dict__["choices"]
        for record in caplog.records
        if record.message == "calls were left waiting"
    ]
    assert [
        {name: line[name] for name in wanted}
        for line, wanted in zip(found, lines, strict=True)
    ] == lines
    assert len(subtracted) == subtractions
