"""Tests of the stand-in for plain services."""

from __future__ import annotations

from typing import Any

import pytest

from sequoiamoor.standin.service import ServiceStandIn
from sequoiamoor.types import Address

from .harness import run_with, send

HEADERS = {"x-call-id": "c", "x-request-id": "r", "x-organisation": "a"}
BODY = {"work_ms": 1}


@pytest.mark.parametrize(
    ("faults", "status", "executions"),
    [
        ({}, 200, {"a/r": 1}),
        ({"delay_ms": 1}, 200, {"a/r": 1}),
        ({"refuse": True}, 503, {}),
        ({"lose_answer": True}, None, {"a/r": 1}),
        ({"lose_answer": True, "remaining": 0}, 200, {"a/r": 1}),
    ],
)
def test_executions_are_counted_whatever_the_sender_sees(
    faults: dict[str, Any], status: int | None, executions: dict[str, int]
) -> None:
    """Guards against counting responses instead of executions."""

    async def client(address: Address) -> Any:
        await send(address, "POST", "/admin/faults", faults)
        try:
            got, document = await send(address, "POST", "/v1/call", BODY, HEADERS)
        except OSError:
            got, document = None, {}
        return got, document, (await send(address, "GET", "/v1/executions"))[1]

    got, document, counted = run_with(ServiceStandIn("s"), client)
    assert got == status
    assert counted == executions
    if status == 503:
        assert document["execution"] == "was not run"


@pytest.mark.parametrize(
    ("path", "body", "headers", "status"),
    [
        ("/v1/call", BODY, {"x-call-id": "c"}, 400),
        ("/v1/call", {"work_ms": "long"}, HEADERS, 400),
        ("/v1/call", b"\xff", HEADERS, 400),
        ("/admin/faults", {"refuse": "perhaps"}, {}, 400),
        ("/admin/leaving", {}, {}, 400),
        ("/v1/calls", BODY, HEADERS, 404),
    ],
)
def test_wrong_input_is_refused(
    path: str, body: Any, headers: dict[str, str], status: int
) -> None:
    """Guards against a stand-in that stops, or runs a call, on invalid input."""

    async def client(address: Address) -> Any:
        got = await send(address, "POST", path, body, headers)
        return got, (await send(address, "GET", "/v1/executions"))[1]

    (got, document), executions = run_with(ServiceStandIn("s"), client)
    assert (got, executions) == (status, {})
    assert document["message"]
