"""What the stand-ins for upstreams share: faults, leaving and the load report."""

from __future__ import annotations

import time
from typing import Any, Generic, TypeVar

from ..net.http import Request
from .server import (
    LaggedValue,
    LeavingOrder,
    StandInConnection,
    UpstreamFaults,
    check_method,
    parse_body,
    reject_path,
    send_json,
)

Faults = TypeVar("Faults", bound=UpstreamFaults)


class UpstreamStandIn(Generic[Faults]):
    """An upstream; a subclass runs the requests and counts them."""

    def __init__(
        self, replica: str, *, slots: int, load_lag: float, faults: type[Faults]
    ) -> None:
        self._replica = replica
        self._slots = slots
        self._incarnation = time.time_ns() // 1_000_000
        self._load = LaggedValue((0, 0, False), lag=load_lag)
        self._leaving_at: float | None = None
        self._last_start: float | None = None
        self._no_faults = faults.model_validate({})
        self._faults = self._no_faults

    # What a subclass decides.

    def _count_load(self) -> tuple[int, int]:
        """Returns the running and the queued requests."""
        raise NotImplementedError

    def _compute_token_rate(self, running: int) -> float:
        """Returns the token rate that the load report gives."""
        raise NotImplementedError

    def _report_counts(self) -> dict[str, Any]:
        """Returns what the stand-in did so far."""
        raise NotImplementedError

    # Shared.

    async def handle(self, connection: StandInConnection, request: Request) -> None:
        """Answers one request."""
        match request.path:
            case "/v1/load":
                await send_json(connection, 200, self._report_load())
            case "/admin/counts":
                await send_json(connection, 200, self._report_counts())
            case "/admin/faults":
                check_method(request, "POST")
                self._faults = parse_body(type(self._no_faults), request)
                await send_json(connection, 200, {})
            case "/admin/leaving":
                check_method(request, "POST")
                is_leaving = parse_body(LeavingOrder, request).leaving
                self._leaving_at = time.monotonic() if is_leaving else None
                self._note_load()
                await send_json(connection, 200, {})
            case _:
                raise reject_path(request)

    def _take_faults(self) -> Faults | None:
        """Returns the faults of the next request, or None if it has none."""
        faults = self._faults
        if faults == self._no_faults or faults.remaining == 0:
            return None
        if faults.remaining is not None:
            faults.remaining -= 1
        return faults

    def _note_start(self) -> None:
        if self._leaving_at is not None:
            self._last_start = time.monotonic() - self._leaving_at

    def _note_load(self) -> None:
        running, queued = self._count_load()
        load = (running, queued, self._leaving_at is not None)
        self._load.set(load, time.monotonic())

    def _report_load(self) -> dict[str, Any]:
        running, queued, is_leaving = self._load.read(time.monotonic())
        return {
            "replica": self._replica,
            "incarnation": self._incarnation,
            "slots": self._slots,
            "running": running,
            "queued": queued,
            "token_rate": self._compute_token_rate(running),
            "leaving": is_leaving,
        }
