"""Requests on routes: queueing, attempts at replicas, and the answer or refusal."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from functools import partial
from random import Random
from typing import Any

import curio

from ..core.asked_work import AskedWork
from ..core.blackboard import Blackboard
from ..core.charges import UNITS_PER_GENERATED_TOKEN
from ..core.directory import UpstreamDirectory
from ..core.freshness import KeyFreshness
from ..core.repeats import RepeatBudget, decide_repeat, find_retry_limit
from ..core.retry_after import RETRY_AFTER_JITTER_FRACTION, RETRY_AFTER_TARGETS
from ..core.routed_call import RoutedCall
from ..core.statements import ReplicaProcess, draw_retry_after
from ..core.upstreams import Replica
from ..errors import (
    AnswerIncompleteError,
    DeadlineError,
    InternalError,
    PartQuarantinedError,
    RefusalError,
    RouterShuttingDownError,
    UpstreamFailedError,
    UpstreamLeavingError,
    UpstreamRefusedError,
    UpstreamsOutdatedError,
    UpstreamsUnavailableError,
    UpstreamUnreachableError,
    WaitLimitError,
)
from ..logs import LineLimits
from ..metrics import Metrics
from ..net.caller import to_refusal_body
from ..net.events import Events, EventSequence
from ..net.exchange import ConnectionPool
from ..net.formats import CallerFormat, UpstreamFormat
from ..net.forward import ForwardAttempt, ReceivedHead, StreamHead, WholeAnswer
from ..net.http import Request
from ..net.http_client import GivenUpExchange
from ..net.http_server import ServerConnection
from ..timeouts import timeout_after
from ..types import Address, CallRequest, Execution, RouteKind
from .dispatcher import Dispatcher
from .end_check import EndCheck
from .load_reports import LoadReports
from .part_guard import PartGuard
from .route_calls import RouteCalls
from .route_sink import RouteSink
from .serving import build_closed_error, serve_until_closed
from .sink import CallerGoneError, UnsendableAnswerError, build_disconnect_fields
from .statements import StatementReader

_LOG = logging.getLogger(__name__)

QUICK_RETRY_AFTER_SECONDS = 0.1
"""Retry-After once replicas refused the request or could not be reached: short, since
another router may reach a replica that this one does not."""

REFUSAL_LINES_PER_SECOND = 30.0
"""Sustained rate of lines about refusals with the same code."""

REFUSAL_BURST_LINES = 100.0
"""Such lines that may be written at once after a time with few of them."""

OUTDATED_CHECK_SECONDS = 0.02
"""Interval between two checks whether an answer of the store has arrived."""


@dataclass(slots=True)
class DrainTimes:
    """Monotonic times in seconds of a shutdown; infinity without one.

    Attributes:
        refuse_from: Time from which new requests are refused.
        send_until: Time until which requests are sent to replicas. Later ones would be
            cut at the end of the drain, and may have run then.
    """

    refuse_from: float = math.inf
    send_until: float = math.inf


class Forwarder:
    """Serves requests on the routes of the configuration in force.

    Args:
        apply_received: Applies what has arrived from the platform's store; called
            before decisions that must not rely on older knowledge.
        announce_leaving: Tells the other routers that processes are leaving.

    Attributes:
        load_reports: Load that replicas report in their answers.
        drain: When a router that is shutting down stops to take and to send requests.
        handle_head: Called with the head of each answer of a replica.
    """

    def __init__(
        self,
        board: Blackboard,
        dispatcher: Dispatcher,
        metrics: Metrics,
        *,
        caller_format: CallerFormat,
        upstream_format: UpstreamFormat,
        budget: RepeatBudget,
        freshness: KeyFreshness,
        directory: UpstreamDirectory,
        apply_received: Callable[[], None] = lambda: None,
        announce_leaving: Callable[
            [Iterable[Replica | ReplicaProcess]], None
        ] = lambda replicas: None,
        rng: Random,
    ) -> None:
        self._apply_received = apply_received
        self._directory = directory
        self._board = board
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._caller_format = caller_format
        self._upstream_format = upstream_format
        self._repeat_budget = budget
        self._freshness = freshness
        self._rng = rng
        self._calls = RouteCalls(board, caller_format, freshness, rng=rng)
        self._pool = ConnectionPool(
            options=board.options,
            metrics=metrics,
            detects_dead_peers=True,
            ends_silent=False,
            held_bytes=board.held_bytes,
        )
        board.upstreams.find_open_since = self._pool.find_open_since
        self._statements = StatementReader(
            board,
            metrics,
            upstream_format=upstream_format,
            announce_leaving=announce_leaving,
            rng=rng,
        )
        self.load_reports = LoadReports(
            board, metrics, upstream_format=upstream_format, rng=rng
        )
        self.guard = PartGuard(
            board, metrics, EndCheck(timeout=board.options.connect_timeout)
        )
        self.guard.refuse_waiting = dispatcher.refuse_waiting
        self.drain = DrainTimes()
        self.handle_head: Callable[[ReceivedHead], None] = lambda head: None
        self._serving: dict[str, tuple[RoutedCall, Any]] = {}
        self._asked_work = AskedWork()
        self._refusal_lines = LineLimits(
            rate=REFUSAL_LINES_PER_SECOND, burst=REFUSAL_BURST_LINES
        )

    async def watch(self) -> None:
        """Watches the connections to replicas until cancelled."""
        await self._pool.close_expired_periodically()

    async def close(self) -> None:
        """Closes the idle connections to replicas."""
        await self._pool.close()

    @property
    def upstream_connections(self) -> int:
        """Number of connections to replicas, idle and in use."""
        return self._pool.open_count

    @property
    def in_service(self) -> int:
        """Number of accepted requests that have not been answered completely."""
        return self._dispatcher.in_service

    async def dispatch(self, service: str) -> None:
        """Starts waiting requests of a service until the policy starts no more."""
        await self._dispatcher.dispatch(service)

    def find_organisation(self, request: Request) -> str | None:
        """Returns the organisation whose key a request carries; None if unknown."""
        return self._calls.find_organisation(request)

    async def serve(self, connection: ServerConnection, request: Request) -> None:
        """Serves one request until it is answered or its caller disconnects."""
        self._apply_received()
        now = time.monotonic()
        request_id = None
        call: RoutedCall | None = None
        try:
            request_id = self._caller_format.read_request_id(request)
            # Asked here, since a late event loop may read requests before it runs a
            # task that was to wake up at that time.
            if now >= self.drain.refuse_from:
                raise _build_shutdown_error()
            # It may have waited for a pass of the event loop since it was read.
            call = self._calls.parse(
                request, request_id, now, received_at=connection.active_at
            )
            if call.parts:
                self._asked_work.note_asked(call.organisation, call.prompt_tokens)
            self.guard.admit(call)
        except RefusalError as error:
            if call is not None:
                self._note_unserved(call)
            await self.refuse(connection, error, request_id)
            return
        try:
            try:
                self._queue(call, request, now)
            except RefusalError as error:
                self._set_retry_after(call, error)
                self._note_unserved(call)
                await self.refuse(connection, error, request_id)
                return
            await serve_until_closed(
                connection,
                self._serve,
                connection,
                call,
                on_start=partial(self._note_serving, call),
            )
        finally:
            await self._forget(call)
        if connection.is_left_unanswered:
            refusal = build_closed_error(may_have_run=call.may_have_run)
            self._metrics.refusals.labels(refusal.code).inc()
            await self._send_refusal(connection, refusal, request_id)

    def _note_unserved(self, call: RoutedCall) -> None:
        if call.parts and not call.events:
            self._asked_work.note_unserved(call.organisation)

    def log_asked_work(self, now: float, *, lag: float) -> None:
        """Logs what was asked for and begun in a period with unserved streams.

        Args:
            now: Monotonic time in seconds.
            lag: Seconds by which the event loop is late.
        """
        taken = self._asked_work.take_period(now)
        if taken is None:
            return
        seconds, counts = taken
        extra = {
            "elapsed_ms": round(seconds * 1000),
            "lag_ms": round(lag * 1000),
            "queued": len(self._board.queues),
            "organisations": {name: asdict(work) for name, work in counts.items()},
        }
        _LOG.info("streams were not served", extra=extra)

    def _queue(self, call: RoutedCall, request: Request, now: float) -> None:
        """Queues a request.

        Raises:
            RefusalError: If the queue is full or the request would wait too long.
        """
        wait_seconds = self._dispatcher.find_wait_limit(call)
        if wait_seconds is not None:
            call.wait_limit_at = min(now + wait_seconds, call.ends_at)
        self._dispatcher.accept(call)
        call.fields = self._caller_format.select_fields(request.fields)
        self._repeat_budget.record_request(call.service, now)

    async def _forget(self, call: RoutedCall) -> None:
        """Frees what a request holds, whatever of it fails."""
        self._serving.pop(call.call_id, None)
        try:
            for holding in call.holdings:
                holding.release()
            self.guard.forget(call)
        finally:
            await self._dispatcher.forget(call)

    def _note_serving(self, call: RoutedCall, task: Any) -> None:
        self._serving[call.call_id] = (call, task)

    async def refuse_unsent(self) -> None:
        """Refuses the waiting requests once it is too late to send them."""
        await self._dispatcher.refuse_waiting(self._find_drain_error)

    def _find_drain_error(self, call: CallRequest) -> RefusalError | None:
        if time.monotonic() < self.drain.send_until:
            return None
        # A stream that has begun goes on at another replica as long as it can.
        is_begun = isinstance(call, RoutedCall) and call.events > 0
        return None if is_begun else _build_shutdown_error()

    def refuse_new(self) -> None:
        """Refuses requests that begin from now on, and sends none that waits."""
        now = time.monotonic()
        self.drain.refuse_from = min(self.drain.refuse_from, now)
        self.drain.send_until = min(self.drain.send_until, now)

    async def cut(self, reason: str) -> None:
        """Ends all requests: those that were not sent are refused as not run.

        Those that begin from now on are refused, too.

        Args:
            reason: Why the drain was cut short, for the log and the metric.
        """
        self.refuse_new()
        for call, task in list(self._serving.values()):
            _LOG.warning(
                "request cut off by shutdown",
                extra=_build_log_fields(call, reason=reason),
            )
            self._metrics.requests_cut.labels(reason).inc()
            error = RouterShuttingDownError(
                "this router shut down before the request was answered; send it to "
                "another one",
                retry_after=0.0,
            )
            await task.cancel(exc=error, blocking=False)

    async def refuse(
        self, connection: ServerConnection, error: RefusalError, request_id: str | None
    ) -> None:
        """Logs and counts a refusal, and sends it if no response has begun."""
        try:
            self._report_refusal(error, request_id)
        finally:
            await self._send_refusal(connection, error, request_id)

    def _report_refusal(self, error: RefusalError, request_id: str | None) -> None:
        self._metrics.refusals.labels(error.code).inc()
        left_out = self._refusal_lines.take(error.code, time.monotonic())
        if left_out is None:
            return
        _LOG.info(
            "refused",
            extra={
                "request_id": request_id,
                "reason": error.code,
                "detail": str(error),
                "status": error.status,
                "version": self._board.configuration.version,
                "key_age_ms": self._freshness.age_ms,
                "left_out": left_out or None,
            },
        )

    async def _send_refusal(
        self, connection: ServerConnection, error: RefusalError, request_id: str | None
    ) -> None:
        if not connection.can_refuse:
            return
        fields = self._caller_format.build_refusal(error, request_id)
        if self._board.is_leaving:
            fields.append((b"connection", b"close"))
        await connection.send_response(
            error.status, fields, to_refusal_body(error, request_id)
        )

    async def _serve(self, connection: ServerConnection, call: RoutedCall) -> None:
        sink = RouteSink(connection, self._board)
        try:
            await self._run_within_deadline(connection, call, sink)
        except CallerGoneError as err:
            self._record_caller_disconnect(connection, call, str(err))
        except curio.CancelledError:
            if connection.is_peer_closed:
                self._record_caller_disconnect(
                    connection, call, "the request was in service"
                )
            raise
        except OSError as err:
            if not connection.has_send_failed:
                raise
            self._record_caller_disconnect(connection, call, str(err))

    def _record_caller_disconnect(
        self, connection: ServerConnection, call: RoutedCall, detail: str
    ) -> None:
        self._metrics.callers_gone.inc()
        self._note_unserved(call)
        extra = _build_log_fields(call) | build_disconnect_fields(connection, detail)
        _LOG.info("caller disconnected", extra=extra)

    async def _run_within_deadline(
        self, connection: ServerConnection, call: RoutedCall, sink: RouteSink
    ) -> None:
        try:
            async with timeout_after(max(call.ends_at - time.monotonic(), 0.0)):
                await self._run_attempts(call, sink)
        except curio.TaskTimeout:
            error: RefusalError = DeadlineError(
                "the request's timeout expired before its answer was complete; if it "
                "may be repeated, send it again"
            )
            if not call.may_have_run:
                error = WaitLimitError(
                    "the request's timeout expired while it waited; it was not run"
                )
            await self._finish_failed(connection, call, sink, error)
            return
        except RefusalError as error:
            await self._finish_failed(connection, call, sink, error)
            return
        except CallerGoneError:
            raise
        except UnsendableAnswerError as err:
            # Callers or replicas may provoke this: no line beyond the rate limit.
            await self._finish_failed(connection, call, sink, InternalError(str(err)))
            return
        except Exception as err:
            _LOG.exception(
                "request ended by an unexpected exception",
                extra=_build_log_fields(call, reason=repr(err)),
            )
            internal_error = InternalError(
                "an internal error of the router ended the request; see its log"
            )
            await self._finish_failed(connection, call, sink, internal_error)
            return
        now = time.monotonic()
        assert sink.first_at is not None
        self._metrics.calls.labels(call.service, call.organisation).inc()
        self._metrics.first_token_seconds.labels(call.class_name).observe(
            sink.first_at - call.arrival
        )
        extra = _build_log_fields(call, reason="answered")
        extra["upstream"] = call.replica_id
        extra["first_ms"] = round((sink.first_at - call.arrival) * 1000)
        extra["total_ms"] = round((now - call.arrival) * 1000)
        extra["events"] = call.events
        extra["pause_ms"] = round(call.longest_pause * 1000)
        extra["output_tokens"] = call.output_tokens
        extra["prompt_tokens"] = call.prompt_tokens
        _LOG.info("served", extra=extra)

    async def _finish_failed(
        self,
        connection: ServerConnection,
        call: RoutedCall,
        sink: RouteSink,
        error: RefusalError,
    ) -> None:
        if sink.is_started and not connection.has_unanswered_request:
            # The missing last chunk tells the caller that the answer is incomplete. The
            # connection is closed later by the listener, since a task of this request
            # still reads from it.
            self._metrics.refusals.labels(error.code).inc()
            _LOG.warning(
                "stream ended early", extra=_build_log_fields(call, reason=str(error))
            )
            return
        if call.may_have_run and error.execution is Execution.WAS_NOT_RUN:
            error = UpstreamFailedError(str(error))
        if error.execution is Execution.WAS_NOT_RUN and error.status in (502, 504):
            error = WaitLimitError(str(error), retry_after=error.retry_after)
        if error.execution is Execution.WAS_NOT_RUN:
            self._set_retry_after(call, error)
        extra = _build_log_fields(call, reason=str(error))
        extra["waited_ms"] = round((time.monotonic() - call.arrival) * 1000)
        self._note_unserved(call)
        _LOG.info("request not served", extra=extra)
        await self.refuse(connection, error, call.request_id)

    def _set_retry_after(self, call: RoutedCall, error: RefusalError) -> None:
        """Sets Retry-After to the time after which a refused request may succeed.

        A quarantine tells its own time, and a router that shuts down tells callers to
        go to another one at once. On routes that are not streams, it is set only
        if a replica refused the request or could not be reached, or if no replica takes
        requests now.
        """
        if isinstance(error, PartQuarantinedError | RouterShuttingDownError):
            return
        now = time.monotonic()
        return_time = self._board.upstreams.find_return_time(call.service, now)
        if return_time is not None:
            error.retry_after = draw_retry_after(return_time, now, self._rng.random())
        elif isinstance(error, UpstreamRefusedError | UpstreamUnreachableError):
            error.retry_after = QUICK_RETRY_AFTER_SECONDS
        elif call.route.kind is RouteKind.STREAM:
            jitter = self._rng.uniform(
                1 - RETRY_AFTER_JITTER_FRACTION, 1 + RETRY_AFTER_JITTER_FRACTION
            )
            error.retry_after = RETRY_AFTER_TARGETS * call.route.target * jitter

    async def _run_attempts(self, call: RoutedCall, sink: RouteSink) -> None:
        event_sequence = EventSequence()
        answer: WholeAnswer | None
        failed_answer: WholeAnswer | None = None
        while True:
            await self._wait_for_current_upstreams(call)
            try:
                replica = await self._dispatcher.wait_start(call)
            except UpstreamsUnavailableError:
                if failed_answer is None or sink.is_started:
                    raise
                answer = failed_answer
                break
            call.sent_after = call.view_age = None
            started_at = time.monotonic()
            error: RefusalError | None = None
            answer = None
            try:
                answer = await self._run_attempt(call, replica, event_sequence, sink)
            except RefusalError as err:
                error = err
            self._record_result(
                call, replica, answer, error, time.monotonic() - started_at
            )
            if error is None and (answer is None or not answer.is_failure):
                break
            if error is not None and event_sequence.has_unnumbered:
                # Another run would repeat the text that has no identifier.
                raise error
            failed_answer = answer or failed_answer
            now = time.monotonic()
            give_up = decide_repeat(
                call,
                error,
                budget=self._repeat_budget,
                now=now,
                routers=len(self._board.members) + 1,
                return_time=self._board.upstreams.find_return_time(call.service, now),
            )
            if give_up is None:
                self._prepare_retry(call, replica)
                self._metrics.retries.labels(
                    "answer-failed" if error is None else error.code
                ).inc()
                continue
            self._metrics.retries_refused.labels(give_up.reason).inc()
            if error is None or (failed_answer is not None and not sink.is_started):
                answer = failed_answer
                break
            raise error
        if answer is None:
            await sink.finish_stream()
            return
        if sink.is_started:
            raise AnswerIncompleteError(
                f"the upstream answered the rest of the stream with status "
                f"{answer.status}; the answer is incomplete"
            )
        if answer.status in (408, 421, 429, 503):
            # Callers take these statuses to mean that the request was not run.
            raise UpstreamFailedError(
                f"replica {replica.replica_id!r} failed with status {answer.status}"
            )
        await sink.send_answer(answer)

    async def _wait_for_current_upstreams(self, call: RoutedCall) -> None:
        """Waits for an answer of the store if the list of upstreams is too old."""
        self._apply_received()
        while (
            self._directory.is_outdated(self._freshness.read_time())
            and time.monotonic() < call.wait_limit_at
        ):
            await curio.sleep(OUTDATED_CHECK_SECONDS)
            self._apply_received()

    def _prepare_retry(self, call: RoutedCall, replica: Replica) -> None:
        now = time.monotonic()
        call.excluded |= {replica.replica_id}
        call.excluded_until = now + self._board.options.exclusion_time
        call.wait_limit_at = find_retry_limit(call, now)
        self._dispatcher.accept_again(call)

    async def _run_attempt(
        self,
        call: RoutedCall,
        replica: Replica,
        event_sequence: EventSequence,
        sink: RouteSink,
    ) -> WholeAnswer | None:
        event_tokens = self._board.configuration.find_event_tokens(call.service)
        event_units = event_tokens * UNITS_PER_GENERATED_TOKEN
        is_first_event = True

        async def send_events(head: StreamHead, events: Events) -> None:
            nonlocal is_first_event
            is_first, is_first_event = is_first_event, False
            units = 0.0
            now = time.monotonic()
            if call.events:
                pause = now - call.last_event_at
                call.longest_pause = max(call.longest_pause, pause)
            if is_first:
                call.first_event_at = now
                units += call.prepay(UNITS_PER_GENERATED_TOKEN)
            units += call.use_prepaid(event_units * events.count)
            self._board.ledger.charge(call.service, call.organisation, units)
            call.charged += units
            call.events += events.count
            call.last_event_at = now
            await sink.send_events(head, events.data)
            self.guard.note_answer(call, attempt)
            if is_first:
                await self._dispatcher.record_first_event(call)

        attempt = ForwardAttempt(
            call,
            replica,
            upstream_format=self._upstream_format,
            pool=self._pool,
            metrics=self._metrics,
            check_before_send=partial(self._check_before_send, call, replica, sink),
            note_head=self._note_head,
            note_given_up=partial(self._note_given_up, call, replica),
            note_silence=partial(self._note_silence, replica),
        )
        try:
            # Saves the connection to the upstream.
            sink.check_present()
            answer = await attempt.run(event_sequence, send_events)
            self.guard.note_answer(call, attempt)
            return answer
        except UpstreamRefusedError:
            call.sent_attempts += 1
            raise
        except BaseException:
            call.sent_attempts += attempt.is_sent
            call.unsent_attempts += not attempt.is_sent
            call.may_have_run |= attempt.is_sent
            raise
        finally:
            self.load_reports.note_end(call, replica)
            await self._dispatcher.release(call)
            if attempt.is_broken:
                await self.guard.note_broken(call, attempt)

    def _check_before_send(
        self, call: RoutedCall, replica: Replica, sink: RouteSink, address: Address
    ) -> None:
        """Checks both ends again and records how current the knowledge is.

        Raises:
            CallerGoneError: If the caller has closed its connection.
            PartQuarantinedError: If the request has a part that ends replicas.
            RouterShuttingDownError: If the router ends before an answer is likely.
            UpstreamLeavingError: If the replica has left since it was chosen, or is
                cold and takes no request from this router now.
            UpstreamsOutdatedError: If it may have left without this router's knowledge.
        """
        sink.check_present()
        self._apply_received()
        self.guard.check(call)
        if (error := self._find_drain_error(call)) is not None:
            raise error
        self._board.upstreams.check_in_service(replica, address, time.monotonic())
        if self._directory.is_outdated(self._freshness.read_time()):
            raise UpstreamsOutdatedError(
                "the request was not sent, since the list of upstreams has not been "
                f"confirmed for over {self._directory.max_age} s; try again"
            )
        if call.parts and not call.sent_attempts:
            self._asked_work.note_begun(call.organisation, call.prompt_tokens)
        if self._board.upstreams.record_send(replica, time.monotonic()):
            self._metrics.cold_starts.inc()
        call.replica_id = replica.replica_id
        call.sent_after = time.monotonic() - call.started_at
        call.view_age = self._directory.feed.find_age(self._freshness.read_time())
        self._metrics.start_to_send.observe(call.sent_after)
        self.load_reports.note_sent(call, replica)
        self._metrics.upstream_view_age.observe(call.view_age)

    def _note_given_up(
        self, call: RoutedCall, replica: Replica, exchange: GivenUpExchange
    ) -> None:
        """Logs and counts an attempt that ends before its answer is complete."""
        is_reset = exchange.is_reset
        self._metrics.exchanges_given_up.labels("reset" if is_reset else "ended").inc()
        extra = _build_log_fields(call, reason="reset" if is_reset else "ended")
        extra["upstream"] = replica.replica_id
        extra["connection"] = exchange.local_address
        extra["unacknowledged_bytes"] = exchange.unacknowledged_bytes
        extra["error"] = exchange.error
        if call.sent_after is not None:
            sent_at = call.started_at + call.sent_after
            extra["elapsed_ms"] = round((time.monotonic() - sent_at) * 1000)
        _LOG.info("exchange given up", extra=extra)

    def _note_silence(self, replica: Replica) -> None:
        """Lets new requests go to other replicas while one is silent."""
        now = time.monotonic()
        if self._board.upstreams.record_outcome(replica, now, is_failure=True):
            _LOG.warning("upstream ejected", extra={"upstream": replica.replica_id})

    async def _note_head(self, head: ReceivedHead) -> None:
        """Applies a head, and refuses the requests that no replica can serve then."""
        self.handle_head(head)
        self.load_reports.read(head)
        replica = self._board.upstreams.replicas.get(head.process.replica_id)
        if self._statements.read(head) and replica is not None:
            await self._dispatcher.dispatch(replica.service)

    def _record_result(
        self,
        call: RoutedCall,
        replica: Replica,
        answer: WholeAnswer | None,
        error: RefusalError | None,
        elapsed: float,
    ) -> None:
        """Updates the health of a replica after an attempt and logs a failed one.

        Args:
            call: Request that was attempted.
            replica: Replica of the attempt.
            answer: Answer of the replica, if it is not a stream.
            error: Failure of the attempt, if any.
            elapsed: Duration of the attempt in seconds.
        """
        if answer is not None:
            call.sent_attempts += 1
            call.may_have_run = True
        upstreams = self._board.upstreams
        now = time.monotonic()
        is_failure = answer.is_failure if answer is not None else error is not None
        counts_for_ejection = not isinstance(
            error,
            UpstreamRefusedError
            | UpstreamUnreachableError
            | PartQuarantinedError
            | RouterShuttingDownError,
        )
        if counts_for_ejection and upstreams.record_outcome(
            replica, now, is_failure=is_failure
        ):
            _LOG.warning("upstream ejected", extra={"upstream": replica.replica_id})
        if error is None:
            upstreams.record_success(replica.replica_id, now)
            if answer is None or not answer.is_failure:
                return
        elif isinstance(error, UpstreamUnreachableError) and not isinstance(
            error, UpstreamLeavingError | UpstreamsOutdatedError
        ):
            upstreams.record_failure(replica.replica_id, now)
        extra = _build_log_fields(
            call, reason="answer-failed" if error is None else error.code
        )
        extra["upstream"] = replica.replica_id
        extra["detail"] = str(error) if error is not None else None
        extra["elapsed_ms"] = round(elapsed * 1000)
        _LOG.info("attempt failed", extra=extra)


def _build_shutdown_error() -> RouterShuttingDownError:
    return RouterShuttingDownError(
        "this router is shutting down; send the request to another one",
        retry_after=0.0,
    )


def _build_log_fields(
    call: RoutedCall, *, reason: str | None = None
) -> dict[str, object]:
    """Returns the fields that log lines about a request share."""
    return {
        "request_id": call.request_id,
        "organisation": call.organisation,
        "service": call.service,
        "route": call.class_name,
        "attempts": call.attempts,
        "reason": reason,
        "to_send_ms": _to_ms(call.sent_after),
        "view_age_ms": _to_ms(call.view_age),
    }


def _to_ms(seconds: float | None) -> int | None:
    if seconds is None or not math.isfinite(seconds):
        return None
    return round(seconds * 1000)
