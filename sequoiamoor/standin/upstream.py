"""Base class of upstream stand-ins: faults, leaving and the load report."""

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
    """An upstream with admin and load endpoints; subclasses run the requests.

    Args:
        replica: Identifier of the replica.
        slots: Number of requests for which the replica reports to have room.
        load_lag: Seconds until a change of the load is reported.
        faults: Model of the fault switches.
    """

    def __init__(
        self, replica: str, *, slots: int, load_lag: float, faults: type[Faults]
    ) -> None:
        self._replica = replica
        self._slots = slots
        self._incarnation = time.time_ns() // 1_000_000
        self._load = LaggedValue((0, 0, False), lag=load_lag)
        self._leaving_at: float | None = None
        self._last_start_after_leaving_seconds: float | None = None
        self._no_faults = faults.model_validate({})
        self._faults = self._no_faults

    # Hooks for subclasses.

    def _count_load(self) -> tuple[int, int]:
        """Returns the numbers of running and queued requests."""
        raise NotImplementedError

    def _compute_token_rate(self, running: int) -> float:
        """Returns the token rate for the load report, in service units per second."""
        raise NotImplementedError

    def _report_counts(self) -> dict[str, Any]:
        """Returns the counters of the stand-in since its start."""
        raise NotImplementedError

    # Shared by all upstreams.

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
                self._update_load()
                await send_json(connection, 200, {})
            case _:
                raise reject_path(request)

    def _consume_faults(self) -> Faults | None:
        """Returns the faults for one request, or None, and counts that request."""
        faults = self._faults
        if faults == self._no_faults or faults.remaining == 0:
            return None
        if faults.remaining is not None:
            faults.remaining -= 1
        return faults

    def _record_start(self) -> None:
        if self._leaving_at is not None:
            self._last_start_after_leaving_seconds = time.monotonic() - self._leaving_at

    def _update_load(self) -> None:
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
