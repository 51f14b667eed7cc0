"""Stand-in for a plain service, which counts the executions of each request."""

from __future__ import annotations

import time
from collections import Counter

import curio
from pydantic import ConfigDict, Field

from ..net.http import Request
from ..types import Address, Execution
from .server import (
    LARGEST_DELAY_MS,
    BadInputError,
    Body,
    StandInConnection,
    UpstreamFaults,
    check_method,
    parse_body,
    send_json,
    serve_http,
)
from .upstream import UpstreamStandIn


class CallBody(Body):
    """Body of ``POST /v1/call``; other fields are ignored."""

    model_config = ConfigDict(extra="ignore")

    work_ms: float = Field(20.0, ge=0, le=LARGEST_DELAY_MS)


class ServiceFaults(UpstreamFaults):
    """Fault switches of a plain service.

    Attributes:
        lose_answer: Whether a call runs, but its response is never sent.
        refuse: Whether a call is refused before it runs.
    """

    lose_answer: bool = False
    refuse: bool = False


class ServiceStandIn(UpstreamStandIn[ServiceFaults]):
    """A plain service; calls beyond ``slots`` are queued."""

    def __init__(self, replica: str, *, slots: int = 4, load_lag: float = 0.5) -> None:
        super().__init__(replica, slots=slots, load_lag=load_lag, faults=ServiceFaults)
        self._free_slots = curio.Semaphore(slots)
        self._running = 0
        self._queued = 0
        self._busy_seconds = 0.0
        self.executions: Counter[str] = Counter()

    async def handle(self, connection: StandInConnection, request: Request) -> None:
        """Answers one request."""
        match request.path:
            case "/v1/call":
                check_method(request, "POST")
                await self._call(connection, request)
            case "/v1/executions":
                await send_json(connection, 200, self.executions)
            case _:
                await super().handle(connection, request)

    def _count_load(self) -> tuple[int, int]:
        return self._running, self._queued

    def _compute_token_rate(self, running: int) -> float:
        # A service unit of a plain service is one millisecond of work.
        return 1000.0 * running

    def _report_counts(self) -> dict[str, object]:
        return {
            "replica": self._replica,
            "slots": self._slots,
            "running": self._running,
            "executions": self.executions.total(),
            "busy_slot_seconds": self._busy_seconds,
            "last_start_after_leaving_seconds": self._last_start_after_leaving_seconds,
        }

    async def _call(self, connection: StandInConnection, request: Request) -> None:
        request_id = request.headers.get("x-request-id")
        call_id = request.headers.get("x-call-id")
        if not request_id or not call_id:
            raise BadInputError("X-Request-Id or X-Call-Id is missing; send both")
        body = parse_body(CallBody, request)
        faults = self._consume_faults() or self._no_faults
        await curio.sleep(faults.delay_ms / 1000)
        headers = {"x-call-id": call_id}
        if faults.refuse:
            refusal = {
                "code": "refused",
                "message": "a fault switch asks to refuse this call",
                "execution": Execution.WAS_NOT_RUN.value,
                "request_id": request_id,
            }
            await send_json(connection, 503, refusal, headers)
            return
        elapsed = await self._execute(request, request_id, body)
        if faults.lose_answer:
            raise ConnectionAbortedError("a fault switch asks to lose the answer")
        headers["x-service-ms"] = f"{elapsed * 1000:.3f}"
        answer = {"request_id": request_id, "replica": self._replica, "done": True}
        await send_json(connection, 200, answer, headers)

    async def _execute(
        self, request: Request, request_id: str, body: CallBody
    ) -> float:
        self._record_start()
        organisation = request.headers.get("x-organisation")
        self._queued += 1
        try:
            await self._free_slots.acquire()
        finally:
            self._queued -= 1
        started_at = time.monotonic()
        # Counted before the work: a call whose caller disconnects has run as well.
        self.executions[
            f"{organisation}/{request_id}" if organisation else request_id
        ] += 1
        self._running += 1
        self._update_load()
        try:
            await curio.sleep(body.work_ms / 1000)
        finally:
            self._running -= 1
            self._update_load()
            elapsed = time.monotonic() - started_at
            self._busy_seconds += elapsed
            await self._free_slots.release()
        return elapsed


def run_service(address: Address, *, replica: str, slots: int) -> None:
    """Runs the stand-in until the process ends."""
    service = ServiceStandIn(replica, slots=slots)
    curio.run(serve_http, address, service.handle)
