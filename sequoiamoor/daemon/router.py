"""The router process: sockets and tasks around the blackboard."""

from __future__ import annotations

import itertools
import logging
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Any

import curio

from ..core.blackboard import create_blackboard
from ..core.drain import Drain, DrainEnd
from ..core.retries import Retries
from ..logs import configure_logs
from ..metrics import Metrics
from ..net.platform import PlatformClient
from ..net.signals import SignalWatch
from ..policies import create_policy
from ..settings import RouterSettings
from ..types import RouterIdentity
from .calls import CallServer
from .control import Control
from .debug import DebugPages
from .listener import Listener
from .pages import Pages
from .pollers import Pollers
from .records import Records
from .usage import ControlUsage

_LOG = logging.getLogger(__name__)

DRAIN_CHECK_SECONDS = 0.02
RESTART_DELAY_SECONDS = 0.5
CONTROL_TASKS = frozenset({"platform", "loads", "control"})


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
        self.usage = ControlUsage(self.metrics.control_cpu.inc)
        policy = create_policy(settings.policy, rng=self._rng)
        self._control = Control(
            self.board,
            policy,
            self.metrics,
            settings=settings,
            rng=self._rng,
            usage=self.usage,
        )
        address = settings.platform.to_address()
        self._platform = PlatformClient(
            address,
            timeout=self._options.platform_timeout,
            observe=self.metrics.observe_platform,
        )
        self._records = Records(
            PlatformClient(
                address,
                timeout=self._options.table_timeout,
                observe=self.metrics.observe_platform,
            ),
            options=self._options,
            metrics=self.metrics,
            rng=self._rng,
        )
        self._calls = CallServer(
            self.board,
            policy,
            self.metrics,
            perform=self._control.perform,
            records=self._records,
            retries=Retries(self._options, rng=self._rng),
        )
        self._pages = Pages(
            self.board, self.metrics, records=self._records, policy=policy
        )
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

    def _make_call_id(self) -> str:
        identity = self.board.identity
        number = next(self._numbers)
        return f"{identity.router_id}.{identity.incarnation:x}.{number:x}"

    async def serve(self) -> DrainEnd:
        """Serves until the router is told to stop and its work is done."""
        signals = SignalWatch(signal.SIGTERM, signal.SIGINT)
        http = self._settings.http
        sock = curio.network.tcp_server_socket(http.host, http.port, backlog=1024)
        self._control.bind()
        _LOG.info("listening", extra={"router_id": self.board.identity.router_id})
        with signals:
            end = await self._serve_until(signals, sock)
        await self._calls.close()
        return end

    async def _serve_until(self, signals: SignalWatch, sock: Any) -> DrainEnd:
        async with curio.TaskGroup() as tasks:
            listener = await tasks.spawn(
                curio.network.run_server, sock, self._listener.accept
            )
            for name, work in (
                ("pool", self._calls.watch),
                ("platform", self._pollers.poll_platform),
                ("loads", self._pollers.poll_loads),
                ("control", partial(self._control.run, self._calls.dispatch)),
            ):
                await tasks.spawn(self._supervise, name, work)
            await signals.wait()
            end = await self._drain(signals)
            await listener.cancel()
            await tasks.cancel_remaining()
        return end

    async def _supervise(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Runs a task until cancelled, again after a fault.

        A task group of curio does not raise the fault of a task, so that a router
        would go on without polls or reports.
        """
        if name in CONTROL_TASKS:
            self.usage.include(await curio.current_task())
        while True:
            try:
                await work()
                _LOG.error("task failed", extra={"reason": f"{name} ended"})
            except Exception:
                _LOG.exception("task failed", extra={"reason": name})
            self.metrics.task_failures.labels(name).inc()
            await curio.sleep(RESTART_DELAY_SECONDS)

    async def _drain(self, signals: SignalWatch) -> DrainEnd:
        drain = Drain(
            limit=self._options.drain_limit,
            announce_time=self._options.drain_announce_time,
            record_time=self._options.drain_record_time,
        )
        drain.take_signal(time.monotonic())
        self.board.is_leaving = drain.is_leaving
        self._control.report_leaving()
        _LOG.info("draining")
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(self._take_signals, drain, signals)
            while (end := self._find_end(drain)) is None:
                await curio.sleep(DRAIN_CHECK_SECONDS)
            await tasks.cancel_remaining()
        if end is not DrainEnd.IDLE:
            await self._calls.cut(end.value)
            await curio.ignore_after(self._options.drain_cut_time, self._wait_answered)
        _LOG.info("drained", extra={"reason": end.value})
        return end

    async def _take_signals(self, drain: Drain, signals: SignalWatch) -> None:
        while True:
            await signals.wait()
            drain.take_signal(time.monotonic())

    def _find_end(self, drain: Drain) -> DrainEnd | None:
        return drain.find_end(
            time.monotonic(),
            in_service=self._calls.in_service,
            records=self._records.unfinished,
        )

    async def _wait_answered(self) -> None:
        while self._calls.in_service:
            await curio.sleep(DRAIN_CHECK_SECONDS)


def run_router(settings: RouterSettings) -> None:
    """Runs a router until it is told to stop and its work is done.

    Raises:
        SystemExit: With code 1 if the drain limit or a second signal ended it.
    """
    configure_logs(settings.log_level)
    router = Router(settings)
    end = curio.run(router.serve, activations=[router.usage])
    if end is not DrainEnd.IDLE:
        sys.exit(1)
