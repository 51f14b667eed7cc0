"""Control traffic and CPU time of idle router processes."""

from __future__ import annotations

import time
from typing import Any

from sequoiamoor.standin.client import wait_ready
from sequoiamoor.standin.demo import DECLARATION
from sequoiamoor.standin.launcher import Fleet, FleetPlan, UpstreamPlan, run_fleet

from .usage import read_cpu_seconds, read_resident_bytes, read_series

ZONES = ("zone-a", "zone-b", "zone-c")
SETTLE_SECONDS = 4.0


def build_plan(routers: int) -> FleetPlan:
    """Returns the plan of a fleet with few upstreams and many routers."""
    upstreams = tuple(
        UpstreamPlan(f"talk-{number}", "lane-talk", zone, "engine", 8)
        for number, zone in enumerate(ZONES)
    )
    zones = tuple(ZONES[number % len(ZONES)] for number in range(routers))
    settings = {"options": {"flat_limit": 64}}
    return FleetPlan(zones, upstreams, DECLARATION, settings)


def _sample(fleet: Fleet) -> dict[str, list[float]]:
    routers = list(fleet.routers.items())
    return {
        "bytes": [
            read_series(address, "sequoiamoor_control_bytes_total")
            for _, address in routers
        ],
        "messages": [
            read_series(address, "sequoiamoor_control_messages_total")
            for _, address in routers
        ],
        "cpu": [read_cpu_seconds(fleet.processes[name].pid) for name, _ in routers],
    }


def measure_fleet(routers: int, *, seconds: float) -> dict[str, Any]:
    """Runs an idle fleet and returns the mean figures of one router."""
    with run_fleet(build_plan(routers)) as fleet:
        for router in fleet.routers.values():
            wait_ready(router, timeout=60.0)
        time.sleep(SETTLE_SECONDS)
        began, before = time.monotonic(), _sample(fleet)
        time.sleep(seconds)
        elapsed, after = time.monotonic() - began, _sample(fleet)
        resident = [
            read_resident_bytes(fleet.processes[name].pid) for name in fleet.routers
        ]
    rates = {
        name: sum(
            last - first for first, last in zip(before[name], after[name], strict=True)
        )
        / len(fleet.routers)
        / elapsed
        for name in before
    }
    return {
        "routers": routers,
        "seconds": elapsed,
        "bytes_per_second": rates["bytes"],
        "messages_per_second": rates["messages"],
        "cpu_percent": rates["cpu"] * 100,
        "resident_bytes": max(resident),
    }
