"""Tests of an order whose process is stopped after it acquired the lease."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from sequoiamoor.standin.client import fetch
from sequoiamoor.standin.launcher import Fleet, FleetPlan, UpstreamPlan, run_fleet
from sequoiamoor.standin.processes import end_processes

pytestmark = pytest.mark.processes

ROOT = Path(__file__).resolve().parents[2]
END_SECONDS = 30.0


def build_plan(*, checks_fencing: bool) -> FleetPlan:
    option = "--fencing" if checks_fencing else "--no-fencing"
    return FleetPlan(
        zones=(),
        upstreams=(UpstreamPlan("talk-0", "talk", "zone-a", "engine", 4, (option,)),),
        declaration={
            "organisations": {},
            "classes": {},
            "services": {"talk": {"kind": "engine", "checks_fencing": checks_fencing}},
        },
    )


def start_order(fleet: Fleet, wanted: str, *, stop_at: str) -> subprocess.Popen[str]:
    module = "tests.commands.stopping_order"
    order = ["order", "talk-0", "load-model", f'"{wanted}"']
    options = ["--platform", str(fleet.platform), "--wait", "30"]
    return subprocess.Popen(
        [sys.executable, "-m", module, stop_at, *order, *options],
        cwd=ROOT,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )


def read_orders(fleet: Fleet) -> list[Any]:
    counts = fetch(fleet.upstreams["talk-0"], "GET", "/admin/counts")[1]
    return [order["wanted"] for order in counts["orders"]]


@pytest.mark.parametrize(
    ("checks_fencing", "stop_at", "codes"),
    [
        (True, "leased", {"lease-lost"}),
        (True, "connected", {"lease-lost"}),
        # The order is sent after the check, so only its fencing number shows that it is
        # outdated. The answer may time out before the refusal is read.
        (True, "checked", {"order-refused", "order-unknown"}),
        (False, "leased", {"lease-lost"}),
        (False, "connected", {"lease-lost"}),
        # The timer of the guard ends the process before it can send the order.
        (False, "guarded", set()),
        (False, "checked", set()),
    ],
)
def test_order_of_a_stopped_process_is_not_applied_later(
    checks_fencing: bool, stop_at: str, codes: set[str]
) -> None:
    """Guards against an earlier order that undoes a later one.

    The first sender is stopped until its lease has expired and a second order was
    accepted, and then continues.
    """
    processes = []
    with run_fleet(build_plan(checks_fencing=checks_fencing)) as fleet:
        try:
            first = start_order(fleet, "model-early", stop_at=stop_at)
            processes.append(first)
            _, status = os.waitpid(first.pid, os.WUNTRACED)
            assert os.WIFSTOPPED(status)
            lease = fetch(fleet.platform, "GET", "/table/leases/orders-talk-0")[1]
            assert lease["value"]["held"] is True
            # The second sender waits for the durations of the lease and of an order.
            second = start_order(fleet, "model-late", stop_at="never")
            processes.append(second)
            _, errors = second.communicate(timeout=END_SECONDS)
            assert second.returncode == 0, errors
            assert read_orders(fleet) == ["model-late"]
            first.send_signal(signal.SIGCONT)
            _, errors = first.communicate(timeout=END_SECONDS)
            assert read_orders(fleet) == ["model-late"]
            if codes:
                assert first.returncode == 1
                assert errors.splitlines()[-1].partition(":")[0] in codes, errors
            else:
                assert first.returncode == -signal.SIGALRM
        finally:
            end_processes([process for process in processes if process.poll() is None])
