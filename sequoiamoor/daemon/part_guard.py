"""Keeps requests that end replicas from reaching further ones."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable

from ..core.blackboard import Blackboard
from ..core.part_cases import Crash, PartCase, PartKey, name_call, name_process
from ..core.quarantine import find_retry_after
from ..core.routed_call import RoutedCall
from ..core.statements import ReplicaProcess
from ..errors import PartQuarantinedError, RefusalError
from ..metrics import Metrics
from ..net.forward import ForwardAttempt
from ..net.wakeup import Wakeup
from ..types import CallRequest
from .end_check import EndCheck

_LOG = logging.getLogger(__name__)

SHORT_ANSWER_SECONDS = 1.0
"""Time from the begin of an answer in which the end of its process may be due to it. An
answer that has gone on for longer shows that its process stands the request."""

PROBE_PERMIT_SECONDS = 10.0
"""Time for which a router may admit the request of a probe that it claimed."""

FindError = Callable[[CallRequest], RefusalError | None]


async def _refuse_none(find_error: FindError) -> None:
    """Refuses nothing."""


class PartGuard:
    """Watches the requests of this router and refuses those that end replicas.

    Attributes:
        quarantine: Cases of prompt parts.
        publish: Passes a changed case on to the other routers and the store.
        refuse_waiting: Refuses the waiting requests for which a function returns an
            error.
        changed: Set when there is something to do as time passes.
    """

    def __init__(
        self, board: Blackboard, metrics: Metrics, end_check: EndCheck
    ) -> None:
        self._board = board
        self._metrics = metrics
        self._end_check = end_check
        self.quarantine = board.quarantine
        self.publish: Callable[[PartCase], None] = lambda case: None
        self.refuse_waiting: Callable[[FindError], Awaitable[None]] = _refuse_none
        self.changed = Wakeup()
        self._permits: dict[PartKey, float] = {}
        self._probe_ids: set[str] = set()
        self._asked: set[PartKey] = set()

    # Requests.

    def admit(self, call: RoutedCall) -> None:
        """Checks a new request; admits one as a probe if this router may.

        Raises:
            PartQuarantinedError: If it has a part that ends replicas.
        """
        if not self.quarantine.cases:
            return
        now = time.monotonic()
        case = self.quarantine.find(call.organisation, call.shared_keys, now)
        if case is None:
            return
        if self._permits.pop(case.key, float("-inf")) >= now:
            self._probe_ids.add(call.call_id)
            extra = _describe(case) | {"request_id": call.request_id}
            _LOG.info("request admitted as a probe of a prompt part", extra=extra)
            return
        if now >= case.probe_at:
            self._asked.add(case.key)
            self.changed.set()
        self._metrics.quarantine_refusals.labels(call.service).inc()
        raise _build_error(case, now)

    def check(self, call: RoutedCall) -> None:
        """Checks again that a request may be sent to a replica.

        Raises:
            PartQuarantinedError: If it has a part that ends replicas.
        """
        if not self.quarantine.cases or call.call_id in self._probe_ids:
            return
        now = time.monotonic()
        case = self.quarantine.find(call.organisation, call.shared_keys, now)
        if case is not None:
            self._metrics.quarantine_refusals.labels(call.service).inc()
            raise _build_error(case, now)

    def forget(self, call: RoutedCall) -> None:
        """Forgets a request that has ended."""
        self._probe_ids.discard(call.call_id)

    def note_answer(self, call: RoutedCall, attempt: ForwardAttempt) -> None:
        """Counts an answer in favour of the parts of its request.

        It counts once it is whole or has gone on for a while.
        """
        begun_at = attempt.begun_at
        if begun_at is None or call.is_proof_noted or not call.parts:
            return
        now = time.monotonic()
        is_long = now - begun_at >= SHORT_ANSWER_SECONDS
        if not is_long and not attempt.is_answer_whole:
            return
        call.is_proof_noted = True
        for case in self.quarantine.record_answer(
            call.service, call.organisation, call.shared_keys, now
        ):
            self._report(case, "answer")
            self.publish(case)

    async def note_broken(self, call: RoutedCall, attempt: ForwardAttempt) -> None:
        """Looks whether the process of a broken attempt ended as its answer began.

        If it did, the request is not repeated unless its parts are known to be sound.
        """
        keys = call.shared_keys
        begun_at = attempt.begun_at
        if not keys or (
            begun_at is not None and time.monotonic() - begun_at >= SHORT_ANSWER_SECONDS
        ):
            return
        if not await self._end_check.has_ended(attempt.process, attempt.address):
            return
        now = time.monotonic()
        is_probe = call.call_id in self._probe_ids
        call.may_end_replicas = is_probe or not self.quarantine.may_repeat(keys, now)
        self._log_end(call, attempt.process)
        crash = Crash(
            name_process(attempt.process),
            name_call(self._board.identity, call.call_id),
            call.organisation,
        )
        for case in self.quarantine.record_crash(crash, keys, now):
            self.publish(case)
        self.changed.set()

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
                "reason": "not repeated" if call.may_end_replicas else None,
            },
        )

    # Cases.

    async def apply(self, received: PartCase, source: str) -> PartCase | None:
        """Applies a case of another router, of the store or of an operator.

        Returns:
            The case as it is now; None if nothing changed.
        """
        known = self.quarantine.cases.get(received.key)
        changed = self.quarantine.merge(received, time.monotonic())
        if changed is None:
            return None
        was_quarantined = known is not None and known.is_quarantined
        if changed.is_quarantined != was_quarantined:
            self._report(changed, source)
        self.changed.set()
        await self._refuse_waiting(changed)
        return changed

    async def step(self) -> None:
        """Decides on cases as time passes."""
        now = time.monotonic()
        for case in self.quarantine.step(now, time.time_ns() // 1_000_000):
            if case.is_quarantined:
                self._report(case, "this router")
            self.publish(case)
            await self._refuse_waiting(case)

    def take_asked(self) -> set[PartKey]:
        """Returns the parts whose probe is due and that somebody has sent meanwhile."""
        asked, self._asked = self._asked, set()
        return asked

    def permit_probe(self, key: PartKey) -> None:
        """Lets the next request with a part pass as a probe."""
        self._permits[key] = time.monotonic() + PROBE_PERMIT_SECONDS

    async def _refuse_waiting(self, case: PartCase) -> None:
        if not case.is_quarantined:
            return

        def find_error(call: CallRequest) -> RefusalError | None:
            try:
                if isinstance(call, RoutedCall):
                    self.check(call)
            except PartQuarantinedError as error:
                return error
            return None

        await self.refuse_waiting(find_error)

    def _report(self, case: PartCase, source: str) -> None:
        extra = _describe(case) | {"peer": source}
        if case.is_quarantined:
            _LOG.warning("prompt part in quarantine", extra=extra)
        else:
            _LOG.info("prompt part cleared", extra=extra)


def _build_error(case: PartCase, now: float) -> PartQuarantinedError:
    return PartQuarantinedError(
        f"prompt part {case.key.part_id!r} is in quarantine: at least "
        f"{len(case.crashes)} replicas ended when they began to answer requests with "
        "it; send the request without it, or ask the operators to clear it",
        retry_after=find_retry_after(case, now),
    )


def _describe(case: PartCase) -> dict[str, object]:
    """Returns the fields that log lines about a case share."""
    organisations = {crash.organisation for crash in case.crashes}
    return {
        "service": case.key.service,
        "part": case.key.part_id,
        "organisation": ",".join(sorted(organisations)) or None,
        "detail": ",".join(sorted(crash.process for crash in case.crashes)) or None,
    }
