"""Calls of the project's own interface: queueing, attempts, answer or refusal."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Any

import curio

from ..core.actions import Action
from ..core.blackboard import Blackboard
from ..core.records import KeptAnswer
from ..core.retries import GiveUp, Retries, is_attempt_failure
from ..core.upstreams import Replica
from ..errors import (
    AnswerIncompleteError,
    DrainLimitError,
    InternalError,
    RefusalError,
    RouterShuttingDownError,
    UpstreamLeavingError,
    UpstreamUnreachableError,
)
from ..metrics import Metrics
from ..net.caller import send_refusal
from ..net.exchange import Answer, Attempt, ConnectionPool
from ..net.http_server import ServerConnection
from ..net.relay import StreamCheck
from ..policies import Policy
from ..types import Address, CallRequest, Execution, ServiceKind
from .dispatcher import Dispatcher
from .records import CallRecord, Records
from .serving import build_closed_error, serve_until_closed
from .sink import CallerGoneError, CallerSink, build_disconnect_fields

_LOG = logging.getLogger(__name__)

_COUNTER_STEP_UNITS = 64.0
"""Service units after which the metric of served units is raised."""


class CallServer:
    """Serves the calls that a router accepted."""

    def __init__(
        self,
        board: Blackboard,
        policy: Policy,
        metrics: Metrics,
        *,
        perform: Callable[[Iterable[Action]], None] = lambda _: None,
        records: Records | None = None,
        retries: Retries | None = None,
    ) -> None:
        self._board = board
        self._dispatcher = Dispatcher(board, policy, perform=perform)
        self._metrics = metrics
        self._records = records
        self._retries = retries or Retries(board.options, rng=Random())
        self._options = board.options
        self._pool = ConnectionPool(options=board.options, metrics=metrics)
        self._tasks: dict[str, Any] = {}

    def accept(self, call: CallRequest) -> None:
        """Queues a new call.

        Raises:
            RefusalError: If the call cannot be queued.
        """
        if self._records is not None:
            self._records.check_available(call, time.monotonic())
        self._dispatcher.accept(call)

    @property
    def upstream_connections(self) -> int:
        """Number of connections to upstreams, idle and in use."""
        return self._pool.open_count

    @property
    def in_service(self) -> int:
        """Number of accepted calls that have not been answered completely."""
        return self._dispatcher.in_service

    async def cut(self, reason: str) -> None:
        """Ends all calls: refuses waiting ones, and breaks off those that have started.

        Args:
            reason: Why the drain was cut short, for the log and the metric.
        """
        for call_id, task in list(self._tasks.items()):
            call = self._board.running.get(call_id)
            if call is None:
                error: RefusalError = RouterShuttingDownError(
                    "this router is shutting down before the request could start; "
                    "send it to another one",
                    retry_after=1.0,
                )
            else:
                extra = build_log_fields(call, reason=reason)
                _LOG.warning("request cut off by shutdown", extra=extra)
                self._metrics.requests_cut.labels(reason).inc()
                error = DrainLimitError(
                    "this router shut down before the request was answered; if the "
                    "request may be repeated, send it to another one"
                )
            await task.cancel(exc=error, blocking=False)

    async def watch(self) -> None:
        """Watches the connections to upstreams until cancelled."""
        await self._pool.close_expired_periodically()

    async def close(self) -> None:
        """Closes the idle connections to upstreams."""
        await self._pool.close()

    async def serve(self, connection: ServerConnection, call: CallRequest) -> None:
        """Serves an accepted call until it ends or its caller disconnects."""
        try:
            await serve_until_closed(connection, self._serve, connection, call)
        finally:
            await self.forget(call)
        if connection.is_left_unanswered:
            error = build_closed_error(may_have_run=call.is_sent)
            self._metrics.refusals.labels(error.code).inc()
            await send_refusal(connection, error, call.request_id, call_id=call.call_id)

    async def forget(self, call: CallRequest) -> None:
        """Removes a call that ended and frees the slot that it may hold."""
        self._tasks.pop(call.call_id, None)
        await self._dispatcher.forget(call)

    async def dispatch(self, service: str) -> None:
        """Starts waiting calls of a service until the policy starts no more of them."""
        await self._dispatcher.dispatch(service)

    async def _serve(self, connection: ServerConnection, call: CallRequest) -> None:
        sink = CallerSink(
            connection, call, answer_limit=self._options.answer_limit_bytes
        )
        self._tasks[call.call_id] = await curio.current_task()
        try:
            await self._run_or_refuse(call, sink)
        except CallerGoneError as err:
            self._record_caller_disconnect(connection, call, str(err))
        except curio.CancelledError:
            if connection.is_peer_closed:
                self._record_caller_disconnect(
                    connection, call, "the call was in service"
                )
            raise

    def _record_caller_disconnect(
        self, connection: ServerConnection, call: CallRequest, detail: str
    ) -> None:
        self._metrics.callers_gone.inc()
        if connection.is_peer_slow:
            self._metrics.callers_slow.inc()
        extra = build_log_fields(call) | build_disconnect_fields(connection, detail)
        _LOG.info("caller disconnected", extra=extra)

    async def _run_or_refuse(self, call: CallRequest, sink: CallerSink) -> None:
        try:
            await self._run_call(call, sink)
        except RefusalError as error:
            await self._refuse(call, sink, error)
            return
        except CallerGoneError:
            raise
        except Exception as err:
            _LOG.exception(
                "call ended by an unexpected exception",
                extra=build_log_fields(call, reason=repr(err)),
            )
            internal_error = InternalError(
                "an internal error of the router ended the call; see its log"
            )
            await self._refuse(call, sink, internal_error)
            return
        self._metrics.calls.labels(call.service, call.organisation).inc()
        if sink.first_at is not None:
            self._metrics.first_token_seconds.labels(call.class_name).observe(
                sink.first_at - call.arrival
            )

    async def _refuse(
        self, call: CallRequest, sink: CallerSink, error: RefusalError
    ) -> None:
        # The refusal covers the whole call, so a request sent by any attempt counts.
        if call.is_sent and error.execution is Execution.WAS_NOT_RUN:
            error.execution = Execution.MAY_HAVE_RUN
        self._metrics.refusals.labels(error.code).inc()
        _LOG.info("refused", extra=build_log_fields(call, reason=error.code))
        # A shutdown must not cancel the task while it sends the refusal.
        self._tasks.pop(call.call_id, None)
        await sink.refuse(error)

    async def _run_call(self, call: CallRequest, sink: CallerSink) -> None:
        stream_check = StreamCheck(call.call_id)
        record = self._records.open(call) if self._records is not None else None
        error: RefusalError | None = None
        try:
            while True:
                replica = await self._dispatcher.wait_start(call)
                try:
                    answer = await self._run_attempt(
                        call, replica, stream_check, sink, record
                    )
                    break
                except RefusalError as refusal:
                    error = refusal
                    await self._prepare_retry(call, replica, error, sink)
        except RefusalError as refusal:
            error = refusal
            raise
        finally:
            if record is not None:
                await record.close(error)
        match answer:
            case None:
                await sink.finish_stream()
            case KeptAnswer():
                self._metrics.replays.labels(call.service, call.organisation).inc()
                await sink.send_replay(answer)
            case _:
                await sink.send_answer(answer)

    async def _prepare_retry(
        self, call: CallRequest, replica: Replica, error: RefusalError, sink: CallerSink
    ) -> None:
        """Queues a call again after a failed attempt.

        Raises:
            RefusalError: The failure, if there must be no further attempt.
        """
        if not is_attempt_failure(error):
            raise error
        now = time.monotonic()
        if _is_connection_failure(error):
            self._board.upstreams.record_failure(replica.replica_id, now)
        if call.is_sent and error.execution is Execution.WAS_NOT_RUN:
            error.execution = Execution.MAY_HAVE_RUN
        call.excluded |= {replica.replica_id}
        replicas = self._board.upstreams.list_by_service(call.service)
        has_untried = any(
            candidate.replica_id not in call.excluded for candidate in replicas
        )
        decision = self._retries.decide(
            call,
            error,
            now,
            has_begun=sink.first_at is not None,
            has_untried=has_untried,
        )
        if isinstance(decision, GiveUp):
            self._metrics.retries_refused.labels(decision.reason).inc()
            raise error
        self._metrics.retries.labels(error.code).inc()
        if not decision.is_counted:
            call.attempts -= 1
        call.excluded_until = now + decision.delay + self._options.exclusion_time
        if not has_untried:
            # Each replica has failed once, and only this one just now, so none stays
            # excluded.
            call.excluded = frozenset()
        call.wait_limit_at = decision.wait_limit_at
        await curio.sleep(decision.delay)
        self._dispatcher.accept_again(call)

    async def _run_attempt(
        self,
        call: CallRequest,
        replica: Replica,
        stream_check: StreamCheck,
        sink: CallerSink,
        record: CallRecord | None,
    ) -> Answer | KeptAnswer | None:
        declaration = self._board.configuration.declaration
        assert declaration is not None
        is_engine = declaration.services[call.service].kind is ServiceKind.ENGINE
        # The ledger counts each token. Raising the metric costs more than the rest of a
        # token's accounting, so it is raised in steps and at the end of the attempt.
        served_metric = self._metrics.served.labels(call.service, call.organisation)
        uncounted_units = 0.0

        def charge(units: float) -> None:
            nonlocal uncounted_units
            # The policy charges requests to plain services while they run.
            if is_engine:
                self._board.ledger.charge(call.service, call.organisation, units)
                call.charged += units
            uncounted_units += units
            if uncounted_units >= _COUNTER_STEP_UNITS:
                served_metric.inc(uncounted_units)
                uncounted_units = 0.0

        def check_before_send(address: Address) -> None:
            self._board.upstreams.check_in_service(replica, address, time.monotonic())
            if record is not None:
                record.check_before_send()

        attempt = Attempt(
            call,
            replica,
            pool=self._pool,
            options=self._options,
            metrics=self._metrics,
            charge=charge,
            check_before_send=check_before_send,
            on_response=partial(
                self._board.upstreams.record_success, replica.replica_id
            ),
        )
        try:
            if record is not None and (replayed := await record.claim()) is not None:
                return replayed
            if is_engine:
                answer = await attempt.stream(stream_check, sink)
            else:
                answer = await attempt.call()
            if record is not None:
                await _finish_record(record, answer)
            self._retries.budget.record_success()
            return answer
        except (CallerGoneError, curio.CancelledError):
            self._metrics.attempts_cancelled.inc()
            raise
        finally:
            served_metric.inc(uncounted_units)
            await self._dispatcher.release(call)


async def _finish_record(record: CallRecord, answer: Answer | None) -> None:
    if answer is None:
        await record.finish(200, None)
    else:
        kept = KeptAnswer(answer.status, answer.content_type, answer.body)
        await record.finish(answer.status, kept)


def _is_connection_failure(error: RefusalError) -> bool:
    """Returns whether an attempt failed at the connection to its replica."""
    return isinstance(
        error, (UpstreamUnreachableError, AnswerIncompleteError)
    ) and not isinstance(error, UpstreamLeavingError)


def build_log_fields(
    call: CallRequest, reason: str | None = None
) -> dict[str, str | None]:
    """Returns the fields that log lines about a call share."""
    return {
        "request_id": call.request_id,
        "call_id": call.call_id,
        "organisation": call.organisation,
        "service": call.service,
        "reason": reason,
    }
