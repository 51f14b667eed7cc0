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
from ..logs import configure_logs
from ..metrics import Metrics
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
from .listener import Listener
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
        self._listener = Listener(
            self.board,
            self._calls,
            self._pages,
            self.metrics,
            limits=settings.limits,
            make_call_id=self._make_call_id,
            debug=self._debug,
        )
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
        await self._calls.close()

    async def _serve_until(self, signals: SignalWatch, sock: Any) -> None:
        async with curio.TaskGroup() as tasks:
            listener = await tasks.spawn(
                curio.network.run_server, sock, self._listener.accept
            )
            await tasks.spawn(self._calls.watch)
            await tasks.spawn(self._pollers.poll_platform)
            await tasks.spawn(self._pollers.poll_loads)
            await tasks.spawn(self._control.run, self._calls.dispatch)
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
            _LOG.warning("request cut", extra=describe_call(call, reason="drain-limit"))
            self.metrics.refusals.labels("drain-limit").inc()


def run_router(settings: RouterSettings) -> None:
    """Runs a router until it is told to stop and its work is done."""
    configure_logs(settings.log_level)
    curio.run(Router(settings).serve)
