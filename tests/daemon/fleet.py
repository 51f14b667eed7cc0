"""Helpers that run a small fleet of real processes and call it."""

from __future__ import annotations

import contextlib
import json
import time
from collections.abc import Callable, Iterator
from typing import Any

import curio

from sequoiamoor.net.http_client import exchange
from sequoiamoor.standin.client import fetch, wait_ready
from sequoiamoor.standin.launcher import Fleet, FleetPlan, UpstreamPlan, run_fleet
from sequoiamoor.types import Address

DECLARATION = {
    "organisations": {"a": {}, "b": {}},
    "classes": {
        "booking": {"complete_ms": 5_000},
        "chat": {"first_token_ms": 800},
    },
    "services": {
        "desk": {"kind": "plain", "repeatable": False},
        "talk": {"kind": "engine"},
    },
}
DEADLINE_SECONDS = 20.0


@contextlib.contextmanager
def run_small_fleet(
    routers: int = 2, desks: int = 1, **settings: Any
) -> Iterator[tuple[Fleet, list[Address]]]:
    plan = FleetPlan(
        zones=("zone-a",) * routers,
        upstreams=(
            *(
                UpstreamPlan(f"desk-{number}", "desk", "zone-a", "service", 4)
                for number in range(desks)
            ),
            UpstreamPlan("talk-0", "talk", "zone-a", "engine", 4),
        ),
        declaration=DECLARATION,
        router_settings={"policy": "least-load", **settings},
    )
    with run_fleet(plan) as fleet:
        addresses = list(fleet.routers.values())
        for address in addresses:
            wait_ready(address, timeout=DEADLINE_SECONDS)
            wait_until(lambda a=address: len(read_status(a)["upstreams"]) == desks + 1)
        yield fleet, addresses


def read_status(address: Address) -> Any:
    return fetch(address, "GET", "/status")[1]


def wait_until(condition: Callable[[], object]) -> None:
    end = time.monotonic() + DEADLINE_SECONDS
    while not condition():
        assert time.monotonic() < end, "the condition did not come true"
        time.sleep(0.02)


def set_faults(
    fleet: Fleet, *, outage: bool = False, delay_ms: float = 0, lose: float = 0
) -> None:
    faults = {"outage": outage, "delay_ms": delay_ms, "lose_answers": lose}
    fetch(fleet.platform, "POST", "/admin/faults", faults)


async def call_async(
    address: Address,
    request_id: str | None,
    *,
    service: str = "desk",
    class_name: str = "booking",
    headers: dict[str, str] | None = None,
    **body: Any,
) -> tuple[int, dict[str, str], bytes]:
    fields = {"x-organisation": "a", "x-class": class_name, **(headers or {})}
    if request_id is not None:
        fields["x-request-id"] = request_id
    response, data = await exchange(
        address,
        "POST",
        f"/v1/services/{service}/calls",
        body=json.dumps(body).encode(),
        headers=fields,
        timeout=DEADLINE_SECONDS,
    )
    return response.status, response.headers, data


def call(
    address: Address, request_id: str | None, **options: Any
) -> tuple[int, dict[str, str], Any]:
    async def run() -> tuple[int, dict[str, str], bytes]:
        return await call_async(address, request_id, **options)

    status, headers, data = curio.run(run)
    return status, headers, json.loads(data)


def read_executions(fleet: Fleet) -> dict[str, int]:
    counts = fetch(fleet.upstreams["desk-0"], "GET", "/v1/executions")[1]
    assert isinstance(counts, dict)
    return counts


def read_record(fleet: Fleet, request_id: str) -> Any:
    status, entry = fetch(fleet.platform, "GET", f"/table/calls/a/{request_id}")
    return entry["value"] if status == 200 else None


def read_counter(address: Address, series: str) -> float:
    text = fetch(address, "GET", "/metrics")[1]
    for line in text.splitlines():
        if line.startswith(series + " "):
            return float(line.rpartition(" ")[2])
    return 0.0
