"""Finds the requests under which replicas end."""

from __future__ import annotations

import logging
import time

from ..core.routed_call import RoutedCall
from ..core.statements import ReplicaProcess
from ..metrics import Metrics
from ..net.forward import ForwardAttempt
from .end_check import EndCheck

_LOG = logging.getLogger(__name__)

SHORT_ANSWER_SECONDS = 1.0
"""Time from the begin of an answer in which the end of its process may be due to it."""


class PartGuard:
    """Watches the requests of this router that have prompt parts."""

    def __init__(self, metrics: Metrics, end_check: EndCheck) -> None:
        self._metrics = metrics
        self._end_check = end_check

    async def note_broken(self, call: RoutedCall, attempt: ForwardAttempt) -> None:
        """Looks whether the process of a broken attempt ended as its answer began."""
        begun_at = attempt.begun_at
        if not call.shared_keys or (
            begun_at is not None and time.monotonic() - begun_at >= SHORT_ANSWER_SECONDS
        ):
            return
        if await self._end_check.has_ended(attempt.process, attempt.address):
            self._log_end(call, attempt.process)

    def _log_end(self, call: RoutedCall, process: ReplicaProcess) -> None:
        self._metrics.replica_ends.labels(call.service).inc()
        _LOG.warning(
            "replica ended when it began to answer",
            extra={
                "upstream": process.replica_id,
                "request_id": call.request_id,
                "organisation": call.organisation,
                "service": call.service,
                "route": call.class_name,
                "parts": [key.part_id for key in call.shared_keys],
            },
        )
