"""Measures the control traffic and the CPU time of an idle fleet of 8 routers.

Run with ``python -m benchmarks.control``. Starts real processes and ends them. Bytes
are those of all messages between routers, without TCP and IP headers. CPU time is
that of the whole idle router process, and so an upper bound of the control work.
"""

from __future__ import annotations

import argparse
import time

from sequoiamoor.standin.client import wait_ready
from sequoiamoor.standin.launcher import Fleet, FleetPlan, UpstreamPlan, run_fleet

from .usage import read_cpu_seconds, read_labelled_totals, read_resident_bytes

ZONES = ("zone-a", "zone-b", "zone-c")
ROUTERS = 8
SETTLE_SECONDS = 6.0
PREFIXES = ("sequoiamoor_control_", "sequoiamoor_platform_")
LIMITS = {
    "bytes_per_second": 9_000.0,
    "cpu_share": 0.016,
    "resident_megabytes": 256.0,
    "platform_per_second": 10.0,
}


def build_plan() -> FleetPlan:
    """Returns the plan of a fleet of the size of the Pinfall Yard fleet."""
    upstreams = [
        UpstreamPlan(f"talk-{number}", "lane-talk", ZONES[number % 3], "engine", 8)
        for number in range(10)
    ] + [
        UpstreamPlan(f"desk-{number}", "lane-desk", ZONES[number], "service", 4)
        for number in range(3)
    ]
    return FleetPlan(
        zones=tuple(ZONES[number % 3] for number in range(ROUTERS)),
        upstreams=tuple(upstreams),
        declaration={
            "organisations": {f"organisation-{number}": {} for number in range(16)},
            "classes": {"chat": {"first_token_ms": 800}},
            "services": {
                "lane-talk": {"kind": "engine"},
                "lane-desk": {"kind": "plain"},
            },
        },
    )


def measure(fleet: Fleet, seconds: float) -> dict[str, float]:
    """Returns the largest figures of a router, and the load on the platform."""
    before = {
        name: read_labelled_totals(router, *PREFIXES)
        for name, router in fleet.routers.items()
    }
    cpu_seconds_before = {
        name: read_cpu_seconds(fleet.processes[name].pid) for name in fleet.routers
    }
    started = time.monotonic()
    time.sleep(seconds)
    # CPU time is read first, so that it does not include the next read of /metrics.
    cpu_seconds_used = {
        name: read_cpu_seconds(fleet.processes[name].pid) - cpu_seconds_before[name]
        for name in cpu_seconds_before
    }
    elapsed = time.monotonic() - started
    rate_sums: dict[str, list[float]] = {"bytes": [], "messages": [], "platform": []}
    for name, address in fleet.routers.items():
        rates = {
            series: (value - before[name].get(series, 0.0)) / elapsed
            for series, value in read_labelled_totals(address, *PREFIXES).items()
        }
        for kind, values in rate_sums.items():
            values.append(sum(rate for key, rate in rates.items() if kind in key))
    return {
        "bytes_per_second": max(rate_sums["bytes"]),
        "messages_per_second": max(rate_sums["messages"]),
        "cpu_share": max(cpu_seconds_used.values()) / elapsed,
        "cpu_share_mean": sum(cpu_seconds_used.values())
        / elapsed
        / len(cpu_seconds_used),
        "resident_megabytes": max(
            read_resident_bytes(fleet.processes[name].pid)
            for name in cpu_seconds_before
        )
        / 1e6,
        "platform_per_second": sum(rate_sums["platform"]),
    }


def main() -> None:
    """Prints the figures and the limits."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    seconds = parser.parse_args().seconds
    with run_fleet(build_plan()) as fleet:
        for router in fleet.routers.values():
            wait_ready(router, timeout=30.0)
        time.sleep(SETTLE_SECONDS)
        figures = measure(fleet, seconds)
    for name, value in figures.items():
        limit = f"  (limit {LIMITS[name]:g})" if name in LIMITS else ""
        print(f"{name:<22}{value:>12.4f}{limit}")


if __name__ == "__main__":
    main()
