"""Tests of the state in which an organisation last gave way."""

from __future__ import annotations

import pytest

from sequoiamoor.core.choices import Choices
from sequoiamoor.core.fairness import OrganisationView, ServiceView
from sequoiamoor.core.start_limits import OrganisationLoad

LOAD = OrganisationLoad(100.0, 25.0, 0, 0, 10.0)


def build_view(**waiting: int) -> ServiceView:
    """Returns a view of organisations with the given keys and waiting requests."""
    organisations = {
        name: OrganisationView(float(key), 0.0, count, 0, 0.0, 0.0)
        for key, (name, count) in enumerate(waiting.items())
    }
    return ServiceView(organisations, 10, 0.0, 1.0, 1.0)


@pytest.mark.parametrize(
    ("waiting", "lowest", "lead", "total"),
    [
        ({"a": 1, "b": 2}, "a", 1.0, 3),
        ({"a": 1, "b": 0}, "a", 1.0, 1),
        ({"a": 1, "b": -1}, "a", 1.0, 1),
        ({"a": 0, "b": 0}, "b", 0.0, 0),
    ],
)
def test_organisation_whose_request_came_after_the_view_is_described(
    waiting: dict[str, int], lowest: str, lead: float, total: int
) -> None:
    """Guards against an exception while a choice is described for the log."""
    choices = Choices()
    choices.record_held_back("b", build_view(**waiting), 3, LOAD)
    state = choices.describe_held_back()
    assert state is not None
    assert (state.lowest, state.lead, state.waiting) == (lowest, lead, total)
    assert state.own_fraction == 0.25


def test_nothing_is_described_without_a_choice_against_an_organisation() -> None:
    """Guards against a line that needs what was not recorded."""
    choices = Choices()
    assert choices.describe_held_back() is None
    choices.record_held_back("gone", build_view(a=1), 3, LOAD)
    assert choices.describe_held_back() is None
