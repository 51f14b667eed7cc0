"""Helpers for tests that start real processes."""

from __future__ import annotations

import json
import subprocess
import time
from collections.abc import Callable, Iterable
from typing import Any

import curio

from benchmarks.usage import read_series
from sequoiamoor.net.http_client import exchange
from sequoiamoor.standin.client import fetch, wait_ready
from sequoiamoor.standin.launcher import Fleet, FleetPlan, UpstreamPlan
from sequoiamoor.types import Address

READY_TIMEOUT_SECONDS = 30.0

DECLARATION: dict[str, Any] = {
    "organisations": {"league": {}},
    "classes": {"chat": {"complete_ms": 5_000}},
    "services": {"desk": {"kind": "plain"}},
}


def build_plan(zones: Iterable[str], *, replicas: int = 2) -> FleetPlan:
    """Returns a fleet with one plain service whose replicas spread over the zones."""
    zone_names = tuple(zones)
    upstreams = tuple(
        UpstreamPlan(
            f"desk-{number}", "desk", zone_names[number % len(zone_names)], "service", 4
        )
        for number in range(replicas)
    )
    return FleetPlan(
        zones=zone_names,
        upstreams=upstreams,
        declaration=DECLARATION,
        router_settings={"fault_injection": True},
    )


def wait_until(is_done: Callable[[], bool], *, limit: float, what: str) -> None:
    """Waits until ``is_done`` returns true; fails after ``limit`` seconds."""
    deadline = time.monotonic() + limit
    while not is_done():
        assert time.monotonic() < deadline, f"{what}: not within {limit} s"
        time.sleep(0.05)


def wait_fleet(fleet: Fleet) -> None:
    """Waits until all routers are ready and count each other as members."""
    for address in fleet.routers.values():
        wait_ready(address, timeout=READY_TIMEOUT_SECONDS)
    wait_members(fleet, fleet.routers, len(fleet.routers), limit=READY_TIMEOUT_SECONDS)


def wait_members(
    fleet: Fleet, names: Iterable[str], count: int, *, limit: float
) -> None:
    """Waits until each of these routers counts ``count`` members."""
    wait_until(
        lambda: all(
            read_series(fleet.routers[name], "sequoiamoor_members") == count
            for name in names
        ),
        limit=limit,
        what=f"{count} members at {sorted(names)}",
    )


def wait_version(
    fleet: Fleet, names: Iterable[str], version: int, *, limit: float
) -> None:
    """Waits until the version is in force at each of these routers."""
    wait_until(
        lambda: all(
            read_status(fleet.routers[name])["configuration_version"] == version
            for name in names
        ),
        limit=limit,
        what=f"version {version} at {sorted(names)}",
    )


def read_status(address: Address) -> Any:
    """Returns the status page of a router."""
    return fetch(address, "GET", "/status")[1]


def block(address: Address, *prefixes: str) -> None:
    """Makes a router block addresses with these prefixes, and no others."""
    status, _ = fetch(address, "POST", "/debug/partition", {"prefixes": list(prefixes)})
    assert status == 200


def set_outage(fleet: Fleet, *, outage: bool) -> None:
    """Starts or ends an outage of the platform."""
    fetch(fleet.platform, "POST", "/admin/faults", {"outage": outage})


def write_configuration(fleet: Fleet, *, expected: int, title: str) -> int:
    """Writes a valid configuration and returns its version."""
    document = {**DECLARATION, "organisations": {"league": {"title": title}}}
    return write_document(fleet, document, expected=expected)


def write_document(fleet: Fleet, document: Any, *, expected: int) -> int:
    """Writes a document under the configuration key and returns its version."""
    status, answer = fetch(
        fleet.platform,
        "PUT",
        "/table/configuration",
        {
            "value": {"document": document, "change_id": f"test-{expected}"},
            "expected_version": expected,
        },
    )
    assert status == 200, answer
    version: int = answer["version"]
    return version


def restart(fleet: Fleet, name: str, *extra: str) -> None:
    """Kills a process of the fleet and restarts it with ``extra`` arguments added."""
    process = fleet.processes[name]
    process.kill()
    process.wait()
    if process.stdout is not None:
        process.stdout.close()
    assert isinstance(process.args, list)
    fleet.processes[name] = subprocess.Popen(
        [*process.args, *extra],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        start_new_session=True,
    )


def call(address: Address, request_id: str, *, work_ms: int = 1) -> tuple[int, str]:
    """Calls the plain service once; returns the status and the replica's name."""

    async def run() -> tuple[int, bytes]:
        response, data = await exchange(
            address,
            "POST",
            "/v1/services/desk/calls",
            body=json.dumps({"work_ms": work_ms}).encode(),
            headers={
                "x-organisation": "league",
                "x-class": "chat",
                "x-request-id": request_id,
            },
            timeout=10.0,
        )
        return response.status, data

    status, data = curio.run(run)
    return status, json.loads(data).get("replica", "")
