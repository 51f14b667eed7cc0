"""Tests of the budget of file descriptors."""

from __future__ import annotations

import dataclasses
import json
import resource
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sequoiamoor.commands.checks import check_file
from sequoiamoor.core.descriptors import (
    MIN_CONNECTIONS,
    DescriptorBudget,
    build_wanted_budget,
    fit_budget,
)
from sequoiamoor.errors import SettingsError
from sequoiamoor.options import Options
from sequoiamoor.settings import GatewaySettings

PLATFORM_LIMIT = 4_100
UPSTREAMS = Options.model_validate({}).upstream_connections
ANY_PORT = "127.0.0.1:0"


def build(
    callers: int, upstreams: int = UPSTREAMS, *, is_on_platform: bool = True
) -> DescriptorBudget:
    return build_wanted_budget(
        callers=callers, upstreams=upstreams, is_on_platform=is_on_platform
    )


def test_default_budget_fits_on_the_platform() -> None:
    """Guards against defaults that the platform's limit cannot hold."""
    gateway = GatewaySettings.model_validate({"ready": ANY_PORT, "metrics": ANY_PORT})
    budget = build(gateway.connections)
    assert budget.total == sum(dataclasses.astuple(budget)) <= PLATFORM_LIMIT
    assert fit_budget(budget, PLATFORM_LIMIT) == budget
    assert budget.files == 200


@given(
    callers=st.integers(16, 100_000),
    upstreams=st.integers(16, 100_000),
    limit=st.integers(1, 200_000),
    is_on_platform=st.booleans(),
)
def test_fitted_budget_is_within_the_limit_or_refused(
    callers: int, upstreams: int, limit: int, is_on_platform: bool
) -> None:
    """Guards against parts that together exceed the limit, or that grow."""
    wanted = build(callers, upstreams, is_on_platform=is_on_platform)
    try:
        budget = fit_budget(wanted, limit)
    except SettingsError:
        return
    assert budget.total <= limit
    assert min(budget.callers, budget.refusals, budget.upstreams) >= MIN_CONNECTIONS
    for name, count in budget.to_parts().items():
        assert count <= wanted.to_parts()[name]
    for name in ("store", "pages", "files", "own"):
        assert budget.to_parts()[name] == wanted.to_parts()[name]
    assert (budget == wanted) == (wanted.total <= limit)


@pytest.mark.parametrize("limit", [1, 100, 344, 500])
def test_limit_that_is_too_low_names_sum_and_remedy(limit: int) -> None:
    """Guards against a router that starts and then cannot open a connection."""
    with pytest.raises(
        SettingsError, match=r"= 4100; raise the limit .*ulimit -n"
    ) as e:
        fit_budget(build(2_000), limit)
    assert f"may open {limit} " in str(e.value)


@pytest.mark.parametrize(
    ("descriptors", "expected"),
    [
        (4_100, "= 4100, limit 4100"),
        (2_000, "limit 2000: connections are reduced; wanted: callers 2000 "),
    ],
)
def test_check_prints_the_sum(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    descriptors: int,
    expected: str,
) -> None:
    """Guards against limits of which operators learn only when a router is full."""
    monkeypatch.setattr(resource, "getrlimit", lambda _: (10_000, 10_000))
    settings = {
        "router_id": "router-0",
        "zone": "zone-a",
        "http": ANY_PORT,
        "control": ANY_PORT,
        "platform": ANY_PORT,
        "descriptors": descriptors,
        "gateway": {"ready": ANY_PORT, "metrics": ANY_PORT},
    }
    path = tmp_path / "router.json"
    path.write_text(json.dumps(settings), encoding="utf-8")
    kind, note = check_file(path)
    assert kind == "settings"
    assert note is not None
    assert expected in note
