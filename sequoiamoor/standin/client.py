"""Calls of the demonstration to the stand-ins and routers."""

from __future__ import annotations

import json
import time
from typing import Any

import curio

from ..net.http import exchange
from ..types import Address

TIMEOUT_SECONDS = 10.0


def fetch(address: Address, method: str, path: str, document: Any = None) -> Any:
    """Makes one JSON request and returns status and decoded body."""
    body = b"" if document is None else json.dumps(document).encode()

    async def run() -> tuple[int, bytes]:
        response, data = await exchange(
            address, method, path, body=body, timeout=TIMEOUT_SECONDS
        )
        return response.status, data

    status, data = curio.run(run)
    try:
        return status, json.loads(data)
    except ValueError:
        return status, data.decode("utf-8", "replace")


def put_vms(platform: Address, vms: list[dict[str, Any]]) -> None:
    """Replaces the VM list of the stand-in platform."""
    fetch(platform, "PUT", "/admin/vms", {"vms": vms})


def put_configuration(platform: Address, declaration: dict[str, Any]) -> None:
    """Writes the first configuration."""
    value = {"document": declaration, "change_id": "first"}
    status, answer = fetch(
        platform,
        "PUT",
        "/table/configuration",
        {"value": value, "expected_version": 0},
    )
    if status != 200:
        raise RuntimeError(f"the configuration was not accepted: {answer}")


def wait_ready(address: Address, *, timeout: float) -> None:
    """Returns when the router at ``address`` is ready.

    Raises:
        TimeoutError: If it is not ready after ``timeout`` seconds.
    """
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        try:
            if fetch(address, "GET", "/readyz")[0] == 200:
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"router {address} is not ready after {timeout} s")
