"""Serving one request on a route: waiting, attempts, the answer or a refusal."""

from __future__ import annotations

import logging
import time
from random import Random

import curio

from ..core.blackboard import Blackboard
from ..core.freshness import KeyFreshness
from ..core.repeats import RepeatBudget, decide_repeat
from ..core.routed import RoutedCall
from ..core.upstreams import Replica
from ..errors import (
    AnswerIncompleteError,
    DeadlineError,
    InternalError,
    LeavingError,
    RefusalError,
    UpstreamFailedError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
    WaitLimitError,
)
from ..metrics import Metrics
from ..net.caller import to_refusal_body
from ..net.events import EventOrder, Events
from ..net.exchange import ConnectionPool
from ..net.formats import CallerFormat, UpstreamFormat
from ..net.forward import ForwardAttempt, StreamHead, WholeAnswer
from ..net.http import Request
from ..net.http_server import ServerConnection
from ..types import Execution, RouteKind
from .dispatcher import Dispatcher
from .route_calls import RouteCalls
from .route_sink import RouteSink
from .sink import CallerGoneError

_LOG = logging.getLogger(__name__)

QUICK_RETURN_SECONDS = 0.1
"""Time after which another router may reach a replica that this one does not."""

RETURN_TARGETS = 4.0
"""Time after which a refused caller may come back, in targets of its route. Those who
come back at once meet the load that they were refused for."""

RETURN_JITTER = 0.5
"""Part by which that time is drawn shorter or longer, so that callers spread out."""

GENERATED_TOKEN_UNITS = 2.0
"""Service units of a generated token; a prompt token that is read counts as one."""


