"""Tests of the platform's VM list and of load reports with odd entries."""

from __future__ import annotations

import json
import logging
from random import Random
from typing import Any

import curio
import pytest

from sequoiamoor.core.blackboard import create_blackboard
from sequoiamoor.core.upstreams import Replica
from sequoiamoor.daemon import pollers
from sequoiamoor.errors import PlatformUnavailableError
from sequoiamoor.net import platform
from sequoiamoor.net.http import Response
from sequoiamoor.options import Options
from sequoiamoor.types import Address, RouterIdentity

VM = {
    "id": "engine-1",
    "role": "upstream",
    "zone": "a",
    "address": "10.0.0.9",
    "port": 8042,
    "service": "talk",
}
LOAD = {
    "incarnation": 7,
    "slots": 4,
    "running": 1,
    "queued": 0,
    "token_rate": 10.5,
    "leaving": False,
}


def replace_exchange(monkeypatch: pytest.MonkeyPatch, module: Any, body: str) -> None:
    async def answer(*arguments: Any, **options: Any) -> tuple[Response, bytes]:
        return Response(200, {}, []), body.encode()

    monkeypatch.setattr(module, "exchange", answer)


def list_vms() -> platform.VmList:
    client = platform.PlatformClient(Address("10.0.0.1", 80), timeout=1.0)
    return curio.run(client.list_vms)  # type: ignore[no-any-return]


@pytest.mark.parametrize(
    "change",
    [
        {"port": 0},
        {"port": 65_536},
        {"port": 10**300},
        {"control_port": -1},
        {"address": "engine.example"},
        {"address": "10.0.0.9\0"},
        {"address": "\ud800"},
        {"id": "a\r\nb"},
        {"id": "\ud800"},
        {"id": "i" * 300},
        {"service": ""},
        {"zone": "z" * 100_000},
        {"role": []},
    ],
)
def test_odd_vm_leaves_the_others_in_force(
    change: dict[str, Any],
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against one odd entry that hides the list or ends the poll."""
    others = [{**VM, "id": "engine-0"}, {**VM, "id": "engine-2"}]
    vms = [others[0], {**VM, **change}, others[1], None, 7]
    replace_exchange(monkeypatch, platform, json.dumps({"as_of": 5.0, "vms": vms}))
    with caplog.at_level(logging.WARNING):
        assert [vm.id for vm in list_vms().vms] == ["engine-0", "engine-2"]
    assert len(caplog.records) == 1 and len(caplog.records[0].detail) < 500  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    "body",
    [
        "[" * 100_000,
        '{"as_of": 1e999, "vms": []}',
        '{"as_of": NaN, "vms": []}',
        '{"as_of": 1e300, "vms": []}',
        '{"as_of": 1, "vms": {}}',
        '{"as_of": %s, "vms": []}' % ("9" * 5_000),
    ],
)
def test_unreadable_list_counts_as_unavailable(
    body: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an exception that ends the poll of the platform."""
    replace_exchange(monkeypatch, platform, body)
    with pytest.raises(PlatformUnavailableError):
        list_vms()


@pytest.mark.parametrize(
    "change",
    [
        '"slots": 1%s' % ("0" * 300),
        '"slots": 1e999',
        '"slots": -1',
        '"running": 1%s' % ("0" * 300),
        '"queued": %s' % ("9" * 5_000),
        '"incarnation": 1%s' % ("0" * 30),
        '"token_rate": NaN',
        '"token_rate": 1e999',
        '"token_rate": 1%s' % ("0" * 400),
        '"more": %s' % ("[" * 100_000),
    ],
)
def test_odd_load_report_is_ignored(
    change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against numbers that break decisions and messages to peers."""
    board = create_blackboard(
        RouterIdentity("router-0", 1, "a"), Options.model_validate({})
    )
    replica = Replica("engine-1", "talk", "a", Address("10.0.0.9", 8042))
    board.upstreams.replicas["engine-1"] = replica
    shared: list[Any] = []

    class Control:
        def share_load(self, *row: Any) -> None:
            shared.append(row)

    poller = pollers.Pollers(board, None, Control(), rng=Random(1))  # type: ignore[arg-type]
    for body, reports in ((json.dumps(LOAD), 1), (json.dumps(LOAD), 2)):
        replace_exchange(monkeypatch, pollers, body)
        curio.run(poller._poll_load, replica, {})
        assert len(shared) == reports
    replace_exchange(monkeypatch, pollers, f"{json.dumps(LOAD)[:-1]}, {change}}}")
    failures: dict[str, int] = {}
    curio.run(poller._poll_load, replica, failures)
    assert len(shared) == 2 and failures == {"engine-1": 1}
