"""Tests of the platform stand-in."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from sequoiamoor.standin.platform import PlatformStandIn, TokenBucket
from sequoiamoor.types import Address

from .harness import run_with, send

WRITE = {"value": 1, "expected_version": 0}
VM = {"id": "v", "role": "upstream", "zone": "z", "address": "127.0.0.1", "port": 1}


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "part"),
    [
        ("GET", "/table/absent", None, 404, {"code": "absent"}),
        ("PUT", "/table/new", WRITE, 200, {"version": 1}),
        ("PUT", "/table/k", WRITE, 409, {"version": 1, "value": "old"}),
        ("PUT", "/table/k", {"value": 2, "expected_version": 1}, 200, {"version": 2}),
        ("GET", "/table/k", None, 200, {"key": "k", "version": 1, "value": "old"}),
        ("GET", "/table/a%2Fb", None, 404, {"code": "absent"}),
        ("PUT", "/table/k", {"value": 2}, 400, {"code": "bad-input"}),
        ("PUT", "/table/k", b"{", 400, {"code": "bad-input"}),
        ("POST", "/table/k", WRITE, 405, {"code": "wrong-method"}),
        ("GET", "/table/", None, 404, {"code": "not-found"}),
        ("GET", "/objects/absent", None, 404, {"code": "absent"}),
        ("PUT", "/admin/vms", {"vms": [{"id": 1}]}, 400, {"code": "bad-input"}),
        ("POST", "/admin/faults", {"outages": 1}, 400, {"code": "bad-input"}),
        ("POST", "/admin/nothing", {}, 404, {"code": "not-found"}),
    ],
)
def test_operations(
    method: str, path: str, body: Any, status: int, part: dict[str, Any]
) -> None:
    """Guards against writes that ignore the version, and crashes on invalid input."""

    async def client(address: Address) -> Any:
        await send(address, "PUT", "/table/k", {"value": "old", "expected_version": 0})
        return await send(address, method, path, body)

    got, document = run_with(PlatformStandIn(Random(1)), client)
    assert got == status
    assert part.items() <= document.items()


def test_objects_are_kept_byte_for_byte() -> None:
    """Guards against an object store that alters the bytes that it stores."""
    data = bytes(range(256))

    async def client(address: Address) -> Any:
        await send(address, "PUT", "/objects/a/b", data)
        return await send(address, "GET", "/objects/a/b")

    assert run_with(PlatformStandIn(Random(1)), client) == (200, data)


def test_lost_answer_takes_effect() -> None:
    """Guards against a lost response whose write is lost as well."""

    async def client(address: Address) -> Any:
        await send(address, "POST", "/admin/faults", {"lose_answers": 1.0})
        with pytest.raises(OSError):
            await send(address, "PUT", "/table/k", WRITE)
        await send(address, "POST", "/admin/faults", {})
        return await send(address, "GET", "/table/k")

    assert run_with(PlatformStandIn(Random(1)), client)[1]["value"] == 1


def test_outage_and_counts() -> None:
    """Guards against operations that succeed, or are not counted, during an outage."""

    async def client(address: Address) -> Any:
        await send(address, "POST", "/admin/faults", {"outage": True})
        refused = await send(address, "PUT", "/table/k", WRITE)
        await send(address, "POST", "/admin/faults", {})
        absent = await send(address, "GET", "/table/k")
        return refused[0], absent[0], (await send(address, "GET", "/admin/counts"))[1]

    refused, absent, counts = run_with(PlatformStandIn(Random(1)), client)
    assert (refused, absent) == (503, 404)
    assert counts["writes"] == counts["reads"] == counts["refused_by_outage"] == 1


@pytest.mark.parametrize(("lag", "expected"), [(0.0, "live"), (1000.0, "leaving")])
def test_vm_list_lags(lag: float, expected: str) -> None:
    """Guards against a VM list without the lag of the real platform."""

    async def client(address: Address) -> Any:
        for state in ("leaving", "live"):
            await send(address, "PUT", "/admin/vms", {"vms": [{**VM, "state": state}]})
        return (await send(address, "GET", "/vms"))[1]

    answer = run_with(PlatformStandIn(Random(1), list_lag=lag), client)
    assert [vm["state"] for vm in answer["vms"]] == [expected]


def test_writes_are_rate_limited() -> None:
    """Guards against a table without a rate limit for writes."""
    bucket = TokenBucket(rate=2.0, stored=2.0, filled_at=0.0)
    assert [bucket.take(now) for now in (0.0, 0.0, 0.0, 0.5, 0.5)] == [
        True,
        True,
        False,
        True,
        False,
    ]

    async def client(address: Address) -> list[int]:
        return [
            (await send(address, "PUT", f"/table/{number}", WRITE))[0]
            for number in range(3)
        ]

    platform = PlatformStandIn(Random(1), writes_per_second=1.0)
    assert run_with(platform, client)[:2] == [200, 429]
