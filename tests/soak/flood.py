"""Flood of one router while replicas leave, after all other faults are over."""

from __future__ import annotations

import itertools
import multiprocessing
import time
from collections.abc import Iterator
from random import Random
from typing import Any

import curio

from sequoiamoor.types import Address

from .callers import HOST
from .fleet import UNDISTURBED_SECONDS, SoakFleet

FLOOD_CONNECTIONS = 500
FLOOD_SECONDS = 6.0
LEAVE_INTERVAL_SECONDS = 1.0
LEAVING_REPLICAS = 3
HOLD_SECONDS = (0.2, 5.0)
"""Range of the time for which a replica turns requests away."""


async def flood_while_replicas_leave(fleet: SoakFleet, seed: int) -> set[str]:
    """Floods one router while replicas leave; the replicas check what reaches them.

    The callers of the flood run in a process of their own, since the store and the
    replicas run in this one and have to answer in time.

    Returns:
        The identifiers of the requests that were sent.
    """
    rng = Random(f"flood {seed}")
    await curio.sleep(UNDISTURBED_SECONDS)
    router = fleet.routers[rng.choice(sorted(fleet.routers))]
    key = fleet.keys[rng.choice(sorted(fleet.keys))][-1]
    prefix = f"flood{seed:x}-"
    fleet.log.traffic.flooded_router = router.name
    context = multiprocessing.get_context("spawn")
    count = context.Value("q", 0)
    process = context.Process(
        target=_run_flood, args=(router.http, key, prefix, count), daemon=True
    )
    process.start()
    try:
        async with curio.TaskGroup() as tasks:
            for _ in range(LEAVING_REPLICAS):
                await curio.sleep(LEAVE_INTERVAL_SECONDS)
                staying = [one for one in fleet.replicas if one.is_staying]
                await tasks.spawn(rng.choice(staying).leave)
                hold = rng.uniform(*HOLD_SECONDS)
                busy = [one for one in staying if one.service == "desk"]
                if busy:
                    statements = rng.choice(busy).statements
                    statements.refuses_until = time.monotonic() + hold
        while process.is_alive():
            await curio.sleep(0.05)
    finally:
        process.kill()
        process.join()
    return {f"{prefix}{number}" for number in range(count.value)}


def _run_flood(address: Address, key: str, prefix: str, count: Any) -> None:
    curio.run(_flood, address, key, prefix, count)


async def _flood(address: Address, key: str, prefix: str, count: Any) -> None:
    numbers = itertools.count()
    ends_at = time.monotonic() + FLOOD_SECONDS
    async with curio.TaskGroup() as tasks:
        for _ in range(FLOOD_CONNECTIONS):
            await tasks.spawn(_call_repeatedly, address, key, prefix, numbers, ends_at)
    count.value = next(numbers)


async def _call_repeatedly(
    address: Address, key: str, prefix: str, numbers: Iterator[int], ends_at: float
) -> None:
    while time.monotonic() < ends_at:
        request = (
            f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Attempt-Id: {prefix}{next(numbers)}\r\nX-Deadline-Ms: 3000\r\n"
            f"Authorization: Bearer {key}\r\nConnection: close\r\n\r\n"
        )
        try:
            sock = await curio.open_connection(address.host, address.port)
            async with sock:
                await sock.sendall(request.encode())
                while await sock.recv(65_536):
                    pass
        except OSError:
            # A router that ends a connection at its limit is checked elsewhere.
            await curio.sleep(0.05)
