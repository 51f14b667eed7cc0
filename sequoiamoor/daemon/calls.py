"""Serving one call: waiting, attempts, the answer or a refusal."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass, field
from typing import Any

import curio

from ..core.blackboard import Blackboard
from ..core.overload import Overload, bound_retry_after
from ..core.records import KeptAnswer
from ..core.retries import GiveUp, Retries, is_attempt_failure
from ..core.upstreams import Replica
from ..errors import (
    DrainLimitError,
    LeavingError,
    QueueFullError,
    RefusalError,
)
from ..metrics import Metrics
from ..net.caller import send_refusal, to_refusal_body
from ..net.exchange import Answer, Attempt, ConnectionPool
from ..net.http import ServerConnection
from ..net.relay import StreamCheck
from ..policies import Policy
from ..types import CallRequest, Execution, ReplicaId, ServiceKind
from .records import CallRecord, Records

_LOG = logging.getLogger(__name__)


class CallerGoneError(Exception):
    """The caller closed its connection."""


@dataclass(slots=True)
class _PendingStart:
    """Wakes the task of a waiting call when it may start."""

    event: Any = field(default_factory=curio.Event)
    replica_id: ReplicaId | None = None


class CallerSink:
    """Passes an answer on to the caller's connection."""

    def __init__(self, connection: ServerConnection, call: CallRequest) -> None:
        self._connection = connection
        self._call = call
        self._parts: list[bytes] = []
        self.is_started = False
        self.first_at: float | None = None

    def _headers(self, content_type: str) -> dict[str, str]:
        return {
            "content-type": content_type,
            "x-request-id": self._call.request_id,
            "x-call-id": self._call.call_id,
        }

    async def start_stream(self) -> None:
        """Begins a streamed answer; further calls do nothing."""
        if self.first_at is None:
            self.first_at = time.monotonic()
        if self.is_started or not self._call.wants_stream:
            return
        self.is_started = True
        headers = {**self._headers("text/event-stream"), "cache-control": "no-store"}
        try:
            await self._connection.start_stream(200, headers)
        except OSError as err:
            raise CallerGoneError from err

    async def send_events(self, data: bytes) -> None:
        """Passes on whole events of a streamed answer."""
        if not self._call.wants_stream:
            self._parts.append(data)
            return
        try:
            await self._connection.send_data(data)
        except OSError as err:
            raise CallerGoneError from err

    async def finish_stream(self) -> None:
        """Ends the answer as complete."""
        if self._call.wants_stream:
            await self._connection.end_stream()
            return
        body = b"".join(self._parts)
        await self._connection.send_response(
            200, self._headers("text/event-stream"), body
        )

    async def send_answer(self, answer: Answer) -> None:
        """Sends a whole answer of a plain service."""
        self.first_at = time.monotonic()
        await self._connection.send_response(
            answer.status, self._headers(answer.content_type), answer.body
        )

    async def send_replay(self, answer: KeptAnswer) -> None:
        """Sends the kept answer of an earlier execution of the same call."""
        headers = {**self._headers(answer.content_type), "x-replayed": "true"}
        await self._connection.send_response(answer.status, headers, answer.body)

    async def refuse(self, error: RefusalError) -> None:
        """Ends the answer as refused or, if it has begun, as incomplete."""
        if not self.is_started:
            await send_refusal(self._connection, error, self._call.request_id)
            return
        body = to_refusal_body(error, self._call.request_id)
        await self._connection.send_data(
            b"event: incomplete\ndata: " + body.strip() + b"\n\n"
        )


