"""The fleet that the fairness benchmark runs, and the names of its scenarios."""

from __future__ import annotations

from collections.abc import Mapping

from sequoiamoor.standin.launcher import FleetPlan, UpstreamPlan

from .workload import list_organisations

POLICIES = ("round-robin", "least-load", "local-fair", "arbitrated")
SCENARIOS = ("steady", "flood", "partition", "platform-out", "router-killed")
ROUTER_ZONES = ("zone-a",) * 3 + ("zone-b",) * 3 + ("zone-c",) * 2
ENGINE_ZONES = ("zone-a",) * 3 + ("zone-b",) * 3 + ("zone-c",) * 4
SERVICE_ZONES = ("zone-a", "zone-b", "zone-c")
CUT_ZONE = "zone-b"
KILLED_ROUTER = "router-7"
ENGINE_SLOTS = 24
TOKEN_INTERVAL_SECONDS = 0.04

CLASSES: dict[str, dict[str, int]] = {
    "chat": {"first_token_ms": 800},
    "summary": {"first_token_ms": 5_000},
    "booking": {"complete_ms": 5_000},
}


def build_plan(policy: str, *, seed: int) -> FleetPlan:
    """Returns the plan of a fleet of 8 routers, 10 engines and 3 plain services."""
    engines = tuple(
        UpstreamPlan(
            f"talk-{number}",
            "lane-talk",
            zone,
            "engine",
            ENGINE_SLOTS,
            (
                "--token-interval",
                str(TOKEN_INTERVAL_SECONDS),
                "--seed",
                str(seed + number),
            ),
        )
        for number, zone in enumerate(ENGINE_ZONES)
    )
    services = tuple(
        UpstreamPlan(f"desk-{number}", "lane-desk", zone, "service", 4)
        for number, zone in enumerate(SERVICE_ZONES)
    )
    declaration = {
        "organisations": {name: {} for name in list_organisations()},
        "classes": CLASSES,
        "services": {
            "lane-talk": {"kind": "engine"},
            "lane-desk": {"kind": "plain", "repeatable": False},
        },
    }
    settings = {
        "policy": policy,
        "fault_injection": True,
        "log_level": "warning",
        "seed": seed,
    }
    return FleetPlan(ROUTER_ZONES, engines + services, declaration, settings)


def compute_capacity() -> float:
    """Returns the tokens per second of all engines."""
    return len(ENGINE_ZONES) * ENGINE_SLOTS / TOKEN_INTERVAL_SECONDS


def list_cut_zones(zone: str) -> list[str]:
    """Returns the zones that a router of ``zone`` cannot reach in the partition."""
    if zone != CUT_ZONE:
        return [CUT_ZONE]
    return sorted(set(ROUTER_ZONES) - {CUT_ZONE})


def list_partition_sides() -> dict[str, list[int]]:
    """Returns the indexes of the engines on each side of the partition."""
    indexes = range(len(ENGINE_ZONES))
    return {
        "inside": [index for index in indexes if ENGINE_ZONES[index] == CUT_ZONE],
        "outside": [index for index in indexes if ENGINE_ZONES[index] != CUT_ZONE],
    }


def count_reachable(waiting: Mapping[str, float], *, is_cut: bool) -> list[float]:
    """Returns for each engine the waiting requests at routers that reach it.

    Args:
        waiting: Requests waiting at each router.
        is_cut: Whether the partition is in force.
    """
    zones = {f"router-{index}": zone for index, zone in enumerate(ROUTER_ZONES)}
    return [
        sum(
            count
            for name, count in waiting.items()
            if not is_cut or engine_zone not in list_cut_zones(zones[name])
        )
        for engine_zone in ENGINE_ZONES
    ]
