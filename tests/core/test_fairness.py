"""Tests of the choice of organisations and of cost estimates."""

from __future__ import annotations

import pytest

from sequoiamoor.core.fairness import (
    COST_SMOOTHING_WEIGHT,
    DEFAULT_COST_UNITS,
    CostEstimates,
    OrganisationView,
    ServiceView,
    choose_organisation,
    may_use_slot,
)
from sequoiamoor.types import CallRequest

OrganisationRow = tuple[float, int, int, float, float]


def build_view(**rows: OrganisationRow) -> ServiceView:
    """Builds a view from rows of key, waiting, running, deadline and average slots."""
    organisations = {
        name: OrganisationView(key, 10.0, waiting, running, deadline, average)
        for name, (key, waiting, running, deadline, average) in rows.items()
    }
    return ServiceView(organisations, 12, 50.0, 1.5, 0.5)


@pytest.mark.parametrize(
    ("rows", "candidates", "expected"),
    [
        # Beyond the allowed gap of 50, the lowest key comes first.
        ({"x": (0, 1, 4, 99, 4), "y": (51, 1, 4, 20, 4)}, "xy", "x"),
        # Within the gap, the earliest deadline that has not passed (now is 10).
        ({"x": (0, 1, 4, 99, 4), "y": (50, 1, 4, 20, 4)}, "xy", "y"),
        ({"x": (0, 1, 4, 99, 4), "y": (50, 1, 4, 9, 4)}, "xy", "x"),
        # At the cap of 9 of 12 slots, not chosen unless no other organisation waits.
        ({"x": (0, 1, 9, 99, 9), "y": (900, 1, 3, 20, 3)}, "xy", "y"),
        ({"x": (0, 1, 9, 99, 9), "y": (900, 0, 3, 20, 3)}, "x", "x"),
        # Below the floor of 3 slots, chosen despite the higher key.
        ({"x": (0, 1, 6, 99, 6), "y": (900, 1, 1, 99, 1)}, "xy", "y"),
        ({"x": (0, 1, 6, 99, 6)}, "", None),
    ],
)
def test_organisation_is_chosen_by_cap_floor_key_and_deadline(
    rows: dict[str, OrganisationRow], candidates: str, expected: str | None
) -> None:
    """Guards against a wrong order of precedence of cap, floor, key and deadline."""
    assert choose_organisation(candidates, build_view(**rows), 10.0) == expected


@pytest.mark.parametrize(
    ("key", "is_granted", "expected"),
    [(50, False, True), (51, False, False), (150, True, True), (151, True, False)],
)
def test_slot_is_used_only_near_the_lowest_key(
    key: float, is_granted: bool, expected: bool
) -> None:
    """Guards against an organisation with a high key that keeps its slots."""
    view = build_view(x=(0, 1, 4, 99, 4), y=(key, 1, 4, 99, 4))
    assert may_use_slot("y", view, is_granted=is_granted) is expected


@pytest.mark.parametrize(
    ("service", "organisation", "expected"),
    [
        ("talk", "x", 110.0),
        ("talk", "y", 110.0),
        ("other", "x", DEFAULT_COST_UNITS),
    ],
)
@pytest.mark.parametrize("hint", [None, 1.0, 150.0, 1000.0])
def test_expected_cost_follows_actual_cost_not_hints(
    hint: float | None, service: str, organisation: str, expected: float
) -> None:
    """Guards against a wrong cost hint that changes what an organisation gets."""
    costs = CostEstimates()
    call = CallRequest("c", "c", "x", "chat", "talk", 0, 1, 30, b"", cost_hint=hint)
    costs.record_cost(call, 100.0)
    costs.record_cost(call, 100.0 + 10.0 / COST_SMOOTHING_WEIGHT)
    assert costs.expect(service, organisation) == pytest.approx(expected)
