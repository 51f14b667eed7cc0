"""Serving one call: waiting, attempts, the answer or a refusal."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass, field
from typing import Any

import curio

from ..core.blackboard import Blackboard
from ..core.upstreams import Replica
from ..errors import RefusalError, UpstreamUnreachableError, WaitLimitError
from ..metrics import Metrics
from ..net.caller import send_refusal, to_refusal_body
from ..net.exchange import Answer, Attempt, ConnectionPool
from ..net.http import ServerConnection
from ..net.relay import StreamCheck
from ..policies import Policy
from ..types import CallRequest, ReplicaId, ServiceKind

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

    def __init__(self, board: Blackboard, policy: Policy, metrics: Metrics) -> None:
        self._board = board
        self._policy = policy
        self._metrics = metrics
        self._options = board.options
        self._pool = ConnectionPool(options=board.options)
        self._pending: dict[str, _PendingStart] = {}

    def accept(self, call: CallRequest) -> None:
        """Queues a call.

        Raises:
            RefusalError: If the call cannot be queued.
        """
        self._board.queues.add(call)
        self._pending[call.call_id] = _PendingStart()

    async def close(self) -> None:
        """Closes the idle connections to upstreams."""
        await self._pool.close()

    async def serve(self, connection: ServerConnection, call: CallRequest) -> None:
        """Serves a queued call to its end."""
        sink = CallerSink(connection, call)
        try:
            await self._run_call(call, sink)
        except RefusalError as error:
            self._metrics.refusals.labels(error.code).inc()
            _LOG.info("refused", extra=describe_call(call, reason=error.code))
            try:
                await sink.refuse(error)
            except OSError as err:
                _LOG.debug("caller gone: %s", err)
            return
        except (CallerGoneError, OSError):
            _LOG.info("caller gone", extra=describe_call(call))
            return
        finally:
            self._board.queues.remove(call.call_id)
            self._pending.pop(call.call_id, None)
        self._metrics.calls.labels(call.service, call.organisation).inc()
        if sink.first_at is not None:
            self._metrics.first_token_seconds.labels(call.class_name).observe(
                sink.first_at - call.arrival
            )

    async def _run_call(self, call: CallRequest, sink: CallerSink) -> None:
        check = StreamCheck(call.call_id)
        while True:
            replica = await self._wait_start(call)
            try:
                await self._run_attempt(call, replica, check, sink)
                return
            except RefusalError as error:
                self._board.upstreams.record_failure(
                    replica.replica_id, time.monotonic()
                )
                is_unsent = isinstance(error, UpstreamUnreachableError)
                if call.attempts >= self._options.max_attempts or not (
                    call.is_repeatable or is_unsent
                ):
                    raise
                self._metrics.retries.labels(error.code).inc()
                call.excluded |= {replica.replica_id}
                self._pending[call.call_id] = _PendingStart()
                self._board.queues.add_again(call)

    async def _wait_start(self, call: CallRequest) -> Replica:
        pending = self._pending[call.call_id]
        await self.dispatch(call.service)
        remaining = call.wait_limit_at - time.monotonic()
        await curio.ignore_after(max(remaining, 0.0), pending.event.wait)
        if pending.replica_id is None:
            raise WaitLimitError(
                "the request waited as long as its class or deadline allows; try "
                "again later",
                retry_after=1.0,
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
            call.attempts += 1
            self._board.running[call.call_id] = call
            self._board.upstreams.replicas[start.replica_id].in_use += 1
            pending = self._pending[start.call_id]
            pending.replica_id = start.replica_id
            await pending.event.set()

    async def _run_attempt(
        self, call: CallRequest, replica: Replica, check: StreamCheck, sink: CallerSink
    ) -> None:
        declaration = self._board.configuration.declaration
        assert declaration is not None
        is_engine = declaration.services[call.service].kind is ServiceKind.ENGINE

        def charge(units: float) -> None:
            # The policy charges requests to plain services while they run.
            if is_engine:
                self._board.ledger.charge(call.service, call.organisation, units)
                call.charged += units
            self._metrics.served.labels(call.service, call.organisation).inc(units)

        attempt = Attempt(
            call, replica, pool=self._pool, options=self._options, charge=charge
        )
        try:
            if is_engine:
                await attempt.stream(check, sink)
                await sink.finish_stream()
            else:
                answer = await attempt.call()
                await sink.send_answer(answer)
            self._board.upstreams.record_success(replica.replica_id)
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
