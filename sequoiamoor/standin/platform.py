"""A stand-in for the platform: table, object store and VM list."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field
from random import Random
from typing import Any
from urllib.parse import unquote

import curio

from ..net.http import Request, ServerConnection
from ..types import Address
from .server import send_json, serve_http


@dataclass(slots=True)
class _Faults:
    outage: bool = False
    delay_ms: float = 0.0
    lose_answers: float = 0.0


@dataclass(slots=True)
class _Entry:
    version: int
    value: Any


@dataclass(slots=True)
class PlatformStandIn:
    """State of the stand-in.

    Attributes:
        writes_per_second: Rate limit of table writes.
        list_lag: Seconds until a change of the VM list shows.
    """

    rng: Random
    writes_per_second: float = 300.0
    list_lag: float = 1.0
    faults: _Faults = field(default_factory=_Faults)
    table: dict[str, _Entry] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    lists: list[tuple[float, list[Any]]] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    allowance: float = 300.0
    allowance_at: float = 0.0

    async def handle(self, connection: ServerConnection, request: Request) -> None:
        """Answers one request."""
        if request.path.startswith("/admin/"):
            await self._administer(connection, request)
            return
        if self.faults.delay_ms:
            await curio.sleep(self.faults.delay_ms / 1000)
        if self.faults.outage:
            await send_json(connection, 503, {"code": "outage"})
            return
        status, document = self._perform(request)
        if self.rng.random() < self.faults.lose_answers:
            await connection.close()
            raise ConnectionAbortedError("the answer is lost on purpose")
        await send_json(connection, status, document)

    async def _administer(self, connection: ServerConnection, request: Request) -> None:
        if request.path == "/admin/counts":
            await send_json(connection, 200, self.counts)
            return
        document = json.loads(request.body)
        if request.path == "/admin/vms":
            self.lists.append((time.time(), document["vms"]))
        elif request.path == "/admin/faults":
            self.faults = _Faults(**document)
        await send_json(connection, 200, {})

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def _perform(self, request: Request) -> tuple[int, Any]:
        if request.path == "/vms":
            self._count("list reads")
            return 200, self._read_list()
        kind, _, key = unquote(request.path).lstrip("/").partition("/")
        if kind != "table" or not key:
            return 404, {"code": "not-found"}
        if request.method == "GET":
            self._count("table reads")
            entry = self.table.get(key)
            if entry is None:
                return 404, {"code": "absent"}
            return 200, {"key": key, "version": entry.version, "value": entry.value}
        self._count("table writes")
        return self._write(key, json.loads(request.body))

    def _read_list(self) -> Any:
        shown: tuple[float, list[Any]] = (time.time(), [])
        for made_at, vms in self.lists:
            if made_at + self.list_lag <= time.time() or not shown[1]:
                shown = (made_at, vms)
        return {"as_of": shown[0], "vms": shown[1]}

    def _write(self, key: str, document: Any) -> tuple[int, Any]:
        now = time.monotonic()
        self.allowance = min(
            self.writes_per_second,
            self.allowance + (now - self.allowance_at) * self.writes_per_second,
        )
        self.allowance_at = now
        if self.allowance < 1:
            return 429, {"code": "rate-limited"}
        self.allowance -= 1
        entry = self.table.get(key, _Entry(0, None))
        if entry.version != document["expected_version"]:
            return 409, {"version": entry.version, "value": entry.value}
        self.table[key] = _Entry(entry.version + 1, document["value"])
        return 200, {"version": entry.version + 1}


def run_platform(address: Address, *, seed: int | None, list_lag: float) -> None:
    """Runs the stand-in until it is ended."""
    platform = PlatformStandIn(Random(seed), list_lag=list_lag)
    curio.run(serve_http, address, platform.handle)
