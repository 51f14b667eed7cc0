"""Stand-in for the platform: table, object store and VM list."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import Any
from urllib.parse import unquote

import curio
from pydantic import Field

from ..net.http import Request
from ..net.platform import Vm
from ..types import Address
from .server import (
    LARGEST_DELAY_MS,
    BadInputError,
    Body,
    StandInConnection,
    check_method,
    parse_body,
    reject_path,
    send_json,
    serve_http,
)

MAX_READS_PER_SECOND = 2_000.0
MAX_WRITES_PER_SECOND = 300.0


class PlatformFaults(Body):
    """Fault switches of the platform.

    Attributes:
        outage: Whether every operation is refused with status 503.
        delay_ms: Milliseconds before an operation takes effect.
        lose_answers: Fraction of operations that take effect but get no response.
    """

    outage: bool = False
    delay_ms: float = Field(0.0, ge=0, le=LARGEST_DELAY_MS)
    lose_answers: float = Field(0.0, ge=0, le=1)


class VmListBody(Body):
    """Body of ``PUT /admin/vms``."""

    vms: tuple[Vm, ...]


class WriteBody(Body):
    """Body of ``PUT /table/KEY``."""

    value: Any
    expected_version: int = Field(ge=0)


@dataclass(slots=True)
class TokenBucket:
    """A rate limit whose burst is the operations of one second.

    Attributes:
        rate: Operations per second.
        stored: Operations that are allowed at once.
        filled_at: Monotonic time in seconds of the last update.
    """

    rate: float
    stored: float
    filled_at: float

    def take(self, now: float) -> bool:
        """Takes one token; returns whether the operation is allowed."""
        stored = self.stored + (now - self.filled_at) * self.rate
        self.stored = min(self.rate, stored)
        self.filled_at = now
        if self.stored < 1:
            return False
        self.stored -= 1
        return True


@dataclass(slots=True)
class _Entry:
    version: int
    value: Any


class PlatformStandIn:
    """The platform, with all data in memory.

    Args:
        rng: Chooses the operations whose response is lost.
        list_lag: Seconds until a change of the VM list becomes visible.
        reads_per_second: Rate limit of reads of the table and the object store.
        writes_per_second: Rate limit of writes to them.
    """

    def __init__(
        self,
        rng: Random,
        *,
        list_lag: float = 1.0,
        reads_per_second: float = MAX_READS_PER_SECOND,
        writes_per_second: float = MAX_WRITES_PER_SECOND,
    ) -> None:
        now = time.monotonic()
        self._rng = rng
        self._list_lag = list_lag
        self._reads = TokenBucket(reads_per_second, reads_per_second, now)
        self._writes = TokenBucket(writes_per_second, writes_per_second, now)
        self._faults = PlatformFaults.model_validate({})
        self._table: dict[str, _Entry] = {}
        self._objects: dict[str, bytes] = {}
        self._vm_lists: list[tuple[float, list[Any]]] = []
        self._counts: Counter[str] = Counter(reads=0, writes=0)

    async def handle(self, connection: StandInConnection, request: Request) -> None:
        """Answers one request."""
        if request.path.startswith("/admin/"):
            await send_json(connection, 200, self._handle_admin(request))
            return
        self._counts["reads" if request.method == "GET" else "writes"] += 1
        if self._faults.delay_ms:
            await curio.sleep(self._faults.delay_ms / 1000)
        if self._faults.outage:
            self._counts["refused_by_outage"] += 1
            await send_json(connection, 503, {"code": "outage"})
            return
        status, answer = self._handle_operation(request)
        if self._rng.random() < self._faults.lose_answers:
            self._counts["answers_lost"] += 1
            raise ConnectionAbortedError("a fault switch asks to lose the answer")
        if isinstance(answer, bytes):
            headers = {"content-type": "application/octet-stream"}
            await connection.send_response(status, headers, answer)
        else:
            await send_json(connection, status, answer)

    def _handle_admin(self, request: Request) -> Any:
        if request.path == "/admin/counts":
            check_method(request, "GET")
            return self._counts
        if request.path == "/admin/vms":
            check_method(request, "PUT")
            vms = parse_body(VmListBody, request).vms
            documents = [vm.model_dump(mode="json") for vm in vms]
            self._vm_lists.append((time.time(), documents))
        elif request.path == "/admin/faults":
            check_method(request, "POST")
            self._faults = parse_body(PlatformFaults, request)
        else:
            raise reject_path(request)
        return {}

    def _handle_operation(self, request: Request) -> tuple[int, Any]:
        if request.path == "/vms":
            check_method(request, "GET")
            self._counts["list_reads"] += 1
            return 200, self._read_vm_list()
        kind, _, key = unquote(request.path).lstrip("/").partition("/")
        if kind not in ("table", "objects") or not key:
            raise reject_path(request)
        check_method(request, "GET", "PUT")
        is_read = request.method == "GET"
        self._counts[f"{kind}_{'reads' if is_read else 'writes'}"] += 1
        if not (self._reads if is_read else self._writes).take(time.monotonic()):
            self._counts["rate_limited"] += 1
            return 429, {"code": "rate-limited"}
        if kind == "objects":
            return self._access_object(key, None if is_read else request.body)
        if is_read:
            return self._read(key)
        return self._write(key, parse_body(WriteBody, request))

    def _access_object(self, key: str, body: bytes | None) -> tuple[int, Any]:
        if body is not None:
            self._objects[key] = body
            return 200, {}
        if key not in self._objects:
            raise BadInputError(
                f"object {key!r} does not exist", status=404, code="absent"
            )
        return 200, self._objects[key]

    def _read(self, key: str) -> tuple[int, Any]:
        entry = self._table.get(key)
        if entry is None:
            return 404, {"code": "absent"}
        return 200, {"key": key, "version": entry.version, "value": entry.value}

    def _write(self, key: str, body: WriteBody) -> tuple[int, Any]:
        entry = self._table.get(key, _Entry(0, None))
        if entry.version != body.expected_version:
            return 409, {"version": entry.version, "value": entry.value}
        self._table[key] = _Entry(entry.version + 1, body.value)
        return 200, {"version": entry.version + 1}

    def _read_vm_list(self) -> Any:
        limit = time.time() - self._list_lag
        # The first list is visible at once, so that a fleet starts without waiting.
        while len(self._vm_lists) > 1 and self._vm_lists[1][0] <= limit:
            self._vm_lists.pop(0)
        as_of, vms = self._vm_lists[0] if self._vm_lists else (time.time(), [])
        return {"as_of": as_of, "vms": vms}


def run_platform(address: Address, *, seed: int | None, list_lag: float) -> None:
    """Runs the stand-in until the process ends."""
    platform = PlatformStandIn(Random(seed), list_lag=list_lag)
    curio.run(serve_http, address, platform.handle)
