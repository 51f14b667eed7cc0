"""The demonstration: a small fleet, a bounded load, a table of results."""

from __future__ import annotations

from typing import Any

import curio

from .client import wait_ready
from .launcher import FleetPlan, UpstreamPlan, run_fleet
from .load import CallerPlan, run_load, summarise

READY_TIMEOUT_SECONDS = 20.0

DECLARATION: dict[str, dict[str, dict[str, Any]]] = {
    "organisations": {
        "league-captains": {"title": "League captains"},
        "alley-owners": {"title": "Alley owners"},
        "grant-partners": {"title": "Grant partners"},
    },
    "classes": {
        "chat": {"first_token_ms": 800},
        "summary": {"complete_ms": 60_000},
        "booking": {"complete_ms": 5_000},
    },
    "services": {
        "lane-talk": {"kind": "engine"},
        "lane-desk": {"kind": "plain", "repeatable": False},
    },
}


def build_plan() -> FleetPlan:
    """Returns the fleet of the demonstration."""
    upstreams = tuple(
        UpstreamPlan(f"talk-{number}", "lane-talk", zone, "engine", 8)
        for number, zone in enumerate(("zone-a", "zone-a", "zone-b"))
    ) + (UpstreamPlan("desk-0", "lane-desk", "zone-b", "service", 4),)
    return FleetPlan(
        zones=("zone-a", "zone-a", "zone-b"),
        upstreams=upstreams,
        declaration=DECLARATION,
    )


def run_demo(*, seed: int = 1) -> int:
    """Runs the demonstration and returns 0 if every answer was whole and its own."""
    with run_fleet(build_plan()) as fleet:
        routers = tuple(fleet.routers.values())
        for router in routers:
            wait_ready(router, timeout=READY_TIMEOUT_SECONDS)
        services = ("lane-talk", "lane-talk", "lane-desk")
        plans = [
            CallerPlan("league-captains", "chat", 8, 60, routers[:1], services),
            CallerPlan("alley-owners", "chat", 8, 60, routers, services),
            CallerPlan("grant-partners", "summary", 8, 60, routers[1:], services),
        ]
        kinds = {
            name: service["kind"] for name, service in DECLARATION["services"].items()
        }
        results = curio.run(lambda: run_load(plans, kinds, seed=seed))
    print(
        f"{'organisation':<18}{'requests':>9}{'whole':>7}{'refused':>8}{'tokens':>8}"
        f"{'share':>7}{'p50 ms':>8}{'p95 ms':>8}"
    )
    for row in summarise(results):
        print(
            f"{row['organisation']:<18}{row['requests']:>9}{row['whole']:>7}"
            f"{row['refused']:>8}{row['tokens']:>8}{row['share']:>7.1%}"
            f"{row['p50_ms']:>8}{row['p95_ms']:>8}"
        )
    for result in results:
        for fault in result.faults[:5]:
            print(f"fault: {result.organisation}: {fault}")
    return 0 if all(result.whole == result.requests for result in results) else 1
