"""The router process: sockets and tasks around the blackboard."""

from __future__ import annotations

import itertools
import logging
import signal
import time
from random import Random
from typing import Any, cast

import curio

from ..core.blackboard import create_blackboard
from ..errors import (
    LeavingError,
    RefusalError,
    TooManyConnectionsError,
)
from ..logs import configure_logs
from ..metrics import Metrics
from ..net.caller import parse_call, send_refusal
from ..net.http import Request, ServerConnection
from ..net.platform import PlatformClient
from ..net.signals import SignalWatch
from ..policies import Policy, create_policy
from ..settings import RouterSettings
from ..types import (
    RouterIdentity,
)
from .calls import CallServer, describe_call
from .control import Control, ObservedPolicy
from .debug import DebugPages
from .pages import Pages
from .pollers import Pollers

_LOG = logging.getLogger(__name__)


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
        policy = create_policy(settings.policy, rng=self._rng)
        self._control = Control(
            self.board, policy, self.metrics, settings=settings, rng=self._rng
        )
        self._platform = PlatformClient(
            settings.platform.to_address(),
            timeout=self._options.platform_timeout,
            observe=self.metrics.observe_platform,
        )
        observed = cast(Policy, ObservedPolicy(policy, self._control))
        self._calls = CallServer(self.board, observed, self.metrics)
        self._pages = Pages(self.board, self.metrics)
        self._pollers = Pollers(
            self.board, self._platform, self._control, rng=self._rng
        )
        self._debug = DebugPages(is_enabled=settings.fault_injection)
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
        self._control.bind()
        _LOG.info("listening", extra={"router_id": self.board.identity.router_id})
        with signals:
            await self._serve_until(signals, sock)
        await self._calls.close()

    async def _serve_until(self, signals: SignalWatch, sock: Any) -> None:
        async with curio.TaskGroup() as tasks:
            listener = await tasks.spawn(curio.network.run_server, sock, self._accept)
            await tasks.spawn(self._pollers.poll_platform)
            await tasks.spawn(self._pollers.poll_loads)
            await tasks.spawn(self._control.run, self._calls.dispatch)
            await signals.wait()
            self.board.is_leaving = True
            self._control.report_leaving()
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
            _LOG.warning("request cut", extra=describe_call(call, reason="drain-limit"))
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
            await self._pages.send(connection, request.path)
            return
        if request.path in self._debug:
            await self._debug.send(connection, request)
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
            self._calls.accept(call)
        except RefusalError as error:
            request_id = request.headers.get("x-request-id")
            await self._refuse(connection, error, request_id)
            return
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._calls.serve, connection, call)
            await tasks.spawn(connection.wait_closed)


def run_router(settings: RouterSettings) -> None:
    """Runs a router until it is told to stop and its work is done."""
    configure_logs(settings.log_level)
    curio.run(Router(settings).serve)
