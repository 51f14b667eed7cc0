"""Charges requests to plain services for the time that they run."""

from __future__ import annotations

from dataclasses import dataclass

from ..types import CallRequest, ServiceKind
from .blackboard import Blackboard


@dataclass(slots=True)
class _Running:
    request: CallRequest
    charged_at: float


class ElapsedCharges:
    """Running requests of plain services; engines are charged per token instead."""

    def __init__(self) -> None:
        self._running: dict[str, _Running] = {}

    def start(self, board: Blackboard, request: CallRequest, now: float) -> None:
        """Takes note of a start, if the service is a plain one."""
        declaration = board.configuration.declaration
        if declaration is None or request.service not in declaration.services:
            return
        if declaration.services[request.service].kind is ServiceKind.PLAIN:
            self._running[request.call_id] = _Running(request, now)

    def charge_all(self, board: Blackboard, now: float) -> None:
        """Charges all running requests for the time since the last charge."""
        for running in self._running.values():
            _charge(board, running, now)

    def finish(self, board: Blackboard, request: CallRequest, now: float) -> None:
        """Charges the rest of a request that ended."""
        running = self._running.pop(request.call_id, None)
        if running is not None:
            _charge(board, running, now)


def _charge(board: Blackboard, running: _Running, now: float) -> None:
    units = max(now - running.charged_at, 0.0) * 1000
    running.charged_at = now
    request = running.request
    request.charged += units
    board.ledger.charge(request.service, request.organisation, units)
