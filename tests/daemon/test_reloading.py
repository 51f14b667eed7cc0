"""Tests of reloading the settings file while a router runs."""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import curio
import pytest

from sequoiamoor.core.drain import DrainEndReason
from sequoiamoor.daemon.gateway import KEY_AGE_LIMIT_FRACTION, Gateway
from sequoiamoor.daemon.reloading import SettingsFile
from sequoiamoor.settings import read_settings

SETTINGS: dict[str, Any] = {
    "router_id": "router-0",
    "zone": "zone-a",
    "policy": "shared-load",
    "http": "127.0.0.1:0",
    "control": "127.0.0.1:0",
    "platform": "127.0.0.1:1",
    "gateway": {
        "ready": "127.0.0.1:0",
        "metrics": "127.0.0.1:0",
        "repeats": {"ratio": 0.2, "window": 10, "extra": 56},
        "revocation_limit": 5.0,
        "grace": 8,
    },
}


def write(path: Path, **changes: Any) -> None:
    """Writes the settings with changed fields; those of the gateway are merged."""
    if changes.get("gateway"):
        changes["gateway"] = {**SETTINGS["gateway"], **changes["gateway"]}
    path.write_text(json.dumps({**SETTINGS, **changes}))


@pytest.fixture
def path(tmp_path: Path) -> Path:
    path = tmp_path / "settings.json"
    write(path)
    return path


def build_gateway(path: Path) -> Gateway:
    settings = read_settings(path)
    assert settings.gateway is not None
    return Gateway(
        settings, settings.gateway, settings_file=SettingsFile(path, settings)
    )


def test_changed_settings_apply_without_a_restart(path: Path) -> None:
    """Guards against a router that keeps the settings from its start."""
    gateway = build_gateway(path)
    write(
        path,
        gateway={
            "repeats": {"ratio": 0.1, "window": 5, "extra": 8},
            "revocation_limit": 2.0,
            "grace": 4,
            "busy_fraction": 0.25,
        },
        limits={"header_bytes": 2_048},
    )
    gateway._reload_settings("test")
    assert gateway._handoffs.limit.busy_fraction == 0.25
    assert gateway._repeat_budget.limits.extra == 8
    assert gateway._freshness.limit == pytest.approx(2.0 * KEY_AGE_LIMIT_FRACTION)
    assert gateway._options.drain_limit < 4.0
    assert gateway._listener.base_limits.header_bytes == 2_048


@pytest.mark.parametrize(
    "content",
    ["", "{", "[]", json.dumps({**SETTINGS, "zone": "Ä"}), json.dumps({"zone": "a"})],
)
def test_invalid_settings_file_changes_nothing(path: Path, content: str) -> None:
    """Guards against a router that exits or loses its limits over an invalid file."""
    file = SettingsFile(path, read_settings(path))
    before = file.settings
    path.write_text(content)
    assert file.is_changed()
    assert file.reload("test") is None
    assert file.settings == before
    assert not file.is_changed()


@pytest.mark.parametrize(
    "changes",
    [
        {"router_id": "router-9"},
        {"policy": "least-load"},
        {"http": "127.0.0.1:9"},
        {"options": {"report_interval": 1.0}},
        {"gateway": {"metrics": "127.0.0.1:9"}},
        {"gateway": None},
    ],
)
def test_fields_that_need_a_restart_keep_their_values(
    path: Path, changes: dict[str, Any]
) -> None:
    """Guards against settings that differ from what the router does.

    For example, it would announce a new address on which it does not listen.
    """
    file = SettingsFile(path, read_settings(path))
    before = file.settings
    write(path, **changes)
    assert file.reload("test") is None
    assert file.settings == before


class _Signals:
    """A signal watch that returns the given signals in order."""

    def __init__(self, numbers: Iterator[signal.Signals]) -> None:
        self._numbers = numbers

    async def wait(self) -> int:
        number = next(self._numbers, None)
        if number is None:
            await curio.sleep(60.0)
        assert number is not None
        return number


def test_sighup_does_not_end_a_drain_early(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a SIGHUP that counts as a second stop signal."""
    gateway = build_gateway(path)
    gateway._options = gateway._options.model_copy(update={"drain_announce_time": 0.0})
    in_service_counts = iter([1, 1, 1, 1])
    monkeypatch.setattr(
        gateway, "_count_in_service", lambda: next(in_service_counts, 0)
    )
    signals = _Signals(iter([signal.SIGHUP, signal.SIGHUP]))
    end = curio.run(gateway._drain, signals)
    assert end is DrainEndReason.IDLE
    assert next(in_service_counts, None) is None