class Forwarder:
    """Serves requests on the routes of the configuration in force."""

    def __init__(
        self,
        board: Blackboard,
        dispatcher: Dispatcher,
        metrics: Metrics,
        *,
        callers: CallerFormat,
        upstreams: UpstreamFormat,
        budget: RepeatBudget,
        freshness: KeyFreshness,
        rng: Random,
    ) -> None:
        self._board = board
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._callers = callers
        self._wire = upstreams
        self._budget = budget
        self._freshness = freshness
        self._rng = rng
        self._calls = RouteCalls(board, callers, freshness, rng=rng)
        self._pool = ConnectionPool(
            options=board.options, metrics=metrics, detects_dead_peers=True
        )
        self.stops_taking = False

    async def watch(self) -> None:
        """Watches the connections to replicas until cancelled."""
        await self._pool.watch()

    async def close(self) -> None:
        """Closes the idle connections to replicas."""
        await self._pool.close()

    @property
    def in_service(self) -> int:
        """How many accepted requests have not been answered completely."""
        return self._dispatcher.in_service

    async def dispatch(self, service: str) -> None:
        """Starts waiting requests until the policy has no further start."""
        await self._dispatcher.dispatch(service)

    async def serve(self, connection: ServerConnection, request: Request) -> None:
        """Serves one request until it is answered or its caller is gone."""
        now = time.monotonic()
        request_id = None
        try:
            request_id = self._callers.read_request_id(request)
            if self.stops_taking:
                raise LeavingError(
                    "this router ends; send the request to another one",
                    retry_after=0.0,
                )
            call = self._calls.parse(request, request_id, now)
            wait = self._dispatcher.find_wait_limit(call)
            if wait is not None:
                call.wait_limit_at = min(now + wait, call.ends_at)
            try:
                self._dispatcher.accept(call)
            except RefusalError as error:
                self._set_return(call, error)
                raise
        except RefusalError as error:
            await self.refuse(connection, error, request_id)
            return
        self._budget.record_request(call.service, now)
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(self._serve, connection, call)
                await tasks.spawn(connection.wait_closed)
        finally:
            await self._dispatcher.forget(call)

    async def refuse(
        self, connection: ServerConnection, error: RefusalError, request_id: str | None
    ) -> None:
        """Sends a refusal as a whole response, if one can still be sent."""
        self._metrics.refusals.labels(error.code).inc()
        _LOG.info(
            "refused",
            extra={
                "request_id": request_id,
                "reason": error.code,
                "detail": str(error),
                "status": error.status,
                "version": self._board.configuration.version,
                "key_age_ms": self._freshness.age_ms,
            },
        )
        if not connection.can_refuse:
            return
        fields = self._callers.build_refusal(error, request_id)
        if self._board.is_leaving:
            fields.append((b"connection", b"close"))
        await connection.send_response(
            error.status, fields, to_refusal_body(error, request_id)
        )

    async def _serve(self, connection: ServerConnection, call: RoutedCall) -> None:
        caller = RouteSink(connection, self._board)
        try:
            await self._answer(connection, call, caller)
        except CallerGoneError as err:
            self._note_caller_gone(call, str(err))
        except curio.CancelledError:
            if connection.is_peer_closed:
                self._note_caller_gone(call, "the caller closed its connection")
            raise
        except OSError as err:
            self._note_caller_gone(call, str(err))

    def _note_caller_gone(self, call: RoutedCall, reason: str) -> None:
        self._metrics.callers_gone.inc()
        _LOG.info("caller gone", extra=_describe(call, reason=reason))

    async def _answer(
        self, connection: ServerConnection, call: RoutedCall, caller: RouteSink
    ) -> None:
        try:
            async with curio.timeout_after(max(call.ends_at - time.monotonic(), 0.0)):
                await self._run(call, caller)
        except curio.TaskTimeout:
            error: RefusalError = DeadlineError("the request's time is over")
            if not call.may_have_run:
                error = WaitLimitError("the request's time is over; it was not run")
            await self._end_failed(connection, call, caller, error)
            return
        except RefusalError as error:
            await self._end_failed(connection, call, caller, error)
            return
        except (CallerGoneError, OSError):
            raise
        except Exception as err:
            _LOG.exception("request failed", extra=_describe(call, reason=repr(err)))
            fault = InternalError("a fault of the router ended the request")
            await self._end_failed(connection, call, caller, fault)
            return
        now = time.monotonic()
        assert caller.first_at is not None
        self._metrics.calls.labels(call.service, call.organisation).inc()
        self._metrics.first_token_seconds.labels(call.class_name).observe(
            caller.first_at - call.arrival
        )
        extra = _describe(call, reason="answered")
        extra["first_ms"] = round((caller.first_at - call.arrival) * 1000)
        extra["total_ms"] = round((now - call.arrival) * 1000)
        extra["events"] = call.events
        extra["pause_ms"] = round(call.longest_pause * 1000)
        extra["output_tokens"] = call.output_tokens
        extra["prompt_tokens"] = call.prompt_tokens
        _LOG.info("served", extra=extra)

    async def _end_failed(
        self,
        connection: ServerConnection,
        call: RoutedCall,
        caller: RouteSink,
        error: RefusalError,
    ) -> None:
        if caller.is_started:
            # Without its last chunk the answer cannot be taken for a complete one. The
            # listener closes the connection; a task still reads from it here.
            self._metrics.refusals.labels(error.code).inc()
            _LOG.warning("stream broken off", extra=_describe(call, reason=str(error)))
            return
        if call.may_have_run and error.execution is Execution.WAS_NOT_RUN:
            error = UpstreamFailedError(str(error))
        if error.execution is Execution.WAS_NOT_RUN and error.status in (502, 504):
            error = WaitLimitError(str(error), retry_after=error.retry_after)
        if error.execution is Execution.WAS_NOT_RUN:
            self._set_return(call, error)
        extra = _describe(call, reason=str(error))
        extra["waited_ms"] = round((time.monotonic() - call.arrival) * 1000)
        _LOG.info("failed", extra=extra)
        await self.refuse(connection, error, call.request_id)

    def _set_return(self, call: RoutedCall, error: RefusalError) -> None:
        """Tells a refused caller when there may be room for it."""
        if isinstance(error, UpstreamRefusedError | UpstreamUnreachableError):
            error.retry_after = QUICK_RETURN_SECONDS
        elif call.route.kind is RouteKind.STREAM:
            spread = self._rng.uniform(1 - RETURN_JITTER, 1 + RETURN_JITTER)
            error.retry_after = RETURN_TARGETS * call.route.target * spread

    async def _run(self, call: RoutedCall, caller: RouteSink) -> None:
        order = EventOrder()
        failed: WholeAnswer | None = None
        while True:
            replica = await self._dispatcher.wait_start(call)
            started = time.monotonic()
            error: RefusalError | None = None
            answer: WholeAnswer | None = None
            try:
                answer = await self._attempt(call, replica, order, caller)
            except RefusalError as err:
                error = err
            self._note_result(call, replica, answer, error, time.monotonic() - started)
            if error is None and (answer is None or not answer.is_failure):
                break
            failed = answer or failed
            give_up = decide_repeat(
                call,
                error,
                budget=self._budget,
                now=time.monotonic(),
                routers=len(self._board.members) + 1,
            )
            if give_up is None:
                self._prepare_again(call, replica)
                self._metrics.retries.labels(
                    "answer-failed" if error is None else error.code
                ).inc()
                continue
            self._metrics.retries_refused.labels(give_up.reason).inc()
            if error is None or (failed is not None and not caller.is_started):
                answer = failed
                break
            raise error
        if answer is None:
            await caller.finish_stream()
            return
        if caller.is_started:
            raise AnswerIncompleteError(
                f"the rest of the stream was answered with status {answer.status}"
            )
        if answer.status in (408, 421, 429, 503):
            # These would tell the caller that the request was not run.
            raise UpstreamFailedError(
                f"replica {replica.replica_id!r} failed with status {answer.status}"
            )
        await caller.send_answer(answer)

    def _prepare_again(self, call: RoutedCall, replica: Replica) -> None:
        now = time.monotonic()
        call.excluded |= {replica.replica_id}
        call.excluded_until = now + self._board.options.exclusion_time
        call.wait_limit_at = max(
            call.wait_limit_at, min(call.ends_at, now + call.route.target)
        )
        self._dispatcher.accept_again(call)

    async def _attempt(
        self, call: RoutedCall, replica: Replica, order: EventOrder, caller: RouteSink
    ) -> WholeAnswer | None:
        tokens = self._board.configuration.find_event_tokens(call.service)
        event_units = tokens * GENERATED_TOKEN_UNITS
        is_first = True

        async def send_events(head: StreamHead, events: Events) -> None:
            nonlocal is_first
            units = 0.0
            now = time.monotonic()
            if call.events:
                pause = now - call.last_event_at
                call.longest_pause = max(call.longest_pause, pause)
            if is_first:
                is_first = False
                call.first_event_at = now
                self._dispatcher.note_first_event(call)
                units += call.prepay(GENERATED_TOKEN_UNITS)
            units += call.use_prepaid(event_units * events.count)
            self._board.ledger.charge(call.service, call.organisation, units)
            call.charged += units
            call.events += events.count
            call.last_event_at = now
            await caller.send_events(head, events.data)

        attempt = ForwardAttempt(
            call,
            replica,
            wire=self._wire,
            pool=self._pool,
            metrics=self._metrics,
        )
        try:
            caller.check_present()
            return await attempt.run(order, send_events)
        except UpstreamRefusedError:
            call.sent_attempts += 1
            raise
        except BaseException:
            call.sent_attempts += attempt.is_sent
            call.unsent_attempts += not attempt.is_sent
            call.may_have_run |= attempt.is_sent
            raise
        finally:
            await self._dispatcher.release(call)

    def _note_result(
        self,
        call: RoutedCall,
        replica: Replica,
        answer: WholeAnswer | None,
        error: RefusalError | None,
        elapsed: float,
    ) -> None:
        """Takes note of what an attempt tells about its replica."""
        if answer is not None:
            call.sent_attempts += 1
            call.may_have_run = True
        upstreams = self._board.upstreams
        now = time.monotonic()
        is_failure = answer.is_failure if answer is not None else error is not None
        is_own = not isinstance(error, UpstreamRefusedError | UpstreamUnreachableError)
        if is_own and upstreams.record_outcome(replica, now, is_failure=is_failure):
            _LOG.warning("upstream ejected", extra={"upstream": replica.replica_id})
        if error is None:
            upstreams.record_success(replica.replica_id, now)
            if answer is None or not answer.is_failure:
                return
        elif isinstance(error, UpstreamUnreachableError):
            upstreams.record_failure(replica.replica_id, now)
        extra = _describe(call, reason="answer-failed" if error is None else error.code)
        extra["upstream"] = replica.replica_id
        extra["detail"] = str(error) if error is not None else None
        extra["elapsed_ms"] = round(elapsed * 1000)
        _LOG.info("attempt failed", extra=extra)


def _describe(call: RoutedCall, *, reason: str) -> dict[str, object]:
    """Returns the log fields of a request."""
    return {
        "request_id": call.request_id,
        "organisation": call.organisation,
        "service": call.service,
        "route": call.class_name,
        "attempts": call.attempts,
        "reason": reason,
    }
