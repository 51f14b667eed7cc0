"""Tests of a router process with few file descriptors under more callers than fit."""

from __future__ import annotations

import itertools
import re
import resource
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio
import pytest

from sequoiamoor.net.http_client import exchange
from sequoiamoor.types import Address

from ..soak.callers import HOST, ROUTES
from ..soak.fleet import SoakFleet
from ..soak.routers import Router

pytestmark = pytest.mark.processes

DESCRIPTORS = 600
CALLERS = 400
FLOOD_SECONDS = 3.0
RECOVERY_SECONDS = 1.0
ANSWER_TIMEOUT_SECONDS = 5.0
TEST_TIMEOUT_SECONDS = 60.0

Session = Callable[[SoakFleet, Router], Awaitable[None]]


def run(tmp_path: Path, session: Session) -> None:
    """Runs a session with two routers, the first of which is under test."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4_096), hard))
    fleet = SoakFleet(1, tmp_path, 2, descriptors=DESCRIPTORS)

    async def main() -> None:
        await fleet.start()
        async with curio.timeout_after(TEST_TIMEOUT_SECONDS):
            await session(fleet, fleet.routers["router-0"])
        fleet.check_processes()
        assert fleet.violations == []

    try:
        curio.run(main)
    finally:
        fleet.kill()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class Flood:
    """Callers that keep their connections, connect again when refused, and never stop.

    Attributes:
        outcomes: Number of requests by status, or by the error instead of an answer.
    """

    def __init__(self, fleet: SoakFleet, router: Router) -> None:
        self._keys = [keys[-1] for keys in fleet.keys.values()]
        self._address = router.http
        self._numbers = itertools.count()
        self.outcomes: Counter[int | str] = Counter()

    async def run(self, seconds: float) -> None:
        """Floods the router for some seconds, then closes all connections."""
        ends_at = time.monotonic() + seconds
        async with curio.TaskGroup() as tasks:
            for _ in range(CALLERS):
                await tasks.spawn(self._call_repeatedly, ends_at)
        for task in tasks.tasks:
            assert task.exception is None, task.exception

    async def _call_repeatedly(self, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            sock = await connect(self._address)
            async with sock:
                while time.monotonic() < ends_at and await self._call(sock):
                    await curio.sleep(0.2)
            await curio.sleep(0.1)

    async def _call(self, sock: Any) -> bool:
        """Sends one request; returns whether the connection can be used again."""
        number = next(self._numbers)
        key = self._keys[number % len(self._keys)]
        request = (
            f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: f{number}\r\n"
            f"X-Deadline-Ms: 3000\r\nAuthorization: Bearer {key}\r\n\r\n"
        )
        data = b""
        try:
            await sock.sendall(request.encode())
            async with curio.timeout_after(ANSWER_TIMEOUT_SECONDS):
                while not is_whole(data) and (more := await sock.recv(65_536)):
                    data += more
        except (OSError, curio.TaskTimeout) as err:
            # A kept connection may be closed while the next request is on its way.
            self.outcomes[f"{type(err).__name__} after {len(data)} bytes"] += 1
            return False
        if not is_whole(data):
            self.outcomes[f"closed after {len(data)} bytes"] += 1
            return False
        self.outcomes[int(data[9:12])] += 1
        return b"connection: close" not in data.lower()


def is_whole(data: bytes) -> bool:
    head, separator, body = data.partition(b"\r\n\r\n")
    match = re.search(rb"(?i)content-length: (\d+)", head)
    return bool(separator and match and len(body) >= int(match[1]))


async def connect(address: Address) -> Any:
    return await curio.open_connection(address.host, address.port)


async def ask(address: Address, path: str) -> tuple[int, str]:
    response, body = await exchange(
        address, "GET", path, timeout=ANSWER_TIMEOUT_SECONDS
    )
    return response.status, body.decode()


async def read_metric(router: Router, series: str) -> float:
    _, text = await ask(router.metrics, "/metrics")
    match = re.search(rf"(?m)^{re.escape(series)} (\S+)$", text)
    return float(match[1]) if match else 0.0


async def check_service(fleet: SoakFleet, router: Router) -> None:
    """Waits until all routes are served on new connections, within the promise."""
    ends_at = time.monotonic() + RECOVERY_SECONDS
    key = fleet.keys["owners"][-1]
    for number, route in enumerate(ROUTES):
        status = 0
        path = f"{route.path}?events=3" if route.is_stream else route.path
        while status != 200:
            assert time.monotonic() < ends_at, f"{route.path}: last status {status}"
            headers = {
                "host": HOST,
                "x-attempt-id": f"after-{number}",
                "authorization": f"Bearer {key}",
                "x-deadline-ms": "1000",
            }
            try:
                response, _ = await exchange(
                    router.http, "POST", path, headers=headers, timeout=1.0
                )
                status = response.status
            except OSError:
                await curio.sleep(0.01)


def test_each_caller_of_a_full_router_gets_an_answer(tmp_path: Path) -> None:
    """Guards against resets, and against a flood that takes what control needs."""

    async def session(fleet: SoakFleet, router: Router) -> None:
        for name in ("callers", "refusals", "upstreams", "peers"):
            series = f'sequoiamoor_descriptor_budget{{use="{name}"}}'
            assert 0 < await read_metric(router, series) < CALLERS
        for one in fleet.routers.values():
            while await read_metric(one, "sequoiamoor_members") != 2:
                await curio.sleep(0.05)
        flood = Flood(fleet, router)
        task = await curio.spawn(flood.run, FLOOD_SECONDS)
        ends_at = time.monotonic() + FLOOD_SECONDS - 0.5
        most = 0
        while time.monotonic() < ends_at:
            most = max(most, router.count_descriptors())
            assert (await ask(router.ready, "/api/readiness"))[0] in (200, 503)
            for one in fleet.routers.values():
                assert await read_metric(one, "sequoiamoor_members") == 2
            await curio.sleep(0.1)
        await task.join()
        await check_service(fleet, router)
        series = 'sequoiamoor_refusals_total{code="too-many-connections"}'
        assert await read_metric(router, series) > 0
        assert set(flood.outcomes) <= {200, 429, 503}, flood.outcomes
        assert flood.outcomes[200] > 0
        assert most < DESCRIPTORS
        error = 'sequoiamoor_accept_errors_total{error="EMFILE",listener="callers"}'
        assert await read_metric(router, error) == 0
        while (await ask(router.ready, "/api/readiness"))[0] != 200:
            await curio.sleep(0.05)

    run(tmp_path, session)


def test_router_without_descriptors_is_not_ready_and_serves_again(
    tmp_path: Path,
) -> None:
    """Guards against a listener that ends for good, and says ready meanwhile."""

    async def session(fleet: SoakFleet, router: Router) -> None:
        kept = await connect(router.ready)
        request = b"GET /api/readiness HTTP/1.1\r\nHost: r\r\n\r\n"

        async def is_ready() -> bool:
            await kept.sendall(request)
            data: bytes = await kept.recv(1_000)
            return b" 200 " in data

        assert await is_ready()
        process_id = router.process_id
        router.limit_descriptors(process_id, router.count_descriptors())
        callers = [await connect(router.http) for _ in range(20)]
        while await is_ready():
            await curio.sleep(0.05)
        router.limit_descriptors(process_id, None)
        for caller in callers:
            await caller.close()
        await check_service(fleet, router)
        error = 'sequoiamoor_accept_errors_total{error="EMFILE",listener="callers"}'
        assert await read_metric(router, error) > 0
        while not await is_ready():
            await curio.sleep(0.05)
        await kept.close()

    run(tmp_path, session)
