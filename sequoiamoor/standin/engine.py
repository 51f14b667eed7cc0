"""A stand-in for a model engine with continuous batching."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field
from typing import Any

import curio
import xxhash

from ..net.http import Request, ServerConnection
from ..types import Address
from .server import send_json, serve_http


@dataclass(slots=True)
class EngineStandIn:
    """State of the stand-in.

    Attributes:
        slots: Requests that run at full rate.
        token_interval: Seconds between tokens with up to ``slots`` requests.
        prefill_rate: Prompt tokens per second.
        load_lag: Seconds between a change of load and its report.
    """

    replica: str
    slots: int = 8
    token_interval: float = 0.02
    prefill_rate: float = 8_000.0
    load_lag: float = 0.5
    incarnation: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    running: int = 0
    is_leaving: bool = False
    loads: list[tuple[float, int]] = field(default_factory=list)

    async def handle(self, connection: ServerConnection, request: Request) -> None:
        """Answers one request."""
        if request.path == "/v1/load":
            await send_json(connection, 200, self._report_load())
        elif request.path == "/v1/generate":
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(self._generate, connection, request)
                await tasks.spawn(connection.wait_closed)
        else:
            await send_json(connection, 404, {"code": "not-found"})

    def _report_load(self) -> dict[str, Any]:
        self.loads.append((time.monotonic(), self.running))
        limit = time.monotonic() - self.load_lag
        while len(self.loads) > 1 and self.loads[1][0] <= limit:
            self.loads.pop(0)
        running = self.loads[0][1]
        return {
            "replica": self.replica,
            "incarnation": self.incarnation,
            "slots": self.slots,
            "running": running,
            "queued": 0,
            "token_rate": min(running, self.slots) / self.token_interval,
            "leaving": self.is_leaving,
        }

    async def _generate(self, connection: ServerConnection, request: Request) -> None:
        call_id = request.headers["x-call-id"]
        document = json.loads(request.body)
        prompt_tokens = int(document.get("prompt_tokens", 16))
        tokens = int(document.get("tokens", 32))
        index = int(request.headers.get("x-resume-from", "0"))
        self.running += 1
        try:
            await curio.sleep(prompt_tokens / self.prefill_rate)
            headers = {"content-type": "text/event-stream", "x-call-id": call_id}
            await connection.start_stream(200, headers)
            start = {"id": call_id, "prefilled": prompt_tokens, "cached": 0}
            await self._send(connection, "start", start)
            while index < tokens:
                await curio.sleep(self._next_interval())
                text = xxhash.xxh32_hexdigest(f"{call_id}:{index}".encode())
                await connection.send_data(
                    f'data: {{"id":"{call_id}","i":{index},"t":"{text}"}}\n\n'.encode()
                )
                index += 1
            await self._send(connection, "end", {"id": call_id, "tokens": tokens})
            await connection.end_stream()
        finally:
            self.running -= 1

    def _next_interval(self) -> float:
        return self.token_interval * max(1.0, self.running / self.slots)

    async def _send(
        self, connection: ServerConnection, name: str, document: dict[str, Any]
    ) -> None:
        data = json.dumps(document, separators=(",", ":"))
        await connection.send_data(f"event: {name}\ndata: {data}\n\n".encode())


def run_engine(address: Address, *, replica: str, slots: int) -> None:
    """Runs the stand-in until it is ended."""
    engine = EngineStandIn(replica, slots=slots)
    curio.run(serve_http, address, engine.handle)
