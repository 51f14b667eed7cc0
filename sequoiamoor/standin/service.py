"""A stand-in for a plain service that counts executions by request."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field

import curio

from ..net.http import Request, ServerConnection
from ..types import Address
from .server import send_json, serve_http


@dataclass(slots=True)
class ServiceStandIn:
    """State of the stand-in.

    Attributes:
        slots: Calls that run at once; more wait.
        executions: Number of executions by organisation and request identifier.
    """

    replica: str
    slots: int = 4
    incarnation: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    running: int = 0
    executions: dict[str, int] = field(default_factory=dict)

    async def handle(self, connection: ServerConnection, request: Request) -> None:
        """Answers one request."""
        if request.path == "/v1/load":
            await send_json(connection, 200, self._report_load())
        elif request.path == "/v1/executions":
            await send_json(connection, 200, self.executions)
        elif request.path == "/v1/call":
            await self._call(connection, request)
        else:
            await send_json(connection, 404, {"code": "not-found"})

    def _report_load(self) -> dict[str, object]:
        return {
            "replica": self.replica,
            "incarnation": self.incarnation,
            "slots": self.slots,
            "running": self.running,
            "queued": 0,
            "token_rate": 1000.0 * min(self.running, self.slots),
            "leaving": False,
        }

    async def _call(self, connection: ServerConnection, request: Request) -> None:
        request_id = request.headers["x-request-id"]
        document = json.loads(request.body or b"{}")
        work_ms = float(document.get("work_ms", 20))
        self.executions[request_id] = self.executions.get(request_id, 0) + 1
        self.running += 1
        try:
            await curio.sleep(work_ms / 1000)
        finally:
            self.running -= 1
        headers = {
            "x-call-id": request.headers["x-call-id"],
            "x-service-ms": str(work_ms),
        }
        answer = {"request_id": request_id, "replica": self.replica, "done": True}
        await send_json(connection, 200, answer, headers)


def run_service(address: Address, *, replica: str, slots: int) -> None:
    """Runs the stand-in until it is ended."""
    service = ServiceStandIn(replica, slots=slots)
    curio.run(serve_http, address, service.handle)
