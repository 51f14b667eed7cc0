"""What the router processes share: blackboard, control tasks, shutdown."""

from __future__ import annotations

import logging
import signal
import time
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Any

import curio

from ..core.blackboard import create_blackboard
from ..core.drain import Drain, DrainEnd
from ..metrics import Metrics
from ..net.signals import SignalWatch
from ..policies import create_policy
from ..settings import RouterSettings
from ..types import RouterIdentity
from .control import Control
from .usage import ControlUsage

_LOG = logging.getLogger(__name__)

DRAIN_CHECK_SECONDS = 0.02
RESTART_DELAY_SECONDS = 0.5
CONTROL_TASKS = frozenset({"platform", "loads", "control"})

Work = Callable[[], Awaitable[None]]


class RouterProcess:
    """Base of the router processes; a subclass serves the requests."""

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
        self._policy = create_policy(settings.policy, rng=self._rng)
        self._control = Control(
            self.board,
            self._policy,
            self.metrics,
            settings=settings,
            rng=self._rng,
            usage=self.usage,
        )

    async def _supervise(self, name: str, work: Work) -> None:
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

    async def _spawn_all(self, tasks: Any, works: dict[str, Work]) -> None:
        for name, work in works.items():
            await tasks.spawn(partial(self._supervise, name, work))

    def _count_in_service(self) -> int:
        """Returns how many accepted requests are not answered completely."""
        raise NotImplementedError

    def _count_unwritten(self) -> int:
        """Returns how many records are still to be written."""
        return 0

    async def _cut(self, reason: str) -> None:
        """Ends the requests that are still in service."""

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
            await self._cut(end.value)
            await curio.ignore_after(self._options.drain_cut_time, self._wait_answered)
        _LOG.info("drained", extra={"reason": end.value})
        return end

    async def _take_signals(self, drain: Drain, signals: SignalWatch) -> None:
        while True:
            # A change of the settings file does not hurry a shutdown.
            if await signals.wait() != signal.SIGHUP:
                drain.take_signal(time.monotonic())

    def _find_end(self, drain: Drain) -> DrainEnd | None:
        return drain.find_end(
            time.monotonic(),
            in_service=self._count_in_service(),
            records=self._count_unwritten(),
        )

    async def _wait_answered(self) -> None:
        while self._count_in_service():
            await curio.sleep(DRAIN_CHECK_SECONDS)
