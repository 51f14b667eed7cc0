"""Tests of replicas whose entries are removed, expire or reappear."""

from __future__ import annotations

import pytest

from sequoiamoor.core.directory import EXPIRED_ENTRY_GRACE_SECONDS, UpstreamDirectory
from sequoiamoor.core.upstreams import ListedUpstream, LoadReport, Upstreams
from sequoiamoor.options import Options
from sequoiamoor.types import Address

ADDRESS = Address("10.0.0.1", 8042)


def put(directory: UpstreamDirectory, *, born: int = 1, leaving: bool = False) -> bool:
    listed = ListedUpstream("i-1", "talk", "a", ADDRESS, leaving)
    load = LoadReport(born, 24, 0, 0, 0.0, leaving)
    return directory.put(listed, load, 1.0)


def build_directory() -> UpstreamDirectory:
    directory = UpstreamDirectory(Upstreams(Options.model_validate({})))
    put(directory)
    return directory


@pytest.mark.parametrize(
    ("has_outage", "answers", "is_kept"),
    [(False, 0, False), (True, 0, True), (True, 1, False)],
)
def test_only_entries_that_expired_in_an_outage_may_reappear(
    has_outage: bool, answers: int, is_kept: bool
) -> None:
    """Guards against work for replicas that left and against a fleet without replicas.

    During an outage of the store the entries of live replicas expire, and the first
    answer afterwards lists them as removed.
    """
    directory = build_directory()
    if has_outage:
        directory.record_outage()
    for _ in range(answers):
        directory.record_answer()
    directory.remove("i-1", 10.0)
    assert ("i-1" in directory.upstreams.replicas) is is_kept
    directory.step(10.0 + EXPIRED_ENTRY_GRACE_SECONDS)
    assert not directory.upstreams.replicas


def test_entry_that_reappeared_stays() -> None:
    """Guards against removing a replica whose entry reappeared in time."""
    directory = build_directory()
    directory.record_outage()
    directory.remove("i-1", 10.0)
    put(directory)
    assert directory.step(20.0) == []
    assert "i-1" in directory.upstreams.replicas


def test_leaving_flag_applies_to_one_process_only() -> None:
    """Guards against a replica that restarts under its identifier and stays unused."""
    directory = build_directory()
    assert put(directory, leaving=True)
    assert not put(directory, leaving=False)
    replica = directory.upstreams.replicas["i-1"]
    assert replica.is_leaving
    put(directory, born=2)
    assert not replica.is_leaving


def test_removed_replica_is_unavailable_to_earlier_lists() -> None:
    """Guards against starting a request at a replica that was removed.

    A list of replicas that was made before still holds the removed replica.
    """
    directory = build_directory()
    replica = directory.upstreams.replicas["i-1"]
    directory.remove("i-1", 10.0)
    assert not replica.is_available(10.0)
