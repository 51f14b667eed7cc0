"""Flood of one router while replicas leave, after all other faults are over."""

from __future__ import annotations

import itertools
import time
from collections.abc import Iterator
from random import Random

import curio

from sequoiamoor.types import Address

from .callers import HOST
from .fleet import UNDISTURBED_SECONDS, SoakFleet

FLOOD_CONNECTIONS = 500
FLOOD_SECONDS = 6.0
LEAVE_INTERVAL_SECONDS = 1.0
LEAVING_REPLICAS = 3


async def flood_while_replicas_leave(fleet: SoakFleet, seed: int) -> set[str]:
    """Floods one router while replicas leave; the replicas check what reaches them.

    Returns:
        The identifiers of the requests that were sent.
    """
    rng = Random(f"flood {seed}")
    await curio.sleep(UNDISTURBED_SECONDS)
    router = fleet.routers[rng.choice(sorted(fleet.routers))]
    organisation = rng.choice(sorted(fleet.keys))
    names = (f"flood{seed:x}-{number}" for number in itertools.count())
    sent: set[str] = set()
    ends_at = time.monotonic() + FLOOD_SECONDS
    async with curio.TaskGroup() as tasks:
        for _ in range(FLOOD_CONNECTIONS):
            key = fleet.keys[organisation][-1]
            await tasks.spawn(_call_repeatedly, router.http, key, names, sent, ends_at)
        for _ in range(LEAVING_REPLICAS):
            await curio.sleep(LEAVE_INTERVAL_SECONDS)
            listed = [one for one in fleet.replicas if one.is_listed]
            await tasks.spawn(rng.choice(listed).leave)
    return sent


async def _call_repeatedly(
    address: Address, key: str, names: Iterator[str], sent: set[str], ends_at: float
) -> None:
    while time.monotonic() < ends_at:
        request_id = next(names)
        sent.add(request_id)
        request = (
            f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Deadline-Ms: 3000\r\nAuthorization: Bearer {key}\r\n"
            "Connection: close\r\n\r\n"
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
