"""Tests of how often a router's garbage collector runs."""

from __future__ import annotations

import gc

import pytest

from sequoiamoor.daemon.router import prepare_collector

REQUESTS, OBJECTS_PER_REQUEST = 300, 60


@pytest.mark.parametrize(("rounds", "collections"), [(1, 4), (20, 4)])
def test_live_requests_are_not_collected_again_and_again(
    rounds: int, collections: int
) -> None:
    """Guards against a router that spends its time on looking for garbage.

    As many requests end as begin, so that no collection finds anything.
    """
    thresholds = gc.get_threshold()
    generations: list[int] = []

    def note(phase: str, info: dict[str, int]) -> None:
        if phase == "stop":
            generations.append(info["generation"])

    try:
        prepare_collector()
        gc.callbacks.append(note)
        live = [_build_request() for _ in range(REQUESTS)]
        for _ in range(rounds):
            for index in range(REQUESTS):
                live[index] = _build_request()
    finally:
        gc.callbacks.remove(note)
        gc.unfreeze()
        gc.set_threshold(*thresholds)
    assert len(generations) <= collections


def _build_request() -> list[list[int]]:
    return [[] for _ in range(OBJECTS_PER_REQUEST)]
