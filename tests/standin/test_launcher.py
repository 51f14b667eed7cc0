"""Tests of the launcher, with real processes."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path

import curio
import pytest

from sequoiamoor.standin.demo import DECLARATION, build_callers, build_plan, list_kinds
from sequoiamoor.standin.launcher import LaunchError, run_fleet
from sequoiamoor.standin.load import run_load

pytestmark = pytest.mark.processes

_HOLD_FLEET = """
import time
from sequoiamoor.standin.demo import build_plan
from sequoiamoor.standin.launcher import run_fleet
with run_fleet(build_plan()) as fleet:
    print(*[process.pid for process in fleet.processes.values()], flush=True)
    time.sleep(600)
"""


def test_demonstration_serves_every_request_whole() -> None:
    """Guards against a fleet that does not start, answer or end."""
    with run_fleet(build_plan()) as fleet:
        fleet.wait_ready(timeout=60.0)
        processes = list(fleet.processes.values())
        plans = build_callers(fleet, requests=6)
        kinds = list_kinds(DECLARATION)
        results = curio.run(lambda: run_load(plans, kinds, seed=1))
    assert [(result.organisation, result.whole) for result in results] == [
        (result.organisation, result.requests) for result in results
    ]
    assert sum(result.tokens for result in results) > 0
    assert all(process.poll() is not None for process in processes)


def test_router_that_does_not_start_gives_its_log() -> None:
    """Guards against a failed start whose error does not show the log."""
    plan = replace(build_plan(), router_settings={"policy": "none-such"})
    with run_fleet(plan) as fleet, pytest.raises(LaunchError, match="none-such"):
        fleet.wait_ready(timeout=60.0)


def test_killed_router_starts_again_on_its_ports() -> None:
    """Guards against a restart that fails because another process took the port."""
    plan = replace(build_plan(), zones=("zone-a",), upstreams=())
    with run_fleet(plan) as fleet:
        fleet.wait_ready(timeout=60.0)
        first = fleet.processes["router-0"]
        fleet.kill("router-0")
        assert first.returncode == -signal.SIGKILL
        fleet.start_router("router-0")
        fleet.wait_ready(timeout=60.0)
        assert fleet.processes["router-0"].pid != first.pid


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_signal_to_the_launcher_leaves_no_process(
    number: signal.Signals, tmp_path: Path
) -> None:
    """Guards against processes that outlive their launcher."""
    launcher = subprocess.Popen(
        [sys.executable, "-c", _HOLD_FLEET],
        stdout=subprocess.PIPE,
        env={**os.environ, "TMPDIR": str(tmp_path)},
    )
    try:
        assert launcher.stdout is not None
        pids = [int(pid) for pid in launcher.stdout.readline().split()]
        assert len(pids) == 8
        launcher.send_signal(number)
        assert launcher.wait(60) == 128 + number
        launcher.stdout.close()
    finally:
        if launcher.poll() is None:
            launcher.terminate()
            launcher.wait(60)
    end = time.monotonic() + 60
    while any(Path(f"/proc/{pid}").exists() for pid in pids):
        assert time.monotonic() < end, "processes are left"
        time.sleep(0.05)
    assert list(tmp_path.iterdir()) == []
