"""The router process: sockets and tasks around the blackboard."""

from __future__ import annotations

import itertools
import json
import logging
import signal
import time
from dataclasses import dataclass, field
from random import Random
from typing import Any

import curio
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..core.blackboard import create_blackboard
from ..core.upstreams import LoadReport, Replica
from ..declaration import parse_declaration
from ..errors import (
    LeavingError,
    PlatformUnavailableError,
    RefusalError,
    SettingsError,
    TooManyConnectionsError,
    UpstreamUnreachableError,
    WaitLimitError,
)
from ..logs import configure_logs
from ..metrics import Metrics
from ..net.caller import parse_call, send_refusal, to_refusal_body
from ..net.exchange import Answer, Attempt, ConnectionPool
from ..net.http import Request, ServerConnection, exchange
from ..net.platform import PlatformClient, Vm
from ..net.relay import StreamCheck
from ..net.signals import SignalWatch
from ..policies import create_policy
from ..settings import RouterSettings
from ..types import (
    Address,
    CallRequest,
    ReplicaId,
    RouterIdentity,
    ServiceKind,
    VmRole,
    VmState,
)

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


class Router:
    """One router of the fleet."""

    def __init__(self, settings: RouterSettings) -> None:
        self._settings = settings
        self._options = settings.options
        self._rng = Random(settings.seed)
        identity = RouterIdentity(
            settings.router_id, time.time_ns() // 1_000_000, settings.zone
        )
        self.board = create_blackboard(identity, settings.options)
        self.metrics = Metrics()
        self._policy = create_policy(settings.policy, rng=self._rng)
        self._pool = ConnectionPool(options=settings.options)
        self._platform = PlatformClient(
            settings.platform.to_address(), timeout=self._options.platform_timeout
        )
        self._pending: dict[str, _PendingStart] = {}
        self._numbers = itertools.count(1)
        self._connections = 0
        self._stop = curio.Event()

    def _make_call_id(self) -> str:
        identity = self.board.identity
        number = next(self._numbers)
        return f"{identity.router_id}.{identity.incarnation:x}.{number:x}"

    async def serve(self) -> None:
        """Serves until the router is told to stop and its work is done."""
        signals = SignalWatch(signal.SIGTERM, signal.SIGINT)
        http = self._settings.http
        sock = curio.network.tcp_server_socket(http.host, http.port, backlog=1024)
        _LOG.info("listening", extra={"router_id": self.board.identity.router_id})
        with signals:
            await self._serve_until(signals, sock)
        await self._pool.close()

    async def _serve_until(self, signals: SignalWatch, sock: Any) -> None:
        async with curio.TaskGroup() as tasks:
            listener = await tasks.spawn(curio.network.run_server, sock, self._accept)
            await tasks.spawn(self._poll_platform)
            await tasks.spawn(self._poll_loads)
            await tasks.spawn(self._tick)
            await signals.wait()
            self.board.is_leaving = True
            _LOG.info("draining")
            await self._drain(signals)
            await listener.cancel()
            await tasks.cancel_remaining()

    async def _drain(self, signals: SignalWatch) -> None:
        async def wait_idle() -> None:
            while self.board.running or len(self.board.queues):
                await curio.sleep(0.05)

        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(wait_idle)
            await tasks.spawn(signals.wait)
            await tasks.spawn(curio.sleep, self._options.drain_limit)
        for call in self.board.running.values():
            _LOG.warning("request cut", extra=_describe(call, reason="drain-limit"))
            self.metrics.refusals.labels("drain-limit").inc()

    async def _accept(self, sock: Any, peer: Any) -> None:
        limits = self._settings.limits
        connection = ServerConnection(
            sock, header_limit=limits.header_bytes, body_limit=limits.body_bytes
        )
        if self._connections >= limits.connections:
            error = TooManyConnectionsError(
                f"this router has {limits.connections} connections; try another one",
                retry_after=1.0,
            )
            await self._refuse(connection, error)
            return
        self._connections += 1
        try:
            await self._serve_connection(connection)
        except OSError as err:
            _LOG.debug("connection lost: %s", err)
        finally:
            self._connections -= 1
            await connection.close()

    async def _serve_connection(self, connection: ServerConnection) -> None:
        limits = self._settings.limits
        while True:
            try:
                request = await connection.receive_request(
                    idle_timeout=limits.idle_timeout,
                    receive_timeout=limits.receive_timeout,
                )
            except RefusalError as error:
                await self._refuse(connection, error)
                return
            if request is None:
                return
            await self._serve_request(connection, request)
            if not connection.start_next_cycle():
                return

    async def _refuse(
        self,
        connection: ServerConnection,
        error: RefusalError,
        request_id: str | None = None,
    ) -> None:
        self.metrics.refusals.labels(error.code).inc()
        if connection.can_refuse:
            await send_refusal(connection, error, request_id)

    async def _serve_request(
        self, connection: ServerConnection, request: Request
    ) -> None:
        if request.method == "GET" and request.path in self._pages:
            await self._pages[request.path](self, connection)
            return
        try:
            if self.board.is_leaving:
                raise LeavingError(
                    "this router is shutting down; send the request to another one",
                    retry_after=1.0,
                )
            call = parse_call(
                request,
                self.board,
                call_id=self._make_call_id(),
                now=time.monotonic(),
            )
            self.board.queues.add(call)
            self._pending[call.call_id] = _PendingStart()
        except RefusalError as error:
            request_id = request.headers.get("x-request-id")
            await self._refuse(connection, error, request_id)
            return
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._serve_call, connection, call)
            await tasks.spawn(connection.wait_closed)

    async def _send_health(self, connection: ServerConnection) -> None:
        await connection.send_response(200, {"content-type": "text/plain"}, b"ok\n")

    async def _send_readiness(self, connection: ServerConnection) -> None:
        if self.board.is_leaving:
            status, text = 503, b"leaving\n"
        elif self.board.configuration.declaration is None:
            status, text = 503, b"no configuration\n"
        else:
            status, text = 200, b"ready\n"
        await connection.send_response(status, {"content-type": "text/plain"}, text)

    async def _send_metrics(self, connection: ServerConnection) -> None:
        self.metrics.waiting.set(len(self.board.queues))
        self.metrics.running.set(len(self.board.running))
        self.metrics.configuration_version.set(self.board.configuration.version)
        body = generate_latest(self.metrics.registry)
        await connection.send_response(200, {"content-type": CONTENT_TYPE_LATEST}, body)

    async def _send_status(self, connection: ServerConnection) -> None:
        board = self.board
        document = {
            "router_id": board.identity.router_id,
            "zone": board.identity.zone,
            "configuration_version": board.configuration.version,
            "upstreams": [
                {
                    "replica": replica.replica_id,
                    "service": replica.service,
                    "zone": replica.zone,
                    "in_use": replica.in_use,
                    "available": replica.is_available(time.monotonic()),
                }
                for replica in board.upstreams.replicas.values()
            ],
        }
        body = json.dumps(document).encode()
        await connection.send_response(200, {"content-type": "application/json"}, body)

    _pages = {
        "/healthz": _send_health,
        "/readyz": _send_readiness,
        "/metrics": _send_metrics,
        "/status": _send_status,
    }

    async def _serve_call(
        self, connection: ServerConnection, call: CallRequest
    ) -> None:
        sink = CallerSink(connection, call)
        try:
            await self._run_call(call, sink)
        except RefusalError as error:
            self.metrics.refusals.labels(error.code).inc()
            _LOG.info("refused", extra=_describe(call, reason=error.code))
            try:
                await sink.refuse(error)
            except OSError as err:
                _LOG.debug("caller gone: %s", err)
            return
        except (CallerGoneError, OSError):
            _LOG.info("caller gone", extra=_describe(call))
            return
        finally:
            self.board.queues.remove(call.call_id)
            self._pending.pop(call.call_id, None)
        self.metrics.calls.labels(call.service, call.organisation).inc()
        if sink.first_at is not None:
            self.metrics.first_token_seconds.labels(call.class_name).observe(
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
                self.board.upstreams.record_failure(
                    replica.replica_id, time.monotonic()
                )
                is_unsent = isinstance(error, UpstreamUnreachableError)
                if call.attempts >= self._options.max_attempts or not (
                    call.is_repeatable or is_unsent
                ):
                    raise
                self.metrics.retries.labels(error.code).inc()
                call.excluded |= {replica.replica_id}
                self._pending[call.call_id] = _PendingStart()
                self.board.queues.add_again(call)

    async def _wait_start(self, call: CallRequest) -> Replica:
        pending = self._pending[call.call_id]
        await self._dispatch(call.service)
        remaining = call.wait_limit_at - time.monotonic()
        await curio.ignore_after(max(remaining, 0.0), pending.event.wait)
        if pending.replica_id is None:
            raise WaitLimitError(
                "the request waited as long as its class or deadline allows; try "
                "again later",
                retry_after=1.0,
            )
        return self.board.upstreams.replicas[pending.replica_id]

    async def _dispatch(self, service: str) -> None:
        """Starts waiting calls until the policy has no further start."""
        now = time.monotonic()
        while (
            start := self._policy.choose_start(self.board, service, now)
        ) is not None:
            call = self.board.queues.remove(start.call_id)
            assert call is not None
            call.attempts += 1
            self.board.running[call.call_id] = call
            self.board.upstreams.replicas[start.replica_id].in_use += 1
            pending = self._pending[start.call_id]
            pending.replica_id = start.replica_id
            await pending.event.set()

    async def _run_attempt(
        self, call: CallRequest, replica: Replica, check: StreamCheck, sink: CallerSink
    ) -> None:
        def charge(units: float) -> None:
            self.board.ledger.charge(call.service, call.organisation, units)
            self.metrics.served.labels(call.service, call.organisation).inc(units)

        attempt = Attempt(
            call, replica, pool=self._pool, options=self._options, charge=charge
        )
        declaration = self.board.configuration.declaration
        assert declaration is not None
        try:
            if declaration.services[call.service].kind is ServiceKind.ENGINE:
                await attempt.stream(check, sink)
                await sink.finish_stream()
            else:
                answer = await attempt.call()
                await sink.send_answer(answer)
            self.board.upstreams.record_success(replica.replica_id)
        finally:
            replica.in_use -= 1
            self.board.running.pop(call.call_id, None)
            self._policy.finish(self.board, call, replica.replica_id, time.monotonic())
            await self._dispatch(call.service)

    async def _tick(self) -> None:
        while True:
            await curio.sleep(self._options.report_interval)
            self._policy.step(self.board, time.monotonic())
            for service in self.board.queues.services():
                await self._dispatch(service)

    async def _poll_platform(self) -> None:
        while True:
            try:
                await self._read_configuration()
                self._take_vms((await self._platform.list_vms()).vms)
            except PlatformUnavailableError as err:
                _LOG.warning("platform unavailable", extra={"reason": str(err)})
            is_known = self.board.configuration.declaration is not None
            interval = self._options.platform_poll_interval
            await curio.sleep(interval if is_known else interval / 4)

    async def _read_configuration(self) -> None:
        entry = await self._platform.read("configuration")
        state = self.board.configuration
        if entry.version <= state.version:
            return
        try:
            state.declaration = parse_declaration(entry.value["document"])
        except (SettingsError, KeyError, TypeError) as err:
            _LOG.error(
                "configuration is invalid",
                extra={"version": entry.version, "reason": str(err)},
            )
            return
        state.version = entry.version
        state.document = entry.value
        _LOG.info("configuration in force", extra={"version": entry.version})

    def _take_vms(self, vms: tuple[Vm, ...]) -> None:
        replicas = self.board.upstreams.replicas
        for vm in vms:
            if vm.role is not VmRole.UPSTREAM or vm.service is None:
                continue
            replica = replicas.get(vm.id)
            if replica is None or replica.address != vm.to_address():
                replica = Replica(vm.id, vm.service, vm.zone, vm.to_address())
                replicas[vm.id] = replica
            replica.is_leaving = replica.is_leaving or vm.state is VmState.LEAVING

    async def _poll_loads(self) -> None:
        while True:
            for replica in list(self.board.upstreams.replicas.values()):
                await self._poll_load(replica.replica_id, replica.address)
            await curio.sleep(self._options.load_poll_interval)

    async def _poll_load(self, replica_id: ReplicaId, address: Address) -> None:
        now = time.monotonic()
        try:
            _, body = await exchange(
                address, "GET", "/v1/load", timeout=self._options.connect_timeout
            )
            document = json.loads(body)
            load = LoadReport(
                incarnation=int(document["incarnation"]),
                slots=int(document["slots"]),
                running=int(document["running"]),
                queued=int(document["queued"]),
                token_rate=float(document["token_rate"]),
                is_leaving=bool(document["leaving"]),
            )
        except (OSError, ValueError, KeyError, TypeError) as err:
            _LOG.debug("load report of %s failed: %s", replica_id, err)
            return
        self.board.upstreams.record_load(replica_id, load, now)


def _describe(call: CallRequest, reason: str | None = None) -> dict[str, str | None]:
    return {
        "request_id": call.request_id,
        "call_id": call.call_id,
        "organisation": call.organisation,
        "service": call.service,
        "reason": reason,
    }


def run_router(settings: RouterSettings) -> None:
    """Runs a router until it is told to stop and its work is done."""
    configure_logs(settings.log_level)
    curio.run(Router(settings).serve)
