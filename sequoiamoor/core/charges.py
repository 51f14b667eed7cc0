"""Charging of requests to plain services by elapsed time."""

from __future__ import annotations

from dataclasses import dataclass

from ..types import CallRequest, ServiceKind
from .blackboard import Blackboard


@dataclass(slots=True)
class _RunningRequest:
    """A running request of a plain service.

    Attributes:
        request: The request.
        charged_at: Monotonic time in seconds up to which it has been charged.
    """

    request: CallRequest
    charged_at: float


class ElapsedCharges:
    """Charges running requests of plain services; engines are charged per token."""

    def __init__(self) -> None:
        self._running_by_call_id: dict[str, _RunningRequest] = {}

    def start(self, board: Blackboard, request: CallRequest, now: float) -> None:
        """Records a request that starts, if its service is a plain one."""
        declaration = board.configuration.declaration
        if declaration is None or request.service not in declaration.services:
            return
        if declaration.services[request.service].kind is ServiceKind.PLAIN:
            self._running_by_call_id[request.call_id] = _RunningRequest(request, now)

    def charge_all(self, board: Blackboard, now: float) -> None:
        """Charges all running requests for the time since the last charge."""
        for running in self._running_by_call_id.values():
            _charge_elapsed(board, running, now)

    def finish(self, board: Blackboard, request: CallRequest, now: float) -> None:
        """Charges a request that ended for the time since the last charge."""
        running = self._running_by_call_id.pop(request.call_id, None)
        if running is not None:
            _charge_elapsed(board, running, now)


def _charge_elapsed(board: Blackboard, running: _RunningRequest, now: float) -> None:
    """Charges one service unit per millisecond since the last charge."""
    units = max(now - running.charged_at, 0.0) * 1000
    running.charged_at = now
    request = running.request
    request.charged += units
    board.ledger.charge(request.service, request.organisation, units)
