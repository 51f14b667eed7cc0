"""Tests of upstreams that leave, crash or damage answers, with real processes."""

from __future__ import annotations

import json
import time
from typing import Any

import curio
import pytest

from sequoiamoor.net.http_client import ClientConnection, exchange
from sequoiamoor.standin.client import fetch
from sequoiamoor.standin.launcher import Fleet, FleetPlan, UpstreamPlan, run_fleet
from sequoiamoor.standin.load import StreamError, check_stream
from sequoiamoor.types import Address

from .fleets import wait_fleet

pytestmark = pytest.mark.processes

LEAVING_LIMIT_SECONDS = 3.0
LOAD_DURATION_SECONDS = 6.0
CALLER_COUNT = 12
CALL_TIMEOUT_SECONDS = 20.0

DECLARATION: dict[str, Any] = {
    "organisations": {"league": {}, "grants": {}},
    "classes": {"chat": {"first_token_ms": 800}},
    "services": {"talk": {"kind": "engine"}},
}


def build_plan() -> FleetPlan:
    zones = ("zone-a", "zone-b")
    upstreams = tuple(
        UpstreamPlan(f"talk-{number}", "talk", zones[number % 2], "engine", 4)
        for number in range(3)
    )
    return FleetPlan(zones, upstreams, DECLARATION, {"fault_injection": True})


async def stream(router: Address, organisation: str, number: int) -> str:
    """Makes one streamed call; returns ``whole``, ``incomplete`` or an error code."""
    connection = await ClientConnection.connect(router, timeout=5.0)
    body = json.dumps({"prompt_tokens": 16, "tokens": 10 + number % 20}).encode()
    headers = {
        "x-organisation": organisation,
        "x-class": "chat",
        "accept": "text/event-stream",
    }
    try:
        await connection.send_request("POST", "/v1/services/talk/calls", headers, body)
        response = await connection.receive_response()
        data = b""
        try:
            while (part := await connection.receive_data()) is not None:
                data += part
        except Exception:
            # A body without its end must contain the event that says so.
            assert b"event: incomplete" in data
            return "incomplete"
        if response.status != 200:
            return str(json.loads(data)["code"])
        check_stream(data, response.headers["x-call-id"], body)
        return "whole"
    finally:
        await connection.close()


def run_load(fleet: Fleet, *, seconds: float, inject_fault: Any = None) -> list[str]:
    """Calls all routers for ``seconds``; returns the outcome of each call.

    ``inject_fault`` runs one second after the start.
    """
    results: list[str] = []
    routers = list(fleet.routers.values())
    end = time.monotonic() + seconds

    async def work(number: int) -> None:
        while time.monotonic() < end:
            router = routers[number % len(routers)]
            organisation = ("league", "grants")[number // 2 % 2]
            async with curio.timeout_after(CALL_TIMEOUT_SECONDS):
                results.append(await stream(router, organisation, len(results)))

    async def run() -> None:
        tasks = [await curio.spawn(work, number) for number in range(CALLER_COUNT)]
        if inject_fault is not None:
            await curio.sleep(1.0)
            await inject_fault()
        for task in tasks:
            await task.join()

    curio.run(run)
    return results


async def post(address: Address, path: str, document: Any) -> None:
    response, _ = await exchange(
        address, "POST", path, body=json.dumps(document).encode(), timeout=5.0
    )
    assert response.status == 200


def test_leaving_engine_gets_no_new_work() -> None:
    """Guards against work for an engine whose load report says that it is leaving."""
    with run_fleet(build_plan()) as fleet:
        wait_fleet(fleet)
        leaving = fleet.upstreams["talk-0"]

        async def leave() -> None:
            await post(leaving, "/admin/leaving", {"leaving": True})

        results = run_load(fleet, seconds=LOAD_DURATION_SECONDS, inject_fault=leave)
        counts = fetch(leaving, "GET", "/admin/counts")[1]
    assert set(results) == {"whole"}
    last_start = counts["last_start_after_leaving_seconds"]
    assert last_start is None or last_start <= LEAVING_LIMIT_SECONDS


@pytest.mark.parametrize(
    "fault",
    [
        {"break_after_tokens": 5, "remaining": 20},
        {"truncate_after_tokens": 5, "remaining": 20},
        {"foreign_call_id": "events", "remaining": 20},
        {"foreign_call_id": "head", "remaining": 20},
    ],
)
def test_damaged_answers_are_whole_or_say_that_they_are_not(
    fault: dict[str, Any],
) -> None:
    """Guards against truncated or swapped answers that reach a caller as complete."""
    with run_fleet(build_plan()) as fleet:
        wait_fleet(fleet)

        async def damage() -> None:
            for upstream in ("talk-0", "talk-1"):
                await post(fleet.upstreams[upstream], "/admin/faults", fault)

        try:
            results = run_load(fleet, seconds=3.0, inject_fault=damage)
        except StreamError as err:
            pytest.fail(f"a router relayed a damaged answer: {err}")
    # The retry budget is full at the start and covers more than half of the faults.
    assert results.count("whole") > len(results) / 2
    assert set(results) <= {"whole", "incomplete", "answer-mismatch"}


def test_engine_that_is_killed_leaves_whole_answers() -> None:
    """Guards against answers that end when the engine that began them is killed."""
    with run_fleet(build_plan()) as fleet:
        wait_fleet(fleet)

        async def kill() -> None:
            fleet.processes["talk-2"].kill()

        results = run_load(fleet, seconds=4.0, inject_fault=kill)
    assert set(results) == {"whole"}