class CallServer:
    """Serves the calls that a router accepted."""

    def __init__(
        self,
        board: Blackboard,
        policy: Policy,
        metrics: Metrics,
        *,
        records: Records,
        retries: Retries,
    ) -> None:
        self._board = board
        self._policy = policy
        self._metrics = metrics
        self._records = records
        self._retries = retries
        self._options = board.options
        self._pool = ConnectionPool(options=board.options)
        self._overload = Overload(board.options)
        self._tasks: dict[str, Any] = {}
        self._pending: dict[str, _PendingStart] = {}

    def accept(self, call: CallRequest) -> None:
        """Queues a call.

        Raises:
            RefusalError: If the call cannot be queued.
        """
        now = time.monotonic()
        self._records.check_available(call, now)
        waiting = self._count_waiting(call)
        self._overload.check_arrival(call, waiting, now)
        try:
            self._board.queues.add(call)
        except QueueFullError as error:
            expected = self._overload.estimate_wait(call, waiting, now)
            error.retry_after = bound_retry_after(expected / 2)
            raise
        self._overload.note_waiting(call, waiting + 1, now)
        self._pending[call.call_id] = _PendingStart()

    def _count_waiting(self, call: CallRequest) -> int:
        return self._board.queues.count(call.service, call.organisation)

    @property
    def in_service(self) -> int:
        """How many accepted calls have not been answered completely."""
        return len(self._pending)

    async def cut(self, reason: str) -> None:
        """Ends all calls: waiting ones as not run, the others as incomplete."""
        for call_id, task in list(self._tasks.items()):
            call = self._board.running.get(call_id)
            if call is None:
                error: RefusalError = LeavingError(
                    "this router ends before the request could start; send it to "
                    "another one",
                    retry_after=1.0,
                )
            else:
                extra = describe_call(call, reason=reason)
                _LOG.warning("request cut", extra=extra)
                self._metrics.requests_cut.labels(reason).inc()
                error = DrainLimitError(
                    "this router ended before the request did; if the request may "
                    "be repeated, send it to another one"
                )
            await task.cancel(exc=error, blocking=False)

    async def close(self) -> None:
        """Closes the idle connections to upstreams."""
        await self._pool.close()

    async def serve(self, connection: ServerConnection, call: CallRequest) -> None:
        """Serves a queued call to its end."""
        sink = CallerSink(connection, call)
        self._tasks[call.call_id] = await curio.current_task()
        try:
            await self._run_call(call, sink)
        except RefusalError as error:
            if call.may_have_run and error.execution is Execution.WAS_NOT_RUN:
                error.execution = Execution.MAY_HAVE_RUN
            self._metrics.refusals.labels(error.code).inc()
            _LOG.info("refused", extra=describe_call(call, reason=error.code))
            self._tasks.pop(call.call_id, None)
            try:
                await sink.refuse(error)
            except (OSError, RefusalError) as err:
                _LOG.debug("refusal not sent: %s", err)
            return
        except (CallerGoneError, OSError):
            _LOG.info("caller gone", extra=describe_call(call))
            return
        finally:
            if self._board.queues.remove(call.call_id) is not None:
                waiting = self._count_waiting(call)
                self._overload.note_waiting(call, waiting, time.monotonic())
            self._tasks.pop(call.call_id, None)
            self._pending.pop(call.call_id, None)
        self._metrics.calls.labels(call.service, call.organisation).inc()
        if sink.first_at is not None:
            self._metrics.first_token_seconds.labels(call.class_name).observe(
                sink.first_at - call.arrival
            )

    async def _run_call(self, call: CallRequest, sink: CallerSink) -> None:
        check = StreamCheck(call.call_id)
        record = self._records.open(call)
        error: RefusalError | None = None
        try:
            while True:
                try:
                    replica = await self._wait_start(call)
                    replayed = await self._run_attempt(
                        call, replica, check, sink, record
                    )
                    break
                except RefusalError as latest:
                    error = latest
                    await self._prepare_retry(call, error, check)
            if replayed is not None:
                self._metrics.replays.labels(call.service, call.organisation).inc()
                await sink.send_replay(replayed)
        finally:
            if record is not None:
                await record.close(error)

    async def _prepare_retry(
        self,
        call: CallRequest,
        error: RefusalError,
        check: StreamCheck,
    ) -> None:
        replica_id = self._pending[call.call_id].replica_id
        if replica_id is None or not is_attempt_failure(error):
            raise error
        if error.execution is not Execution.WAS_NOT_RUN:
            call.may_have_run = True
        now = time.monotonic()
        self._board.upstreams.record_failure(replica_id, now)
        has_begun = check.next_index > 0
        decision = self._retries.decide(call, error, now, has_begun=has_begun)
        if isinstance(decision, GiveUp):
            self._metrics.retries_refused.labels(decision.reason).inc()
            raise error
        self._metrics.retries.labels(error.code).inc()
        call.excluded |= {replica_id}
        call.wait_limit_at = decision.wait_limit_at
        await curio.sleep(decision.delay)
        self._pending[call.call_id] = _PendingStart()
        self._board.queues.add_again(call)
        self._overload.note_waiting(call, self._count_waiting(call), time.monotonic())

    async def _wait_start(self, call: CallRequest) -> Replica:
        pending = self._pending[call.call_id]
        await self.dispatch(call.service)
        remaining = call.wait_limit_at - time.monotonic()
        await curio.ignore_after(max(remaining, 0.0), pending.event.wait)
        if pending.replica_id is None:
            raise self._overload.build_wait_limit_error(
                call, self._count_waiting(call), time.monotonic()
            )
        return self._board.upstreams.replicas[pending.replica_id]

    async def dispatch(self, service: str) -> None:
        """Starts waiting calls until the policy has no further start."""
        now = time.monotonic()
        while (
            start := self._policy.choose_start(self._board, service, now)
        ) is not None:
            call = self._board.queues.remove(start.call_id)
            assert call is not None
            self._overload.note_start(call, self._count_waiting(call), now)
            call.attempts += 1
            self._board.running[call.call_id] = call
            self._board.upstreams.replicas[start.replica_id].in_use += 1
            pending = self._pending[start.call_id]
            pending.replica_id = start.replica_id
            await pending.event.set()

    async def _run_attempt(
        self,
        call: CallRequest,
        replica: Replica,
        check: StreamCheck,
        sink: CallerSink,
        record: CallRecord | None,
    ) -> KeptAnswer | None:
        def charge(units: float) -> None:
            self._board.ledger.charge(call.service, call.organisation, units)
            self._metrics.served.labels(call.service, call.organisation).inc(units)

        attempt = Attempt(
            call,
            replica,
            pool=self._pool,
            options=self._options,
            charge=charge,
            check_before_send=record.check_before_send if record else None,
        )
        declaration = self._board.configuration.declaration
        assert declaration is not None
        try:
            if record is not None and (replayed := await record.take()) is not None:
                return replayed
            if declaration.services[call.service].kind is ServiceKind.ENGINE:
                await attempt.stream(check, sink)
                if record is not None:
                    await record.finish(200, None)
                await sink.finish_stream()
            else:
                answer = await attempt.call()
                if record is not None:
                    kept = KeptAnswer(answer.status, answer.content_type, answer.body)
                    await record.finish(answer.status, kept)
                await sink.send_answer(answer)
            self._board.upstreams.record_success(replica.replica_id)
            self._retries.budget.record_success()
            return None
        except LeavingError as error:
            if attempt.is_sent:
                error.execution = Execution.MAY_HAVE_RUN
            raise
        finally:
            replica.in_use -= 1
            self._board.running.pop(call.call_id, None)
            self._policy.finish(self._board, call, replica.replica_id, time.monotonic())
            await self.dispatch(call.service)


def describe_call(
    call: CallRequest, reason: str | None = None
) -> dict[str, str | None]:
    """Returns the log fields of a call."""
    return {
        "request_id": call.request_id,
        "call_id": call.call_id,
        "organisation": call.organisation,
        "service": call.service,
        "reason": reason,
    }
