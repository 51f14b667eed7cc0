"""Tests of a router with few descriptors that serves callers of other routers, too."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import curio
import pytest

from sequoiamoor.types import Address

from ..soak.fleet import SoakFleet
from ..soak.routers import Router
from .test_descriptor_limit import connect, read_metric, run

pytestmark = pytest.mark.processes

FLOOD = 300
WATCH_SECONDS = 1.5


async def read_budget(router: Router, *uses: str) -> float:
    series = 'sequoiamoor_descriptor_budget{{use="{}"}}'
    return sum([await read_metric(router, series.format(use)) for use in uses])


async def wait_until_it_takes_over(router: Router) -> None:
    """Sets the use from which the router takes nothing over so that it always does."""
    router.busy_fraction = 0.99
    router.write_settings()
    greeting = b""
    while not greeting:
        async with await connect(router.handoff) as sock:
            greeting = await sock.recv(100)


async def open_many(address: Address, count: int) -> list[Any]:
    return [await connect(address) for _ in range(count)]


def test_taken_over_connections_are_within_the_budget_of_callers(
    tmp_path: Path,
) -> None:
    """Guards against EMFILE when two listeners each fill the places of all callers."""

    async def session(fleet: SoakFleet, router: Router) -> None:
        allowed = await read_budget(router, "callers", "refusals")
        await wait_until_it_takes_over(router)
        await curio.sleep(0.2)
        before = router.count_descriptors()
        socks = await open_many(router.handoff, FLOOD)
        await curio.sleep(0.2)
        assert router.count_descriptors() - before > 0.5 * allowed
        socks += await open_many(router.http, FLOOD)
        ends_at = time.monotonic() + WATCH_SECONDS
        most = 0
        while time.monotonic() < ends_at:
            most = max(most, router.count_descriptors())
            await curio.sleep(0.02)
        # The page that tells the budget was read on a connection of its own.
        assert most - before <= allowed + 1
        for sock in socks:
            await sock.close()

    run(tmp_path, session)
