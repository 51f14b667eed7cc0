"""Tests of the figures and the checks of the fairness benchmark."""

from __future__ import annotations

import pytest

from benchmarks.fairness_figures import Run
from benchmarks.fairness_fleet import count_reachable, list_cut_zones
from benchmarks.fairness_report import check_goals
from benchmarks.measures import (
    LoadSample,
    check_at_least,
    check_at_most,
    compute_gaps,
    compute_percentile,
    compute_reachable_utilisation,
    compute_utilisation,
)
from benchmarks.workload import build_load, list_organisations
from sequoiamoor.types import Address


@pytest.mark.parametrize(
    ("units", "expected"),
    [
        ({"a": [5, 10, 30], "b": [0, 8, 10]}, [0, 3, 15]),
        ({"a": [0, 1], "b": [0, 4], "c": [7, 9]}, [0, 3]),
        ({"a": [0, 1]}, []),
    ],
)
def test_gap_is_the_spread_since_the_first_sample(
    units: dict[str, list[float]], expected: list[float]
) -> None:
    """Guards against a gap that includes the service of the warm-up."""
    assert compute_gaps(units) == expected


@pytest.mark.parametrize(
    ("values", "percent", "expected"),
    [([], 99, None), ([3, 1, 2], 50, 2), ([1, 2], 99, 2), ([1, 2], 0, 1)],
)
def test_percentile(
    values: list[float], percent: float, expected: float | None
) -> None:
    """Guards against an index beyond the values."""
    assert compute_percentile(values, percent) == expected


@pytest.mark.parametrize(
    ("waiting", "only", "expected"),
    [
        ((1, 1, 1), True, 0.75),
        ((1, 1, 0), True, 1.0),
        ((1, 0, 1), True, None),
        ((0, 0, 0), False, 0.75),
    ],
)
def test_utilisation_counts_only_while_work_waits(
    waiting: tuple[int, int, int], only: bool, expected: float | None
) -> None:
    """Guards against counting idle time without waiting work as wasted capacity."""
    samples = [
        LoadSample(count, busy, (time, time), (2, 2))
        for count, busy, time in zip(
            waiting, ((0, 0), (2, 2), (4, 2)), (0, 1, 2), strict=True
        )
    ]
    assert compute_utilisation(samples, only_while_waiting=only) == expected


def test_utilisation_in_a_partition_counts_reachable_engines_only() -> None:
    """Guards against counting engines as idle that no waiting work can reach."""
    waiting = {"router-0": 0.0, "router-3": 2.0}
    whole, cut = (count_reachable(waiting, is_cut=one) for one in (False, True))
    assert whole == [2.0] * 10
    assert cut == [0.0] * 3 + [2.0] * 3 + [0.0] * 4
    samples = [
        LoadSample(2, (0.0,) * 9 + (2.0 * at,), (at,) * 10, (2,) * 10, tuple(counts))
        for at, counts in ((0.0, whole), (1.0, whole), (2.0, cut))
    ]
    assert compute_reachable_utilisation(samples, [0, 9]) == 0.5
    assert compute_reachable_utilisation(samples, [3, 9]) == pytest.approx(1 / 3)


@pytest.mark.parametrize(
    ("value", "most", "least"),
    [(1.0, True, False), (2.0, True, True), (3.0, False, True), (None, None, None)],
)
def test_missing_figure_is_neither_met_nor_missed(
    value: float | None, most: bool | None, least: bool | None
) -> None:
    """Guards against a goal that is reported as met without a measurement."""
    assert check_at_most("x", value, 2.0).is_met is most
    assert check_at_least("x", value, 2.0).is_met is least


@pytest.mark.parametrize(
    ("gap", "local_gap", "invalid", "expected"),
    [
        (100.0, 2000.0, [], [True, True]),
        (100.0, 500.0, [], [True, False]),
        (90_000.0, 2000.0, [], [False, False]),
        (100.0, 2000.0, ["load process busy"], [None, None]),
    ],
)
def test_checks_use_valid_runs_only(
    gap: float, local_gap: float, invalid: list[str], expected: list[bool | None]
) -> None:
    """Guards against goals that are checked with the figures of an invalid run."""
    runs = [
        Run(policy, "steady", 1, 1.0, "X", invalid=invalid, figures={"gap_units": one})
        for policy, one in (("arbitrated", gap), ("local-fair", local_gap))
    ]
    checks = check_goals(runs, policy="arbitrated")
    assert [check.is_met for check in checks[:2]] == expected


@pytest.mark.parametrize("is_flooded", [False, True])
def test_each_organisation_belongs_to_one_load_process(is_flooded: bool) -> None:
    """Guards against lost samples: merging keeps one process per organisation."""
    routers = [Address("127.0.1.1", number) for number in range(8)]
    groups = build_load(routers, capacity=6_000.0, is_flooded=is_flooded)
    owners = [{plan.organisation for plan in plans} for plans in groups]
    assert sorted(name for names in owners for name in names) == sorted(
        list_organisations()
    )


@pytest.mark.parametrize(
    ("zone", "expected"),
    [
        ("zone-a", ["zone-b"]),
        ("zone-b", ["zone-a", "zone-c"]),
        ("zone-c", ["zone-b"]),
    ],
)
def test_partition_cuts_both_directions(zone: str, expected: list[str]) -> None:
    """Guards against a partition in which one side still reaches the other."""
    assert list_cut_zones(zone) == expected
