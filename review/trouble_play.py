"""One router before three replicas of a plain service that reject requests."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import subprocess
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

from memory_three import guard_memory
from parts_three import send_hold
from rig_three import Record, Router, Store, pick_ports

REQUESTERS = 6
MEAN_PAUSE_SECONDS = 1.5
"""With these, a router gets about four ordinary requests a second, its part of the
bookings of a small installation."""


def build_manifest() -> dict:
    """Returns a manifest with one route that may not be repeated, and two tenants."""
    hold = {
        "name": "lane-hold",
        "host": "desk.example",
        "pathPrefix": "/hold/",
        "kind": "non_idempotent",
        "service": "lane-desk",
        "timeoutMs": 3_000,
        "targetLatencyMs": 100,
        "maxAttempts": 1,
        "priority": 2,
    }
    return {
        "version": 1,
        "routes": [hold],
        "services": [{"name": "lane-desk"}],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [
            {"name": "captains", "apiKeys": ["key-1"]},
            {"name": "strangers", "apiKeys": ["key-2"]},
        ],
    }


class Play:
    """The processes of one play.

    Attributes:
        router: The router.
        record: Lines on what was sent and answered.
    """

    def __init__(self, folder: Path, record: Record, *, memory_mb: int) -> None:
        self._folder = folder
        self._memory_mb = memory_mb
        self._replicas: list[subprocess.Popen] = []
        self.record = record
        self.router: Router

    @contextlib.asynccontextmanager
    async def start(
        self, shares: list[float], *, after: float, seconds: float
    ) -> AsyncIterator[bool]:
        """Starts all, and yields whether the router is ready.

        Args:
            shares: Share of the requests that meet it, for each replica.
            after: Seconds from the time at which the router is ready to the trouble.
            seconds: Length of the trouble.
        """
        store = Store()
        address = await store.start()
        store.put("op", "config", build_manifest())
        ports = pick_ports(1)
        self.router = Router(1, self._folder, address, ports, memory_mb=self._memory_mb)
        try:
            self.router.start()
            begins_at = time.monotonic() + 4.0 + after
            await asyncio.sleep(3.0)
            for number, share in enumerate(shares):
                await self._start_replica(store, number, share, begins_at, seconds)
            yield await self.router.wait_ready()
        finally:
            for process in self._replicas:
                process.kill()
                process.wait()
            self.router.end()
            self._record_runs()

    async def _start_replica(
        self,
        store: Store,
        number: int,
        share: float,
        begins_at: float,
        seconds: float,
    ) -> None:
        program = str(Path(__file__).with_name("troubled_three.py"))
        path = self._folder / f"replica-{number}.txt"
        times = [str(begins_at), str(begins_at + seconds)]
        arguments = [f"127.0.2.{number + 1}", f"i-desk-{number}", str(share), *times]
        command = [sys.executable, program, *arguments]
        self._replicas.append(subprocess.Popen(command, stdout=path.open("w")))
        while not path.read_text().endswith("\n"):
            await asyncio.sleep(0.05)
        line = json.loads(path.read_text().splitlines()[0])
        entry = {
            "service": "lane-desk",
            "address": line["address"],
            "zone": "zone-a",
            "version": "v1",
            "slots": 24,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": int(time.time() * 1000) - 60_000,
        }
        store.put("servers", line["name"], entry)

    def _record_runs(self) -> None:
        troubled: Counter[str] = Counter()
        for number in range(len(self._replicas)):
            text = (self._folder / f"replica-{number}.txt").read_text()
            for line in text.splitlines()[1:]:
                self.record.add(f"replica {number}: {line}")
                troubled[f"replica {number}"] += '"troubled": true' in line
        print("requests that met the trouble:", dict(troubled))

    async def _send_on(self, place: int, statuses: Counter[str]) -> None:
        number = 0
        while True:
            await asyncio.sleep(random.uniform(0.0, 2 * MEAN_PAUSE_SECONDS))
            number += 1
            attempt = f"booking{place}-{number}"
            host, port = self.router.http
            entry = await send_hold(host, port, attempt, 3.0, "key-1")
            statuses[str(entry["status"])] += 1
            self.record.add(f"{attempt}: {entry['status']}")

    async def judge(self, seconds: float, others: list[asyncio.Task]) -> int:
        """Sends ordinary requests; returns 1 if the platform killed the router.

        Args:
            seconds: Time for which the router is watched.
            others: Tasks that send other requests meanwhile.
        """
        statuses: Counter[str] = Counter()
        tasks = [
            asyncio.create_task(self._send_on(place, statuses))
            for place in range(REQUESTERS)
        ]
        has_ended = await guard_memory(
            self.router, self._memory_mb, seconds=seconds, record=self.record
        )
        for task in (*tasks, *others):
            task.cancel()
        await asyncio.gather(*tasks, *others, return_exceptions=True)
        print("ordinary requests:", dict(statuses))
        return int(has_ended)
