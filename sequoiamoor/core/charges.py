"""Charging of requests to plain services by elapsed time, of streams at the start."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..types import CallRequest, ServiceKind, ServiceName
from .blackboard import Blackboard
from .ledger import AccountKey
from .routed_call import RoutedCall

UNITS_PER_GENERATED_TOKEN = 2.0
"""Service units of a generated token; a processed prompt token counts as one unit."""


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


class StartCharges:
    """Charges routed requests to engines when they start.

    The prompt and the expected output are charged at once, so that the ledger contains
    all running requests. A request that did not run is not charged: its units are
    deducted from what its organisation starts next, since counters only grow. A whole
    answer without events is not charged either.
    """

    def __init__(self) -> None:
        self._credits: dict[AccountKey, float] = {}

    def start(self, board: Blackboard, request: CallRequest) -> None:
        """Charges a request that starts, if its service is charged at the start."""
        if not isinstance(request, RoutedCall):
            return
        if not is_charged_at_start(board, request.service):
            return
        units = request.prepay(UNITS_PER_GENERATED_TOKEN)
        request.charged += units
        key = (request.service, request.organisation)
        credit = self._credits.pop(key, 0.0)
        if credit > units:
            self._credits[key] = credit - units
        board.ledger.charge(*key, max(units - credit, 0.0))

    def finish(self, board: Blackboard, request: CallRequest) -> None:
        """Credits the units of a request that ended and cannot have run."""
        if not isinstance(request, RoutedCall) or request.may_have_run:
            return
        if request.events or not is_charged_at_start(board, request.service):
            return
        key = (request.service, request.organisation)
        self._credits[key] = self._credits.get(key, 0.0) + request.charged
        request.charged = request.prepaid = 0.0


def is_charged_at_start(board: Blackboard, service: ServiceName) -> bool:
    """Returns whether requests to the service are charged when they start.

    These are the requests to engines that have a stream route.
    """
    declaration = board.configuration.declaration
    if declaration is None or service not in declaration.services:
        return False
    if declaration.services[service].kind is not ServiceKind.ENGINE:
        return False
    return not math.isinf(board.configuration.find_shortest_stream_target(service))
