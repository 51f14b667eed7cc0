"""Replicas of the platform for the soak, written from its published protocol."""

from __future__ import annotations

import json
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any
from urllib.parse import parse_qs

import curio

from sequoiamoor.errors import RefusalError
from sequoiamoor.net.http import Request
from sequoiamoor.net.http_server import ServerConnection
from sequoiamoor.types import Address

from ..platform.standin import StandInStore
from .proxy import LinkState, Proxy

HEARTBEAT_SECONDS = 1.0
EVENT_SECONDS = 0.008
PLAIN_SECONDS = 0.01
SLOTS = 8
LEAVING_BOUND_SECONDS = 2.0
"""Time after the acknowledgement that it leaves in which a replica may get new work."""

LEAVING_SECONDS = 3.5
"""Time for which a replica that leaves goes on serving."""


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a replica began to work on."""

    replica_id: str
    organisation: str | None
    at: float


@dataclass
class RunLog:
    """What all replicas saw.

    Attributes:
        runs: Runs by request id.
        violations: Promises that a replica saw broken.
    """

    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    violations: list[str] = field(default_factory=list)


def build_event(request_id: str, number: int) -> bytes:
    """Returns one event of a stream."""
    return b"id: %d\ndata: %b-%d\n\n" % (number, request_id.encode(), number)


class Replica:
    """One replica with its entry in the store and a proxy before it.

    Attributes:
        fault: What it does wrong: None, "error", "hang", "cut" or "refuse".
        left_at: Time at which the store acknowledged that it leaves.
    """

    def __init__(
        self,
        store: StandInStore,
        log: RunLog,
        service: str,
        name: str,
        *,
        rng: Random,
        is_calm: Callable[[], bool],
    ) -> None:
        self._store = store
        self._log = log
        self._rng = rng
        self._is_calm = is_calm
        self._target = Address("127.0.0.1", 0)
        self._tasks: Any = None
        self._born = 0
        self._sequence = 0
        self.service = service
        self.name = name
        self.proxy = Proxy(lambda: self._target)
        self.fault: str | None = None
        self.left_at: float | None = None
        self.is_listed = False

    async def start(self) -> None:
        """Listens, and writes its entry from now on."""
        if self.proxy.address.port == 0:
            await self.proxy.listen()
        sock = curio.network.tcp_server_socket("127.0.0.1", 0)
        self._target = Address(*sock.getsockname()[:2])
        self._born = time.time_ns() // 1_000_000
        self.left_at, self.fault, self.is_listed = None, None, True
        self._tasks = curio.TaskGroup(wait=None)
        await self._tasks.spawn(curio.network.run_server, sock, self._serve)
        await self._tasks.spawn(self._renew)

    async def crash(self) -> None:
        """Ends at once; connections are reset and the entry lapses later."""
        tasks, self._tasks = self._tasks, None
        if tasks is not None:
            await tasks.cancel_remaining()
            await self.proxy.reset_all()

    async def leave(self) -> None:
        """Reports that it leaves, serves on for a while, and goes."""
        self.is_listed = False
        self._write("draining")
        self.left_at = time.monotonic()
        await curio.sleep(LEAVING_SECONDS)
        self._store.drop("servers", self.name)
        await self.crash()

    def lapse(self) -> None:
        """Drops the entry, as the store does after silence."""
        self._store.drop("servers", self.name)

    @property
    def is_running(self) -> bool:
        """Whether its process is there."""
        return self._tasks is not None

    def _write(self, state: str) -> None:
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": str(self.proxy.address),
            "zone": "zone-a",
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        self._store.put("servers", self.name, json.dumps(entry).encode())

    async def _renew(self) -> None:
        while True:
            if self.is_listed:
                self._write("ready")
            await curio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, sock: Any, peer: Any) -> None:
        connection = ServerConnection(sock, header_limit=65_536, body_limit=1 << 20)
        try:
            while request := await connection.receive_request(
                idle_timeout=30.0, receive_timeout=30.0
            ):
                if not await self._answer(connection, request):
                    return
                if not connection.start_next_cycle():
                    return
        except (OSError, RefusalError):
            return
        finally:
            await connection.close()

    async def _answer(self, connection: ServerConnection, request: Request) -> bool:
        request_id = request.headers.get("x-attempt-id", "")
        expected = request.headers.get("x-expected-instance")
        named = {"X-Attempt-Id": request_id}
        if expected != self.name:
            await connection.send_response(421, named, b"")
            return True
        if self.fault == "refuse":
            not_run = {**named, "X-Not-Executed": "1"}
            await connection.send_response(503, not_run, b"")
            return True
        self._record_run(request, request_id)
        if self.fault == "hang":
            await connection.wait_closed()
            return False
        signed = {**named, "X-Server-Signature": f"{self.name}.{request_id}"}
        if self.fault == "error":
            await connection.send_response(500, signed, b"failed")
            return True
        if request.path.startswith(("/chat/", "/summary/")):
            return await self._send_stream(connection, request, request_id, signed)
        await curio.sleep(PLAIN_SECONDS)
        body = f"{request.path} {request_id}".encode()
        if self.fault == "cut":
            # An answer of two halves of which the second never comes.
            await connection.start_stream(200, signed)
            await connection.send_data(body[: len(body) // 2])
            return False
        await connection.send_response(200, signed, body)
        return True

    def _record_run(self, request: Request, request_id: str) -> None:
        if not request_id or "authorization" in request.headers:
            self._log.violations.append(
                f"{self.name}: {request_id!r} without id or key"
            )
        if "x-deadline-ms" not in request.headers:
            self._log.violations.append(f"{self.name}: {request_id!r} has no deadline")
        if self.left_at is not None and self._is_calm():
            late = time.monotonic() - self.left_at - LEAVING_BOUND_SECONDS
            if late > 0:
                self._log.violations.append(
                    f"DRAIN: {request_id} reached {self.name} {late:.1f} s late"
                )
        run = Run(self.name, request.headers.get("x-tenant"), time.monotonic())
        self._log.runs[request_id].append(run)

    async def _send_stream(
        self,
        connection: ServerConnection,
        request: Request,
        request_id: str,
        signed: dict[str, str],
    ) -> bool:
        count = int(parse_qs(request.query)["events"][0])
        first = int(request.headers.get("last-event-id", -1)) + 1
        cut_at = self._rng.randrange(first, count + 1) if self.fault == "cut" else None
        fields = {**signed, "Content-Type": "text/event-stream"}
        await connection.start_stream(200, fields)
        for number in range(first, count):
            event = build_event(request_id, number)
            if number == cut_at:
                await connection.send_data(event[: self._rng.randrange(1, len(event))])
                return False
            await connection.send_data(event)
            await curio.sleep(EVENT_SECONDS)
        await connection.end_stream()
        return True

    async def heal(self) -> None:
        """Ends whatever is wrong with the replica and its link."""
        self.fault, self.proxy.delay = None, 0.0
        await self.proxy.set_state(LinkState.OPEN)
